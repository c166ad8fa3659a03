package command

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// RunFunc executes a subcommand. The args are the arguments that remain after
// the flags are parsed.
type RunFunc func(ctx context.Context, env *Env, args []string) ExitCode

// Command is a subcommand or a group of subcommands.
type Command struct {
	Name        string
	Args        string // synopsis of the arguments after the flags, as shown by -h
	About       string // one-line description
	Example     string // working command lines, separated by newlines
	Subcommands []*Command
	Setup       func(flags *flag.FlagSet) RunFunc // declares the flags and returns the run function; nil for a group
}

// Execute parses args, runs the subcommand that they name and returns its exit
// code. It returns Complete after -h, and Usage if the flags are wrong or args
// name no executable subcommand.
func (c *Command) Execute(ctx context.Context, env *Env, args []string) ExitCode {
	return c.execute(ctx, env, "", args)
}

// execute implements Execute for a command below the groups named in path, which
// are separated by spaces.
func (c *Command) execute(ctx context.Context, env *Env, path string, args []string) ExitCode {
	path = strings.TrimSpace(path + " " + c.Name)
	flags := flag.NewFlagSet(path, flag.ContinueOnError)
	flags.SetOutput(env.Err)
	flags.Usage = func() { c.writeHelp(env, flags, path) }
	env.declareFlags(flags)
	var run RunFunc
	if c.Setup != nil {
		run = c.Setup(flags)
	}
	positional, err := parseFlags(flags, args, run != nil)
	if errors.Is(err, flag.ErrHelp) {
		return Complete
	}
	if err != nil {
		return Usage
	}
	if run != nil {
		return run(ctx, env, positional)
	}
	for _, sub := range c.Subcommands {
		if sub.Name == flags.Arg(0) {
			return sub.execute(ctx, env, path, flags.Args()[1:])
		}
	}
	if flags.NArg() > 0 {
		env.Notef("%s: there is no %q here", path, flags.Arg(0))
	}
	flags.Usage()
	return Usage
}

// parseFlags parses the flags in args and returns the positional arguments. If
// interspersed is true, flags may also follow positional arguments, up to the
// argument "--".
func parseFlags(flags *flag.FlagSet, args []string, interspersed bool) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		remaining := flags.Args()
		terminated := len(remaining) < len(args) && args[len(args)-len(remaining)-1] == "--"
		if !interspersed || terminated || len(remaining) == 0 {
			return append(positional, remaining...), nil
		}
		positional = append(positional, remaining[0])
		args = remaining[1:]
	}
}

// writeHelp writes the help page of c to env.Err.
func (c *Command) writeHelp(env *Env, flags *flag.FlagSet, path string) {
	env.Notef("%s: %s\n", path, c.About)
	switch {
	case c.Setup != nil:
		env.Notef("Usage:\n  %s [flags] %s", path, c.Args)
	default:
		env.Notef("Usage:\n  %s [flags] COMMAND\n\nCommands:", path)
		for _, sub := range c.Subcommands {
			env.Notef("  %-10s %s", sub.Name, sub.About)
		}
	}
	if c.Example != "" {
		env.Notef("\nExample:\n  %s", strings.ReplaceAll(c.Example, "\n", "\n  "))
	}
	env.Notef("\nFlags:")
	flags.PrintDefaults()
	_, _ = fmt.Fprint(env.Err, "\n"+exitCodesHelp)
}
