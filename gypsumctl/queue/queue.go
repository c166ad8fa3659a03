package queue

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"os"
	"strings"

	"gypsumward/core/api"
	"gypsumward/gypsumctl/command"
)

// Command returns the group of subcommands for queues.
func Command() *command.Command {
	return &command.Command{
		Name:  "queue",
		About: "jobs of queues on the users' platform",
		Sub: []*command.Command{
			{
				Name:    "submit",
				About:   "submit a job from a JSON file as clients send it; the same id is the same job",
				Args:    "ID FILE (- for standard input)",
				Example: "gypsumctl queue submit -entry 10.1.0.13:8161 -host nony24.example -path /lohu930/ 5c0e7a21d94b36f8 job.json",
				Set:     subcommand(2, submit),
			},
			{
				Name:    "state",
				About:   "show the state of a job; exit code 1 if it failed, 3 if there is none, 4 while it is open",
				Args:    "ID",
				Example: "gypsumctl queue state -entry 10.1.0.13:8161 -host nony24.example -path /lohu930/ 5c0e7a21d94b36f8",
				Set:     subcommand(1, state),
			},
			{
				Name:    "cancel",
				About:   "cancel a job",
				Args:    "ID",
				Example: "gypsumctl queue cancel -entry 10.1.0.13:8161 -host nony24.example -path /lohu930/ 5c0e7a21d94b36f8",
				Set:     subcommand(1, cancel),
			},
			{
				Name:    "pending",
				About:   "show how many jobs of a queue have not begun",
				Example: "gypsumctl queue pending -entry 10.1.0.13:8161 -host nony24.example -path /lohu930/",
				Set:     subcommand(0, pending),
			},
		},
	}
}

// target is the queue that the flags name.
type target struct {
	host string
	path string
}

// act does the work of a subcommand.
type act func(ctx context.Context, env *command.Env, c *client, args []string) command.Code

// subcommand declares the flags of a subcommand that takes count arguments.
func subcommand(count int, do act) func(flags *flag.FlagSet) command.Run {
	return func(flags *flag.FlagSet) command.Run {
		var to target
		flags.StringVar(&to.host, "host", "", "`HOST` of the queue")
		flags.StringVar(&to.path, "path", "/", "`PATH` that jobs of the queue begin with")
		return func(ctx context.Context, env *command.Env, args []string) command.Code {
			if len(args) != count {
				return env.Usagef("%d arguments are wanted, not %d", count, len(args))
			}
			if to.host == "" || !strings.HasPrefix(to.path, "/") {
				return env.Usagef("name the queue by -host and a -path that begins with /")
			}
			addrs, err := env.Addrs()
			if err != nil {
				return env.Usagef("%v", err)
			}
			return do(ctx, env, &client{addrs: addrs, to: to}, args)
		}
	}
}

func submit(ctx context.Context, env *command.Env, c *client, args []string) command.Code {
	body, err := read(env, args[1])
	if err != nil {
		return env.Usagef("%v", err)
	}
	if !json.Valid(body) {
		return env.Usagef("%s: no JSON", args[1])
	}
	return show(env, c.call(ctx, http.MethodPost, args[0], body))
}

func state(ctx context.Context, env *command.Env, c *client, args []string) command.Code {
	return show(env, c.call(ctx, http.MethodGet, args[0], nil))
}

func cancel(ctx context.Context, env *command.Env, c *client, args []string) command.Code {
	a := c.call(ctx, http.MethodDelete, args[0], nil)
	if a.status == http.StatusOK {
		env.Notef("cancelled, or over before")
		return command.Complete
	}
	return show(env, a)
}

func pending(ctx context.Context, env *command.Env, c *client, _ []string) command.Code {
	return show(env, c.call(ctx, http.MethodGet, "", nil))
}

// read returns the bytes of the named file.
func read(env *command.Env, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(env.In, api.MaxBody))
	}
	return os.ReadFile(name)
}

// show writes the answer and returns the exit code that tells it.
func show(env *command.Env, a answer) command.Code {
	if len(a.body) > 0 {
		_, _ = env.Out.Write(append(a.body, '\n'))
	}
	switch {
	case a.err != nil:
		env.Notef("%v", a.err)
		if a.sent {
			return command.Unknown
		}
		return command.Unreachable
	case a.status == http.StatusOK:
		return codeOf(a.body)
	case a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout:
		env.Notef("the outcome is not known; ask for the state, or submit the same id again")
		return command.Unknown
	case a.after != "":
		env.Notef("refused (%d); come back after %s s", a.status, a.after)
	default:
		env.Notef("refused (%d)", a.status)
	}
	return command.Refused
}

// codeOf returns the exit code for the state in an answer. One without a state is
// complete.
func codeOf(body []byte) command.Code {
	var told struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &told)
	switch told.State {
	case "failed", "cancelled":
		return command.Failed
	case "queued", "running":
		return command.Unknown
	}
	return command.Complete
}
