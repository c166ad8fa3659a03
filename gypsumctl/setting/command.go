package setting

import (
	"flag"
	"os"

	"gypsumward/gypsumctl/command"
)

// Command returns the command group for settings.
func Command() *command.Command {
	return &command.Command{
		Name:  "settings",
		About: "read and change the settings of teams",
		Subcommands: []*command.Command{
			{Name: "get", About: "show the settings of a team as stored", Args: "TEAM", Example: "gypsumctl settings get -all crew", Setup: get},
			{Name: "set", About: "change keys of a team; KEY= takes a key out", Args: "TEAM KEY=VALUE...", Example: "gypsumctl settings set -note 'gala week' crew weight=2 deadline=5s", Setup: set},
			{Name: "apply", About: "write a directory of files TEAM.toml", Args: "DIR", Example: "gypsumctl settings apply -dry teams", Setup: apply},
			{Name: "diff", About: "show what apply would change; exit code 1 if anything", Args: "DIR", Example: "gypsumctl settings diff teams", Setup: diff},
			{Name: "check", About: "check files without calling anything", Args: "DIR or FILE...", Example: "gypsumctl settings check teams", Setup: checkFiles},
			{Name: "history", About: "show the latest changes of a team", Args: "TEAM", Example: "gypsumctl settings history crew", Setup: history},
			{Name: "status", About: "show the revision in force at each instance; exit code 1 if not all have the stored one", Example: "gypsumctl settings status -entry 127.0.0.1:8000,127.0.0.1:8001", Setup: status},
			{Name: "keys", About: "show all keys with type, unit, default and range", Example: "gypsumctl settings keys", Setup: keys},
		},
	}
}

// author identifies who makes a change and why, for the history.
type author struct {
	by, note string
}

// declareFlags adds the flags -by and -note to flags.
func (a *author) declareFlags(flags *flag.FlagSet) {
	flags.StringVar(&a.by, "by", os.Getenv("USER"), "`NAME` of the operator, for the history")
	flags.StringVar(&a.note, "note", "", "why, for the history")
}
