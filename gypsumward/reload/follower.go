package reload

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/platform"
)

// PollInterval is the time between two checks of whether the settings have changed
// without a signal.
const PollInterval = time.Second

// Follower holds the settings in force and applies changes of their source. Its exported
// fields must be set before Run.
type Follower struct {
	Load    func() (*platform.Settings, error) // reads the settings from their source
	Log     log.Logger
	Changed func() // called after bounds have been applied; may be nil

	mu         sync.Mutex
	current    platform.Settings // in force
	lastRead   platform.Settings // result of the last successful read
	lastFailed bool              // whether the last read failed
}

// New returns a Follower whose settings in force are s. It logs nothing until Log is set.
func New(s *platform.Settings) *Follower {
	return &Follower{Log: log.NewNopLogger(), current: *s, lastRead: *s}
}

// Current returns a copy of the settings in force.
func (f *Follower) Current() platform.Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Run checks for changes every PollInterval until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.Check(false)
		case <-ctx.Done():
			return
		}
	}
}

// Check reads the settings and applies changed bounds of time at once. A change of the
// name, an address or the memory needs a new process and is only logged. If the settings
// cannot be read, those in force stay. signalled states that a signal requested the
// check, which is then always logged.
func (f *Follower) Check(signalled bool) {
	if f.reload(signalled) && f.Changed != nil {
		f.Changed()
	}
}

// reload does the work of Check and reports whether bounds have changed.
func (f *Follower) reload(signalled bool) bool {
	next, err := f.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		if signalled || !f.lastFailed {
			_ = f.Log.Log("event", "reload", "asked", signalled, "err", err)
		}
		f.lastFailed = true
		return false
	}
	f.lastFailed = false
	if !signalled && *next == f.lastRead {
		return false
	}
	f.lastRead = *next
	applied, restart := changes(&f.current, next)
	_ = f.Log.Log("event", "reload", "asked", signalled, "applied", strings.Join(applied, ","), "later", strings.Join(restart, ","))
	f.current.Lease, f.current.StopGrace, f.current.ShutdownGrace, f.current.StatusRetention = next.Lease, next.StopGrace, next.ShutdownGrace, next.StatusRetention
	f.current.Drain, f.current.Evacuate, f.current.MaxRow = next.Drain, next.Evacuate, next.MaxRow
	f.current.Interference = next.Interference
	return len(applied) > 0
}

// changes returns the names of the settings in which current and next differ: those
// that can be applied at once and those that need a restart.
func changes(current, next *platform.Settings) (applied, restart []string) {
	for _, f := range []struct {
		name    string
		differs bool
		live    bool // can be applied without a restart
	}{
		{"lease", current.Lease != next.Lease, true},
		{"stop", current.StopGrace != next.StopGrace, true},
		{"grace", current.ShutdownGrace != next.ShutdownGrace, true},
		{"status", current.StatusRetention != next.StatusRetention, true},
		{"drain", current.Drain != next.Drain, true},
		{"evacuate", current.Evacuate != next.Evacuate, true},
		{"row", current.MaxRow != next.MaxRow, true},
		{"interference", current.Interference != next.Interference, true},
		{"retransmit", current.Retransmit != next.Retransmit, false},
		{"apply", current.ConfigApply != next.ConfigApply, false},
		{"adviser", current.AdviserAddr != next.AdviserAddr, false},
		{"cores", current.Cores != next.Cores, false},
		{"link", current.LinkMbps != next.LinkMbps, false},
		{"node", current.Node != next.Node, false},
		{"zone", current.Zone != next.Zone, false},
		{"ip", current.IP != next.IP, false},
		{"front", current.FrontAddr != next.FrontAddr, false},
		{"ready", current.ReadyAddr != next.ReadyAddr, false},
		{"ports", current.PeerPorts != next.PeerPorts, false},
		{"store", current.StoreAddr != next.StoreAddr, false},
		{"memory", current.MemoryMB != next.MemoryMB, false},
		{"descriptors", current.MaxFDs != next.MaxFDs, false},
	} {
		switch {
		case f.differs && f.live:
			applied = append(applied, f.name)
		case f.differs:
			restart = append(restart, f.name)
		}
	}
	return applied, restart
}
