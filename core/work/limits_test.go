package work_test

import (
	"math"
	"math/big"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/work"
)

// atLimits draws a number at or next to a limit of its type, of a job or of a product of the two.
func atLimits() *rapid.Generator[int] {
	return rapid.SampledFrom([]int{
		0, 1, 2, 3, 4, 1000, work.MaxTasks - 1, work.MaxTasks, work.MaxTasks + 1, math.MaxInt32, math.MaxInt32 + 1,
		1 << 61, 1<<61 + 1, 1 << 62, 1<<62 + 1, math.MaxInt/3 + 1, math.MaxInt - 1, math.MaxInt, -1, math.MinInt,
	})
}

// TestValidateLimits guards against jobs that are valid since a product or sum of their fields
// exceeds the range of its type.
func TestValidateLimits(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := atLimits()
		j := work.Job{ID: "a", RepeatCount: n.Draw(t, "repeat"), FirstDue: int64(n.Draw(t, "first")), Interval: int64(n.Draw(t, "interval"))}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			j.Steps = append(j.Steps, work.Step{
				Count: n.Draw(t, "count"), CPU: n.Draw(t, "cpu"), Memory: n.Draw(t, "memory"), GPU: n.Draw(t, "gpu"),
				Estimate: n.Draw(t, "estimate"), MaxPerRunner: n.Draw(t, "spread"), TailLatencyTarget: n.Draw(t, "tail"),
			})
		}
		if rapid.Bool().Draw(t, "small") { // so that the repetition decides
			j.Steps = []work.Step{{Count: rapid.IntRange(1, 4).Draw(t, "tasks")}, {Count: 1}}
		}
		if j.Validate() != nil {
			return
		}
		tasks := new(big.Int)
		for i := range j.Steps {
			s := &j.Steps[i]
			tasks.Add(tasks, big.NewInt(int64(s.Count)))
			require.LessOrEqual(t, s.Memory, work.MaxMemory)
			require.LessOrEqual(t, s.GPU, work.MaxGPU)
			require.LessOrEqual(t, s.Estimate, work.MaxEstimate)
			require.GreaterOrEqual(t, s.TailLatencyTarget, 0)
		}
		tasks.Mul(tasks, big.NewInt(int64(j.Occurrences())))
		require.True(t, tasks.Cmp(big.NewInt(work.MaxTasks)) <= 0, "%v tasks", tasks)
		last := big.NewInt(int64(max(j.RepeatCount, 1) - 1))
		last.Mul(last, big.NewInt(j.Interval)).Add(last, big.NewInt(j.FirstDue))
		require.True(t, last.IsInt64(), "last occurrence due at %v", last)
	})
}
