package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"gypsumward/standin/arrival"
	"gypsumward/standin/audit"
	"gypsumward/standin/caller"
	"gypsumward/standin/direct"
	"gypsumward/standin/load"
	"gypsumward/standin/outcome"
	"gypsumward/standin/tally"
)

const (
	defaultLength   = 10 * time.Second // of a load
	defaultDeadline = 5 * time.Second
	defaultTasks    = 50 // of a job
	defaultConns    = 60 // to each runner
)

// loadFlags holds the flags shared by the subcommands load and direct.
type loadFlags struct {
	plan arrival.Plan
	kind string // kinds of work, separated by commas
	run  string // run times, as parsed by parseRunTimes
	json bool   // print the report as JSON
	log  string // name of the file for outcomes; empty for none
}

// declare adds the shared flags to flags.
func (f *loadFlags) declare(flags *flag.FlagSet) {
	f.plan = arrival.Plan{Tasks: defaultTasks}
	flags.Uint64Var(&f.plan.Seed, "seed", 1, "seed of the arrivals")
	flags.DurationVar(&f.plan.Length, "for", defaultLength, "length of the load")
	flags.Var(&f.plan.Requests, "team", "`TEAM=RATE` of requests, such as crew=20/s; may be repeated")
	flags.DurationVar(&f.plan.Deadline, "deadline", defaultDeadline, "deadline of each request and job")
	flags.StringVar(&f.kind, "kinds", "price,quote,clearance", "kinds of work, separated by commas")
	flags.StringVar(&f.run, "run", "50ms..1s", "run times at speed 1, drawn evenly between two, or one")
	flags.BoolVar(&f.json, "json", false, "print JSON")
	flags.StringVar(&f.log, "log", "", "`file` to which each outcome is written as a line of JSON")
}

// runLoad runs the load, prints the report and returns an error if any answer
// was wrong.
func (f *loadFlags) runLoad(ctx context.Context, s load.Sender) (err error) {
	f.plan.Kinds = strings.Split(f.kind, ",")
	if f.plan.MinRunTime, f.plan.MaxRunTime, err = parseRunTimes(f.run); err != nil {
		return errors.Trace(err)
	}
	l := load.Generator{Arrivals: f.plan.Arrivals(), Sender: s, Clock: clockwork.NewRealClock()}
	if f.log != "" {
		file, err := os.Create(f.log)
		if err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = file.Close() }()
		l.Log = file
	}
	report := l.Run(ctx)
	if err := writeResult(f.json, report, report.Table); err != nil {
		return errors.Trace(err)
	}
	if wrong := report.Sum(func(l tally.Line) int { return l.Wrong }); wrong > 0 {
		return errors.Errorf("%d wrong answers", wrong)
	}
	return nil
}

// parseRunTimes parses the bounds of run times, given as "LEAST..MOST" or as one
// duration for both.
func parseRunTimes(text string) (least, most time.Duration, err error) {
	low, high, two := strings.Cut(text, "..")
	if !two {
		high = low
	}
	if least, err = time.ParseDuration(low); err != nil {
		return 0, 0, errors.Annotate(err, "-run")
	}
	most, err = time.ParseDuration(high)
	if err == nil && most < least {
		err = errors.NotValidf("%q", text)
	}
	return least, most, errors.Annotate(err, "-run")
}

// writeResult writes value to standard output, as JSON or by the function table.
func writeResult(asJSON bool, value any, table func(io.Writer) error) error {
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(value)
	}
	return table(os.Stdout)
}

// loadCommand sets up the subcommand load, which sends a load to entry instances.
func loadCommand(flags *flag.FlagSet) func(context.Context) error {
	var m loadFlags
	m.declare(flags)
	entry := flags.String("entry", "", "`addresses` of entry instances, separated by commas")
	flags.Var(&m.plan.Jobs, "job", "`TEAM=RATE` of jobs, such as crew=0.5/s; may be repeated")
	flags.IntVar(&m.plan.Tasks, "tasks", defaultTasks, "tasks of each job")
	flags.Float64Var(&m.plan.NonRepeatableShare, "once", 0, "part of the requests that is not repeatable")
	flags.IntVar(&m.plan.Urgency, "urgency", 0, "urgency, 0 to 9")
	flags.Var(&m.plan.Flood, "flood", "`team,urgency,factor,from,for` of a flood, such as crew,0,10,5s,10s")
	return func(ctx context.Context) error {
		if *entry == "" {
			return errors.NotValidf("-entry is required; empty value")
		}
		c, err := caller.New(ctx, strings.Split(*entry, ","), m.plan.Seed)
		if err != nil {
			return errors.Trace(err)
		}
		return m.runLoad(ctx, c)
	}
}

// directCommand sets up the subcommand direct, which sends a load to runners.
func directCommand(flags *flag.FlagSet) func(context.Context) error {
	var m loadFlags
	m.declare(flags)
	targets := flags.String("target", "", "`addresses` of runners, separated by commas")
	conns := flags.Int("conns", defaultConns, "connections to each runner")
	return func(ctx context.Context) error {
		if *targets == "" {
			return errors.NotValidf("-target is required; empty value")
		}
		return m.runLoad(ctx, direct.New(strings.Split(*targets, ","), *conns))
	}
}

// checkCommand sets up the subcommand check, which audits the records of targets.
func checkCommand(flags *flag.FlagSet) func(context.Context) error {
	targets := flags.String("target", "", "`addresses` of runners and workers, separated by commas")
	log := flags.String("log", "", "`file` of outcomes that load -log wrote")
	asJSON := flags.Bool("json", false, "print JSON")
	a := audit.New()
	flags.StringVar(&a.NonRepeatablePrefix, "once", arrival.NonRepeatablePrefix, "`prefix` of the ids of requests that are not repeatable")
	return func(ctx context.Context) error {
		if *targets == "" {
			return errors.NotValidf("-target is required; empty value")
		}
		for _, addr := range strings.Split(*targets, ",") {
			if err := a.Fetch(ctx, addr); err != nil {
				return errors.Trace(err)
			}
		}
		if err := addOutcomes(a, *log); err != nil {
			return errors.Trace(err)
		}
		r := a.Result()
		if err := writeResult(*asJSON, r, func(w io.Writer) error { return writeFindings(w, r) }); err != nil {
			return errors.Trace(err)
		}
		if len(r.Findings) > 0 {
			return errors.Errorf("%d findings", len(r.Findings))
		}
		return nil
	}
}

// addOutcomes adds the outcomes in the named log to the audit. An empty name
// means no log.
func addOutcomes(a *audit.Audit, name string) error {
	if name == "" {
		return nil
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	dec := json.NewDecoder(bufio.NewReader(file))
	for {
		var o outcome.Outcome
		if err := dec.Decode(&o); err == io.EOF {
			return nil
		} else if err != nil {
			return errors.Annotate(err, name)
		}
		a.AddOutcome(o)
	}
}

// writeFindings writes the result of an audit as text.
func writeFindings(w io.Writer, r audit.Result) error {
	_, err := fmt.Fprintf(w, "%d starts of %d ids for %d jobs and requests; %d callers were told that nothing ran\n",
		r.Starts, r.IDs, r.Work, r.NotRun)
	if err != nil {
		return errors.Trace(err)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(w, "%s: %s (%d)\n", f.Problem, f.ID, f.Count); err != nil {
			return errors.Trace(err)
		}
	}
	if len(r.Findings) == 0 {
		_, err = fmt.Fprintln(w, "nothing was started twice")
	}
	return errors.Trace(err)
}
