package hosted

import (
	"sync"

	"github.com/go-kit/log"

	"gypsumward/core/cell"
	"gypsumward/core/table"
	"gypsumward/platform"
)

// directory keeps the list of runners.
type directory struct {
	log     log.Logger
	changed func() // called after each reading
	wanted  chan struct{}

	mu   sync.Mutex
	list map[string]cell.Listing
}

// take takes rows of runners.
func (d *directory) take(rows []table.Row, whole bool) {
	if len(rows) == 0 && !whole {
		return
	}
	d.mu.Lock()
	if whole || d.list == nil {
		d.list = map[string]cell.Listing{}
	}
	for _, r := range rows {
		if r.Version == 0 {
			delete(d.list, r.Key)
			continue
		}
		l, err := platform.DecodeRunner(r)
		if err != nil {
			_ = d.log.Log("event", "badrow", "key", r.Key, "err", err)
			delete(d.list, r.Key)
			continue
		}
		d.list[r.Key] = l
	}
	d.mu.Unlock()
	d.changed()
}

// want asks for the rows to be read at once.
func (d *directory) want() {
	select {
	case d.wanted <- struct{}{}:
	default:
	}
}

// count returns the number of runners.
func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.list)
}

func (d *directory) listings() []cell.Listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]cell.Listing, 0, len(d.list))
	for _, l := range d.list {
		list = append(list, l)
	}
	return list
}
