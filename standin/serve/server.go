package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"

	"gypsumward/standin/fault"
)

const (
	maxBody     = 64 << 20    // bytes of a request body
	stopTimeout = time.Second // for calls in flight when the server stops
)

// Server is the HTTP server of one stand-in. Create it with New.
type Server struct {
	Addr   string     // IP address and port to listen on; port 0 selects a free port
	Faults *fault.Set // faults applied to calls

	*khttp.Server
}

// New returns a server for addr that applies the faults, with the routes common
// to all stand-ins. It limits the global log of Kratos to errors.
func New(addr string, faults *fault.Set) *Server {
	log.SetLogger(log.NewFilter(log.DefaultLogger, log.FilterLevel(log.LevelError)))
	s := &Server{Addr: addr, Faults: faults}
	s.Server = khttp.NewServer(khttp.Timeout(0), khttp.Filter(faults.Filter))
	s.Handle("/fault", faults)
	return s
}

// Run serves until ctx is done or the process receives SIGTERM or an interrupt.
// Calls in flight then have one second to complete. Run returns an error if the
// server cannot listen or fails.
func (s *Server) Run(ctx context.Context) error {
	lis, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Addr)
	if err != nil {
		return errors.Trace(err)
	}
	khttp.Listener(lis)(s.Server)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- s.Start(context.WithoutCancel(ctx)) }()
	if _, err := fmt.Fprintln(os.Stdout, "listening", lis.Addr()); err != nil {
		return errors.Trace(err)
	}
	select {
	case err := <-done:
		return errors.Trace(err)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if s.Stop(stopCtx) != nil {
		return errors.Trace(s.Close())
	}
	return nil
}

// StatusError is an error with the HTTP status and body of the response to it.
type StatusError struct {
	Code int    // HTTP status
	Text string // body of the response
}

// Error returns s.Text.
func (s *StatusError) Error() string { return s.Text }

// HandlePost registers f as the handler for POST on path. It decodes the body
// from JSON and encodes the result of f as JSON. An error of f is responded to
// with the code of a StatusError, or with 400.
func HandlePost[In, Out any](s *Server, path string, f func(context.Context, In) (Out, error)) {
	s.Route("/").POST(path, func(c khttp.Context) error {
		var in In
		w := c.Response()
		body := http.MaxBytesReader(w, c.Request().Body, maxBody)
		if err := json.NewDecoder(body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil
		}
		out, err := f(c, in)
		if err != nil {
			code := http.StatusBadRequest
			var status *StatusError
			if errors.As(err, &status) {
				code = status.Code
			}
			http.Error(w, err.Error(), code)
			return nil
		}
		return c.JSON(http.StatusOK, out)
	})
}

// HandleGet registers f as the handler for GET on path. It encodes the result of
// f as JSON.
func HandleGet[Out any](s *Server, path string, f func(context.Context) Out) {
	s.Route("/").GET(path, func(c khttp.Context) error {
		return c.JSON(http.StatusOK, f(c))
	})
}
