package cell

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Room is an amount of what tasks need.
type Room struct {
	CPU    int // thousandths of a core
	Memory int // megabytes
	GPU    int
}

func (r Room) fits(n Room) bool {
	return n.CPU <= r.CPU && n.Memory <= r.Memory && n.GPU <= r.GPU
}

func (r Room) less(n Room) Room {
	return Room{CPU: r.CPU - n.CPU, Memory: r.Memory - n.Memory, GPU: r.GPU - n.GPU}
}

func (r Room) more(n Room) Room {
	return Room{CPU: r.CPU + n.CPU, Memory: r.Memory + n.Memory, GPU: r.GPU + n.GPU}
}

// times returns how often n fits.
func (r Room) times(n Room) int {
	fits := math.MaxInt32
	for _, part := range [...][2]int{{r.CPU, n.CPU}, {r.Memory, n.Memory}, {r.GPU, n.GPU}} {
		if part[1] > 0 {
			fits = min(fits, max(part[0], 0)/part[1])
		}
	}
	return fits
}

// Listing is what the directory says of a runner.
type Listing struct {
	ID      string
	Addr    string
	Service string
	Zone    string
	Kind    string // of the machine; runners of one kind are about as fast
	Rack    string
	Labels  []string
	Leaving bool
	Born    int64
	Room    Room
}

// List takes the directory as it is now.
func (c *Cell) List(now time.Time, listings []Listing) {
	there := map[string]bool{}
	for _, l := range listings {
		there[l.ID] = true
		c.enter(now, l)
	}
	for _, r := range c.sorted {
		if r.listed && !there[r.ID] {
			c.log("event", "runner", "runner", r.ID, "state", "unlisted", "runs", len(r.runs))
			r.listed = false
		}
	}
	c.wake()
}

func (c *Cell) enter(now time.Time, l Listing) {
	r := c.runners[l.ID]
	if r == nil {
		r = &runner{ends: map[int64]bool{}, runs: map[runKey]*run{}}
		r.Listing = l
		c.runners[l.ID] = r
		at, _ := slices.BinarySearchFunc(c.sorted, l.ID, func(r *runner, id string) int { return strings.Compare(r.ID, id) })
		c.sorted = slices.Insert(c.sorted, at, r)
		c.log("event", "runner", "runner", l.ID, "state", "listed", "service", l.Service, "zone", l.Zone, "kind", l.Kind,
			"cpu", l.Room.CPU, "born", l.Born)
	}
	if l.Leaving && !r.Leaving {
		c.log("event", "runner", "runner", l.ID, "state", "leaving", "runs", len(r.runs))
	}
	fresh := l.Addr != r.Addr || (r.life != 0 && l.Born > r.life)
	if kind := c.kind(l.Service, l.Kind); r.speed.kind != kind {
		r.speed = speed{kind: kind}
	}
	r.Listing = l
	r.listed = true
	if fresh && r.life != 0 {
		c.log("event", "runner", "runner", l.ID, "state", "restarted", "born", l.Born, "addr", l.Addr)
		c.fence(now, r)
		return
	}
	if r.token == 0 {
		c.fence(now, r)
	}
}
