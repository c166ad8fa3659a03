package answer

import (
	"fmt"
	"time"

	"gypsumward/core/api"
	"gypsumward/gypsumctl/command"
)

// DefaultResults is the default number of task results shown in tables.
const DefaultResults = 10

// maxOutputBytes is the number of bytes shown of the output of a task.
const maxOutputBytes = 100

// Show writes the answer of the job or request described by subject, with at
// most maxResults task results, or all if maxResults is negative. With -json it
// writes the whole answer.
func Show(env *command.Env, subject string, a api.Answer, maxResults int) {
	if env.JSON {
		env.WriteJSON(a)
		return
	}
	line := fmt.Sprintf("%s: %s", subject, a.State)
	if a.Elapsed > 0 {
		line += fmt.Sprintf(" in %v", a.Elapsed.Duration().Round(time.Millisecond))
	}
	if a.State == api.StateFailed {
		line += fmt.Sprintf(", reason %s, %s", a.Reason, describeRan(a.Ran))
	}
	env.Printf("%s\n", line)
	if a.Detail != "" {
		env.Printf("%s\n", a.Detail)
	}
	if len(a.Output) > 0 {
		env.Printf("%s\n", a.Output)
	}
	writeResults(env, a.Results, maxResults)
}

// writeResults writes the first maxResults results of a job as a table.
func writeResults(env *command.Env, results []api.TaskResult, maxResults int) {
	if len(results) == 0 || maxResults == 0 {
		return
	}
	if maxResults < 0 || maxResults > len(results) {
		maxResults = len(results)
	}
	rows := [][]string{{"TASK", "OUTPUT"}}
	for _, r := range results[:maxResults] {
		rows = append(rows, []string{r.Name, truncate(string(r.Output))})
	}
	env.WriteTable(rows)
	if more := len(results) - maxResults; more > 0 {
		env.Printf("and %d more; -results -1 shows all\n", more)
	}
}

// truncate returns the first maxOutputBytes bytes of text, with an ellipsis if it
// is longer.
func truncate(text string) string {
	if len(text) > maxOutputBytes {
		return text[:maxOutputBytes] + "..."
	}
	return text
}

// describeRan returns the text for r in the output of a failure.
func describeRan(r api.RunStatus) string {
	switch r {
	case api.RanNot:
		return "nothing ran"
	case api.RanYes:
		return "it ran"
	default:
		return "it may have run"
	}
}
