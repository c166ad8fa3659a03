package node

import (
	"gypsumward/core/api"
	"gypsumward/core/meter"
)

// Status returns the status that operators see.
func (n *Node) Status() api.Status {
	counts := n.Commit.Counts()
	return api.Status{
		Instance: n.ID, Centre: n.Config.Centre, Revision: n.Holder.Tree().Revision(), Members: n.Directory.Members(),
		Stopping: n.stopping.Load(),
		Queues:   map[string]int{"tasks": n.Owner.Waiting(), "requests": n.Forward.Waiting()},
		Store: api.Store{
			Down: n.Commit.Down(), Transactions: counts.Transactions, Rows: counts.Rows,
			Changes: counts.Changes, Unanswered: counts.Unanswered,
		},
	}
}

// reading returns the current state of the node for its metrics.
func (n *Node) reading() meter.Reading {
	v := n.gossip.View()
	r := meter.Reading{
		Revision:  n.Holder.Tree().Revision(),
		StoreDown: n.Commit.Down(),
		Passed:    v.Passed,
		ListAge:   v.Age,
		Queues: []meter.Queue{
			{Name: "tasks", Length: n.Owner.Waiting(), Limit: n.Config.Limits.Count},
			{Name: "requests", Length: n.Forward.Waiting(), Limit: n.Config.Limits.Count},
		},
	}
	for _, t := range v.Tallies() {
		r.Members = append(r.Members, meter.Members{Kind: t.Kind, State: string(t.State), Count: t.Count})
	}
	return r
}
