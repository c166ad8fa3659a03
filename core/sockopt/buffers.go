package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers returns a control function for a net.ListenConfig that sets the sizes of the send and
// receive buffers of all connections to size bytes. The system then does not change them. A failure to
// set them is ignored.
func Buffers(size int) func(network, addr string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size)
		})
	}
}

// SetBacklog bounds the connections of l that have been established and not accepted yet. A failure to
// set it is ignored.
func SetBacklog(l *net.TCPListener, n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), n) })
}
