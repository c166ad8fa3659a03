package cell

import (
	"slices"
	"time"

	"gypsumward/core/fingerprint"
)

// EarlierTerm is what a holder knows of a term before the previous one whose runs that one had not
// accounted for.
type EarlierTerm struct {
	Epoch int64
	// Runners is the fingerprint of the ids of the runners on which its holder may have runs; zero if it
	// is not known.
	Runners fingerprint.Set
	// End is when its holder has certainly stopped extending leases for stored jobs.
	End time.Time
	// Open means that its holder may go on with transient jobs after End, on runners that no later holder
	// has reached.
	Open bool
}

// formerTerm is a term whose holder may have left runs that this one does not know.
type formerTerm struct {
	EarlierTerm
	reported bool // its holder has said on which runners it may have runs, and extends no lease any more
}

// formerTerms returns the terms of former holders that may have left runs when the term t begins at
// now. The previous one comes last.
func formerTerms(t Term, now time.Time) []formerTerm {
	if t.TermNumber <= 1 {
		return nil
	}
	var list []formerTerm
	for _, e := range t.Earlier {
		list = append(list, formerTerm{EarlierTerm: e})
	}
	end := t.PreviousEnd
	if end.IsZero() {
		end = now
	}
	return append(list, formerTerm{EarlierTerm: EarlierTerm{Epoch: t.PreviousEpoch, Runners: t.PreviousRunners, End: end, Open: t.PreviousOpen}})
}

// PreviousEnded records that the previous holder has ended its term, and may have left runs, or
// ends that are not in the rows, on the given runners. If complete is true, no runs or ends of
// its predecessors are left on others, and none of them extends a lease any more.
func (c *Cell) PreviousEnded(now time.Time, occupied []RunnerInfo, complete bool) {
	if c.deposed || len(c.former) == 0 {
		return
	}
	c.addOccupied(now, occupied)
	if complete {
		for i := range c.former {
			c.former[i].recordEnd(now)
		}
	}
}

// FormerEnded records that the holder of an epoch, which is not the previous one or has not handed the
// cell over, has ended its term, and may have left runs, or ends that are not in the rows, on the given
// runners.
func (c *Cell) FormerEnded(now time.Time, epoch int64, occupied []RunnerInfo) {
	at := slices.IndexFunc(c.former, func(f formerTerm) bool { return f.Epoch == epoch && epoch != 0 })
	if c.deposed || at < 0 {
		return
	}
	c.addOccupied(now, occupied)
	c.former[at].recordEnd(now)
	c.log("event", "formerended", "epoch", epoch, "runners", len(occupied), "terms", len(c.former))
}

// recordEnd records that the holder of f has ended its term by now and has said on which runners it may
// have runs.
func (f *formerTerm) recordEnd(now time.Time) {
	if f.Open || now.Before(f.End) {
		f.End = now
	}
	f.reported, f.Open = true, false
}

// addOccupied adds runners on which a former holder may have left something.
func (c *Cell) addOccupied(now time.Time, occupied []RunnerInfo) {
	for _, entry := range occupied {
		if r := c.runners[entry.ID]; r != nil {
			r.handedOver = true
		} else {
			c.addUnlisted(now, entry)
		}
	}
}

// accounted reports whether no run, and no end that is not in the rows, of any former holder can be left
// on a runner without this one knowing.
func (c *Cell) accounted() bool { return c.takenOver && len(c.former) == 0 }

// mayStartInherited reports whether no run of j by a former holder can be left.
func (c *Cell) mayStartInherited(now time.Time, j *job) bool {
	if !c.takenOver || !j.Transient || len(c.former) == 0 {
		return c.takenOver
	}
	// Former holders stop the runs of callers that they have lost.
	return now.Sub(j.received) > c.Settings.ResubmitAfter+c.Settings.longestLease()
}

// completeTakeover allows the tasks of inherited jobs to start once no unaccounted run of a former
// holder can be left: all runners on which it may have runs are known and have answered under a token
// of this holder, or its leases have expired. Those of an open term expire for stored jobs only. A runner
// with more ends than it can list is waited for in any case, since its leases go on.
func (c *Cell) completeTakeover(now time.Time) {
	if !c.loaded || c.accounted() {
		return
	}
	synced, allSynced, endsHidden := c.syncState(now)
	if endsHidden {
		return
	}
	listed := c.directorySet()
	known, lapsed := true, true // lapsed: the leases of stored jobs, in all terms that are left
	c.former = slices.DeleteFunc(c.former, func(f formerTerm) bool {
		runnersKnown := f.reported || (f.Runners != 0 && f.Runners == listed)
		over := !now.Before(f.End.Add(c.Settings.longestLease()))
		gone := (runnersKnown && allSynced && synced > 0) || (over && !f.Open)
		known = known && runnersKnown
		lapsed = lapsed && (gone || over)
		return gone
	})
	if c.takenOver || !lapsed {
		return
	}
	c.takenOver = true
	c.log("event", "inherited", "runners", synced, "all", allSynced, "known", known, "terms", len(c.former), "jobs", len(c.jobs))
}

// syncState returns the number of runners that have listed all runs and ends under a token of this holder,
// whether all have on which a former holder may have left something, as far as they are known, and whether
// one may have ended tasks without this holder knowing.
func (c *Cell) syncState(now time.Time) (synced int, all, endsHidden bool) {
	all = true
	for _, r := range c.sorted {
		if r.synced {
			synced++
		} else if r.isListed(now) || r.handedOver {
			all = false
		}
		endsHidden = endsHidden || c.mayHideEnds(now, r)
	}
	return synced, all, endsHidden
}

// mayHideEnds reports whether r may have ended tasks without this holder knowing, since it has more
// ends than it can list and its leases go on.
func (c *Cell) mayHideEnds(now time.Time, r *runner) bool {
	return r.endsTruncated && !r.synced && (r.isListed(now) || r.handedOver || len(r.runs) > 0) && !r.isSilent(now, c.Settings.longestLease())
}
