package node

import (
	"context"
	"sync/atomic"

	"gypsumward/core/api"
	"gypsumward/core/member"
	"gypsumward/core/table"
)

// Lister returns the platform's list of live instances and targets.
type Lister interface {
	Live(ctx context.Context) (table.LiveList, error)
}

// Directory holds what is known of instances and targets from the platform's list,
// from other instances and from the targets themselves; see package member. Its
// exported fields must be set before use.
type Directory struct {
	member.Directory

	List Lister

	loaded atomic.Bool
}

// Live returns the platform's list and records that there has been one. The Directory
// is the Lister of its own Gossip.
func (d *Directory) Live(ctx context.Context) (table.LiveList, error) {
	live, err := d.List.Live(ctx)
	if err == nil {
		d.loaded.Store(true)
	}
	return live, err
}

// Loaded reports whether a list has been received. Before that no targets are known.
func (d *Directory) Loaded() bool {
	return d.loaded.Load()
}

// Others returns the peer addresses of all other entry instances that are not leaving.
// Those that seem unreachable are left out, unless all do.
func (d *Directory) Others() []string {
	v := d.Gossip.View()
	var reachable, unreachable []string
	for i := range v.Entries {
		e := &v.Entries[i]
		switch {
		case e.Leaving || e.Peer == "":
		case e.Silent || e.Unreachable:
			unreachable = append(unreachable, e.Peer)
		default:
			reachable = append(reachable, e.Peer)
		}
	}
	if len(reachable) == 0 {
		return unreachable
	}
	return reachable
}

// Members returns this instance, the other instances and the targets as a status lists
// them.
func (d *Directory) Members() []api.Member {
	v := d.Gossip.View()
	own := api.Member{ID: v.Own.ID, Kind: string(v.Own.Kind), Centre: v.Own.Centre, State: string(member.Live)}
	if v.Own.Leaving {
		own.State = string(member.Leaving)
	}
	return append([]api.Member{own}, d.Directory.Members()...)
}
