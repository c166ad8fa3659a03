package queue

import (
	"net"

	"github.com/juju/errors"
)

// isDialError reports whether err means that no connection was established, so
// that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
