package hosted

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/cell"
	"gypsumward/core/eventloop"
	"gypsumward/core/mirror"
	"gypsumward/core/shard"
	"gypsumward/core/table"
	"gypsumward/platform"
)

// planRunnersInterval is the longest time between two reads of the rows of runners while this
// instance makes a plan.
const planRunnersInterval = 700 * time.Millisecond

// runnersPerMbps is the number of runners whose orders and reports take about half of a
// link of one megabit a second.
const runnersPerMbps = 12

// runnersPerCell returns the number of runners that the holder of a cell can serve over a
// link of the given megabits a second; zero stands for a link that does not limit them.
func runnersPerCell(mbps float64) int {
	if mbps == 0 {
		return shard.RunnersPerCell
	}
	return max(1, min(int(mbps*runnersPerMbps), shard.RunnersPerCell))
}

// directory holds the runners read from the platform's rows.
type directory struct {
	log     log.Logger
	entries atomic.Pointer[[]cell.RunnerInfo] // nil before the first read
	reads   atomic.Int64                      // number of reads
	bad     map[string]int64                  // versions of the rows that cannot be decoded, by key
}

// apply replaces the runners by those in rows. A row that cannot be decoded names none and is
// logged once for each of its versions.
func (d *directory) apply(rows []table.Row, _ bool) {
	list := make([]cell.RunnerInfo, 0, len(rows))
	bad := map[string]int64{}
	for _, r := range rows {
		entry, err := platform.DecodeRunner(r)
		if err == nil {
			list = append(list, entry)
			continue
		}
		bad[r.Key] = r.Version
		if d.bad[r.Key] != r.Version {
			_ = d.log.Log("event", "badrow", "key", r.Key, "version", r.Version, "err", err)
		}
	}
	d.bad = bad
	d.entries.Store(&list)
	d.reads.Add(1)
}

// runners returns the runners in order of their ids. The slice must not be changed.
func (d *directory) runners() []cell.RunnerInfo {
	if list := d.entries.Load(); list != nil {
		return *list
	}
	return nil
}

// fleet returns the runners as a plan depends on them, and how often they have been read.
func (d *directory) fleet() (runners []shard.Runner, reads int) {
	reads = int(d.reads.Load())
	for _, entry := range d.runners() {
		runners = append(runners, shard.Runner{ID: entry.ID, Zone: entry.Zone})
	}
	return runners, reads
}

// pollRunners reads the rows of the runners with ids after one and not after another until
// ctx ends. Empty ids set no bound.
func (h *Host) pollRunners(ctx context.Context, after, through string, onRows func(rows []table.Row, whole bool)) {
	var count atomic.Int64
	p := &mirror.Poller{
		Store: h.store, Prefix: platform.RunnerPrefix, OnRead: h.readDone(runnerReads), OnError: h.readFailed(runnerReads),
		Interval: func() time.Duration {
			d := cell.ReadInterval(int(count.Load()), h.settings.Current().Drain)
			if h.plan.Load() == nil {
				d = min(d, planRunnersInterval)
			}
			return d
		},
		OnRows: func(rows []table.Row, whole bool) { count.Store(int64(len(rows))); onRows(rows, whole) },
	}
	if after != "" {
		p.After = platform.RunnerPrefix + after
	}
	if through != "" {
		p.Through = platform.RunnerPrefix + through
	}
	p.Run(ctx)
}

// followRunners posts the runners of the cell to l until the term is over.
func (p *participant) followRunners(l *eventloop.Loop) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-l.Done()
		cancel()
	}()
	plan := p.host.plan.Load()
	d := &directory{log: p.log}
	p.host.pollRunners(ctx, p.cell.After, p.cell.Through, func(rows []table.Row, whole bool) {
		d.apply(rows, whole)
		var own []cell.RunnerInfo
		for _, entry := range d.runners() {
			if plan.CellOfRunner(entry.ID, entry.Zone) == p.number {
				own = append(own, entry)
			}
		}
		l.Post(cell.DirectoryUpdate{Entries: own})
	})
}
