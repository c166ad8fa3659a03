package setting

import (
	"context"
	"flag"

	"gypsumward/core/settings"
	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/entry"
	"gypsumward/gypsumctl/tree"
)

// apply declares the flags of the subcommand apply and returns its run function.
func apply(flags *flag.FlagSet) command.RunFunc {
	var a author
	a.declareFlags(flags)
	dryRun := flags.Bool("dry", false, "only show what would change")
	prune := flags.Bool("prune", false, "remove the settings of teams that have no file")
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		client, steps, code := plan(ctx, env, args, a, *prune)
		if code != command.Complete {
			return code
		}
		if *dryRun {
			writeReport(env, preview(steps))
			return command.Complete
		}
		return writeSteps(ctx, env, client, steps)
	}
}

// diff declares the flags of the subcommand diff and returns its run function.
func diff(flags *flag.FlagSet) command.RunFunc {
	prune := flags.Bool("prune", false, "also show teams that have no file")
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		_, steps, code := plan(ctx, env, args, author{}, *prune)
		if code != command.Complete {
			return code
		}
		writeReport(env, preview(steps))
		for _, s := range steps {
			if s.action() != "same" {
				return command.Failed
			}
		}
		return command.Complete
	}
}

// checkFiles returns the run function of the subcommand check, which has no
// flags of its own.
func checkFiles(*flag.FlagSet) command.RunFunc {
	return func(_ context.Context, env *command.Env, args []string) command.ExitCode {
		if len(args) == 0 {
			return env.Usagef("name a directory or files")
		}
		files, faults := tree.Read(args...)
		if faults != nil {
			return reportFaults(env, faults, command.Failed)
		}
		env.Notef("%d teams, no faults", len(files))
		if env.JSON {
			env.WriteJSON(settings.Faults{})
		}
		return command.Complete
	}
}

// reportFaults writes the faults of settings files and returns code.
func reportFaults(env *command.Env, faults settings.Faults, code command.ExitCode) command.ExitCode {
	env.Notef("%v", faults)
	if env.JSON {
		env.WriteJSON(faults)
	}
	return code
}

// plan checks the files of the directory that args name and compares them with
// the stored settings. It returns a client and the steps that apply the files,
// or an exit code other than Complete. Nothing is written.
func plan(ctx context.Context, env *command.Env, args []string, a author, prune bool) (*entry.Client, []step, command.ExitCode) {
	if len(args) != 1 {
		return nil, nil, env.Usagef("name one directory")
	}
	files, faults := tree.Read(args[0])
	if faults != nil {
		return nil, nil, reportFaults(env, faults, command.Usage)
	}
	client, err := env.Client(ctx)
	if err != nil {
		return nil, nil, env.Usagef("%v", err)
	}
	s, err := loadSnapshot(ctx, client)
	if err != nil {
		return nil, nil, env.Fail(err)
	}
	return client, planSteps(files, s, a, prune), command.Complete
}

// planSteps returns the steps that make the stored settings equal to those of
// files, including steps that change nothing. If prune is true, the settings of
// teams without a file are removed.
func planSteps(files []tree.File, s settings.Snapshot, a author, prune bool) []step {
	var list []step
	hasFile := make(map[string]bool)
	for _, file := range files {
		hasFile[file.Team] = true
		before, _ := findSubtree(s, file.Team)
		list = append(list, step{before: before, change: settings.Change{
			Team: file.Team, Base: before.Version, Text: file.Text, Author: a.by, Note: a.note,
		}})
	}
	for _, before := range s.Teams {
		if prune && !hasFile[before.Team] {
			list = append(list, step{before: before, change: settings.Change{
				Team: before.Team, Base: before.Version, Remove: true, Author: a.by, Note: a.note,
			}})
		}
	}
	return list
}

// preview returns the report of steps that are not executed.
func preview(steps []step) []stepReport {
	list := make([]stepReport, 0, len(steps))
	for _, s := range steps {
		list = append(list, stepReport{Team: s.change.Team, Change: s.action(), Values: s.differences()})
	}
	return list
}
