package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"

	"gypsumward/core/check"
)

// Keys is a validated, immutable list of keys. The zero Keys is empty.
type Keys struct {
	list []hashedKey
}

// hashedKey is a key with the SHA-256 sum of its secret.
type hashedKey struct {
	key Key
	sum [sha256.Size]byte
}

// keyFile is the TOML document of a key file.
type keyFile struct {
	Keys []keyEntry `toml:"keys"`
}

// keyEntry is the entry of one key in a key file.
type keyEntry struct {
	Name  string   `toml:"name"`
	Role  Role     `toml:"role"`
	Teams []string `toml:"teams"`
	Sum   string   `toml:"sum"`
}

// Parse parses and validates the contents of a key file. The path is used only in
// errors. The error lists all faults and never contains a sum.
func Parse(path string, data []byte) (*Keys, error) {
	var f keyFile
	meta, err := toml.Decode(string(data), &f)
	if err != nil {
		return nil, syntaxError(path, err)
	}
	var faults []error
	for _, key := range meta.Undecoded() {
		faults = append(faults, errors.Errorf("%s: %s: unknown key; allowed are name, role, teams and sum in [[keys]]", path, key))
	}
	keys := &Keys{}
	names, sums := map[string]bool{}, map[[sha256.Size]byte]bool{}
	for i, entry := range f.Keys {
		parsed, fault := entry.parse()
		switch {
		case fault != "":
		case names[entry.Name]:
			fault = "name: there are two keys of this name"
		case sums[parsed.sum]:
			fault = "sum: there are two keys with this sum"
		}
		if fault != "" {
			faults = append(faults, errors.Errorf("%s: keys[%d] %q: %s", path, i, entry.Name, fault))
			continue
		}
		names[entry.Name], sums[parsed.sum] = true, true
		keys.list = append(keys.list, parsed)
	}
	if len(f.Keys) == 0 && len(faults) == 0 {
		return nil, errors.Errorf("%s: there are no keys; allowed are one or more [[keys]]", path)
	}
	if len(faults) > 0 {
		return nil, joinErrors(faults)
	}
	return keys, nil
}

// parse validates l and returns its key. The fault is empty if l is valid.
func (e keyEntry) parse() (parsed hashedKey, fault string) {
	parsed.key = Key{Name: e.Name, Role: e.Role, Teams: e.Teams}
	if r := check.ID("name", e.Name); r != nil {
		return parsed, r.Detail
	}
	if e.Role != Caller && e.Role != Operator {
		return parsed, fmt.Sprintf("role: %q; allowed are %s and %s", e.Role, Caller, Operator)
	}
	if len(e.Teams) == 0 {
		return parsed, fmt.Sprintf("teams: missing; allowed are names of teams, or %q for all", AllTeams)
	}
	for _, team := range e.Teams {
		if r := check.ID("teams", team); r != nil && team != AllTeams {
			return parsed, r.Detail
		}
	}
	sum, err := hex.DecodeString(e.Sum)
	if err != nil || len(sum) != sha256.Size {
		return parsed, fmt.Sprintf("sum: not a SHA-256 sum; allowed are %d hexadecimal digits", 2*sha256.Size)
	}
	copy(parsed.sum[:], sum)
	if parsed.sum == sha256.Sum256(nil) {
		return parsed, "sum: that of an empty key, which every call without a key would have"
	}
	return parsed, ""
}

// Len returns the number of keys.
func (k *Keys) Len() int {
	return len(k.list)
}

// Lookup returns the key with the given secret, or false if there is none. An empty
// secret never matches. The running time depends only on the length of the secret
// and the number of keys.
func (k *Keys) Lookup(secret string) (*Key, bool) {
	if secret == "" {
		return nil, false
	}
	sum := sha256.Sum256([]byte(secret))
	found := -1
	for i := range k.list {
		equal := subtle.ConstantTimeCompare(sum[:], k.list[i].sum[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return nil, false
	}
	return &k.list[found].key, true
}

// syntaxError returns the error of a file that cannot be decoded. It contains no
// text of the file, which may hold a sum or, by mistake, a key.
func syntaxError(path string, err error) error {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return errors.Errorf("%s:%d: %s: the file is not valid TOML of keys", path, parseErr.Position.Line, parseErr.LastKey)
	}
	return errors.Errorf("%s: the file is not valid TOML of keys", path)
}

// joinErrors returns one error with one line for each of errs, which must not be
// empty.
func joinErrors(errs []error) error {
	text := errs[0].Error()
	for _, err := range errs[1:] {
		text += "\n" + err.Error()
	}
	return errors.New(text)
}
