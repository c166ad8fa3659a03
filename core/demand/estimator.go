package demand

import "gypsumward/core/api"

// Estimator holds the estimates for each kind of task. It is not safe for
// concurrent use.
type Estimator struct {
	settings Settings
	recent   map[kindKey]*Kind // kinds used since the last rotation
	previous map[kindKey]*Kind // other kinds, dropped at the next rotation
	cores    meanUse           // cores in use per task
	memory   meanUse           // bytes of memory in use per task
}

// kindKey identifies a kind of one team.
type kindKey struct {
	team, kind string
}

// New returns an Estimator without kinds.
func New(s Settings) *Estimator {
	if s.MaxKinds <= 0 {
		s.MaxKinds = DefaultMaxKinds
	}
	if s.Cores <= 0 {
		s.Cores = api.DefaultCores
	}
	if s.Memory <= 0 {
		s.Memory = DefaultMemory
	}
	if s.RunTime <= 0 {
		s.RunTime = DefaultRunTime
	}
	if s.Margin <= 0 {
		s.Margin = DefaultMargin
	}
	return &Estimator{settings: s, recent: make(map[kindKey]*Kind), previous: make(map[kindKey]*Kind)}
}

// Kind returns the estimates for a kind of a team and creates them if there are
// none. The result stays valid, but Kind no longer returns it once the kind has
// been dropped.
func (e *Estimator) Kind(team, kind string) *Kind {
	n := kindKey{team: team, kind: kind}
	if k := e.recent[n]; k != nil {
		return k
	}
	k := e.previous[n]
	if k == nil {
		k = newKind(&e.settings)
	}
	delete(e.previous, n)
	e.recent[n] = k
	if 2*len(e.recent) >= e.settings.MaxKinds {
		e.rotate()
	}
	return k
}

// rotate drops the kinds that were not used since the last rotation.
func (e *Estimator) rotate() {
	for _, k := range e.previous {
		k.dropped = true
	}
	clear(e.previous)
	e.recent, e.previous = e.previous, e.recent
}

// KindLoad describes the tasks of one kind on a target.
type KindLoad struct {
	Kind   *Kind
	Count  int     // number of tasks
	Cores  float64 // sum of the declared cores
	Memory float64 // sum of the declared memory in bytes
}

// Usage is the load of a target at the time of a report.
type Usage struct {
	Cores, Memory float64 // cores and bytes of memory in use
	CoresFull     bool    // whether all cores were in use, so that the need may be larger
	Others        int     // number of tasks that ran besides the mix
}

// ObserveUsage corrects the factors of the kinds of a mix with a report. The
// tasks of other instances that ran besides the mix are assumed to use the mean
// of all tasks, with a variance as for an exponential distribution.
func (e *Estimator) ObserveUsage(mix []KindLoad, u Usage) {
	cores := residual{reported: u.Cores, constantNoise: coresNoise, full: u.CoresFull, margin: e.settings.Margin}
	memory := residual{reported: u.Memory, constantNoise: memoryNoise, margin: e.settings.Margin}
	count := u.Others
	for i := range mix {
		count += mix[i].Count
		cores.add(&mix[i].Kind.cores, mix[i].Cores)
		memory.add(&mix[i].Kind.memory, mix[i].Memory)
	}
	e.cores.addOthers(&cores, u.Others, count)
	e.memory.addOthers(&memory, u.Others, count)
	for i := range mix {
		cores.correct(&mix[i].Kind.cores, mix[i].Cores)
		memory.correct(&mix[i].Kind.memory, mix[i].Memory)
	}
}
