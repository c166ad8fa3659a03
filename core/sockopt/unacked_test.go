package sockopt_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"gypsumward/core/sockopt"
)

func TestUnacked(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	d := &net.Dialer{Control: sockopt.TCPUserTimeout(1500 * time.Millisecond)}
	conn, err := d.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	got := 0
	require.NoError(t, rawConn.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	require.Equal(t, 1500, got)
}
