package setting

import (
	"context"
	"flag"
	"strconv"
	"strings"

	"gypsumward/core/settings"
	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/edit"
	"gypsumward/gypsumctl/entry"
)

// set declares the flags of the subcommand set and returns its run function.
func set(flags *flag.FlagSet) command.RunFunc {
	var a author
	a.declareFlags(flags)
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		if len(args) < 2 {
			return env.Usagef("name a team and KEY=VALUE")
		}
		team, code := teamArg(env, args[:1])
		if code != command.Complete {
			return code
		}
		client, err := env.Client(ctx)
		if err != nil {
			return env.Usagef("%v", err)
		}
		s, err := loadSnapshot(ctx, client)
		if err != nil {
			return env.Fail(err)
		}
		sub, _ := findSubtree(s, team)
		text := sub.Text
		for _, arg := range args[1:] {
			key, value, ok := strings.Cut(arg, "=")
			if !ok {
				return env.Usagef("%q is not of the form KEY=VALUE", arg)
			}
			if text, _, err = edit.Set(text, key, tomlLiteral(key, value)); err != nil {
				return env.Usagef("%v", err)
			}
		}
		return writeSteps(ctx, env, client, []step{{
			change: settings.Change{Team: team, Base: sub.Version, Text: text, Author: a.by, Note: a.note},
			before: sub,
		}})
	}
}

// tomlLiteral returns value as a TOML literal for the key. It adds quotes to a
// string value that has none; an empty value stays empty.
func tomlLiteral(key, value string) string {
	for _, k := range settings.Keys() {
		if k.Name == key && k.IsQuoted() && value != "" && !strings.HasPrefix(value, `"`) {
			return strconv.Quote(value)
		}
	}
	return value
}

// step is one change of a plan, with the subtree that it replaces.
type step struct {
	change settings.Change
	before settings.Subtree
}

// action returns what the step does: add, change, remove or same.
func (s step) action() string {
	switch {
	case s.change.Remove:
		return "remove"
	case s.before.Version == 0:
		return "add"
	case s.before.Text == s.change.Text && s.before.Fault == "":
		return "same"
	}
	return "change"
}

// differences lists the values that the step changes, separated by commas. It
// is empty if the step changes nothing.
func (s step) differences() string {
	if s.action() == "same" {
		return ""
	}
	return strings.Join(describeChanges(s.before, settings.Subtree{Text: s.change.Text, Removed: s.change.Remove}), ", ")
}

// stepReport describes one step and its outcome, in the JSON output.
type stepReport struct {
	Team     string           `json:"team"`
	Change   string           `json:"change"` // add, change, remove or same
	Values   string           `json:"values,omitempty"`
	Outcome  settings.Outcome `json:"outcome,omitempty"` // empty in a preview
	Revision int64            `json:"revision,omitempty"`
	Winner   string           `json:"winner,omitempty"` // author of the stored version, on conflict
	Detail   string           `json:"detail,omitempty"`
}

// writeSteps submits the changes of steps in order, reports them and returns the
// overall exit code. A step that fails or conflicts does not prevent the
// following ones.
func writeSteps(ctx context.Context, env *command.Env, client *entry.Client, steps []step) command.ExitCode {
	list := make([]stepReport, 0, len(steps))
	counts := make(map[command.ExitCode]int)
	for _, s := range steps {
		d := stepReport{Team: s.change.Team, Change: s.action(), Values: s.differences(), Outcome: settings.OutcomeUnchanged}
		code := command.Complete
		if s.action() != "same" {
			var r settings.Result
			var err error
			r, err = submitChange(ctx, client, s.change)
			d.Outcome, d.Revision, d.Detail = r.Outcome, r.Revision, r.Detail
			code = changeExitCode(&d, r, err)
			if d.Outcome == settings.OutcomeWritten {
				env.Notef("%s: written as revision %d", d.Team, d.Revision)
			}
		}
		counts[code]++
		list = append(list, d)
	}
	writeReport(env, list)
	return overallExitCode(counts, list)
}

// changeExitCode returns the exit code of one change and completes its report.
func changeExitCode(d *stepReport, r settings.Result, err error) command.ExitCode {
	if err != nil {
		d.Detail = err.Error()
		code := command.ExitCodeFor(err)
		d.Outcome = settings.OutcomeFailed
		if code == command.Unknown {
			d.Outcome = settings.OutcomeUnknown
		}
		return code
	}
	if r.Outcome == settings.OutcomeConflict {
		d.Winner = r.Winner.Author
		return command.Refused
	}
	return command.Complete
}

// overallExitCode returns the exit code of several changes, given the number of
// changes by exit code: Unknown if any outcome is not known, Complete if all
// succeeded, and Failed if only some were written. If none was written it is
// Refused if any change was refused, else Unreachable if any was not sent, else
// Failed.
func overallExitCode(counts map[command.ExitCode]int, list []stepReport) command.ExitCode {
	if counts[command.Unknown] > 0 {
		return command.Unknown
	}
	if counts[command.Complete] == len(list) {
		return command.Complete
	}
	for _, d := range list {
		if d.Outcome == settings.OutcomeWritten {
			return command.Failed
		}
	}
	for _, code := range []command.ExitCode{command.Refused, command.Unreachable} {
		if counts[code] > 0 {
			return code
		}
	}
	return command.Failed
}

// writeReport writes the reports of a plan or of its execution.
func writeReport(env *command.Env, list []stepReport) {
	if env.JSON {
		env.WriteJSON(list)
		return
	}
	rows := [][]string{{"TEAM", "CHANGE", "VALUES", "OUTCOME"}}
	for _, d := range list {
		rows = append(rows, []string{d.Team, d.Change, d.Values, string(d.Outcome)})
	}
	env.WriteTable(rows)
	for _, d := range list {
		if d.Detail != "" {
			env.Notef("%s: %s: %s", d.Team, d.Outcome, d.Detail)
		}
	}
}
