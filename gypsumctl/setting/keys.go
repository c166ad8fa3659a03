package setting

import (
	"context"
	"flag"
	"strings"

	"gypsumward/core/settings"
	"gypsumward/gypsumctl/command"
)

// keyRow describes one settings key in the JSON output.
type keyRow struct {
	Name    string `json:"name"`
	Type    string `json:"type"`
	Unit    string `json:"unit"`
	Default string `json:"default"`
	Range   string `json:"range"`
	About   string `json:"about"`
}

// keys declares the flags of the subcommand keys and returns its run function.
func keys(flags *flag.FlagSet) command.RunFunc {
	markdown := flags.Bool("markdown", false, "write the table of docs/SETTINGS.md")
	return func(_ context.Context, env *command.Env, _ []string) command.ExitCode {
		var list []keyRow
		rows := [][]string{{"KEY", "TYPE", "UNIT", "DEFAULT", "RANGE", "MEANING"}}
		for _, k := range settings.Keys() {
			list = append(list, keyRow{Name: k.Name, Type: k.Type, Unit: k.Unit, Default: k.FormatDefault(), Range: k.Range, About: k.Description})
			rows = append(rows, []string{k.Name, k.Type, k.Unit, k.FormatDefault(), k.Range, k.Description})
		}
		switch {
		case env.JSON:
			env.WriteJSON(list)
		case *markdown:
			env.Printf("%s", Markdown())
		default:
			env.WriteTable(rows)
		}
		return command.Complete
	}
}

// Markdown returns the table of all settings keys in Markdown, as included in
// docs/SETTINGS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("| Key | Type | Unit | Default | Range | Meaning |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, k := range settings.Keys() {
		b.WriteString("| `" + strings.Join([]string{k.Name + "`", k.Type, k.Unit, "`" + k.FormatDefault() + "`", k.Range, k.Description}, " | ") + " |\n")
	}
	return b.String()
}
