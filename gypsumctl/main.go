// Command gypsumctl is the command line of callers and operators of gypsumward.
//
// Its exit codes are documented in package command.
package main

import (
	"cmp"
	"context"
	_ "net" // links the C library's resolver
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"

	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/instances"
	"gypsumward/gypsumctl/job"
	"gypsumward/gypsumctl/queue"
	"gypsumward/gypsumctl/request"
	"gypsumward/gypsumctl/setting"
	"gypsumward/gypsumctl/timeline"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	env := &command.Env{
		Entry: cmp.Or(os.Getenv("GYPSUM_ENTRY"), command.DefaultEntry),
		Key:   os.Getenv("GYPSUM_KEY"),
		In:    os.Stdin,
		Out:   os.Stdout,
		Err:   os.Stderr,
		Clock: clockwork.NewRealClock(),
	}
	code := rootCommand().Execute(ctx, env, os.Args[1:])
	stop()
	os.Exit(int(code))
}

// rootCommand returns the root of the tree of subcommands.
func rootCommand() *command.Command {
	return &command.Command{
		Name:    "gypsumctl",
		About:   "submit work to gypsumward and operate it",
		Example: "gypsumctl job submit job.json\ngypsumctl instances -entry 127.0.0.1:8000,127.0.0.1:8001",
		Subcommands: []*command.Command{
			job.Command(),
			request.Command(),
			queue.Command(),
			instances.Command(),
			timeline.Command(),
			setting.Command(),
		},
	}
}
