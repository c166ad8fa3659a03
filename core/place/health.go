package place

import (
	"time"

	"gypsumward/core/demand"
)

// Limits of quarantine.
const (
	quarantineScore     = 2.8              // failures, weighted by the success rate of their kinds, that cause a quarantine
	earlyFailureWeight  = 1.5              // weight of a failure that came much earlier than the expected end
	successCredit       = 1                // subtracted from the failure score for a success
	requiredProbes      = 3                // successful probes that end the quarantine
	maxQuarantineFactor = 16               // limit of the doubling of the quarantine, in multiples of the first one
	relapseWindow       = 10 * time.Minute // time after a quarantine in which the next one counts as a relapse, and for which an unlisted worker is remembered
	refusalBackoff      = time.Second      // back-off of a worker that refused a task
)

// phase is the health state of a worker.
type phase int

const (
	serving     phase = iota // gets tasks
	quarantined              // gets no tasks
	probing                  // gets one task at a time
)

// health holds the failure score of a worker and its quarantine.
type health struct {
	phase            phase
	failureScore     float64       // failure score over all kinds
	quarantinedUntil time.Time     // end of the quarantine
	quarantineLength time.Duration // length of the last quarantine; zero if there was none
	recoveredAt      time.Time     // end of the last quarantine
	probesPassed     int           // successful probes in this quarantine
	kinds            []kindHealth  // kinds with failures
}

// kindHealth holds the failure score of a worker for one kind of task.
type kindHealth struct {
	kind         *demand.Kind
	failureScore float64
	blockedUntil time.Time // time until which the worker gets no tasks of the kind
}

// isBlocked reports whether the worker gets no tasks of the kind now.
func (h *health) isBlocked(now time.Time, k *demand.Kind) bool {
	for i := range h.kinds {
		if h.kinds[i].kind == k {
			return now.Before(h.kinds[i].blockedUntil)
		}
	}
	return false
}

// ofKind returns the health for a kind and creates it if there is none.
func (h *health) ofKind(k *demand.Kind) *kindHealth {
	for i := range h.kinds {
		if h.kinds[i].kind == k {
			return &h.kinds[i]
		}
	}
	h.kinds = append(h.kinds, kindHealth{kind: k})
	return &h.kinds[len(h.kinds)-1]
}

// recordSuccess reduces the failure scores after a success of a task of a kind.
func (h *health) recordSuccess(k *demand.Kind) {
	h.failureScore = max(h.failureScore-successCredit, 0)
	for i := range h.kinds {
		if h.kinds[i].kind != k {
			continue
		}
		h.kinds[i].failureScore -= successCredit
		if h.kinds[i].failureScore <= 0 {
			h.kinds[i] = h.kinds[len(h.kinds)-1]
			h.kinds = h.kinds[:len(h.kinds)-1]
		}
		return
	}
}

// quarantine starts a quarantine of the worker. Its length is first, or twice
// that of the last quarantine after a relapse, up to a limit.
func (h *health) quarantine(now time.Time, first time.Duration) {
	switch {
	case h.quarantineLength == 0 || now.Sub(h.recoveredAt) > relapseWindow && h.phase == serving:
		h.quarantineLength = first
	default:
		h.quarantineLength = min(2*h.quarantineLength, maxQuarantineFactor*first)
	}
	h.phase = quarantined
	h.quarantinedUntil = now.Add(h.quarantineLength)
	h.probesPassed = 0
	h.failureScore = 0
}

// recordProbe records a successful probe and reports whether it ended the
// quarantine.
func (h *health) recordProbe(now time.Time) bool {
	h.probesPassed++
	if h.probesPassed < requiredProbes {
		return false
	}
	h.phase = serving
	h.recoveredAt = now
	return true
}
