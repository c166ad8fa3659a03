// Package input reads the positional arguments of subcommands: a file with a
// JSON message, or the key of a job or request. Errors are reported with their
// position in the input and the exit code command.Usage.
package input

import (
	"io"
	"os"
	"strings"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/gypsumctl/command"
)

// Read decodes the JSON file that args names into the message that dst points
// to. The name "-" means standard input. The exit code is command.Usage if there
// is not exactly one argument, or the file cannot be read or is invalid.
func Read(env *command.Env, args []string, dst any) command.ExitCode {
	if len(args) != 1 {
		return env.Usagef("name one file, or - for standard input")
	}
	data, err := readFile(env, args[0])
	if err != nil {
		return env.Usagef("%v", err)
	}
	if r := check.Decode(data, dst); r != nil {
		return env.Usagef("%s: %s", args[0], r.Detail)
	}
	return command.Complete
}

// readFile returns the content of the named file, or of standard input if the
// name is "-". It reads at most api.MaxBodyBytes+1 bytes, which lets the decoder
// detect a file that is too long.
func readFile(env *command.Env, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(env.In, api.MaxBodyBytes+1))
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, api.MaxBodyBytes+1))
	return data, errors.Annotate(err, name)
}

// Key returns the key that the only argument gives in the form TEAM/ID. The exit
// code is command.Usage if there is not exactly one argument or it is invalid.
func Key(env *command.Env, args []string) (api.Key, command.ExitCode) {
	if len(args) != 1 {
		return api.Key{}, env.Usagef("name one TEAM/ID")
	}
	key, err := ParseKey(args[0])
	if err != nil {
		return api.Key{}, env.Usagef("%v", err)
	}
	return key, command.Complete
}

// ParseKey parses a key of the form TEAM/ID. It returns an error if the form is
// different, or the team or the id is invalid.
func ParseKey(text string) (api.Key, error) {
	team, id, ok := strings.Cut(text, "/")
	if !ok {
		return api.Key{}, errors.Errorf("%q is not of the form TEAM/ID", text)
	}
	if r := check.ID("team", team); r != nil {
		return api.Key{}, errors.New(r.Detail)
	}
	if r := check.ID("id", id); r != nil {
		return api.Key{}, errors.New(r.Detail)
	}
	return api.Key{Team: team, ID: id}, nil
}
