package setting

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"gypsumward/core/check"
	"gypsumward/core/settings"
	"gypsumward/gypsumctl/command"
)

// timeLayout is the layout in which times are printed.
const timeLayout = "2006-01-02 15:04:05 MST"

// get declares the flags of the subcommand get and returns its run function.
func get(flags *flag.FlagSet) command.RunFunc {
	all := flags.Bool("all", false, "show every key with its value, defaults included")
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		team, code := teamArg(env, args)
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
		sub, ok := findSubtree(s, team)
		if env.JSON {
			env.WriteJSON(sub)
			return foundExitCode(ok)
		}
		switch {
		case !ok:
			env.Notef("team %s has no settings of its own", team)
		case sub.Fault != "":
			env.Notef("a newer version is not in force: %s", sub.Fault)
		default:
			env.Notef("version %d by %s at %s", sub.Version, sub.Author, sub.WrittenAt.Format(timeLayout))
		}
		if !*all {
			env.Printf("%s", sub.Text)
			return foundExitCode(ok)
		}
		values, _ := settings.Parse(settings.TeamRowKey(team), sub.Text)
		for _, key := range settings.Keys() {
			env.Printf("%s = %s\n", key.Name, key.FormatValue(values))
		}
		return foundExitCode(ok)
	}
}

// foundExitCode returns the exit code for a team that has settings (ok) or has
// none.
func foundExitCode(ok bool) command.ExitCode {
	if ok {
		return command.Complete
	}
	return command.Refused
}

// teamArg returns the team that the only argument names. The exit code is Usage
// if there is not exactly one argument or it is not a valid team name.
func teamArg(env *command.Env, args []string) (string, command.ExitCode) {
	if len(args) != 1 {
		return "", env.Usagef("name one team")
	}
	if r := check.ID("team", args[0]); r != nil {
		return "", env.Usagef("%s", r.Detail)
	}
	return args[0], command.Complete
}

// history returns the run function of the subcommand history, which has no flags
// of its own.
func history(*flag.FlagSet) command.RunFunc {
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		team, code := teamArg(env, args)
		if code != command.Complete {
			return code
		}
		client, err := env.Client(ctx)
		if err != nil {
			return env.Usagef("%v", err)
		}
		list, err := loadHistory(ctx, client, team)
		if err != nil {
			return env.Fail(err)
		}
		if env.JSON {
			env.WriteJSON(list)
			return foundExitCode(len(list) > 0)
		}
		rows := [][]string{{"VERSION", "AT", "BY", "CHANGE", "NOTE"}}
		for i, sub := range list {
			before := settings.Subtree{}
			if i+1 < len(list) {
				before = list[i+1]
			}
			rows = append(rows, []string{
				fmt.Sprint(sub.Version), sub.WrittenAt.Format(timeLayout), sub.Author, strings.Join(describeChanges(before, sub), ", "), sub.Note,
			})
		}
		env.WriteTable(rows)
		return foundExitCode(len(list) > 0)
	}
}

// describeChanges lists the keys whose values differ between two subtrees, each
// in the form "NAME OLD -> NEW". If after is removed or cannot be parsed, or no
// value differs, the list has one element that says so.
func describeChanges(before, after settings.Subtree) []string {
	if after.Removed {
		return []string{"removed"}
	}
	oldValues, _ := settings.Parse("", before.Text)
	newValues, faults := settings.Parse("", after.Text)
	if faults != nil {
		return []string{"not readable by this release"}
	}
	var list []string
	for _, key := range settings.Keys() {
		if a, b := key.FormatValue(oldValues), key.FormatValue(newValues); a != b {
			list = append(list, fmt.Sprintf("%s %s -> %s", key.Name, a, b))
		}
	}
	if len(list) == 0 {
		list = append(list, "no value")
	}
	return list
}
