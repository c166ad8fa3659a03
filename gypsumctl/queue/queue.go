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

// Command returns the command group for queues.
func Command() *command.Command {
	return &command.Command{
		Name:  "queue",
		About: "jobs of queues on the users' platform",
		Subcommands: []*command.Command{
			{
				Name:    "submit",
				About:   "submit a job from a JSON file as clients send it; the same id is the same job",
				Args:    "ID FILE (- for standard input)",
				Example: "gypsumctl queue submit -entry 10.1.0.13:8161 -host nony24.example -path /lohu930/ 5c0e7a21d94b36f8 job.json",
				Setup:   subcommand(2, submit),
			},
			{
				Name:    "state",
				About:   "show the state of a job; exit code 1 if it failed, 3 if there is none, 4 while it is open",
				Args:    "ID",
				Example: "gypsumctl queue state -entry 10.1.0.13:8161 -host nony24.example -path /lohu930/ 5c0e7a21d94b36f8",
				Setup:   subcommand(1, state),
			},
			{
				Name:    "cancel",
				About:   "cancel a job",
				Args:    "ID",
				Example: "gypsumctl queue cancel -entry 10.1.0.13:8161 -host nony24.example -path /lohu930/ 5c0e7a21d94b36f8",
				Setup:   subcommand(1, cancel),
			},
			{
				Name:    "pending",
				About:   "show how many jobs of a queue have not begun",
				Example: "gypsumctl queue pending -entry 10.1.0.13:8161 -host nony24.example -path /lohu930/",
				Setup:   subcommand(0, pending),
			},
		},
	}
}

// queueAddr identifies a queue.
type queueAddr struct {
	host string // host of the queue, sent as the Host header
	path string // path prefix of the queue's jobs; begins with a slash
}

// action executes a subcommand with a client for the queue that the flags name.
type action func(ctx context.Context, env *command.Env, c *client, args []string) command.ExitCode

// subcommand returns the setup function of a subcommand that takes count
// arguments and is executed by run.
func subcommand(count int, run action) func(flags *flag.FlagSet) command.RunFunc {
	return func(flags *flag.FlagSet) command.RunFunc {
		var queue queueAddr
		flags.StringVar(&queue.host, "host", "", "`HOST` of the queue")
		flags.StringVar(&queue.path, "path", "/", "`PATH` that jobs of the queue begin with")
		return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
			if len(args) != count {
				return env.Usagef("%d arguments are wanted, not %d", count, len(args))
			}
			if queue.host == "" || !strings.HasPrefix(queue.path, "/") {
				return env.Usagef("name the queue by -host and a -path that begins with /")
			}
			addrs, err := env.EntryAddrs()
			if err != nil {
				return env.Usagef("%v", err)
			}
			return run(ctx, env, &client{addrs: addrs, queue: queue}, args)
		}
	}
}

// submit submits the job in the file args[1] under the id args[0].
func submit(ctx context.Context, env *command.Env, c *client, args []string) command.ExitCode {
	body, err := readFile(env, args[1])
	if err != nil {
		return env.Usagef("%v", err)
	}
	if !json.Valid(body) {
		return env.Usagef("%s: no JSON", args[1])
	}
	return writeResponse(env, c.call(ctx, http.MethodPost, args[0], body))
}

// state writes the state of the job args[0].
func state(ctx context.Context, env *command.Env, c *client, args []string) command.ExitCode {
	return writeResponse(env, c.call(ctx, http.MethodGet, args[0], nil))
}

// cancel cancels the job args[0].
func cancel(ctx context.Context, env *command.Env, c *client, args []string) command.ExitCode {
	resp := c.call(ctx, http.MethodDelete, args[0], nil)
	if resp.status == http.StatusOK {
		env.Notef("cancelled, or over before")
		return command.Complete
	}
	return writeResponse(env, resp)
}

// pending writes the number of jobs of the queue that have not begun.
func pending(ctx context.Context, env *command.Env, c *client, _ []string) command.ExitCode {
	return writeResponse(env, c.call(ctx, http.MethodGet, "", nil))
}

// readFile returns the content of the named file. The name "-" means standard
// input, of which at most api.MaxBodyBytes bytes are read.
func readFile(env *command.Env, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(env.In, api.MaxBodyBytes))
	}
	return os.ReadFile(name)
}

// writeResponse writes a response and returns its exit code.
func writeResponse(env *command.Env, resp response) command.ExitCode {
	if len(resp.body) > 0 {
		_, _ = env.Out.Write(append(resp.body, '\n'))
	}
	switch {
	case resp.err != nil:
		env.Notef("%v", resp.err)
		if resp.maybeSent {
			return command.Unknown
		}
		return command.Unreachable
	case resp.status == http.StatusOK:
		return exitCodeForState(resp.body)
	case resp.status == http.StatusBadGateway || resp.status == http.StatusGatewayTimeout:
		env.Notef("the outcome is not known; ask for the state, or submit the same id again")
		return command.Unknown
	case resp.retryAfter != "":
		env.Notef("refused (%d); come back after %s s", resp.status, resp.retryAfter)
	default:
		env.Notef("refused (%d)", resp.status)
	}
	return command.Refused
}

// exitCodeForState returns the exit code for the job state in the body of a
// response. It is Complete if the body has no state.
func exitCodeForState(body []byte) command.ExitCode {
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(body, &reply)
	switch reply.State {
	case "failed", "cancelled":
		return command.Failed
	case "queued", "running":
		return command.Unknown
	}
	return command.Complete
}
