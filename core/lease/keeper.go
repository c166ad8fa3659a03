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

// Prefix starts the keys of lease rows.
const Prefix = "lease/"

// Defaults of Settings.
const (
	DefaultBeat      = time.Second
	DefaultLapse     = 4 * time.Second
	DefaultRemote    = 4
	DefaultAbandon   = 10 * time.Minute
	DefaultScanBeats = 10
)

// Settings tells how fast leases lapse. Zero values mean the defaults.
type Settings struct {
	Beat      time.Duration // between renewals
	Lapse     time.Duration // without renewal after which an instance counts as gone
	Remote    int           // Lapse times this, before an instance of another data centre is taken over
	ScanBeats int           // beats between two reads of the leases of all data centres
	Abandon   time.Duration // after which it is taken over even if its data centre cannot be reached
}

// Committer writes rows; see package commit.
type Committer interface {
	Submit(ch commit.Change) <-chan commit.Outcome
}

// Scanner reads rows by prefix.
type Scanner interface {
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
}

// Taker takes over the work of an instance that is gone. It returns how much it
// took. Unless gone is set, it leaves work of another data centre whose targets
// it cannot reach, and returns an error.
type Taker interface {
	Take(ctx context.Context, former string, gone bool) (int, error)
}

// Key returns the key of the lease row of an instance.
func Key(centre, instance string) string {
	return Prefix + centre + "/" + instance
}

// Row is the value of a lease row.
type Row struct {
	Centre string `json:"centre"`
	Beat   int64  `json:"beat"` // grows with every renewal
}

// sight is what was seen of one lease row.
type sight struct {
	key     string
	version int64
	since   time.Time // of the version, or of the end of a pause in reading
	read    time.Time // when the row was read last
	centre  string
	taking  bool
}

// Keeper renews the lease of one instance and watches those of the others. Its
// exported fields are set before Run.
type Keeper struct {
	ID       string
	Centre   string
	Commit   Committer
	Table    Scanner
	Taker    Taker
	Clock    clockwork.Clock
	Settings Settings

	version int64
	beat    int64
	seen    map[string]*sight
	mutex   sync.Mutex
	group   sync.WaitGroup
}

// Run renews and watches until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.defaults()
	k.seen = make(map[string]*sight)
	defer k.group.Wait()
	k.group.Go(func() { k.renew(ctx) })
	ticker := k.Clock.NewTicker(k.Settings.Beat)
	defer ticker.Stop()
	for beat := 1; ; beat++ {
		if beat%k.Settings.ScanBeats == 0 {
			k.look(ctx, Prefix)
		} else {
			k.look(ctx, k.near())
		}
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) defaults() {
	if k.Settings.Beat == 0 {
		k.Settings.Beat = DefaultBeat
	}
	if k.Settings.Lapse == 0 {
		k.Settings.Lapse = DefaultLapse
	}
	if k.Settings.Remote == 0 {
		k.Settings.Remote = DefaultRemote
	}
	if k.Settings.ScanBeats == 0 {
		k.Settings.ScanBeats = DefaultScanBeats
	}
	if k.Settings.Abandon == 0 {
		k.Settings.Abandon = DefaultAbandon
	}
}

// renew writes the own row every beat. A renewal whose answer is open is waited
// for, since the committer sends it again.
func (k *Keeper) renew(ctx context.Context) {
	for ctx.Err() == nil {
		k.beat++
		value, err := json.Marshal(Row{Centre: k.Centre, Beat: k.beat})
		if err != nil {
			panic("lease: a row that cannot be encoded: " + err.Error())
		}
		op := table.Op{Key: Key(k.Centre, k.ID), If: k.version, Value: value}
		select {
		case o := <-k.Commit.Submit(commit.Change{Ops: []table.Op{op}}):
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
		case <-k.Clock.After(k.Settings.Beat):
		case <-ctx.Done():
			return
		}
	}
}

// near returns the prefix of the leases of the own data centre.
func (k *Keeper) near() string {
	return Prefix + k.Centre + "/"
}

// look reads the leases under a prefix and takes over from those that have
// lapsed.
func (k *Keeper) look(ctx context.Context, prefix string) {
	rows, ok := k.scan(ctx, prefix)
	if !ok {
		return
	}
	now := k.Clock.Now()
	found := make(map[string]bool, len(rows))
	for _, r := range rows {
		id := r.Key[strings.LastIndexByte(r.Key, '/')+1:]
		found[id] = true
		if id == k.ID {
			continue
		}
		s := k.sight(id, r, now)
		if now.Sub(s.since) <= k.Settings.Lapse {
			continue
		}
		if s.centre == k.Centre || now.Sub(s.since) > time.Duration(k.Settings.Remote)*k.Settings.Lapse {
			k.take(ctx, id, s)
		}
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for id, s := range k.seen {
		if !found[id] && !s.taking && strings.HasPrefix(s.key, prefix) {
			delete(k.seen, id)
		}
	}
}

func (k *Keeper) scan(ctx context.Context, prefix string) ([]table.Row, bool) {
	limited, cancel := clockwork.WithTimeout(ctx, k.Clock, k.Settings.Beat)
	defer cancel()
	var rows []table.Row
	after := ""
	for {
		found, err := k.Table.Scan(limited, table.Scan{Prefix: prefix, After: after, Limit: table.MaxScan})
		if err != nil {
			return nil, false
		}
		rows = append(rows, found.Rows...)
		if len(found.Rows) < table.MaxScan {
			return rows, true
		}
		after = found.Rows[len(found.Rows)-1].Key
	}
}

// sight updates what is known of the lease of an instance.
func (k *Keeper) sight(id string, r table.Row, now time.Time) *sight {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	s := k.seen[id]
	if s == nil {
		s = &sight{}
		k.seen[id] = s
	}
	every := k.Settings.Beat
	if !strings.HasPrefix(r.Key, k.near()) {
		every *= time.Duration(k.Settings.ScanBeats)
	}
	paused := now.Sub(s.read) > every+every/2 // a read failed: time without renewal counts anew
	s.key, s.read = r.Key, now
	if s.version != r.Version || paused {
		s.version, s.since = r.Version, now
	}
	var row Row
	if json.Unmarshal(r.Value, &row) == nil {
		s.centre = row.Centre
	}
	return s
}

// take takes over from an instance in the background. When nothing is left its
// lease row is deleted, unless it was renewed in the meantime.
func (k *Keeper) take(ctx context.Context, id string, s *sight) {
	k.mutex.Lock()
	busy := s.taking
	s.taking = true
	version, key := s.version, s.key
	gone := k.Clock.Since(s.since) > k.Settings.Abandon
	k.mutex.Unlock()
	if busy {
		return
	}
	k.group.Go(func() {
		n, err := k.Taker.Take(ctx, id, gone)
		if err == nil && n == 0 {
			op := table.Op{Key: key, If: version, Delete: true}
			select {
			case <-k.Commit.Submit(commit.Change{Ops: []table.Op{op}}):
			case <-ctx.Done():
			}
		}
		k.mutex.Lock()
		s.taking = false
		k.mutex.Unlock()
	})
}
