package member

import "gypsumward/core/api"

// Directory serves look-ups of other instances and targets from the view of the
// last gossip round.
type Directory struct {
	Gossip *Gossip
}

// Ready reports whether a list of the platform or a record of another instance
// was received since the start.
func (d Directory) Ready() bool {
	v := d.Gossip.View()
	return v.Ready
}

// PeerAddr returns the peer address of the named instance. The result is false if the
// instance is not known.
func (d Directory) PeerAddr(name string) (string, bool) {
	v := d.Gossip.View()
	return v.PeerAddr(name)
}

// Neighbours returns the peer addresses of the other instances in the data centre
// of this instance, those most likely to be reachable first.
func (d Directory) Neighbours() []string {
	v := d.Gossip.View()
	return v.Neighbours(v.Own.Centre)
}

// Members returns all other instances and all targets with their conditions, as
// reported by the status call.
func (d Directory) Members() []api.Member {
	v := d.Gossip.View()
	list := make([]api.Member, 0, len(v.Entries)+len(v.Runners)+len(v.Workers))
	for i := range v.Entries {
		e := &v.Entries[i]
		list = append(list, api.Member{ID: e.ID, Kind: string(e.Kind), Centre: e.Centre, State: string(e.condition())})
	}
	for _, targets := range [][]Target{v.Runners, v.Workers} {
		for i := range targets {
			t := &targets[i]
			list = append(list, api.Member{ID: t.ID, Kind: string(t.Kind), Centre: t.Centre, State: string(t.condition())})
		}
	}
	return list
}
