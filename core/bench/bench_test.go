//go:build bench

package bench_test

import (
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sets are the seeds of the runs of each experiment.
var sets = []uint64{1, 2}

// row holds the results of one policy in one scenario with one set of seeds. Response
// times are quantiles relative to those of another system for the same calls.
type row struct {
	Scenario string     `json:"scenario"`
	Policy   string     `json:"policy"`
	Set      uint64     `json:"set"`
	Oracle   [3]float64 `json:"oracle"`         // p50, p95, p99 relative to those of the oracle
	Fastest  [3]float64 `json:"fastest"`        // p50, p95, p99 of the response time relative to the fastest idle target
	Goodput  float64    `json:"goodput"`        // useful answers per call
	Wasted   float64    `json:"wasted"`         // ratio of wasted to useful messages
	Kept     float64    `json:"kept,omitempty"` // goodput of other teams relative to that without the flood
}

// target is a stated target with the worst result of all sets.
type target struct {
	Name      string  `json:"name"`
	Value     float64 `json:"value"`
	Bound     float64 `json:"bound"`
	IsMinimum bool    `json:"least,omitempty"` // the bound is a lower one
	Met       bool    `json:"met"`
}

// report holds the results of experiments.
type report struct {
	Rows    []row    `json:"rows"`
	Targets []target `json:"targets"`
}

// experiment is a named measurement. Its function adds the results for one set of seeds to
// a report.
type experiment struct {
	name string // experiments run in order of name
	run  func(r *report, set uint64)
}

// experiments are all registered experiments.
var experiments []experiment

// register adds an experiment. It is called by init functions.
func register(name string, run func(r *report, set uint64)) {
	experiments = append(experiments, experiment{name, run})
}

// atMost adds a target that is met if value does not exceed bound.
func (r *report) atMost(name string, value, bound float64) {
	r.Targets = append(r.Targets, target{Name: name, Value: value, Bound: bound, Met: value <= bound})
}

// atLeast adds a target that is met if value is not less than bound.
func (r *report) atLeast(name string, value, bound float64) {
	r.Targets = append(r.Targets, target{Name: name, Value: value, Bound: bound, IsMinimum: true, Met: value >= bound})
}

// merge adds the results of another report. Of two results for a target it keeps the worse.
func (r *report) merge(other report) {
	r.Rows = append(r.Rows, other.Rows...)
	for _, t := range other.Targets {
		at := -1
		for i := range r.Targets {
			if r.Targets[i].Name == t.Name {
				at = i
			}
		}
		switch {
		case at < 0:
			r.Targets = append(r.Targets, t)
		case t.IsMinimum == (t.Value < r.Targets[at].Value):
			r.Targets[at] = t
		}
	}
}

// format returns the table and the lines of the targets as text.
func (r *report) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-22s %-20s %3s  %6s %6s %6s  %6s %6s %6s  %7s %7s %6s\n",
		"scenario", "policy", "set", "p50/or", "p95/or", "p99/or", "p50/id", "p95/id", "p99/id", "goodput", "wasted", "kept")
	for _, w := range r.Rows {
		fmt.Fprintf(&b, "%-22s %-20s %3d  %s  %s  %7.4f %7.4f %s\n", w.Scenario, w.Policy, w.Set,
			formatValues(w.Oracle[:]), formatValues(w.Fastest[:]), w.Goodput, w.Wasted, formatValues([]float64{w.Kept}))
	}
	for _, t := range r.Targets {
		verdict := "short"
		if t.Met {
			verdict = "met"
		}
		fmt.Fprintf(&b, "target %s %.4g bound %.4g %s\n", t.Name, t.Value, t.Bound, verdict)
	}
	return b.String()
}

// formatValues returns values in columns of six characters. A zero value, which means not
// applicable, is shown as a dash.
func formatValues(values []float64) string {
	texts := make([]string, len(values))
	for i, v := range values {
		texts[i] = fmt.Sprintf("%6.3f", v)
		if v == 0 {
			texts[i] = "     -"
		}
	}
	return strings.Join(texts, " ")
}

// isShortRun reports whether the runs are shortened. Only verbose runs, such as those of
// "make bench", print results and therefore measure.
func isShortRun() bool {
	return !testing.Verbose()
}

// TestBench runs all experiments and prints the results. A target that is not met is
// printed as short and does not fail the test. If BENCH_JSON is set, it names a file for
// the results; if BENCH_ONLY is set, only experiments whose names start with it are run.
func TestBench(t *testing.T) {
	sort.Slice(experiments, func(i, j int) bool { return experiments[i].name < experiments[j].name })
	only := os.Getenv("BENCH_ONLY")
	if isShortRun() {
		sets = sets[:1]
		warmUp, measured, drain = warmUp/10, measured/10, drain/10
	}
	parts := make([][]report, len(experiments))
	t.Run("run", func(t *testing.T) {
		for i, e := range experiments {
			parts[i] = make([]report, len(sets))
			for j, set := range sets {
				if !strings.HasPrefix(e.name, only) {
					continue
				}
				t.Run(fmt.Sprintf("%s/%d", e.name, set), func(t *testing.T) {
					t.Parallel()
					e.run(&parts[i][j], set)
				})
			}
		}
	})
	var all report
	for _, p := range parts {
		for _, r := range p {
			all.merge(r)
		}
	}
	require.NotEmpty(t, all.Rows)
	t.Log("\n" + all.format())
	if file := os.Getenv("BENCH_JSON"); file != "" {
		text, err := json.MarshalIndent(all, "", "  ")
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file, text, 0o644))
	}
}
