package settings

import (
	"cmp"
	"fmt"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"
)

// MaxTextBytes is the maximum size of the TOML text of one subtree, in bytes.
const MaxTextBytes = 4 << 10

// Parse parses and validates the TOML text of one team's subtree. Keys missing
// from the text have their defaults. The file name is used only in faults. If
// there are faults, the returned settings must not be used.
func Parse(file, text string) (Team, Faults) {
	if len(text) > MaxTextBytes {
		return Team{}, Faults{{File: file, Detail: fmt.Sprintf("%d bytes; allowed are up to %d", len(text), MaxTextBytes)}}
	}
	var doc map[string]toml.Primitive
	meta, err := toml.Decode(text, &doc)
	if err != nil {
		return Team{}, Faults{syntaxFault(file, err)}
	}
	p := parser{file: file, meta: meta, team: Default()}
	seen := make(map[string]bool)
	for _, name := range meta.Keys() {
		if !seen[name[0]] {
			seen[name[0]] = true
			p.set(name[0], doc[name[0]])
		}
	}
	return p.team, p.faults
}

// parser collects the values and faults of one subtree.
type parser struct {
	file   string
	meta   toml.MetaData
	team   Team
	faults Faults
}

// set decodes and validates the value of one key.
func (p *parser) set(name string, value toml.Primitive) {
	key, ok := keyByName(name)
	if !ok {
		p.addFault(name, value, "there is no such key; allowed are %s", keyNames())
		return
	}
	if key.Name == "spill" {
		p.team.SpillKinds = nil // otherwise the decoder would write into the default's slice
	}
	if tomlType := p.meta.Type(name); !typeMatches(key, tomlType) {
		p.addFault(name, value, "%s, not a %s; allowed: %s (%s)", tomlType, key.Type, key.Range, key.Unit)
		return
	}
	if err := p.meta.PrimitiveDecode(value, key.field(&p.team)); err != nil {
		p.addFault(name, value, "%s; allowed: %s (%s)", errorText(err), key.Range, key.Unit)
		return
	}
	if fault := key.validate(&p.team); fault != "" {
		p.addFault(name, value, "%s; allowed: %s (%s)", fault, key.Range, key.Unit)
	}
}

// typeMatches reports whether a value of the given TOML type may be decoded for
// key. The decoder alone would accept numbers as text.
func typeMatches(key Key, tomlType string) bool {
	switch key.Type {
	case typeText:
		return tomlType == "String"
	case typeNumber:
		return tomlType == "Integer" || tomlType == "Float"
	default:
		return tomlType == "Array"
	}
}

// addFault records a fault of the named key.
func (p *parser) addFault(name string, value toml.Primitive, format string, args ...any) {
	p.faults = append(p.faults, Fault{
		File:   p.file,
		Line:   lineOf(p.meta, value),
		Key:    name,
		Detail: fmt.Sprintf(format, args...),
	})
}

// lineOf returns the line of value. A table without a line of its own has that of
// its first value. The result is zero if the line is unknown.
func lineOf(meta toml.MetaData, value toml.Primitive) int {
	var parseErr toml.ParseError
	if errors.As(meta.PrimitiveDecode(value, &positionProbe{}), &parseErr) && parseErr.Position.Line > 0 {
		return parseErr.Position.Line
	}
	var table map[string]toml.Primitive
	line := 0
	if meta.PrimitiveDecode(value, &table) != nil {
		return line
	}
	for _, inner := range table {
		if n := lineOf(meta, inner); line == 0 || n < line {
			line = n
		}
	}
	return line
}

// positionProbe fails to decode any value, so that the decoder returns an error
// with the position of the value.
type positionProbe struct{}

// errPositionProbe is returned by positionProbe.UnmarshalTOML.
const errPositionProbe = errors.ConstError("probe")

// UnmarshalTOML always returns an error.
func (*positionProbe) UnmarshalTOML(any) error {
	return errPositionProbe
}

// syntaxFault returns the fault of a text that is not valid TOML.
func syntaxFault(file string, err error) Fault {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return Fault{File: file, Line: parseErr.Position.Line, Key: parseErr.LastKey, Detail: cmp.Or(parseErr.Message, errorText(err))}
	}
	return Fault{File: file, Detail: errorText(err)}
}

// errorText returns the message of err without the position, which Fault holds in
// fields of its own.
func errorText(err error) string {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return parseErr.Message
	}
	text := strings.TrimPrefix(err.Error(), "toml: ")
	if _, rest, ok := strings.Cut(text, "): "); ok && strings.HasPrefix(text, "line ") {
		return rest
	}
	return text
}

// keyNames returns the names of all keys, separated by commas.
func keyNames() string {
	list := make([]string, 0, len(keys))
	for _, k := range keys {
		list = append(list, k.Name)
	}
	return strings.Join(list, ", ")
}
