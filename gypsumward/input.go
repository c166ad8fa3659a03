package main

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/intake"
	"gypsumward/core/intake/intakehttp"
	"gypsumward/core/intake/report"
	"gypsumward/core/monotonic"
	"gypsumward/core/peer"
	"gypsumward/gypsumward/node"
)

// bodiesAtOnce is the number of bodies of the largest size, or of messages of the largest size of other
// instances, for whose reading and decoding an instance keeps memory besides that of its queue.
const bodiesAtOnce = 4

// Time limits of a call. A client of an earlier build may pause as long as it likes; one that sends
// nothing for so long has lost its connection.
const (
	bodyTimeout = 10 * time.Second // to the end of a header, and between two parts of a body
	idleTimeout = 5 * time.Minute  // between two calls of a connection
)

// input bounds what callers and other instances send to an instance.
type input struct {
	server   *intakehttp.Server
	listener net.Listener
}

// newInput returns the bounds of the server for callers, which listens, and sets those of the server for
// calls between instances.
func newInput(n *node.Node) (input, error) {
	limits := n.Config.Limits
	s := &intakehttp.Server{
		Gate:        newGate(n, "front", int64(limits.Bytes)+bodiesAtOnce*int64(limits.Body)),
		MeterBodies: true,
		Limits: func() intakehttp.Limits {
			return intakehttp.Limits{HeaderTimeout: bodyTimeout, IdleTimeout: idleTimeout}
		},
	}
	n.Server.Gate = newGate(n, "peers", int64(limits.Bytes)+bodiesAtOnce*peer.DefaultMaxMessage)
	l, err := s.Listen(context.Background(), n.Config.Addr)
	return input{s, l}, err
}

// newGate returns a gate of a server for the given bytes.
func newGate(n *node.Node, server string, bytes int64) *intake.Gate {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil {
		files.Cur = 0 // no limit is known
	}
	_, conns := intake.LimitsOf(4*bytes, int(min(files.Cur, 1<<20)))
	r := &report.Reporter{
		Log:   log.With(n.Log, "event", "intake", "server", server),
		Count: func(kind intake.Kind) { n.Meter.CountIntake(server, string(kind)) },
	}
	return &intake.Gate{Bytes: bytes, Conns: conns, Clock: monotonic.Clock{}, Observe: r.Record}
}
