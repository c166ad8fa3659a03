package cell_test

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/table"
	"gypsumward/core/work"
)

// TestRowsOfEndlessJobs guards against rows of jobs with too many tasks, accepted by earlier builds,
// that end each holder which loads them. The other jobs go on, and these can be cancelled.
func TestRowsOfEndlessJobs(t *testing.T) {
	t.Parallel()
	for _, odd := range []work.Job{
		{RepeatCount: math.MaxInt, Steps: []work.Step{{Count: 2}}},
		{RepeatCount: 1 << 62, Steps: []work.Step{{Count: 1}, {Count: 1}, {Count: 1}, {Count: 1}}},
		{RepeatCount: 2, Interval: math.MaxInt64, FirstDue: 1, Steps: []work.Step{{Count: 1}}},
	} {
		w := newWorld(1, 4, 32000)
		odd.ID, odd.Queue = "00000000000000ff", newJob(1, false, plainStep(1)).Queue
		value, err := json.Marshal(&odd)
		require.NoError(t, err)
		key := "c0/jobs/" + odd.ID
		w.store.version++
		w.store.values[key] = table.Row{Key: key, Version: w.store.version, Value: value}
		p := w.takeOver()
		w.run(time.Second)
		j := newJob(2, false, plainStep(2))
		w.submit(j)
		w.run(5 * time.Second)
		require.Equal(t, work.Succeeded, w.store.state(j.ID))
		require.Contains(t, w.store.values, key, "left as it is")
		state := work.Unknown
		p.exec(func() { p.cell.Cancel(w.now, odd.ID, func(s work.State, _ bool) { state = s }) })
		w.run(time.Second)
		require.Equal(t, work.Cancelled, state)
		require.Equal(t, work.Cancelled, w.store.state(odd.ID))
		require.Empty(t, w.violations)
	}
}
