package setting

import (
	"context"
	"flag"
	"strconv"
	"time"

	"gypsumward/gypsumctl/command"
	"gypsumward/gypsumctl/instances"
)

const (
	// pollInterval is the time between two polls of status -wait.
	pollInterval = 250 * time.Millisecond
	// pollsPerProgressLine is the number of polls between two lines of progress.
	pollsPerProgressLine = 8
)

// revisionStatus holds the stored revision of the settings and the revision that
// each instance applies.
type revisionStatus struct {
	Stored    int64              `json:"stored,omitempty"` // stored revision; zero if it cannot be read
	Fault     string             `json:"fault,omitempty"`  // why the stored revision cannot be read
	Instances []instances.Result `json:"instances"`
}

// newestRevision returns the stored revision, or the highest revision applied by
// an instance if that is higher or the stored one cannot be read.
func (s revisionStatus) newestRevision() int64 {
	newest := s.Stored
	for _, r := range s.Instances {
		if r.Status != nil {
			newest = max(newest, r.Status.SettingsRevision)
		}
	}
	return newest
}

// isConverged reports whether the stored revision could be read and all
// instances apply the newest revision.
func (s revisionStatus) isConverged() bool {
	for _, r := range s.Instances {
		if r.Status == nil || r.Status.SettingsRevision < s.newestRevision() {
			return false
		}
	}
	return s.Fault == ""
}

// reachedCount returns the number of instances that replied.
func (s revisionStatus) reachedCount() int {
	n := 0
	for _, r := range s.Instances {
		if r.Status != nil {
			n++
		}
	}
	return n
}

// status declares the flags of the subcommand status and returns its run
// function.
func status(flags *flag.FlagSet) command.RunFunc {
	wait := flags.Duration("wait", 0, "longest `TIME` to wait until all instances have the stored revision")
	return func(ctx context.Context, env *command.Env, args []string) command.ExitCode {
		if len(args) > 0 {
			return env.Usagef("there is no argument %q here", args[0])
		}
		start := env.Clock.Now()
		for polls := 0; ; polls++ {
			s, err := pollRevisions(ctx, env)
			if err != nil {
				return env.Usagef("%v", err)
			}
			if s.isConverged() || env.Clock.Since(start) >= *wait || ctx.Err() != nil {
				return writeStatus(env, s)
			}
			if polls%pollsPerProgressLine == 0 {
				env.Notef("not all instances have revision %d after %v", s.newestRevision(), env.Clock.Since(start).Round(pollInterval))
			}
			env.Clock.Sleep(pollInterval)
		}
	}
}

// pollRevisions reads the stored revision and the status of all instances. The
// error reports wrong flags only.
func pollRevisions(ctx context.Context, env *command.Env) (revisionStatus, error) {
	client, err := env.Client(ctx)
	if err != nil {
		return revisionStatus{}, err
	}
	var s revisionStatus
	stored, err := loadSnapshot(ctx, client)
	if err != nil {
		s.Fault = err.Error()
	}
	s.Stored = stored.Revision
	s.Instances, err = instances.Poll(ctx, env)
	return s, err
}

// writeStatus writes the revisions and returns the exit code.
func writeStatus(env *command.Env, s revisionStatus) command.ExitCode {
	if env.JSON {
		env.WriteJSON(s)
	} else {
		writeStatusTable(env, s)
	}
	switch {
	case s.isConverged():
		return command.Complete
	case s.reachedCount() == 0:
		return command.Unreachable
	default:
		return command.Failed
	}
}

// writeStatusTable writes the revisions as a table.
func writeStatusTable(env *command.Env, s revisionStatus) {
	if s.Fault != "" {
		env.Printf("stored revision: could not be read: %s\n", s.Fault)
	} else {
		env.Printf("stored revision: %d\n", s.Stored)
	}
	rows := [][]string{{"ADDRESS", "INSTANCE", "REVISION", "STATE"}}
	for _, r := range s.Instances {
		if r.Status == nil {
			rows = append(rows, []string{r.Addr, "-", "-", "could not be reached"})
			continue
		}
		state := "in force"
		if r.Status.SettingsRevision < s.newestRevision() {
			state = "behind"
		}
		rows = append(rows, []string{r.Addr, r.Status.Instance, strconv.FormatInt(r.Status.SettingsRevision, 10), state})
	}
	env.WriteTable(rows)
	env.Printf("%d of %d instances could be reached\n", s.reachedCount(), len(s.Instances))
}
