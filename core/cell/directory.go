package cell

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Resources is an amount of the resources that tasks need.
type Resources struct {
	CPU    int // thousandths of a core
	Memory int // megabytes
	GPU    int
}

// fits reports whether n fits into r.
func (r Resources) fits(n Resources) bool {
	return n.CPU <= r.CPU && n.Memory <= r.Memory && n.GPU <= r.GPU
}

func (r Resources) sub(n Resources) Resources {
	return Resources{CPU: r.CPU - n.CPU, Memory: r.Memory - n.Memory, GPU: r.GPU - n.GPU}
}

func (r Resources) add(n Resources) Resources {
	return Resources{CPU: r.CPU + n.CPU, Memory: r.Memory + n.Memory, GPU: r.GPU + n.GPU}
}

// least returns the lesser amount of each resource.
func (r Resources) least(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), Memory: min(r.Memory, o.Memory), GPU: min(r.GPU, o.GPU)}
}

// capacityFor returns how many times n fits into r, at most math.MaxInt32.
func (r Resources) capacityFor(n Resources) int {
	count := math.MaxInt32
	for _, amounts := range [...][2]int{{r.CPU, n.CPU}, {r.Memory, n.Memory}, {r.GPU, n.GPU}} {
		if amounts[1] > 0 {
			count = min(count, max(amounts[0], 0)/amounts[1])
		}
	}
	return count
}

// RunnerInfo is the directory entry of a runner.
type RunnerInfo struct {
	ID          string
	Addr        string
	Service     string
	Zone        string
	MachineKind string // kind of machine; runners of one kind are about equally fast
	Rack        string
	Labels      []string
	Draining    bool          // receives no more work
	Version     int64         // of the entry; differs if it was rewritten
	ColdFor     time.Duration // for which it stays slower than usual, from the first read of the entry
	Incarnation int64         // start time; identifies the incarnation
	Capacity    Resources     // total resources
}

// Bounds of the time between two reads of the directory.
const (
	minReadInterval   = 400 * time.Millisecond
	intervalPerRunner = 8 * time.Millisecond
	drainDivisor      = 4 // a read may fail twice before a runner that leaves must get no more work
)

// ReadInterval returns the time between two reads of a directory. It grows with the number
// of runners, so that the bytes a second do not, up to a part of the time within which a
// runner that leaves must get no more work.
func ReadInterval(runners int, drain time.Duration) time.Duration {
	return min(max(time.Duration(runners)*intervalPerRunner, minReadInterval), max(drain/drainDivisor, minReadInterval))
}

// UpdateDirectory replaces the directory of runners. Runners that are not in it any more
// keep their runs, and receive new work for unlistedGrace if they answer.
func (c *Cell) UpdateDirectory(now time.Time, entries []RunnerInfo) {
	present := map[string]bool{}
	for _, entry := range entries {
		present[entry.ID] = true
		c.updateRunner(now, entry)
	}
	for _, r := range c.sorted {
		if r.inDirectory && !present[r.ID] {
			c.log("event", "runner", "runner", r.ID, "state", "unlisted", "runs", len(r.runs))
			r.inDirectory, r.unlistedAt = false, now
		}
	}
	c.schedulePass()
}

// addRunner adds a runner that is not in the directory yet.
func (c *Cell) addRunner(entry RunnerInfo) *runner {
	r := &runner{unackedEnds: map[int64]bool{}, runs: map[runKey]*run{}}
	r.RunnerInfo = entry
	r.evacuated = c.evacuations.zones[entry.Zone]
	c.runners[entry.ID] = r
	at, _ := slices.BinarySearchFunc(c.sorted, entry.ID, func(r *runner, id string) int { return strings.Compare(r.ID, id) })
	c.sorted = slices.Insert(c.sorted, at, r)
	return r
}

// addUnlisted adds a runner that only the previous holder knows, to learn what runs there.
func (c *Cell) addUnlisted(now time.Time, entry RunnerInfo) {
	r := c.addRunner(entry)
	r.handedOver = true
	r.speed.kind = c.kindSpeed(entry.Service, entry.MachineKind)
	c.log("event", "runner", "runner", entry.ID, "state", "handed", "service", entry.Service, "zone", entry.Zone, "kind", entry.MachineKind)
	c.fence(now, r)
}

// updateRunner adds or updates a runner by its directory entry. A new runner, and one that
// has restarted or moved to another address, is fenced.
func (c *Cell) updateRunner(now time.Time, entry RunnerInfo) {
	r := c.runners[entry.ID]
	if r == nil {
		r = c.addRunner(entry)
		c.log("event", "runner", "runner", entry.ID, "state", "listed", "service", entry.Service, "zone", entry.Zone, "kind", entry.MachineKind,
			"cpu", entry.Capacity.CPU, "born", entry.Incarnation)
	}
	if entry.Draining && !r.Draining {
		c.log("event", "runner", "runner", entry.ID, "state", "leaving", "runs", len(r.runs))
	}
	replaced := entry.Addr != r.Addr || (r.incarnation != 0 && entry.Incarnation > r.incarnation)
	if kind := c.kindSpeed(entry.Service, entry.MachineKind); r.speed.kind != kind {
		r.speed = speed{kind: kind}
	}
	r.readCold(now, entry)
	r.RunnerInfo = entry
	r.evacuated = c.evacuations.zones[entry.Zone]
	r.inDirectory, r.unlistedAt = true, time.Time{}
	if replaced && r.incarnation != 0 {
		c.log("event", "runner", "runner", entry.ID, "state", "restarted", "born", entry.Incarnation, "addr", entry.Addr)
		c.fence(now, r)
		return
	}
	if r.token == 0 {
		c.fence(now, r)
	}
}
