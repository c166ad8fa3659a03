package main

import (
	"context"
	"flag"

	"github.com/jonboulle/clockwork"

	"gypsumward/standin/kind"
	"gypsumward/standin/platform"
	"gypsumward/standin/runner"
	"gypsumward/standin/worker"
)

// platformCommand sets up the subcommand platform.
func platformCommand(flags *flag.FlagSet) func(context.Context) error {
	s := platform.Default
	flags.StringVar(&s.Addr, "addr", s.Addr, "`address` to listen on; port 0 takes a free one")
	flags.StringVar(&s.Fleet, "fleet", "", "fleet `file` in TOML with [[members]]; read again at each probe")
	flags.Float64Var(&s.WriteRate, "writes", s.WriteRate, "transactions and object writes a second")
	flags.Float64Var(&s.ReadRate, "reads", s.ReadRate, "reads and scans a second")
	flags.DurationVar(&s.SyncDelay, "sync", s.SyncDelay, "delay of a synced write")
	flags.DurationVar(&s.Lag, "lag", s.Lag, "least age of the live list")
	flags.DurationVar(&s.ProbeInterval, "probe", s.ProbeInterval, "time between probes of the members")
	return func(ctx context.Context) error {
		return platform.New(s).Run(ctx) //nolint:contextcheck // routes have the contexts of their calls
	}
}

// runnerCommand sets up the subcommand runner.
func runnerCommand(flags *flag.FlagSet) func(context.Context) error {
	s := runner.Default
	s.Times = kind.New()
	flags.StringVar(&s.Addr, "addr", s.Addr, "`address` to listen on; port 0 takes a free one")
	flags.IntVar(&s.Slots, "slots", s.Slots, "calls that run at once")
	flags.IntVar(&s.Conns, "conns", s.Conns, "connections that are served at once")
	timeFlags(flags, s.Times)
	return func(ctx context.Context) error {
		return runner.New(s, clockwork.NewRealClock()).Run(ctx)
	}
}

// workerCommand sets up the subcommand worker.
func workerCommand(flags *flag.FlagSet) func(context.Context) error {
	s := worker.Default
	s.Times = kind.New()
	flags.StringVar(&s.Addr, "addr", s.Addr, "`address` to listen on; port 0 takes a free one")
	flags.Float64Var(&s.Cores, "cores", s.Cores, "processors")
	flags.Int64Var(&s.Memory, "memory", s.Memory, "memory in `bytes`")
	flags.DurationVar(&s.Lag, "lag", s.Lag, "least age of the usage that is reported")
	timeFlags(flags, s.Times)
	return func(ctx context.Context) error {
		return worker.New(s, clockwork.NewRealClock()).Run(ctx)
	}
}

// timeFlags adds the flags for run times to flags.
func timeFlags(flags *flag.FlagSet, t *kind.Times) {
	flags.Var(t, "kind", "`name=time` of one kind of work at speed 1; may be repeated")
	flags.Float64Var(&t.Speed, "speed", t.Speed, "speed; 2 halves all run times")
	flags.Uint64Var(&t.Seed, "seed", 1, "seed of the spread of run times")
}
