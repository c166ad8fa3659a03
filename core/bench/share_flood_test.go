//go:build bench

package bench_test

import (
	"gypsumward/core/bench/fleet"
)

func init() {
	register("share-1-flood", measureFloods)
}

// Stated targets for teams that stay within their share while another team floods.
const (
	minKept         = 0.95 // least goodput relative to that without the flood
	maxLatencyRatio = 1.3  // largest p99 relative to that without the flood
)

// measureFloods measures how much service the other teams keep during a flood.
func measureFloods(r *report, set uint64) {
	skewed := []float64{0.4, 0.3, 0.1, 0.1, 0.1, 0, 0, 0}
	for _, f := range []flood{
		{name: "flood-least-urgent", urgency: 0, parts: evenParts(instanceCount)},
		{name: "flood-most-urgent", urgency: 9, parts: evenParts(instanceCount)},
		{name: "flood-uneven", urgency: 9, parts: skewed, uneven: true},
		{name: "flood-resent", urgency: 9, parts: evenParts(instanceCount), resends: 3, currentPolicyOnly: true},
		{name: "flood-cut", urgency: 9, parts: evenParts(instanceCount), partitioned: true, currentPolicyOnly: true},
		{name: "flood-tight", urgency: 9, parts: evenParts(instanceCount), load: tightLoad},
		{name: "flood-tight-uneven", urgency: 9, parts: skewed, uneven: true, load: tightLoad},
	} {
		for _, p := range sharePolicies {
			if f.currentPolicyOnly && p != byCentreShares {
				continue // the others behave as in the preceding scenarios
			}
			base := newShareWorld(f, p, true, set)
			base.runFlood()
			w := newShareWorld(f, p, false, set)
			w.runFlood()
			x, latencyRatio := w.compare(base, f.name, p.name, set)
			ordinary := row{Scenario: f.name + "-own", Policy: p.name, Set: set}
			ordinary.Kept = float64(w.good[ordinaryGroup]) / float64(base.good[ordinaryGroup])
			r.Rows = append(r.Rows, x)
			if p.fifo || p == byCentreShares {
				r.Rows = append(r.Rows, ordinary)
			}
			if p == byCentreShares {
				r.atLeast(f.name+"-kept", x.Kept, minKept)
				r.atMost(f.name+"-p99-over-without", latencyRatio, maxLatencyRatio)
			}
		}
	}
}

// compare compares the other teams with a run without the flood, base. It returns a row and
// the worst ratio of a team's p99 to that in base. In the row, the columns of the oracle
// hold the worst ratios of p50, p95 and p99 of all other teams, kept is the lowest ratio of
// a team's goodput, and goodput is that of the flood.
func (w *shareWorld) compare(base *shareWorld, scenario, policy string, set uint64) (row, float64) {
	x := row{Scenario: scenario, Policy: policy, Set: set, Kept: 1}
	latencyRatio := 0.0
	for _, team := range otherTeams {
		x.Kept = min(x.Kept, float64(w.good[team])/float64(base.good[team]))
		latencyRatio = max(latencyRatio, quantileRatio(w, base, team, 0.99))
		x.Oracle[0] = max(x.Oracle[0], quantileRatio(w, base, team, 0.5))
		x.Oracle[1] = max(x.Oracle[1], quantileRatio(w, base, team, 0.95))
		x.Oracle[2] = max(x.Oracle[2], quantileRatio(w, base, team, 0.99))
	}
	x.Goodput = float64(w.good[floodTeam]) / float64(max(w.arrivals[floodTeam], 1))
	sent, wasted := 0, 0
	for _, i := range w.instances {
		sent += i.Sent
		wasted += i.Wasted
	}
	x.Wasted = float64(wasted) / float64(max(sent-wasted, 1))
	return x, latencyRatio
}

// quantileRatio returns the ratio of the q-quantile of a team's response times to that in
// base.
func quantileRatio(w, base *shareWorld, team string, q float64) float64 {
	return float64(fleet.Quantile(w.responseTimes[team], q)) / float64(fleet.Quantile(base.responseTimes[team], q))
}
