package sockopt

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCPUserTimeout returns a control function for a net.Dialer that sets
// TCP_USER_TIMEOUT: the system closes a connection when sent data stays unacknowledged
// for longer than limit, rounded down to milliseconds. Without it, a connection over a
// cut link would hang for minutes. A failure to set the option is ignored.
func TCPUserTimeout(limit time.Duration) func(network, addr string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
	}
}
