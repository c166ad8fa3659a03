package teams

import (
	"gypsumward/core/settings"
	"gypsumward/core/span"
)

// Jobs receives the shares of teams; see package owner.
type Jobs interface {
	SetTeamWeight(team string, weight, floor float64)
}

// Requests receives the shares and retry ratios of teams; see package forward.
type Requests interface {
	SetTeamWeight(team string, weight, floor, ratio float64)
}

// Teams reports the settings of teams in the active tree, and passes changes to Jobs
// and Requests. Its exported fields must be set before the first call. Known and
// Deadline are safe for concurrent use. Apply must be called by one goroutine only.
type Teams struct {
	Active   *settings.ActiveTree
	Jobs     Jobs
	Requests Requests

	applied map[string]teamShares // by team, as of the last Apply
}

// teamShares holds the settings of a team that Jobs and Requests receive.
type teamShares struct {
	weight, floor, retryRatio float64
}

// Apply passes the settings of teams in tree to Jobs and Requests where they differ from
// those applied before. Teams that tree no longer has get the default settings.
func (t *Teams) Apply(tree *settings.Tree) {
	next := make(map[string]teamShares)
	for _, sub := range tree.Snapshot().Teams {
		if team, ok := tree.Team(sub.Team); ok {
			next[sub.Team] = sharesOf(team)
		}
	}
	for team, s := range next {
		if old, ok := t.applied[team]; !ok || old != s {
			t.update(team, s)
		}
	}
	for team := range t.applied {
		if _, ok := next[team]; !ok {
			t.update(team, sharesOf(settings.Default()))
		}
	}
	t.applied = next
}

// update passes the settings of a team to Jobs and Requests.
func (t *Teams) update(team string, s teamShares) {
	t.Jobs.SetTeamWeight(team, s.weight, s.floor)
	t.Requests.SetTeamWeight(team, s.weight, s.floor, s.retryRatio)
}

func sharesOf(team settings.Team) teamShares {
	return teamShares{weight: team.Weight, floor: team.Floor, retryRatio: team.RetryBudget}
}

// Known reports whether work of the team is accepted.
func (t *Teams) Known(team string) bool {
	tree := t.Active.Tree()
	if tree.Revision() == 0 {
		return true
	}
	_, known := tree.Team(team)
	return known
}

// Deadline returns the deadline of those requests of the team that declare none, as the
// time until the answer.
func (t *Teams) Deadline(team string) span.Span {
	found, _ := t.Active.Tree().Team(team)
	return found.DefaultDeadline
}
