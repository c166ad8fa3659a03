package owner

// SetTeamWeight sets the weight and floor of a team; see fair.Queue.SetTeamWeight.
func (o *Owner) SetTeamWeight(team string, weight, floor float64) {
	o.post(weightChanged{team: team, weight: weight, floor: floor})
}

// weightChanged sets the weight and floor of a team.
type weightChanged struct {
	team   string
	weight float64
	floor  float64
}

func (m weightChanged) apply(o *Owner) {
	o.Queue.SetTeamWeight(m.team, m.weight, m.floor)
}
