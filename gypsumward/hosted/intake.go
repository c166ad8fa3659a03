package hosted

import (
	"context"
	"net/http"

	"github.com/go-kit/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"

	"gypsumward/core/hangup"
	"gypsumward/core/intake"
	"gypsumward/core/intake/intakehttp"
	"gypsumward/core/intake/report"
	"gypsumward/core/monotonic"
)

// Limits of the servers for readiness probes and for metrics, each of which a few clients call.
const (
	probeBytes = 2 << 20
	probeConns = 32
)

// newServer returns a server whose input gate bounds. Limits may be nil.
func (h *Host) newServer(ctx context.Context, name, addr string, handler http.Handler, gate *intake.Gate, limits func() intakehttp.Limits) (*khttp.Server, error) {
	bounded := &intakehttp.Server{Gate: gate, Limits: limits}
	listener, err := bounded.Listen(ctx, addr)
	if err != nil {
		return nil, errors.Annotate(err, name)
	}
	s := khttp.NewServer(khttp.Listener(listener), khttp.Address(addr), khttp.Timeout(0))
	s.HandlePrefix("/", handler)
	s.ConnContext = hangup.WithConn
	bounded.Install(s.Server, s.Handler)
	return s, nil
}

// requestLimits returns the limits of requests under the current configuration.
func (h *Host) requestLimits() intakehttp.Limits {
	c := h.configs.Load()
	if c == nil {
		return intakehttp.Limits{}
	}
	return intakehttp.Limits{MaxHeader: c.MaxHeaderBytes, HeaderTimeout: c.HeaderTimeout, IdleTimeout: c.IdleTimeout}
}

// newGate returns a gate of a server, whose decisions are counted and logged.
func (h *Host) newGate(server string, bytes int64, conns int) *intake.Gate {
	r := &report.Reporter{
		Log:   log.With(h.log, "event", "intake", "server", server),
		Count: func(kind intake.Kind) { h.metrics.Count("intake_"+server+"_"+string(kind), 1) },
	}
	g := &intake.Gate{Bytes: bytes, Conns: conns, Clock: monotonic.Clock{}, Observe: r.Record}
	h.metrics.gaugeIntake(server, g)
	return g
}

// peerPart is the part of the limits of the server for clients that the server for calls between
// instances has. The largest plans have four standbys for each cell and one caller for each instance.
const peerPart = 2

// newPeerGate returns the gate of the server for calls between instances.
func (h *Host) newPeerGate() *intake.Gate {
	settings := h.settings.Current()
	bytes, conns := intake.LimitsOf(int64(settings.MemoryMB)<<20, settings.MaxFDs)
	return h.newGate("peers", bytes/peerPart, max(conns/peerPart, 1))
}
