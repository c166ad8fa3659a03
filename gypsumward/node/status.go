package node

import (
	"gypsumward/core/api"
	"gypsumward/core/meter"
)

// Status returns the status that operators see.
func (n *Node) Status() api.Status {
	counts := n.Commit.Counts()
	return api.Status{
		Instance: n.ID, Centre: n.Config.Centre, SettingsRevision: n.Active.Tree().Revision(), Members: n.Directory.Members(),
		Stopping: n.stopping.Load(),
		Queues:   map[string]int{"tasks": n.Owner.QueueLen(), "requests": n.Forward.QueueLen()},
		Store: api.StoreStatus{
			Down: n.Commit.IsDown(), Transactions: counts.Transactions, Rows: counts.Rows,
			Changes: counts.Changes, Unanswered: counts.Unanswered,
		},
	}
}

// reading returns the current state of the node for its metrics.
func (n *Node) reading() meter.Gauges {
	v := n.gossip.View()
	r := meter.Gauges{
		Revision:   n.Active.Tree().Revision(),
		StoreDown:  n.Commit.IsDown(),
		Superseded: v.Superseded,
		ListAge:    v.ListAge,
		Queues: []meter.Queue{
			{Name: "tasks", Length: n.Owner.QueueLen(), Limit: n.Config.Limits.Count},
			{Name: "requests", Length: n.Forward.QueueLen(), Limit: n.Config.Limits.Count},
		},
	}
	for _, t := range v.Tallies() {
		r.Members = append(r.Members, meter.MemberCount{Kind: t.Kind, State: string(t.State), Count: t.Count})
	}
	return r
}
