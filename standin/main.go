// Command standin provides small stand-ins for the systems around gypsumward,
// and tools that generate load, check records and inject faults.
//
// Each subcommand is one process; -h lists its flags. Faults are switched on and
// off over HTTP, as described in package fault.
package main

import (
	"context"
	"flag"
	"fmt"
	_ "net" // links the C library's resolver
	"os"
	"sort"
)

// Exit codes.
const (
	exitOK    = 0
	exitFail  = 1 // the command failed, or a check has findings
	exitUsage = 2 // the command line is wrong
)

// command is one subcommand. Its setup function declares the flags and returns
// the function to run once they are parsed.
type command struct {
	summary string // one-line description
	setup   func(*flag.FlagSet) func(context.Context) error
}

var commands = map[string]command{
	"platform": {"the platform's table, object store and live list", platformCommand},
	"runner":   {"a runner, which answers requests", runnerCommand},
	"worker":   {"a worker, which runs tasks under leases", workerCommand},
	"load":     {"open-loop arrivals at entry instances; counts what becomes of them", loadCommand},
	"direct":   {"the same at runners without a dispatcher between", directCommand},
	"check":    {"reads the targets' records; exit code 1 if something was started twice", checkCommand},
	"fault":    {"switches a fault of stand-ins", faultCommand},
	"get":      {"prints what processes answer to a GET, waiting for status 200", getCommand},
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes the subcommand args[0] with the remaining args and returns the
// exit code.
func run(args []string) int {
	if len(args) == 0 || commands[args[0]].setup == nil {
		usage()
		return exitUsage
	}
	flags := flag.NewFlagSet("standin "+args[0], flag.ExitOnError)
	runCommand := commands[args[0]].setup(flags)
	if err := flags.Parse(args[1:]); err != nil {
		return exitUsage
	}
	if flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "standin %s: unexpected argument %q\n", args[0], flags.Arg(0))
		return exitUsage
	}
	if err := runCommand(context.Background()); err != nil {
		fmt.Fprintf(os.Stderr, "standin %s: %v\n", args[0], err)
		return exitFail
	}
	return exitOK
}

// usage writes the list of subcommands to standard error.
func usage() {
	fmt.Fprintln(os.Stderr, "usage: standin COMMAND [flags]; standin COMMAND -h lists the flags")
	names := make([]string, 0, len(commands))
	for name := range commands {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(os.Stderr, "  %-9s %s\n", name, commands[name].summary)
	}
}
