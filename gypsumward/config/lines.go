package config

import (
	"regexp"
	"strings"
)

// Patterns of the lines of a TOML file that name a table or a key.
var (
	tableLine = regexp.MustCompile(`^\s*\[+\s*([A-Za-z0-9_.-]+)\s*\]`)
	keyLine   = regexp.MustCompile(`^\s*"?([A-Za-z0-9_.-]+)"?\s*=`)
)

// firstLines returns the number of the first line of each table and key by full name.
// It serves only messages: the decoder reports no lines for values of the right type.
func firstLines(data []byte) map[string]int {
	lines := map[string]int{}
	prefix := ""
	for i, line := range strings.Split(string(data), "\n") {
		name := ""
		if match := tableLine.FindStringSubmatch(line); match != nil {
			name = match[1]
			prefix = name + "."
		} else if match := keyLine.FindStringSubmatch(line); match != nil {
			name = prefix + match[1]
		}
		if _, found := lines[name]; name != "" && !found {
			lines[name] = i + 1
		}
	}
	return lines
}
