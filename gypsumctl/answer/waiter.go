package answer

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/span"
	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/entry"
)

const (
	// maxHold is the longest time for which an instance is asked to hold one call.
	maxHold = 5 * time.Second
	// pollInterval is the time between two calls if the instance did not hold the
	// first one.
	pollInterval = 500 * time.Millisecond
	// deadlineGrace is the time to wait for an answer past its deadline.
	deadlineGrace = 10 * time.Second
)

// WaitTime returns the time to wait for the answer to a message with the given
// deadline: the requested time, or if that is zero the deadline plus a grace of
// 10 s. A zero deadline means api.DefaultDeadline.
func WaitTime(requested time.Duration, deadline span.Span) time.Duration {
	if requested != 0 {
		return requested
	}
	if deadline == 0 {
		deadline = api.DefaultDeadline
	}
	return deadline.Duration() + deadlineGrace
}

// Waiter waits for the answer of one job or request and shows it.
type Waiter struct {
	Subject    string        // description of the job or request in the output
	Path       string        // URL path of the resource that returns the answer
	Key        api.Key       // key of the job or request; with an empty id the answer cannot be polled
	MaxWait    time.Duration // longest time to wait; negative means not to wait
	MaxResults int           // number of task results to show; negative means all
	Cancel     bool          // whether the call is a cancellation, which succeeds if the work was cancelled
}

// Send sends call, waits for the answer, shows it and returns the exit code. If
// the answer cannot be polled, the instance holds the call for all of MaxWait.
func (w Waiter) Send(ctx context.Context, env *command.Env, call entry.Call) command.ExitCode {
	client, err := env.Client(ctx)
	if err != nil {
		return env.Usagef("%v", err)
	}
	start := env.Clock.Now()
	call.Wait = min(maxHold, max(0, w.MaxWait))
	if w.Key.ID == "" {
		call.Wait = max(0, w.MaxWait)
	}
	var a api.Answer
	if err := client.Do(ctx, call, &a); err != nil {
		return env.Fail(err)
	}
	return w.awaitFinal(ctx, env, client, start, a)
}

// Fetch requests the answer, waits for it, shows it and returns the exit code.
func (w Waiter) Fetch(ctx context.Context, env *command.Env) command.ExitCode {
	client, err := env.Client(ctx)
	if err != nil {
		return env.Usagef("%v", err)
	}
	start := env.Clock.Now()
	a, err := w.fetchAnswer(ctx, client, min(maxHold, max(0, w.MaxWait)))
	if err != nil {
		return env.Fail(err)
	}
	return w.awaitFinal(ctx, env, client, start, a)
}

// fetchAnswer requests the answer. The instance replies when the answer is final
// or wait has passed.
func (w Waiter) fetchAnswer(ctx context.Context, client *entry.Client, wait time.Duration) (api.Answer, error) {
	var a api.Answer
	err := client.Do(ctx, entry.Call{
		Method: http.MethodGet,
		Path:   w.Path,
		Query:  url.Values{"team": {w.Key.Team}, "id": {w.Key.ID}},
		Wait:   wait,
	}, &a)
	return a, err
}

// awaitFinal polls until the answer is final or MaxWait has passed since start,
// and shows it. Transient errors, such as unreachable instances, do not end the
// wait.
func (w Waiter) awaitFinal(ctx context.Context, env *command.Env, client *entry.Client, start time.Time, a api.Answer) command.ExitCode {
	for !a.Final() && w.Key.ID != "" {
		waited := env.Clock.Since(start)
		remaining := w.MaxWait - waited
		if remaining <= 0 {
			break
		}
		env.Notef("%s: %s after %v, waiting %v more", w.Subject, a.State, waited.Round(time.Second), remaining.Round(time.Second))
		polledAt := env.Clock.Now()
		next, err := w.fetchAnswer(ctx, client, min(maxHold, remaining))
		switch {
		case err == nil:
			a = next
		case !isTransient(err):
			return env.Fail(err)
		default:
			env.Notef("%s: %v", w.Subject, err)
		}
		if !a.Final() && env.Clock.Since(polledAt) < pollInterval && !sleep(ctx, env, pollInterval) {
			return command.Unknown
		}
	}
	Show(env, w.Subject, a, w.MaxResults)
	if w.Cancel {
		return cancelExitCode(a)
	}
	return exitCode(a)
}

// isTransient reports whether a later call may succeed after err.
func isTransient(err error) bool {
	var callErr *entry.Error
	if errors.As(err, &callErr) {
		return true
	}
	var refusal *api.Refusal
	if !errors.As(err, &refusal) {
		return false
	}
	switch refusal.Reason {
	case api.ReasonStore, api.ReasonStopping, api.ReasonOwner, api.ReasonFull:
		return true
	default:
		return false
	}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, env *command.Env, d time.Duration) bool {
	select {
	case <-env.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// exitCode returns the exit code for an answer.
func exitCode(a api.Answer) command.ExitCode {
	switch {
	case a.State == api.StateComplete:
		return command.Complete
	case a.State == api.StateFailed && a.Ran == api.RanNot:
		return command.Refused
	case a.State == api.StateFailed && a.Ran == api.RanUnknown:
		return command.Unknown
	case a.State == api.StateFailed:
		return command.Failed
	}
	return command.Unknown
}

// cancelExitCode returns the exit code for the answer to a cancellation:
// Complete if the work was cancelled or its answer is not final yet, and Failed
// if it ended before.
func cancelExitCode(a api.Answer) command.ExitCode {
	if !a.Final() || a.Reason == api.ReasonCancelled {
		return command.Complete
	}
	return command.Failed
}
