package server

import (
	"context"
	"io"
	nethttp "net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/core/intake/intakehttp"
	"gypsumward/core/span"
)

// Bounds of the time for which a call waits for an answer.
const (
	DefaultWait = 10 * time.Second // if the caller asks for none
	MaxWait     = 5 * time.Minute
)

// Jobs executes jobs. Each method returns either an answer or a refusal; see package
// owner.
type Jobs interface {
	Submit(ctx context.Context, spec api.Job) (*api.Answer, *api.Refusal)
	Answer(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal)
	Cancel(ctx context.Context, k api.Key, task string) (*api.Answer, *api.Refusal)
}

// Requests forwards requests. Each method returns either an answer or a refusal; see
// package forward.
type Requests interface {
	Send(ctx context.Context, spec api.Request) (*api.Answer, *api.Refusal)
	Answer(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal)
	Cancel(ctx context.Context, k api.Key) (*api.Answer, *api.Refusal)
}

// Teams provides the teams that the settings in force have.
type Teams interface {
	// Known reports whether work of the team is accepted.
	Known(team string) bool
	// Deadline returns the deadline of those requests of the team that declare none.
	Deadline(team string) span.Span
}

// Access reports what the key of a call allows; see package auth.
type Access interface {
	// Allows reports whether the caller may act for the team.
	Allows(ctx context.Context, team string) bool
	// Sees reports whether the operator may see events of the team.
	Sees(ctx context.Context, team string) bool
}

// Work is the kind of work that a call is about.
type Work string

// The kinds of work.
const (
	Job     Work = "job"     // submission of a job or query of its answer
	Request Work = "request" // submission of a request or query of its answer
	Cancel  Work = "cancel"  // cancellation of a job or request
)

// Observer is notified of the outcome of every call of a caller. Exactly one of a and r
// is not nil. The team is empty and elapsed zero if the call was refused before its
// work was handled.
type Observer interface {
	Observe(team string, work Work, a *api.Answer, r *api.Refusal, elapsed time.Duration)
}

// Server serves the calls of callers and operators. Its fields must be set before
// Mount.
type Server struct {
	Jobs         Jobs
	Requests     Requests
	Teams        Teams    // nil accepts all teams
	Access       Access   // nil allows everything
	Observer     Observer // may be nil
	Events       Events
	Status       func() api.Status
	Ready        func() bool
	MaxBodyBytes int64 // limit for the body of one call, in bytes
}

// Mount adds the routes to h.
func (s *Server) Mount(h *http.Server) {
	r := h.Route("/")
	r.POST("/v1/job", s.submit)
	r.GET("/v1/job", s.jobAnswer)
	r.POST("/v1/job/cancel", s.cancelJob)
	r.POST("/v1/request", s.send)
	r.GET("/v1/request", s.requestAnswer)
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
	if r := s.checkTeam(c, spec.Team); r != nil {
		return s.refuse(c, Job, r)
	}
	return s.run(c, spec.Team, Job, spec.Deadline, func(ctx context.Context) (*api.Answer, *api.Refusal) {
		return s.Jobs.Submit(ctx, spec)
	})
}

func (s *Server) jobAnswer(c http.Context) error {
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
	return s.run(c, k.Team, Cancel, 0, func(ctx context.Context) (*api.Answer, *api.Refusal) {
		return s.Jobs.Cancel(ctx, k, task)
	})
}

func (s *Server) send(c http.Context) error {
	var spec api.Request
	if r := s.decode(c, &spec); r != nil {
		return s.refuse(c, Request, r)
	}
	noDeadline := spec.Deadline == 0
	if r := check.Request(&spec); r != nil {
		return s.refuse(c, Request, r)
	}
	if r := s.checkTeam(c, spec.Team); r != nil {
		return s.refuse(c, Request, r)
	}
	if noDeadline && s.Teams != nil {
		spec.Deadline = s.Teams.Deadline(spec.Team)
	}
	return s.run(c, spec.Team, Request, spec.Deadline+2*span.Second, func(ctx context.Context) (*api.Answer, *api.Refusal) {
		return s.Requests.Send(ctx, spec)
	})
}

func (s *Server) requestAnswer(c http.Context) error {
	return s.byKey(c, Request, s.Requests.Answer)
}

func (s *Server) cancelRequest(c http.Context) error {
	return s.byKey(c, Cancel, s.Requests.Cancel)
}

// byKey runs a call whose query names a job or request.
func (s *Server) byKey(c http.Context, work Work, call func(context.Context, api.Key) (*api.Answer, *api.Refusal)) error {
	k, r := s.key(c)
	if r != nil {
		return s.refuse(c, work, r)
	}
	return s.run(c, k.Team, work, 0, func(ctx context.Context) (*api.Answer, *api.Refusal) {
		return call(ctx, k)
	})
}

// key reads the team and id from the query of a call. It refuses invalid ones and teams
// that the caller may not act for.
func (s *Server) key(c http.Context) (api.Key, *api.Refusal) {
	q := c.Query()
	k := api.Key{Team: q.Get("team"), ID: q.Get("id")}
	if r := check.ID("team", k.Team); r != nil {
		return k, r
	}
	if r := s.checkAccess(c, k.Team); r != nil {
		return k, r
	}
	return k, check.ID("id", k.ID)
}

// checkAccess refuses a team that the caller may not act for.
func (s *Server) checkAccess(c http.Context, team string) *api.Refusal {
	if s.Access == nil || s.Access.Allows(c.Request().Context(), team) {
		return nil
	}
	return &api.Refusal{Reason: api.ReasonTeam, Detail: "the key does not allow team " + team, Ran: api.RanNot}
}

// checkTeam refuses a team that the caller may not act for or that the settings do not
// have.
func (s *Server) checkTeam(c http.Context, team string) *api.Refusal {
	if r := s.checkAccess(c, team); r != nil {
		return r
	}
	if s.Teams == nil || s.Teams.Known(team) {
		return nil
	}
	return &api.Refusal{Reason: api.ReasonTeam, Detail: "there is no team " + team, Ran: api.RanNot}
}

// decode decodes the JSON body of a call, of up to s.MaxBodyBytes, into target.
func (s *Server) decode(c http.Context, target any) *api.Refusal {
	body, err := io.ReadAll(nethttp.MaxBytesReader(nil, c.Request().Body, s.MaxBodyBytes))
	switch {
	case errors.Is(err, intakehttp.ErrCapacity):
		intakehttp.SetRetryAfter(c.Response(), nethttp.StatusServiceUnavailable)
		return &api.Refusal{Reason: api.ReasonFull, Detail: detailNoMemory, Ran: api.RanNot, RetryAfter: span.Span(intakehttp.RetryAfter)}
	case errors.Is(err, intakehttp.ErrTooSlow):
		return &api.Refusal{Reason: api.ReasonInvalid, Detail: detailTooSlow, Ran: api.RanNot}
	case err != nil:
		return &api.Refusal{Reason: api.ReasonInvalid, Detail: detailTooLarge, Ran: api.RanNot}
	}
	return check.Decode(body, target)
}

// Details of refusals that refusalStatus maps to statuses 503 and 408.
const (
	detailNoMemory = "no memory of this instance is left for the body"
	detailTooSlow  = "the body came too slowly"
)

// detailTooLarge is the detail of refusals that refusalStatus maps to status 413.
const detailTooLarge = "the body was cut off or is larger than the limit of this instance"

// run runs call, notifies the observer and writes the outcome. The context of call ends
// after the time that the query parameter wait gives. Without the parameter, that is
// DefaultWait or minWait, whichever is longer. It is never more than MaxWait.
func (s *Server) run(c http.Context, team string, work Work, minWait span.Span, call func(context.Context) (*api.Answer, *api.Refusal)) error {
	wait := max(DefaultWait, minWait.Duration())
	if text := c.Query().Get("wait"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 || d > MaxWait {
			return s.refuse(c, work, invalid("wait must be a time with a unit, from 0s to "+MaxWait.String()))
		}
		wait = d
	}
	ctx, cancel := context.WithTimeout(c, min(wait, MaxWait))
	defer cancel()
	start := time.Now()
	a, r := call(ctx)
	s.observe(team, work, a, r, time.Since(start))
	return write(c, a, r)
}

// observe notifies the observer, if there is one.
func (s *Server) observe(team string, work Work, a *api.Answer, r *api.Refusal, elapsed time.Duration) {
	if s.Observer != nil {
		s.Observer.Observe(team, work, a, r, elapsed)
	}
}

// refuse notifies the observer of the refusal of a call that was not handled further and
// writes the refusal.
func (s *Server) refuse(c http.Context, work Work, r *api.Refusal) error {
	s.observe("", work, nil, r, 0)
	return write(c, nil, r)
}

// write writes the outcome of a call. The status of an answer is 200 if it is final and
// 202 otherwise.
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
	switch r.Detail {
	case detailTooLarge:
		return nethttp.StatusRequestEntityTooLarge
	case detailNoMemory:
		return nethttp.StatusServiceUnavailable
	case detailTooSlow:
		return nethttp.StatusRequestTimeout
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
