package outlier

import "time"

// failingRate is the failure rate above which a kind counts as failing.
const failingRate = 0.6

// minTargets is the number of targets below which Failing always reports false.
const minTargets = 3

// Outcome is the result of a call as far as it concerns the target.
type Outcome int

// The outcomes of calls.
const (
	Good   Outcome = iota // the call ran and succeeded
	Failed                // the call ran and failed
	Broken                // the connection broke, or the response was malformed or late
)

// target is the state of one target.
type target struct {
	quarantine
	tracked            bool    // whether the target is tracked
	totalEvidence      float64 // evidence over all kinds
	connection         rate    // rate of broken calls
	kinds              []pair  // by kind
	lastFailedKind     int     // last kind that failed, plus one; zero if none
	severalKindsFailed bool    // whether several kinds have failed since the evidence of one fell to zero
}

// pair is the state of one target for one kind.
type pair struct {
	quarantine
	rate
}

// Detector detects failing targets and holds their quarantines. It is not safe
// for concurrent use.
type Detector struct {
	settings         Settings
	targets          []target
	trackedCount     int     // number of tracked targets
	quarantinedCount int     // number of targets quarantined for all kinds
	connections      peers   // rates of broken calls
	kinds            []peers // rates of failed calls by kind
}

// New returns a Detector without targets.
func New(s Settings) *Detector {
	return &Detector{settings: s.withDefaults()}
}

// Track starts to track the target, which is not quarantined at first. It has no
// effect if the target is tracked already.
func (d *Detector) Track(targetNo int) {
	for len(d.targets) <= targetNo {
		d.targets = append(d.targets, target{})
	}
	if t := &d.targets[targetNo]; !t.tracked {
		t.tracked = true
		d.trackedCount++
	}
}

// Untrack deletes the state of the target, so that its number can be reused. It
// has no effect if the target is not tracked.
func (d *Detector) Untrack(targetNo int) {
	if targetNo >= len(d.targets) || !d.targets[targetNo].tracked {
		return
	}
	t := &d.targets[targetNo]
	d.trackedCount--
	if t.active {
		d.quarantinedCount--
	}
	d.connections.exclude(&t.connection)
	for k := range t.kinds {
		d.kinds[k].exclude(&t.kinds[k].rate)
	}
	*t = target{}
}

// Quarantined reports whether the target is quarantined for all kinds and gets
// probes only, and when the next probe is due; the time is zero while a probe
// is outstanding.
func (d *Detector) Quarantined(targetNo int) (nextProbe time.Time, quarantined bool) {
	g := &d.targets[targetNo].quarantine
	if g.probing {
		return time.Time{}, g.active
	}
	return g.nextProbe, g.active
}

// StartProbe records that a probe of a quarantined target is sent. It reports
// false and has no effect if none is due.
func (d *Detector) StartProbe(now time.Time, targetNo int) bool {
	g := &d.targets[targetNo].quarantine
	if !g.probeDue(now) {
		return false
	}
	g.probing = true
	return true
}

// Accepts reports whether a target that is not quarantined for all kinds may
// get a call of the kind: it is not quarantined for the kind, or a probe of the
// kind is due. If the call is sent, RecordSent has to follow.
func (d *Detector) Accepts(now time.Time, targetNo, kind int) bool {
	t := &d.targets[targetNo]
	if kind >= len(t.kinds) {
		return true
	}
	g := &t.kinds[kind].quarantine
	return !g.active || g.probeDue(now)
}

// RecordSent records that a call of the kind was sent after Accepts reported
// true.
func (d *Detector) RecordSent(targetNo, kind int) {
	t := &d.targets[targetNo]
	if kind < len(t.kinds) && t.kinds[kind].active {
		t.kinds[kind].probing = true
	}
}

// CancelProbe ends an outstanding probe without an outcome, such as a call that
// the target refused.
func (d *Detector) CancelProbe(targetNo, kind int) {
	t := &d.targets[targetNo]
	t.probing = false
	if kind < len(t.kinds) {
		t.kinds[kind].probing = false
	}
}

// KindFails reports whether most calls of the kind fail, on several targets.
// Such failures are caused by the kind, so that a retry on another target is of
// no use.
func (d *Detector) KindFails(kind int) bool {
	if kind >= len(d.kinds) {
		return false
	}
	p := &d.kinds[kind]
	return p.all.count >= minTargets && p.rate > failingRate
}

// Observe updates the evidence with the outcome of a call of the kind on the
// target. It reports whether a quarantine of the target for all kinds started
// or ended.
func (d *Detector) Observe(now time.Time, targetNo, kind int, o Outcome) (changed bool) {
	t := &d.targets[targetNo]
	before := t.active
	d.connections.observe(&t.connection, o == Broken)
	if o != Broken {
		d.observeKind(now, t, kind, o == Failed)
		d.kinds[kind].updateRate(targetNo, o == Failed)
	}
	switch {
	case t.active && t.probing:
		d.recordProbe(now, t, kind, o)
	case !t.active && (t.connection.evidence >= d.settings.EvidenceThreshold || (t.severalKindsFailed && t.totalEvidence >= d.settings.EvidenceThreshold)):
		d.quarantineTarget(now, t)
	}
	return t.active != before
}

// observeKind updates the evidence for the kind on the target with the result
// of a call that ran.
func (d *Detector) observeKind(now time.Time, t *target, kind int, failed bool) {
	for len(d.kinds) <= kind {
		d.kinds = append(d.kinds, peers{})
	}
	for len(t.kinds) <= kind {
		t.kinds = append(t.kinds, pair{})
	}
	p := &t.kinds[kind]
	ratio := d.kinds[kind].observe(&p.rate, failed)
	t.addEvidence(kind, failed, p.evidence, ratio)
	switch {
	case p.active && p.probing && failed:
		p.failProbe(now, d.settings)
	case p.active && p.probing:
		if p.passProbe(now, d.settings) {
			p.evidence = d.settings.EvidenceThreshold / 2
		}
	case !p.active && p.evidence >= d.settings.EvidenceThreshold && d.mayQuarantineKind(kind):
		p.start(now, d.settings)
	}
}

// addEvidence adds the likelihood ratio of one call of a kind to the evidence
// against the target as a whole. That evidence is used only once several kinds
// have failed; a success of a kind without evidence against it resets this
// condition.
func (t *target) addEvidence(kind int, failed bool, evidence, ratio float64) {
	t.totalEvidence = max(t.totalEvidence+ratio, 0)
	if !failed {
		if evidence == 0 {
			t.lastFailedKind, t.severalKindsFailed = 0, false
		}
		return
	}
	if t.lastFailedKind != 0 && t.lastFailedKind != kind+1 {
		t.severalKindsFailed = true
	}
	t.lastFailedKind = kind + 1
}

// recordProbe records the outcome of a probe. The failure of a kind that fails
// on most other targets too ends the probe without a result.
func (d *Detector) recordProbe(now time.Time, t *target, kind int, o Outcome) {
	switch {
	case o == Good:
		if t.passProbe(now, d.settings) {
			d.quarantinedCount--
			t.connection.evidence = d.settings.EvidenceThreshold / 2
			t.totalEvidence = d.settings.EvidenceThreshold / 2
		}
	case o == Failed && d.kinds[kind].peerRate(&t.kinds[kind].rate) > 0.5:
		t.probing = false
	default:
		t.failProbe(now, d.settings)
	}
}

// quarantineTarget quarantines a target for all kinds unless too many are
// quarantined.
func (d *Detector) quarantineTarget(now time.Time, t *target) {
	if float64(d.quarantinedCount+1) > d.settings.MaxQuarantined*float64(d.trackedCount) {
		return
	}
	d.quarantinedCount++
	t.start(now, d.settings)
	if t.connection.evidence >= d.settings.EvidenceThreshold {
		d.connections.setFailed(&t.connection)
	}
}

// mayQuarantineKind reports whether one more target may be quarantined for the
// kind.
func (d *Detector) mayQuarantineKind(kind int) bool {
	quarantined := 0
	for i := range d.targets {
		if t := &d.targets[i]; t.tracked && kind < len(t.kinds) && t.kinds[kind].active {
			quarantined++
		}
	}
	return float64(quarantined+1) <= d.settings.MaxQuarantined*float64(d.trackedCount)
}
