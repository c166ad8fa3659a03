package config

import (
	"bytes"
	"io"
	"os"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"
)

const maxFileSize = 1 << 20 // bytes

// Load reads and checks the settings file at path. If the file is refused, the error is
// a *Faults that lists its faults, one a line. A file of more than maxFileSize is an
// error.
func Load(path string) (*Config, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return nil, errors.Annotate(err, path)
	}
	if len(data) > maxFileSize {
		return nil, errors.Errorf("%s: longer than %d bytes", path, maxFileSize)
	}
	return Parse(path, data)
}

// Parse decodes and checks the contents of a settings file. The path only appears in
// errors.
func Parse(path string, data []byte) (*Config, error) {
	config := Default()
	meta, err := toml.NewDecoder(bytes.NewReader(data)).Decode(&config)
	if err != nil {
		return nil, decodeError(path, err)
	}
	lines := firstLines(data)
	faults := append(unknownKeys(meta.Keys()), config.check()...)
	for i := range faults {
		faults[i].Line = lines[faults[i].Key]
	}
	if len(faults) > 0 {
		sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
		return nil, &Faults{Path: path, List: faults}
	}
	return &config, nil
}

// Fault is one error in a settings file.
type Fault struct {
	Line int    // zero if the key is not in the file
	Key  string // full name, such as lease.beat
	Text string // what is wrong and what is allowed
}

// Faults is the error for a settings file that was refused.
type Faults struct {
	Path string
	List []Fault
}

// Error lists the faults, one a line.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = f.Path + ":" + strconv.Itoa(fault.Line) + ": " + fault.Key + ": " + fault.Text
	}
	return strings.Join(lines, "\n")
}

// unknownKeys returns a fault for each key that is not allowed. The decoder itself would
// accept a key in another letter case.
func unknownKeys(keys []toml.Key) []Fault {
	var faults []Fault
	allowed := Keys()
	for _, key := range keys {
		name := key.String()
		if !slices.Contains(allowed, name) && !slices.Contains(tables, name) {
			faults = append(faults, Fault{Key: name, Text: "unknown key; allowed are " + strings.Join(allowed, ", ")})
		}
	}
	return faults
}

// typeErrorPattern matches the decoder's error for a value of a wrong type.
var typeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

// decodeError converts an error of the decoder to *Faults, or annotates it with path if
// its line is not known.
func decodeError(path string, err error) error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return &Faults{Path: path, List: []Fault{{Line: parse.Position.Line, Key: parse.LastKey, Text: parse.Message}}}
	}
	match := typeErrorPattern.FindStringSubmatch(err.Error())
	if match == nil {
		return errors.Annotate(err, path)
	}
	line, _ := strconv.Atoi(match[1])
	return &Faults{Path: path, List: []Fault{{Line: line, Key: match[2], Text: match[3]}}}
}
