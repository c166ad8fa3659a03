package settings

import (
	"cmp"
	"slices"

	"gypsumward/core/check"
)

// Snapshot holds all subtrees of one revision. It is the message that instances
// send to each other and to operators.
type Snapshot struct {
	Revision int64     `json:"revision"`
	Teams    []Subtree `json:"teams"` // sorted by name
}

// Tree holds the validated settings of one revision. It is immutable and safe for
// concurrent use. The zero Tree has revision zero and no teams.
type Tree struct {
	snapshot Snapshot
	teams    map[string]Team
}

// NewTree validates all subtrees of s and returns their tree. If there is any
// fault, it returns a nil tree and all faults.
func NewTree(s Snapshot) (*Tree, Faults) {
	s.Teams = append([]Subtree{}, s.Teams...)
	slices.SortFunc(s.Teams, func(a, b Subtree) int { return cmp.Compare(a.Team, b.Team) })
	t := &Tree{snapshot: s, teams: make(map[string]Team, len(s.Teams))}
	var faults Faults
	for _, sub := range s.Teams {
		if r := check.ID("team", sub.Team); r != nil {
			faults = append(faults, Fault{File: TeamRowKey(sub.Team), Detail: r.Detail})
			continue
		}
		if _, ok := t.teams[sub.Team]; ok {
			faults = append(faults, Fault{File: TeamRowKey(sub.Team), Detail: "the team has two subtrees"})
		}
		team, teamFaults := Parse(TeamRowKey(sub.Team), sub.Text)
		faults = append(faults, teamFaults...)
		t.teams[sub.Team] = team
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return t, nil
}

// Revision returns the revision of the newest change in t.
func (t *Tree) Revision() int64 {
	return t.snapshot.Revision
}

// Team returns the settings of the named team and whether it has a subtree. A
// team without a subtree has the defaults. The caller must not modify the slices
// in the result.
func (t *Tree) Team(name string) (Team, bool) {
	team, ok := t.teams[name]
	if !ok {
		return Default(), false
	}
	return team, true
}

// Snapshot returns the snapshot that t was built from, with its teams sorted. The
// caller must not modify it.
func (t *Tree) Snapshot() Snapshot {
	return t.snapshot
}
