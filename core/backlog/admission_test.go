package backlog_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/backlog"
)

var now = time.Unix(1000, 0)

// newJob returns a job that is due after a number of milliseconds, with its work and chain.
func newJob(due, work, chain int) backlog.Job {
	return backlog.Job{
		Due: now.Add(time.Duration(due) * time.Millisecond), Work: time.Duration(work) * time.Millisecond, Chain: time.Duration(chain) * time.Millisecond,
	}
}

func TestAdmit(t *testing.T) {
	t.Parallel()
	long := newJob(1300, 80, 760)
	for _, test := range []struct {
		name     string
		waiting  []backlog.Job
		job      backlog.Job
		admitted bool
	}{
		{"none waits", nil, newJob(10, 500, 100), true},
		{"it can wait for the one before it", []backlog.Job{newJob(100, 50, 10)}, newJob(140, 10, 50), true},
		{"it cannot wait for the one before it", []backlog.Job{newJob(100, 80, 10)}, newJob(140, 10, 50), false},
		{"those that are due later do not delay it", []backlog.Job{newJob(2000, 300, 10)}, newJob(140, 10, 50), true},
		{"one that is due later cannot wait for it", []backlog.Job{newJob(1000, 150, 10), long}, newJob(140, 20, 50), false},
		{"one that is late anyway", []backlog.Job{newJob(900, 400, 10), long}, newJob(140, 20, 50), true},
		{"due at the same time, it comes last", []backlog.Job{newJob(140, 80, 50)}, newJob(140, 10, 50), false},
		{"it can no longer be in time, but would delay none", []backlog.Job{long}, newJob(50, 10, 50), true},
	} {
		require.Equal(t, test.admitted, backlog.Admit(now, test.waiting, test.job).Admitted, test.name)
	}
	require.Equal(t, 380*time.Millisecond, backlog.Admit(now, []backlog.Job{newJob(900, 300, 10), long}, newJob(140, 20, 50)).Drained)
}

// TestAdmittedInTime admits jobs one after the other and lets the runners do their work in
// order of the due times. Each admitted job must be able to start in time, whatever was
// admitted after it, and a job must not be refused if it and all others can.
func TestAdmittedInTime(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		byDue := func(a, b backlog.Job) int { return a.Due.Compare(b.Due) }
		inTime := func(jobs []backlog.Job) bool {
			var before time.Duration
			for _, j := range jobs {
				if before > j.Due.Sub(now)-j.Chain*3/2 {
					return false
				}
				before += j.Work
			}
			return true
		}
		var waiting []backlog.Job
		for range rapid.IntRange(1, 40).Draw(t, "jobs") {
			chain := rapid.IntRange(10, 800).Draw(t, "chain")
			j := newJob(chain*3/2+rapid.IntRange(1, 500).Draw(t, "slack"), rapid.IntRange(1, 100).Draw(t, "work"), chain)
			at, _ := slices.BinarySearchFunc(waiting, j, func(a, b backlog.Job) int { return cmp.Or(byDue(a, b), -1) })
			with := slices.Insert(slices.Clone(waiting), at, j)
			admitted := backlog.Admit(now, waiting, j).Admitted
			require.Equal(t, inTime(with), admitted)
			if admitted {
				waiting = with
			}
		}
	})
}
