package lease

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/commit"
	"gypsumward/core/table"
)

// Prefix is the prefix of the keys of lease rows.
const Prefix = "lease/"

// Defaults of Settings.
const (
	DefaultHeartbeatInterval     = time.Second
	DefaultTimeout               = 4 * time.Second
	DefaultRemoteFactor          = 4
	DefaultForceAfter            = 10 * time.Minute
	DefaultHeartbeatsPerFullScan = 10
)

// Settings holds the timing of leases. Zero values select the defaults.
type Settings struct {
	HeartbeatInterval     time.Duration // time between renewals
	Timeout               time.Duration // time without renewal after which a lease has expired
	RemoteFactor          int           // multiple of Timeout after which an instance of another data centre is taken over
	HeartbeatsPerFullScan int           // heartbeats between two reads of the leases of all data centres
	ForceAfter            time.Duration // time without renewal after which an instance is taken over even if its data centre cannot be reached
}

// Committer writes rows; see package commit.
type Committer interface {
	Submit(ch commit.Change) <-chan commit.Outcome
}

// Scanner reads rows by prefix.
type Scanner interface {
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
}

// TakeoverHandler takes over the work of a failed instance and returns the number of jobs
// or requests taken over. Unless force is set, it leaves work of another data
// centre whose targets it cannot reach and returns an error.
type TakeoverHandler interface {
	TakeOver(ctx context.Context, previous string, force bool) (int, error)
}

// Key returns the key of the lease row of an instance.
func Key(centre, instance string) string {
	return Prefix + centre + "/" + instance
}

// Row is the value of a lease row.
type Row struct {
	Centre   string `json:"centre"`
	Sequence int64  `json:"beat"` // number of the renewal
}

// observation is the state of another instance's lease row as last read.
type observation struct {
	key            string
	version        int64
	unchangedSince time.Time // when the version was first read, or when reading resumed after an interruption
	lastRead       time.Time // when the row was last read
	centre         string
	isTakingOver   bool
}

// Keeper renews the lease of one instance and monitors those of the others. Its
// exported fields must be set before Run is called.
type Keeper struct {
	ID              string
	Centre          string
	Committer       Committer
	Table           Scanner
	TakeoverHandler TakeoverHandler
	Clock           clockwork.Clock
	Settings        Settings

	version      int64
	sequence     int64
	observations map[string]*observation
	mutex        sync.Mutex
	group        sync.WaitGroup
}

// Run renews the lease and monitors the others until ctx ends. It returns after
// the takeovers in progress.
func (k *Keeper) Run(ctx context.Context) {
	k.setDefaults()
	k.observations = make(map[string]*observation)
	defer k.group.Wait()
	k.group.Go(func() { k.renew(ctx) })
	ticker := k.Clock.NewTicker(k.Settings.HeartbeatInterval)
	defer ticker.Stop()
	for tick := 1; ; tick++ {
		if tick%k.Settings.HeartbeatsPerFullScan == 0 {
			k.checkLeases(ctx, Prefix)
		} else {
			k.checkLeases(ctx, k.centrePrefix())
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) setDefaults() {
	if k.Settings.HeartbeatInterval == 0 {
		k.Settings.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if k.Settings.Timeout == 0 {
		k.Settings.Timeout = DefaultTimeout
	}
	if k.Settings.RemoteFactor == 0 {
		k.Settings.RemoteFactor = DefaultRemoteFactor
	}
	if k.Settings.HeartbeatsPerFullScan == 0 {
		k.Settings.HeartbeatsPerFullScan = DefaultHeartbeatsPerFullScan
	}
	if k.Settings.ForceAfter == 0 {
		k.Settings.ForceAfter = DefaultForceAfter
	}
}

// renew writes the instance's own row every Settings.HeartbeatInterval. It waits for
// the outcome of each renewal, since the committer repeats one whose response is lost.
func (k *Keeper) renew(ctx context.Context) {
	for ctx.Err() == nil {
		k.sequence++
		value, err := json.Marshal(Row{Centre: k.Centre, Sequence: k.sequence})
		if err != nil {
			panic("lease: encode row: " + err.Error())
		}
		op := table.Op{Key: Key(k.Centre, k.ID), IfVersion: k.version, Value: value}
		select {
		case o := <-k.Committer.Submit(commit.Change{Ops: []table.Op{op}}):
			switch o.Result {
			case commit.Written:
				k.version = o.Version
			case commit.Conflict:
				k.version = o.Row(op.Key).Version
				continue
			default:
			}
		case <-ctx.Done():
			return
		}
		select {
		case <-k.Clock.After(k.Settings.HeartbeatInterval):
		case <-ctx.Done():
			return
		}
	}
}

// centrePrefix returns the prefix of the leases of the instance's own data centre.
func (k *Keeper) centrePrefix() string {
	return Prefix + k.Centre + "/"
}

// checkLeases reads the leases under a prefix and takes over from the instances
// whose leases have expired.
func (k *Keeper) checkLeases(ctx context.Context, prefix string) {
	rows, ok := k.scan(ctx, prefix)
	if !ok {
		return
	}
	now := k.Clock.Now()
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		id := r.Key[strings.LastIndexByte(r.Key, '/')+1:]
		present[id] = true
		if id == k.ID {
			continue
		}
		s := k.observe(id, r, now)
		if now.Sub(s.unchangedSince) <= k.Settings.Timeout {
			continue
		}
		if s.centre == k.Centre || now.Sub(s.unchangedSince) > time.Duration(k.Settings.RemoteFactor)*k.Settings.Timeout {
			k.takeOver(ctx, id, s)
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for id, s := range k.observations {
		if !present[id] && !s.isTakingOver && strings.HasPrefix(s.key, prefix) {
			delete(k.observations, id)
		}
	}
}

// scan returns all rows under a prefix. It reports false if they could not all be
// read within Settings.HeartbeatInterval.
func (k *Keeper) scan(ctx context.Context, prefix string) ([]table.Row, bool) {
	callCtx, cancel := clockwork.WithTimeout(ctx, k.Clock, k.Settings.HeartbeatInterval)
	defer cancel()
	var rows []table.Row
	after := ""
	for {
		found, err := k.Table.Scan(callCtx, table.Scan{Prefix: prefix, After: after, Limit: table.MaxScanRows})
		if err != nil {
			return nil, false
		}
		rows = append(rows, found.Rows...)
		if len(found.Rows) < table.MaxScanRows {
			return rows, true
		}
		after = found.Rows[len(found.Rows)-1].Key
	}
}

// observe updates the observation of the lease of an instance with a row read at
// now.
func (k *Keeper) observe(id string, r table.Row, now time.Time) *observation {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s := k.observations[id]
	if s == nil {
		s = &observation{}
		k.observations[id] = s
	}
	interval := k.Settings.HeartbeatInterval
	if !strings.HasPrefix(r.Key, k.centrePrefix()) {
		interval *= time.Duration(k.Settings.HeartbeatsPerFullScan)
	}
	paused := now.Sub(s.lastRead) > interval+interval/2 // a read failed, so the time without renewal starts again
	s.key, s.lastRead = r.Key, now
	if s.version != r.Version || paused {
		s.version, s.unchangedSince = r.Version, now
	}
	var row Row
	if json.Unmarshal(r.Value, &row) == nil {
		s.centre = row.Centre
	}
	return s
}

// takeOver takes over from an instance in the background, unless a takeover from it
// is in progress. When nothing is left to take over, the lease row is deleted
// unless it was renewed in the meantime.
func (k *Keeper) takeOver(ctx context.Context, id string, s *observation) {
	k.mutex.Lock()
	busy := s.isTakingOver
	s.isTakingOver = true
	version, key := s.version, s.key
	force := k.Clock.Since(s.unchangedSince) > k.Settings.ForceAfter
	k.mutex.Unlock()
	if busy {
		return
	}
	k.group.Go(func() {
		n, err := k.TakeoverHandler.TakeOver(ctx, id, force)
		if err == nil && n == 0 {
			op := table.Op{Key: key, IfVersion: version, Delete: true}
			select {
			case <-k.Committer.Submit(commit.Change{Ops: []table.Op{op}}):
			case <-ctx.Done():
			}
		}
		k.mutex.Lock()
		s.isTakingOver = false
		k.mutex.Unlock()
	})
}
