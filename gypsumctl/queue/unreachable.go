package queue

import (
	"net"

	"github.com/juju/errors"
)

// unreachable reports whether err says that no connection was made.
func unreachable(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
