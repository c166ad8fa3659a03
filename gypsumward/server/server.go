package server

import (
	"context"
	"io"
	nethttp "net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/core/span"
)

// Waits for answers that callers may ask for.
const (
	DefaultWait = 10 * time.Second
	MaxWait     = 5 * time.Minute
)

// Jobs runs jobs; see package owner.
type Jobs interface {
	Submit(ctx context.Context, spec api.Job) (*api.Answer, *api.Refusal)
	Answer(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal)
	Cancel(ctx context.Context, k api.Key, task string) (*api.Answer, *api.Refusal)
}

// Requests forwards requests; see package forward.
type Requests interface {
	Send(ctx context.Context, spec api.Request) (*api.Answer, *api.Refusal)
	Answer(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal)
	Cancel(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal)
}

// Teams tells which teams there are.
type Teams interface {
	// Known reports whether work of the team is accepted.
	Known(team string) bool
	// Deadline returns that of the team's requests that declare none.
	Deadline(team string) span.Span
}

// Access tells what the key of a call allows; see package guard.
type Access interface {
	// Allows reports whether the caller may act for the team.
	Allows(ctx context.Context, team string) bool
	// Sees reports whether the operator may see events of the team.
	Sees(ctx context.Context, team string) bool
}

// Work is what a call is about.
type Work string

// The kinds of work.
const (
	Job     Work = "job"     // a job is submitted or its answer asked for
	Request Work = "request" // a request is sent or its answer asked for
	Cancel  Work = "cancel"
)

// Observer is told the answer or the refusal of every call of a caller. The team
// is empty if the call was refused before it was looked at.
type Observer interface {
	Observe(team string, work Work, a *api.Answer, r *api.Refusal, took time.Duration)
}

// Server serves callers. Its fields are set before Mount.
type Server struct {
	Jobs     Jobs
	Requests Requests
	Teams    Teams    // nil knows all
	Access   Access   // nil allows everything
	Observer Observer // may be nil
	Events   Events
	Status   func() api.Status
	Ready    func() bool
	Body     int64 // bytes in the body of one call at most
}

// Mount adds the routes to an HTTP server.
func (s *Server) Mount(h *http.Server) {
	r := h.Route("/")
	r.POST("/v1/job", s.submit)
	r.GET("/v1/job", s.job)
	r.POST("/v1/job/cancel", s.cancelJob)
	r.POST("/v1/request", s.send)
	r.GET("/v1/request", s.request)
	r.POST("/v1/request/cancel", s.cancelRequest)
	r.GET("/v1/events", s.events)
	r.GET("/v1/status", func(c http.Context) error { return c.JSON(nethttp.StatusOK, s.Status()) })
	r.GET("/health", func(c http.Context) error { return c.String(nethttp.StatusOK, "ok\n") })
	r.GET("/ready", s.ready)
}

func (s *Server) ready(c http.Context) error {
	if s.Ready() {
		return c.String(nethttp.StatusOK, "ready\n")
	}
	return c.String(nethttp.StatusServiceUnavailable, "not ready\n")
}

func (s *Server) submit(c http.Context) error {
	var spec api.Job
	if r := s.decode(c, &spec); r != nil {
		return s.refuse(c, Job, r)
	}
	if r := check.Job(&spec); r != nil {
		return s.refuse(c, Job, r)
	}
	if r := s.known(c, spec.Team); r != nil {
		return s.refuse(c, Job, r)
	}
	return s.wait(c, spec.Team, Job, spec.Deadline, func(ctx context.Context) (*api.Answer, *api.Refusal) {
		return s.Jobs.Submit(ctx, spec)
	})
}

func (s *Server) job(c http.Context) error {
	return s.byKey(c, Job, s.Jobs.Answer)
}

func (s *Server) cancelJob(c http.Context) error {
	k, r := s.key(c)
	task := c.Query().Get("task")
	if r == nil && task != "" {
		r = check.ID("task", task)
	}
	if r != nil {
		return s.refuse(c, Cancel, r)
	}
	return s.wait(c, k.Team, Cancel, 0, func(ctx context.Context) (*api.Answer, *api.Refusal) {
		return s.Jobs.Cancel(ctx, k, task)
	})
}

func (s *Server) send(c http.Context) error {
	var spec api.Request
	if r := s.decode(c, &spec); r != nil {
		return s.refuse(c, Request, r)
	}
	open := spec.Deadline == 0
	if r := check.Request(&spec); r != nil {
		return s.refuse(c, Request, r)
	}
	if r := s.known(c, spec.Team); r != nil {
		return s.refuse(c, Request, r)
	}
	if open && s.Teams != nil {
		spec.Deadline = s.Teams.Deadline(spec.Team)
	}
	return s.wait(c, spec.Team, Request, spec.Deadline+2*span.Second, func(ctx context.Context) (*api.Answer, *api.Refusal) {
		return s.Requests.Send(ctx, spec)
	})
}

func (s *Server) request(c http.Context) error {
	return s.byKey(c, Request, s.Requests.Answer)
}

func (s *Server) cancelRequest(c http.Context) error {
	return s.byKey(c, Cancel, s.Requests.Cancel)
}

// byKey runs a call that names a job or request by the query.
func (s *Server) byKey(c http.Context, work Work, call func(context.Context, api.Key) (*api.Answer, *api.Refusal)) error {
	k, r := s.key(c)
	if r != nil {
		return s.refuse(c, work, r)
	}
	return s.wait(c, k.Team, work, 0, func(ctx context.Context) (*api.Answer, *api.Refusal) {
		return call(ctx, k)
	})
}

// key reads the team and id of a call's query. It refuses teams that the caller
// may not act for.
func (s *Server) key(c http.Context) (api.Key, *api.Refusal) {
	q := c.Query()
	k := api.Key{Team: q.Get("team"), ID: q.Get("id")}
	if r := check.ID("team", k.Team); r != nil {
		return k, r
	}
	if r := s.allowed(c, k.Team); r != nil {
		return k, r
	}
	return k, check.ID("id", k.ID)
}

// allowed refuses teams that the caller may not act for.
func (s *Server) allowed(c http.Context, team string) *api.Refusal {
	if s.Access == nil || s.Access.Allows(c.Request().Context(), team) {
		return nil
	}
	return &api.Refusal{Reason: api.ReasonTeam, Detail: "the key does not allow team " + team, Ran: api.RanNot}
}

// known refuses teams that the caller may not act for or that the settings do not
// have.
func (s *Server) known(c http.Context, team string) *api.Refusal {
	if r := s.allowed(c, team); r != nil {
		return r
	}
	if s.Teams == nil || s.Teams.Known(team) {
		return nil
	}
	return &api.Refusal{Reason: api.ReasonTeam, Detail: "there is no team " + team, Ran: api.RanNot}
}

// decode reads the bounded JSON body of a call.
func (s *Server) decode(c http.Context, into any) *api.Refusal {
	body, err := io.ReadAll(nethttp.MaxBytesReader(nil, c.Request().Body, s.Body))
	if err != nil {
		return &api.Refusal{Reason: api.ReasonInvalid, Detail: tooLarge, Ran: api.RanNot}
	}
	return check.Decode(body, into)
}

const tooLarge = "the body was cut off or is larger than the limit of this instance"

// wait runs a call for as long as the caller asks with wait=, at least until
// the given deadline if it does not, and tells its outcome.
func (s *Server) wait(c http.Context, team string, work Work, least span.Span, call func(context.Context) (*api.Answer, *api.Refusal)) error {
	wait := max(DefaultWait, least.Duration())
	if text := c.Query().Get("wait"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 || d > MaxWait {
			return s.refuse(c, work, invalid("wait must be a time with a unit, from 0s to "+MaxWait.String()))
		}
		wait = d
	}
	ctx, cancel := context.WithTimeout(c, min(wait, MaxWait))
	defer cancel()
	began := time.Now()
	a, r := call(ctx)
	s.observe(team, work, a, r, time.Since(began))
	return write(c, a, r)
}

func (s *Server) observe(team string, work Work, a *api.Answer, r *api.Refusal, took time.Duration) {
	if s.Observer != nil {
		s.Observer.Observe(team, work, a, r, took)
	}
}

// refuse tells the refusal of a call that was not looked at further.
func (s *Server) refuse(c http.Context, work Work, r *api.Refusal) error {
	s.observe("", work, nil, r, 0)
	return write(c, nil, r)
}

// write writes the outcome of a call.
func write(c http.Context, a *api.Answer, r *api.Refusal) error {
	if r != nil {
		return c.JSON(refusalStatus(r), r)
	}
	if !a.Final() {
		return c.JSON(nethttp.StatusAccepted, a)
	}
	return c.JSON(nethttp.StatusOK, a)
}

// refusalStatus returns the HTTP status of a refusal.
func refusalStatus(r *api.Refusal) int {
	if r.Detail == tooLarge {
		return nethttp.StatusRequestEntityTooLarge
	}
	if r.Ran == api.RanUnknown {
		return nethttp.StatusGatewayTimeout
	}
	switch r.Reason {
	case api.ReasonInvalid, api.ReasonUnfit:
		return nethttp.StatusBadRequest
	case api.ReasonTeam:
		return nethttp.StatusForbidden
	case api.ReasonMissing:
		return nethttp.StatusNotFound
	case api.ReasonConflict, api.ReasonCancelled:
		return nethttp.StatusConflict
	case api.ReasonFull, api.ReasonDeadline:
		return nethttp.StatusTooManyRequests
	default:
		return nethttp.StatusServiceUnavailable
	}
}

func invalid(detail string) *api.Refusal {
	return &api.Refusal{Reason: api.ReasonInvalid, Detail: detail, Ran: api.RanNot}
}
