package demand

import "time"

// Parameters of the estimated run time.
const (
	maxStep   = 3    // upper bound of a run time in multiples of the mean
	minWeight = 0.05 // weight of the newest run after many runs
)

// Kind holds the estimates for one kind of task of a team.
type Kind struct {
	settings      *Settings
	cores, memory factor
	meanRunTime   time.Duration // mean run time
	runs          int           // number of observed run times
	dropped       bool
}

// newKind returns a Kind without observations.
func newKind(s *Settings) *Kind {
	prior := newFactor(s.Margin)
	return &Kind{settings: s, cores: prior, memory: prior}
}

// Dropped reports whether the Estimator has dropped the kind, so that it no
// longer returns it.
func (k *Kind) Dropped() bool {
	return k.dropped
}

// Declared returns the declared cores and bytes of memory of a task, with the
// defaults of Settings for those that are not positive.
func (k *Kind) Declared(cores float64, memory int64) (float64, float64) {
	if cores <= 0 {
		cores = k.settings.Cores
	}
	if memory <= 0 {
		memory = k.settings.Memory
	}
	return cores, float64(memory)
}

// Need returns the cores and bytes of memory to reserve for tasks with the given
// declared sums: the expected need plus a margin that shrinks with each report.
func (k *Kind) Need(cores, memory float64) (float64, float64) {
	return cores * k.cores.upper, memory * k.memory.upper
}

// MeanNeed returns the expected cores and bytes of memory in use by tasks with
// the given declared sums.
func (k *Kind) MeanNeed(cores, memory float64) (float64, float64) {
	return cores * k.cores.mean, memory * k.memory.mean
}

// knownSamples is the number of reports from which on the need of a kind counts
// as known.
const knownSamples = 20

// Known reports whether there are enough reports for the estimated need to
// overrule a declared one.
func (k *Kind) Known() bool {
	return k.cores.samples >= knownSamples && k.memory.samples >= knownSamples
}

// ObserveRunTime updates the estimated run time with that of a task that
// succeeded. It has no effect if the run time is not positive.
func (k *Kind) ObserveRunTime(runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	k.runs++
	if k.runs == 1 {
		k.meanRunTime = runTime
		return
	}
	weight := max(1/float64(k.runs), minWeight)
	runTime = min(runTime, maxStep*k.meanRunTime)
	k.meanRunTime += time.Duration(weight * float64(runTime-k.meanRunTime))
}

// RunTime returns the expected run time of a task: the mean of the observed
// ones, or else the declared one, or else, if that is not positive, the default
// of Settings.
func (k *Kind) RunTime(declared time.Duration) time.Duration {
	if k.runs > 0 {
		return k.meanRunTime
	}
	if declared > 0 {
		return declared
	}
	return k.settings.RunTime
}
