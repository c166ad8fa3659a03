package hosted

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/cell"
	"gypsumward/core/table"
	"gypsumward/platform"
)

// directory holds the runners read from the platform's rows.
type directory struct {
	log     log.Logger
	changed func()        // called after rows have been applied
	refresh chan struct{} // requests an immediate read

	mu      sync.Mutex
	runners map[string]cell.RunnerInfo // by row key
	readAt  time.Time                  // when the rows were last read
}

// apply applies rows of runners. A row of version zero removes its runner, and so does
// a row that cannot be decoded. If complete is set, rows replaces all runners.
func (d *directory) apply(rows []table.Row, complete bool) {
	if len(rows) == 0 && !complete {
		return
	}
	d.mu.Lock()
	if complete || d.runners == nil {
		d.runners = map[string]cell.RunnerInfo{}
	}
	for _, r := range rows {
		if r.Version == 0 {
			delete(d.runners, r.Key)
			continue
		}
		entry, err := platform.DecodeRunner(r)
		if err != nil {
			_ = d.log.Log("event", "badrow", "key", r.Key, "err", err)
			delete(d.runners, r.Key)
			continue
		}
		d.runners[r.Key] = entry
	}
	d.readAt = time.Now()
	d.mu.Unlock()
	d.changed()
}

// requestRefresh makes the poll read the rows at once. It does not block.
func (d *directory) requestRefresh() {
	select {
	case d.refresh <- struct{}{}:
	default:
	}
}

// count returns the number of runners.
func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.runners)
}

// maxDirectoryAge is the age from which on the runners are not used before they have been
// read again.
const maxDirectoryAge = 5 * time.Second

// snapshot returns the runners in no particular order. Ok is false if they were not read
// recently.
func (d *directory) snapshot() (list []cell.RunnerInfo, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list = make([]cell.RunnerInfo, 0, len(d.runners))
	for _, entry := range d.runners {
		list = append(list, entry)
	}
	return list, time.Since(d.readAt) < maxDirectoryAge
}
