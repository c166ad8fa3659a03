package forward

import (
	"gypsumward/core/retry"
)

// SetTeamWeight sets the weight and the floor of a team; see
// fair.Queue.SetTeamWeight. The ratio is the team's number of retries for each first
// attempt; there are no retries if it is not positive. All teams for which
// SetTeamWeight was never called share SharedBudget.
func (f *Forwarder) SetTeamWeight(team string, weight, floor, ratio float64) {
	f.post(teamWeightMessage{team: team, weight: weight, floor: floor, ratio: ratio})
}

// teamWeightMessage carries the arguments of SetTeamWeight.
type teamWeightMessage struct {
	team   string
	weight float64
	floor  float64
	ratio  float64
}

// apply sets the weight and the floor of the team, and replaces its retry budget if
// the ratio has changed.
func (m teamWeightMessage) apply(f *Forwarder) {
	f.Queue.SetTeamWeight(m.team, m.weight, m.floor)
	f.teamWeights[m.team] = teamWeight{weight: m.weight, floor: m.floor}
	f.shares.SetTeamWeight(m.team, m.weight)
	if old, ok := f.budgets[m.team]; ok && old.ratio == m.ratio {
		return // keep the budget already spent
	}
	f.budgets[m.team] = teamBudget{ratio: m.ratio, budget: retry.NewBudget(ratioSettings(m.ratio))}
}

// teamBudget is the retry budget of one team.
type teamBudget struct {
	ratio  float64
	budget *retry.Budget
}

// disabled is negative, so that a field of retry.Settings counts as zero; a zero
// field would mean its default.
const disabled = -1

// ratioSettings returns the settings of a budget with the given ratio of retries.
// The budget permits no retries if ratio is not positive.
func ratioSettings(ratio float64) retry.Settings {
	if ratio > 0 {
		return retry.Settings{Ratio: ratio}
	}
	return retry.Settings{Ratio: disabled, Rate: disabled, Burst: disabled}
}

// budget returns the retry budget of a team: its own, or SharedBudget.
func (f *Forwarder) budget(team string) *retry.Budget {
	if b, ok := f.budgets[team]; ok {
		return b.budget
	}
	return f.SharedBudget
}
