// Package instances provides the subcommand that shows the status of the entry
// instances.
package instances

import (
	"context"
	"flag"
	"net/http"
	"strconv"
	"sync"

	"gypsumward/core/api"
	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/entry"
)

// Result is the status of the instance at one address, or the error of the call
// that requested it.
type Result struct {
	Addr   string      `json:"addr"`
	Status *api.Status `json:"status,omitempty"`
	Error  string      `json:"error,omitempty"`
}

// Command returns the command instances.
func Command() *command.Command {
	return &command.Command{
		Name:    "instances",
		About:   "show the state of each entry instance named by -entry",
		Example: "gypsumctl instances -entry 127.0.0.1:8000,127.0.0.1:8001",
		Setup:   setup,
	}
}

// setup returns the run function of the command, which has no flags of its own.
func setup(*flag.FlagSet) command.RunFunc {
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		if len(args) > 0 {
			return env.Usagef("there is no argument %q here", args[0])
		}
		results, err := Poll(ctx, env)
		if err != nil {
			return env.Usagef("%v", err)
		}
		writeResults(env, results)
		return exitCode(results)
	}
}

// exitCode returns Complete if all instances replied, Unreachable if none did,
// and Failed otherwise.
func exitCode(results []Result) command.ExitCode {
	unreachable := 0
	for _, r := range results {
		if r.Status == nil {
			unreachable++
		}
	}
	switch unreachable {
	case 0:
		return command.Complete
	case len(results):
		return command.Unreachable
	default:
		return command.Failed
	}
}

// Poll requests the status of all instances named by -entry concurrently. The
// results are in the order of the flag. The error reports wrong flags only;
// failed calls are reported in the results.
func Poll(ctx context.Context, env *command.Env) ([]Result, error) {
	addrs, err := env.EntryAddrs()
	if err != nil {
		return nil, err
	}
	results := make([]Result, len(addrs))
	var group sync.WaitGroup
	for i, addr := range addrs {
		instanceEnv := *env
		instanceEnv.Entry = addr
		client, err := instanceEnv.Client(ctx)
		if err != nil {
			return nil, err
		}
		group.Go(func() { results[i] = pollInstance(ctx, addr, client) })
	}
	group.Wait()
	return results, nil
}

// pollInstance requests the status of one instance.
func pollInstance(ctx context.Context, addr string, client *entry.Client) Result {
	var s api.Status
	if err := client.Do(ctx, entry.Call{Method: http.MethodGet, Path: "/v1/status"}, &s); err != nil {
		return Result{Addr: addr, Error: err.Error()}
	}
	return Result{Addr: addr, Status: &s}
}

// writeResults writes one table row for each instance, or all results as JSON.
func writeResults(env *command.Env, results []Result) {
	if env.JSON {
		env.WriteJSON(results)
		return
	}
	rows := [][]string{{"ADDRESS", "INSTANCE", "CENTRE", "REVISION", "MEMBERS", "QUEUED", "STATE"}}
	for _, r := range results {
		if r.Status == nil {
			rows = append(rows, []string{r.Addr, "-", "-", "-", "-", "-", "could not be reached"})
			env.Notef("%s: %s", r.Addr, r.Error)
			continue
		}
		rows = append(rows, tableRow(r.Addr, r.Status))
	}
	env.WriteTable(rows)
}

// tableRow returns the table row of an instance that replied.
func tableRow(addr string, s *api.Status) []string {
	queued := 0
	for _, n := range s.Queues {
		queued += n
	}
	state := "serving"
	if s.Store.Down {
		state = "serving, store down"
	}
	if s.Stopping {
		state = "stopping"
	}
	return []string{
		addr, s.Instance, s.Centre, strconv.FormatInt(s.SettingsRevision, 10),
		strconv.Itoa(len(s.Members)), strconv.Itoa(queued), state,
	}
}
