package job

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"time"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/gypsumctl/answer"
	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/entry"
	"gypsumward/gypsumctl/input"
)

// path is the URL path of the job resource.
const path = "/v1/job"

// Command returns the command group for jobs.
func Command() *command.Command {
	return &command.Command{
		Name:  "job",
		About: "submit a job, show its answer or cancel it",
		Subcommands: []*command.Command{
			{
				Name:    "submit",
				About:   "submit a job from a JSON file and wait for its answer",
				Args:    "FILE (- for standard input)",
				Example: "gypsumctl -entry 127.0.0.1:8000 job submit -wait 30s job.json",
				Setup:   submit,
			},
			{
				Name:    "show",
				About:   "show the answer of a job, waiting for it if asked",
				Args:    "TEAM/ID",
				Example: "gypsumctl job show -wait 5s crew/gala-1",
				Setup:   show,
			},
			{
				Name:    "cancel",
				About:   "cancel a job, or one task of it; exit code 1 if it was over already",
				Args:    "TEAM/ID",
				Example: "gypsumctl job cancel crew/gala-1",
				Setup:   cancel,
			},
		},
	}
}

// submit declares the flags of the subcommand submit and returns its run
// function.
func submit(flags *flag.FlagSet) command.RunFunc {
	wait := flags.Duration("wait", 0, "longest `TIME` to wait for the answer; 0s means the job's deadline and 10s more; -1s not to wait")
	team := flags.String("team", "", "`TEAM` to use in place of the one in the file")
	id := flags.String("id", "", "`ID` to use in place of the one in the file")
	maxResults := flags.Int("results", answer.DefaultResults, "`NUMBER` of results to show; -1 means all")
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		var job api.Job
		if code := input.Read(env, args, &job); code != command.Complete {
			return code
		}
		overrideIfSet(&job.Team, *team)
		overrideIfSet(&job.ID, *id)
		w := answer.Waiter{
			Subject:    "job " + job.Team + "/" + job.ID,
			Path:       path,
			Key:        api.Key{Team: job.Team, ID: job.ID},
			MaxWait:    answer.WaitTime(*wait, job.Deadline),
			MaxResults: *maxResults,
		}
		return w.Send(ctx, env, entry.Call{Method: http.MethodPost, Path: path, Body: &job, Idempotent: true})
	}
}

// show declares the flags of the subcommand show and returns its run function.
func show(flags *flag.FlagSet) command.RunFunc {
	wait := flags.Duration("wait", -time.Second, "longest `TIME` to wait for the answer; -1s not to wait")
	maxResults := flags.Int("results", answer.DefaultResults, "`NUMBER` of results to show; -1 means all")
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		key, code := input.Key(env, args)
		if code != command.Complete {
			return code
		}
		w := answer.Waiter{Subject: "job " + key.Team + "/" + key.ID, Path: path, Key: key, MaxWait: *wait, MaxResults: *maxResults}
		return w.Fetch(ctx, env)
	}
}

// cancel declares the flags of the subcommand cancel and returns its run
// function.
func cancel(flags *flag.FlagSet) command.RunFunc {
	task := flags.String("task", "", "cancel only the task of this `NAME`")
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		key, code := input.Key(env, args)
		if code != command.Complete {
			return code
		}
		query := url.Values{"team": {key.Team}, "id": {key.ID}}
		if *task != "" {
			if r := check.ID("-task", *task); r != nil {
				return env.Usagef("%s", r.Detail)
			}
			query.Set("task", *task)
		}
		w := answer.Waiter{Subject: "job " + key.Team + "/" + key.ID, Path: path, Key: key, MaxWait: -time.Second, MaxResults: answer.DefaultResults, Cancel: true}
		return w.Send(ctx, env, entry.Call{Method: http.MethodPost, Path: path + "/cancel", Query: query, Idempotent: true})
	}
}

// overrideIfSet sets *field to value unless value is empty.
func overrideIfSet(field *string, value string) {
	if value != "" {
		*field = value
	}
}
