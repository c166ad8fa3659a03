package election

import (
	"context"
	"slices"

	"gypsumward/core/table"
)

// Notice announces the holder of a cell to instances that do not watch the rows of the
// cell. It is a copy: claims depend on the rows only.
type Notice struct {
	Holder   Holder   `json:"holder"`
	Epoch    int64    `json:"epoch"` // version of the holder row
	Standbys []string `json:"standbys,omitempty"`
	Reserves []string `json:"reserves,omitempty"`
}

// Names reports whether n names node as the holder, a standby or a reserve.
func (n Notice) Names(node string) bool {
	return n.Holder.Node == node || slices.Contains(n.Standbys, node) || slices.Contains(n.Reserves, node)
}

// Notice returns the notice of the current holder, as far as it is known.
func (e *Elector) Notice() Notice {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := Notice{Holder: e.holder, Epoch: e.holderVersion}
	if e.standbys.version >= e.holderVersion {
		n.Standbys, n.Reserves = e.standbys.Nodes, e.standbys.Reserves
	}
	return n
}

// ApplyNotice updates the holder from a notice, unless a later one is known.
func (e *Elector) ApplyNotice(n Notice) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if n.Epoch > e.holderVersion {
		if len(n.Standbys) > 0 {
			e.standbys.apply(table.Row{Version: n.Epoch, Value: encode(Standbys{Nodes: n.Standbys, Reserves: n.Reserves})})
		}
		e.applyHolder(now, table.Row{Key: e.key(HolderRow), Version: n.Epoch, Value: encode(n.Holder)})
	}
}

// Lookup reads the rows once, for an instance that does not watch them.
func (e *Elector) Lookup(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, e.Settings.StoreTimeout)
	defer cancel()
	found, err := e.Store.Scan(limited, table.Scan{Prefix: e.key(""), Limit: table.MaxScanRows})
	if err != nil {
		return err
	}
	e.applyRows(found.Rows)
	return nil
}
