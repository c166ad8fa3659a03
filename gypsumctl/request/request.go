// Package request provides the subcommands for requests: send, show and cancel.
package request

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"time"

	"gypsumward/core/api"
	"gypsumward/gypsumctl/answer"
	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/entry"
	"gypsumward/gypsumctl/input"
)

// path is the URL path of the request resource.
const path = "/v1/request"

// Command returns the command group for requests.
func Command() *command.Command {
	return &command.Command{
		Name:  "request",
		About: "send a request, show its answer or cancel it",
		Subcommands: []*command.Command{
			{
				Name:    "send",
				About:   "send a request from a JSON file and wait for its answer",
				Args:    "FILE (- for standard input)",
				Example: `echo '{"team":"crew","id":"slot-7","kind":"slot","input":{"villa":3}}' | gypsumctl request send -`,
				Setup:   send,
			},
			{
				Name:    "show",
				About:   "show the answer of a request that has an id",
				Args:    "TEAM/ID",
				Example: "gypsumctl request show crew/slot-7",
				Setup:   show,
			},
			{
				Name:    "cancel",
				About:   "cancel a request that has an id; exit code 1 if it was over already",
				Args:    "TEAM/ID",
				Example: "gypsumctl request cancel crew/slot-7",
				Setup:   cancel,
			},
		},
	}
}

// send returns the run function of the subcommand send, which has no flags of
// its own.
func send(*flag.FlagSet) command.RunFunc {
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		var req api.Request
		if code := input.Read(env, args, &req); code != command.Complete {
			return code
		}
		w := newWaiter(api.Key{Team: req.Team, ID: req.ID}, answer.WaitTime(0, req.Deadline))
		return w.Send(ctx, env, entry.Call{
			Method:     http.MethodPost,
			Path:       path,
			Body:       &req,
			Idempotent: req.ID != "" || req.Repeatable,
		})
	}
}

// show declares the flags of the subcommand show and returns its run function.
func show(flags *flag.FlagSet) command.RunFunc {
	wait := flags.Duration("wait", -time.Second, "longest `TIME` to wait for the answer; -1s not to wait")
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		key, code := input.Key(env, args)
		if code != command.Complete {
			return code
		}
		return newWaiter(key, *wait).Fetch(ctx, env)
	}
}

// cancel returns the run function of the subcommand cancel, which has no flags
// of its own.
func cancel(*flag.FlagSet) command.RunFunc {
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		key, code := input.Key(env, args)
		if code != command.Complete {
			return code
		}
		w := newWaiter(key, -time.Second)
		w.Cancel = true
		return w.Send(ctx, env, entry.Call{
			Method:     http.MethodPost,
			Path:       path + "/cancel",
			Query:      url.Values{"team": {key.Team}, "id": {key.ID}},
			Idempotent: true,
		})
	}
}

// newWaiter returns a waiter for the answer of the request identified by key. An
// empty key.ID means that the request has no id.
func newWaiter(key api.Key, wait time.Duration) answer.Waiter {
	subject := "request of " + key.Team
	if key.ID != "" {
		subject = "request " + key.Team + "/" + key.ID
	}
	return answer.Waiter{Subject: subject, Path: path, Key: key, MaxWait: wait}
}
