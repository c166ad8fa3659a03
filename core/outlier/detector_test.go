package outlier_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/outlier"
)

// start is the time at which the tests start.
var start = time.Unix(1000, 0)

// targets is the number of targets in the tests.
const targets = 20

// newDetector returns a detector that tracks all targets.
func newDetector() *outlier.Detector {
	l := outlier.New(outlier.Settings{})
	for no := range targets {
		l.Track(no)
	}
	return l
}

// quarantined returns the number of targets that are quarantined for all kinds.
func quarantined(l *outlier.Detector) (n int) {
	for no := range targets {
		if _, active := l.Quarantined(no); active {
			n++
		}
	}
	return n
}

// TestQuarantinesByFault checks which targets are quarantined after each kind
// of fault. It guards against quarantines of targets whose failures are caused
// by a kind or by chance, and against bad targets that are not detected.
func TestQuarantinesByFault(t *testing.T) {
	t.Parallel()
	const kinds = 4
	for _, test := range []struct {
		name    string
		outcome func(no, kind int, rnd *rand.Rand) outlier.Outcome
		targets int // number of targets quarantined for all kinds
		pairs   int // number of quarantines for one kind on other targets
	}{
		{"all good", func(int, int, *rand.Rand) outlier.Outcome { return outlier.Good }, 0, 0},
		{"one in fifty fails anywhere", func(_, _ int, rnd *rand.Rand) outlier.Outcome {
			return when(rnd.IntN(50) == 0, outlier.Failed)
		}, 0, 0},
		{"black hole", func(no, _ int, _ *rand.Rand) outlier.Outcome { return when(no == 3, outlier.Failed) }, 1, 0},
		{"dead", func(no, _ int, _ *rand.Rand) outlier.Outcome { return when(no == 3, outlier.Broken) }, 1, 0},
		{"three fifths dead", func(no, _ int, _ *rand.Rand) outlier.Outcome {
			return when(no%5 < 3, outlier.Broken)
		}, 12, 0},
		{"one kind on one target", func(no, kind int, _ *rand.Rand) outlier.Outcome {
			return when(no == 3 && kind == 1, outlier.Failed)
		}, 0, 1},
		{"bad kind", func(_, kind int, _ *rand.Rand) outlier.Outcome { return when(kind == 1, outlier.Failed) }, 0, 0},
		{"all dead", func(int, int, *rand.Rand) outlier.Outcome { return outlier.Broken }, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l, rnd, now := newDetector(), rand.New(rand.NewPCG(1, 2)), start
			for range 5000 {
				now = now.Add(100 * time.Microsecond) // no probe is due in all this time
				no, kind := rnd.IntN(targets), rnd.IntN(kinds)
				if _, active := l.Quarantined(no); !active && l.Accepts(now, no, kind) {
					l.Observe(now, no, kind, test.outcome(no, kind, rnd))
				}
			}
			require.Equal(t, test.targets, quarantined(l), "targets")
			pairs := 0
			for no := range targets {
				for kind := range kinds {
					if _, active := l.Quarantined(no); !active && !l.Accepts(now, no, kind) {
						pairs++
					}
				}
			}
			require.Equal(t, test.pairs, pairs, "pairs")
			require.Equal(t, test.name == "bad kind", l.KindFails(1))
		})
	}
}

// when returns o if the condition holds and Good otherwise.
func when(holds bool, o outlier.Outcome) outlier.Outcome {
	if holds {
		return o
	}
	return outlier.Good
}

// TestNeverEmpties checks for random outcomes that a fifth of the targets is
// never quarantined, and that a quarantined target has at most one outstanding
// probe.
func TestNeverEmpties(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		l, now := newDetector(), start
		for range rapid.IntRange(0, 600).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			no, kind := rapid.IntRange(0, targets-1).Draw(t, "no"), rapid.IntRange(0, 3).Draw(t, "kind")
			if _, active := l.Quarantined(no); active && l.StartProbe(now, no) {
				require.False(t, l.StartProbe(now, no), "a second probe")
			}
			l.Observe(now, no, kind, outlier.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
			require.LessOrEqual(t, quarantined(l), targets*4/5)
		}
	})
}

// TestFlappingWaitsLonger guards against a target that alternates between failure
// and success and so gets many calls: each quarantine soon after the last one has
// to start with a longer wait.
func TestFlappingWaitsLonger(t *testing.T) {
	t.Parallel()
	l, now := newDetector(), start
	for no := range targets {
		l.Observe(now, no, 0, outlier.Good)
	}
	var waits []time.Duration
	for range 4 {
		for range 100 {
			if _, active := l.Quarantined(0); !active {
				l.Observe(now, 0, 0, outlier.Broken)
			}
		}
		next, active := l.Quarantined(0)
		require.True(t, active)
		waits = append(waits, next.Sub(now))
		for range outlier.DefaultRequiredProbes {
			now, _ = l.Quarantined(0)
			require.True(t, l.StartProbe(now, 0))
			l.Observe(now, 0, 0, outlier.Good)
		}
		_, active = l.Quarantined(0)
		require.False(t, active)
	}
	require.Equal(t, []time.Duration{1e9, 2e9, 4e9, 8e9}, waits)
}
