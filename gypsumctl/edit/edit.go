// Package edit changes single keys in the TOML text of a team's settings and
// leaves all other lines, including comments, unchanged.
package edit

import (
	"regexp"
	"strings"

	"github.com/juju/errors"

	"gypsumward/core/settings"
)

// Set returns text with key set to value, and the settings parsed from the
// result. The value must be a TOML literal; an empty value removes the key. A
// comment on the line of the key is lost. Set returns an error if text or the
// result is invalid, or if the edit would change the value of another key, as
// with values that span several lines.
func Set(text, key, value string) (string, settings.Team, error) {
	pattern := regexp.MustCompile(`^\s*"?` + regexp.QuoteMeta(key) + `"?\s*=`)
	var lines []string
	found := false
	for _, line := range strings.SplitAfter(text, "\n") {
		switch {
		case !pattern.MatchString(line):
			lines = append(lines, line)
		case value != "":
			lines = append(lines, assignment(key, value))
		}
		found = found || pattern.MatchString(line)
	}
	if !found && value != "" {
		if n := len(lines); n > 0 && lines[n-1] != "" && !strings.HasSuffix(lines[n-1], "\n") {
			lines[n-1] += "\n"
		}
		lines = append(lines, assignment(key, value))
	}
	edited := strings.Join(lines, "")
	team, faults := settings.Parse("set", edited)
	if faults != nil {
		return "", settings.Team{}, faults
	}
	previous, faults := settings.Parse("set", text)
	if faults != nil {
		return "", settings.Team{}, faults
	}
	for _, k := range settings.Keys() {
		if k.Name != key && k.FormatValue(previous) != k.FormatValue(team) {
			return "", settings.Team{}, errors.Errorf("%s cannot be set without changing %s; edit the text and apply it", key, k.Name)
		}
	}
	return edited, team, nil
}

// assignment returns the TOML line that sets key to value.
func assignment(key, value string) string {
	return key + " = " + value + "\n"
}
