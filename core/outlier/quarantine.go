package outlier

import "time"

// quarantine is the quarantine of a target, or of a target for one kind.
type quarantine struct {
	active       bool          // whether the quarantine is active
	probing      bool          // whether a probe is outstanding
	nextProbe    time.Time     // time of the next probe
	probeWait    time.Duration // last wait before a probe
	probesPassed int           // consecutive successful probes
	endedAt      time.Time     // end of the last quarantine
}

// relapseFactor is the time after a quarantine, in multiples of its last wait,
// after which the next one starts with the first wait again.
const relapseFactor = 10

// start starts the quarantine. The first wait is longer after a relapse.
func (q *quarantine) start(now time.Time, s Settings) {
	if q.probeWait > 0 && now.Sub(q.endedAt) < relapseFactor*q.probeWait {
		q.probeWait = min(2*q.probeWait, s.MaxWait)
	} else {
		q.probeWait = s.FirstWait
	}
	q.active, q.probesPassed, q.probing = true, 0, false
	q.nextProbe = now.Add(q.probeWait)
}

// passProbe records a successful probe and reports whether it ended the
// quarantine.
func (q *quarantine) passProbe(now time.Time, s Settings) bool {
	q.probing = false
	q.nextProbe = now
	if q.probesPassed++; q.probesPassed < s.RequiredProbes {
		return false
	}
	q.active, q.endedAt = false, now
	return true
}

// failProbe records a failed probe and doubles the wait.
func (q *quarantine) failProbe(now time.Time, s Settings) {
	q.probing, q.probesPassed = false, 0
	q.probeWait = min(2*q.probeWait, s.MaxWait)
	q.nextProbe = now.Add(q.probeWait)
}

// probeDue reports whether a probe may be sent now.
func (q *quarantine) probeDue(now time.Time) bool {
	return q.active && !q.probing && !now.Before(q.nextProbe)
}
