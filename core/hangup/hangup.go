package hangup

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// key is the type of the key of a connection in a context.
type key struct{}

// WithConn returns a copy of ctx that carries the connection c. It has the type of
// http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, key{}, c)
}

// Closed reports whether the peer of the connection that ctx carries has closed or reset it, as far
// as this machine knows. It reads nothing, and can be called while another goroutine reads. It
// returns false if ctx carries none, or one that is not a socket, or if the peer has sent more
// than was read.
func Closed(ctx context.Context) bool {
	c, ok := ctx.Value(key{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = endOfStream(int(fd)) })
	return closed || err != nil
}

// endOfStream reports whether a read from a socket would return the end of the stream or an error.
func endOfStream(fd int) bool {
	var next [1]byte
	n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
		return false
	}
	return err != nil || n == 0
}
