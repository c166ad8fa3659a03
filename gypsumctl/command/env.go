package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/gypsumctl/entry"
)

// DefaultEntry is the address of the entry instance that is called if none is
// given.
const DefaultEntry = "127.0.0.1:8000"

// Env holds the values of the shared flags, the standard streams and the clock.
// All subcommands use it.
type Env struct {
	Entry string          // -entry: addresses separated by commas
	Key   string          // -key: access key, or "@FILE" to read it from a file
	JSON  bool            // -json: write JSON instead of tables
	In    io.Reader       // standard input
	Out   io.Writer       // results
	Err   io.Writer       // progress, errors and help
	Clock clockwork.Clock // for waits and progress messages
}

// declareFlags adds the shared flags to flags. Their defaults are the current
// values of e, except that a key is never printed as a default.
func (e *Env) declareFlags(flags *flag.FlagSet) {
	flags.StringVar(&e.Entry, "entry", e.Entry, "entry instances as `ADDR,...`; the next is tried if the one before is unreachable")
	flags.Func("key", "access `KEY`, or @FILE to read it from a file", func(key string) error {
		e.Key = key
		return nil
	})
	flags.BoolVar(&e.JSON, "json", e.JSON, "write JSON, for scripts")
}

// EntryAddrs returns the addresses listed in e.Entry. It returns an error if one
// of them is not an IP address with a port.
func (e *Env) EntryAddrs() ([]string, error) {
	var addrs []string
	for _, addr := range strings.Split(e.Entry, ",") {
		addr = strings.TrimSpace(addr)
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, errors.Errorf("-entry: %q is not an IP number with a port such as %s", addr, DefaultEntry)
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// Client returns a client for all entry instances listed in e.Entry. It returns
// an error if an address is invalid or the file of the key cannot be read.
func (e *Env) Client(ctx context.Context) (*entry.Client, error) {
	addrs, err := e.EntryAddrs()
	if err != nil {
		return nil, err
	}
	key, err := e.accessKey()
	if err != nil {
		return nil, err
	}
	return entry.New(ctx, addrs, key)
}

// accessKey returns the access key. A key read from a file has leading and
// trailing space removed.
func (e *Env) accessKey() (string, error) {
	name, ok := strings.CutPrefix(e.Key, "@")
	if !ok {
		return e.Key, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return "", errors.Annotate(err, "-key")
	}
	return strings.TrimSpace(string(text)), nil
}

// Printf formats its arguments and writes the result to e.Out.
func (e *Env) Printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Out, format, args...)
}

// Notef writes a line of progress or explanation to e.Err.
func (e *Env) Notef(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Err, format+"\n", args...)
}

// WriteJSON writes v as JSON, followed by a newline, to e.Out.
func (e *Env) WriteJSON(v any) {
	_ = json.NewEncoder(e.Out).Encode(v)
}

// WriteTable writes rows to e.Out as aligned columns. The first row is the
// header.
func (e *Env) WriteTable(rows [][]string) {
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.TrimRight(strings.Join(row, "\t"), "\t"))
	}
	_ = w.Flush()
}

// Usagef writes an error in the command line to e.Err and returns Usage.
func (e *Env) Usagef(format string, args ...any) ExitCode {
	e.Notef("gypsumctl: "+format, args...)
	return Usage
}

// Fail writes the error of a call to e.Err and returns its exit code. With -json
// the error is also written to e.Out in the form of a refusal.
func (e *Env) Fail(err error) ExitCode {
	code := ExitCodeFor(err)
	var refusal *api.Refusal
	if !errors.As(err, &refusal) {
		refusal = &api.Refusal{Reason: "unreachable", Detail: err.Error(), Ran: api.RanNot}
		if code == Unknown {
			refusal.Reason, refusal.Ran = "unknown", api.RanUnknown
		}
	}
	if e.JSON {
		e.WriteJSON(refusal)
	}
	e.Notef("gypsumctl: %v", refusal)
	if refusal.RetryAfter > 0 {
		e.Notef("try again in %v", refusal.RetryAfter)
	}
	return code
}
