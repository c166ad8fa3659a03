package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Unacked returns a control function of a dialer that closes connections whose sent
// bytes stay unacknowledged for longer than limit, rounded down to milliseconds. A
// connection across a cut link would otherwise hang for minutes.
func Unacked(limit time.Duration) func(network, addr string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
	}
}
