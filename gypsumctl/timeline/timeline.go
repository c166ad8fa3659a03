// Package timeline provides the subcommand that shows the time line: the events
// of all entry instances in one list.
package timeline

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"sync"
	"time"

	"gypsumward/core/event"
	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/entry"
	"gypsumward/gypsumctl/input"
)

// path is the URL path of the event resource.
const path = "/v1/events"

// eventList is the reply of one instance.
type eventList struct {
	Events []event.Event `json:"events"`
}

// mergedEvents is the time line, in the form of the JSON output.
type mergedEvents struct {
	Events  []event.Event     `json:"events"`
	Missing map[string]string `json:"missing,omitempty"` // error by address of the instances that did not reply
}

// Command returns the command timeline.
func Command() *command.Command {
	return &command.Command{
		Name:    "timeline",
		About:   "show the events of a job, request, runner, worker or team, merged over the instances named by -entry",
		Example: "gypsumctl timeline -entry 127.0.0.1:8000,127.0.0.1:8001 -job crew/gala-1",
		Setup:   setup,
	}
}

// setup declares the flags of the command and returns its run function.
func setup(flags *flag.FlagSet) command.RunFunc {
	filters := map[string]*string{
		"job":     flags.String("job", "", "events of the job `TEAM/ID`"),
		"request": flags.String("request", "", "events of the request `TEAM/ID`"),
		"runner":  flags.String("runner", "", "events of the runner `ID`"),
		"worker":  flags.String("worker", "", "events of the worker `ID`"),
		"team":    flags.String("team", "", "events of the team `NAME`"),
	}
	last := flags.Duration("last", 0, "only events of the last `TIME`, such as 30s")
	tasks := flags.Int("tasks", event.DefaultMaxTasks, "`NUMBER` of slowest tasks to list")
	lines := flags.Int("lines", event.DefaultMaxLines, "`NUMBER` of events up to which each is listed")
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		query, code := buildQuery(env, args, filters, *last)
		if code != command.Complete {
			return code
		}
		m, code := collect(ctx, env, query)
		if code != command.Complete {
			return code
		}
		if env.JSON {
			env.WriteJSON(m)
		} else {
			env.Printf("%s", event.Timeline{Events: m.Events, MaxTasks: *tasks, MaxLines: *lines})
		}
		if len(m.Missing) > 0 {
			return command.Failed
		}
		return command.Complete
	}
}

// buildQuery returns the query for the given values of flags. The exit code is
// Usage if there are arguments, a value is invalid or no filter is set.
func buildQuery(env *command.Env, args []string, filters map[string]*string, last time.Duration) (url.Values, command.ExitCode) {
	if len(args) > 0 {
		return nil, env.Usagef("there is no argument %q here", args[0])
	}
	query := url.Values{}
	for name, value := range filters {
		if *value == "" {
			continue
		}
		if name == "job" || name == "request" {
			if _, err := input.ParseKey(*value); err != nil {
				return nil, env.Usagef("-%s: %v", name, err)
			}
		}
		query.Set(name, *value)
	}
	if last < 0 {
		return nil, env.Usagef("-last: %v is negative", last)
	}
	if last > 0 {
		query.Set("last", last.String())
	}
	if len(query) == 0 {
		return nil, env.Usagef("give -job, -request, -runner, -worker, -team or -last")
	}
	return query, command.Complete
}

// collect queries all instances concurrently and merges their events. Instances
// that do not reply are listed in Missing; collect fails only if none replies.
func collect(ctx context.Context, env *command.Env, query url.Values) (mergedEvents, command.ExitCode) {
	addrs, err := env.EntryAddrs()
	if err != nil {
		return mergedEvents{}, env.Usagef("%v", err)
	}
	lists := make([]eventList, len(addrs))
	errs := make([]error, len(addrs))
	var group sync.WaitGroup
	for i, addr := range addrs {
		instanceEnv := *env
		instanceEnv.Entry = addr
		client, err := instanceEnv.Client(ctx)
		if err != nil {
			return mergedEvents{}, env.Usagef("%v", err)
		}
		group.Go(func() {
			errs[i] = client.Do(ctx, entry.Call{Method: http.MethodGet, Path: path, Query: query}, &lists[i])
		})
	}
	group.Wait()
	m := mergedEvents{Missing: make(map[string]string)}
	var events [][]event.Event
	for i, err := range errs {
		if err != nil {
			m.Missing[addrs[i]] = err.Error()
			env.Notef("without the events of %s: %v", addrs[i], err)
			continue
		}
		events = append(events, lists[i].Events)
	}
	if len(events) == 0 {
		return mergedEvents{}, env.Fail(errs[0])
	}
	m.Events = event.Merge(events)
	return m, command.Complete
}
