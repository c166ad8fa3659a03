package live

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"gypsumward/core/span"
	"gypsumward/core/table"
)

// probeClient opens a new connection for each probe, so that it does not occupy
// one of the limited connections of a member between probes.
var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Fleet is the content of a fleet file.
type Fleet struct {
	Members []table.Member `toml:"members"` // members that are probed
}

// Health is the response of a member to GET /health.
type Health struct {
	Leaving bool `json:"leaving"` // whether the member is leaving
}

// List maintains a lagging list of live members.
type List struct {
	File          string        // fleet file in TOML
	Lag           time.Duration // least age of the list that is served
	ProbeInterval time.Duration // time between probes of all members
	Clock         clockwork.Clock
	// Probe reports whether a member is live and whether it is leaving. Nil means
	// ProbeHealth.
	Probe func(context.Context, table.Member) (live, leaving bool)

	mu        sync.Mutex
	snapshots []snapshot
	fleet     Fleet
}

// snapshot is the list of live members at one time.
type snapshot struct {
	at      time.Time
	members []table.Member
}

// LoadFleet reads the fleet file. On an error, such as an unknown key, the members
// stay unchanged.
func (l *List) LoadFleet() error {
	var fleet Fleet
	meta, err := toml.DecodeFile(l.File, &fleet)
	if err != nil {
		return errors.Annotate(err, l.File)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return errors.NotValidf("%s: key %q", l.File, keys[0])
	}
	l.fleet = fleet
	return nil
}

// Run reads the fleet file and probes the members at every probe interval until
// ctx is done. If the fleet file is invalid, the previous members are probed.
func (l *List) Run(ctx context.Context) {
	ticker := l.Clock.NewTicker(l.ProbeInterval)
	defer ticker.Stop()
	for {
		_ = l.LoadFleet()
		l.ProbeAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// ProbeAll probes all members concurrently and records the result.
func (l *List) ProbeAll(ctx context.Context) {
	probe := l.Probe
	if probe == nil {
		probe = l.ProbeHealth
	}
	members := make([]table.Member, len(l.fleet.Members))
	alive := make([]bool, len(members))
	var wg sync.WaitGroup
	for i, m := range l.fleet.Members {
		wg.Go(func() {
			live, leaving := probe(ctx, m)
			m.Leaving = m.Leaving || leaving
			members[i], alive[i] = m, live
		})
	}
	wg.Wait()
	current := snapshot{at: l.Clock.Now(), members: []table.Member{}}
	for i, m := range members {
		if alive[i] {
			current.members = append(current.members, m)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, current)
	l.trim(current.at)
}

// trim drops the snapshots older than the one to serve. The caller holds the
// mutex.
func (l *List) trim(now time.Time) {
	for len(l.snapshots) > 1 && now.Sub(l.snapshots[1].at) >= l.Lag {
		l.snapshots = l.snapshots[1:]
	}
}

// Snapshot returns the newest list that is at least as old as the lag, or the
// oldest one if none is. It is empty before the first probe.
func (l *List) Snapshot() table.LiveList {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.trim(now)
	if len(l.snapshots) == 0 {
		return table.LiveList{Members: []table.Member{}}
	}
	return table.LiveList{Members: l.snapshots[0].members, Age: span.Of(now.Sub(l.snapshots[0].at))}
}

// ProbeHealth probes a member by GET /health. The timeout is half the probe
// interval.
func (l *List) ProbeHealth(ctx context.Context, m table.Member) (live, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, l.ProbeInterval/2)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Addr+"/health", nil)
	if err != nil {
		return false, false
	}
	resp, err := probeClient.Do(req)
	if err != nil {
		return false, false
	}
	defer func() { _ = resp.Body.Close() }()
	var h Health
	_ = json.NewDecoder(resp.Body).Decode(&h)
	return true, h.Leaving
}
