package boot

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/platform"
)

// Every is the time between looks whether the settings have changed without a signal.
const Every = time.Second

// Follower follows the settings. Its exported fields are set before Run.
type Follower struct {
	Source func() (*platform.Settings, error) // reads them as they are now
	Log    log.Logger
	Taken  func() // called after bounds have changed; may be nil

	mu     sync.Mutex
	force  platform.Settings // in force
	read   platform.Settings // as they were read last
	failed bool              // the last reading
}

// New returns a follower of settings that are in force already.
func New(s *platform.Settings) *Follower {
	return &Follower{Log: log.NewNopLogger(), force: *s, read: *s}
}

// Get returns the settings in force.
func (f *Follower) Get() platform.Settings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.force
}

// Run looks for changes until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(Every)
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

// Check reads the settings. Bounds of time are in force at once; a change of the name,
// an address or the memory needs a new process and is only logged. Settings that cannot
// be read leave those in force. Asked tells that a signal asked for it, which is always
// logged.
func (f *Follower) Check(asked bool) {
	if f.check(asked) && f.Taken != nil {
		f.Taken()
	}
}

// check reports whether bounds have changed.
func (f *Follower) check(asked bool) bool {
	next, err := f.Source()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		if asked || !f.failed {
			_ = f.Log.Log("event", "reload", "asked", asked, "err", err)
		}
		f.failed = true
		return false
	}
	f.failed = false
	if !asked && *next == f.read {
		return false
	}
	f.read = *next
	applied, later := differences(&f.force, next)
	_ = f.Log.Log("event", "reload", "asked", asked, "applied", strings.Join(applied, ","), "later", strings.Join(later, ","))
	f.force.Lease, f.force.StopGrace, f.force.ShutdownGrace, f.force.StatusRetention = next.Lease, next.StopGrace, next.ShutdownGrace, next.StatusRetention
	return len(applied) > 0
}

// differences names what can be taken in, and what needs a new process.
func differences(a, b *platform.Settings) (applied, later []string) {
	for _, f := range []struct {
		name    string
		differs bool
		live    bool
	}{
		{"lease", a.Lease != b.Lease, true},
		{"stop", a.StopGrace != b.StopGrace, true},
		{"grace", a.ShutdownGrace != b.ShutdownGrace, true},
		{"status", a.StatusRetention != b.StatusRetention, true},
		{"node", a.Node != b.Node, false},
		{"zone", a.Zone != b.Zone, false},
		{"ip", a.IP != b.IP, false},
		{"front", a.FrontAddr != b.FrontAddr, false},
		{"ready", a.ReadyAddr != b.ReadyAddr, false},
		{"ports", a.PeerPorts != b.PeerPorts, false},
		{"store", a.StoreAddr != b.StoreAddr, false},
		{"memory", a.MemoryMB != b.MemoryMB, false},
	} {
		switch {
		case f.differs && f.live:
			applied = append(applied, f.name)
		case f.differs:
			later = append(later, f.name)
		}
	}
	return applied, later
}
