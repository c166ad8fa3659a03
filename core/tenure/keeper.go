package tenure

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/mirror"
	"gypsumward/core/steady"
	"gypsumward/core/table"
)

// Store is what a Keeper needs of the store.
type Store interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
	Watch(ctx context.Context, w table.Watch) (table.Changes, error)
}

// Clock gives the time.
type Clock interface {
	Now() time.Time
}

// Leader does what a holder does. Its methods must not call the Keeper.
type Leader interface {
	// Lead begins a term.
	Lead(t Term)
	// Renew tells until when no other can have become the holder.
	Renew(t Term, until time.Time)
	// Lose ends a term.
	Lose(t Term, why string)
	// Runners returns the number of runners that orders can be given to.
	Runners() int
}

// Keeper follows who holds a cell, and becomes the holder when there is none. Its
// exported fields are set before Run.
type Keeper struct {
	Cell     string // the first part of the keys
	Self     Member
	Store    Store
	Clock    Clock
	Leader   Leader
	Settings Settings
	Log      log.Logger
	// Refuses reports whether nothing listens at an address, as opposed to no answer.
	Refuses func(ctx context.Context, addr string) bool
	// Calm reports whether the holder has just answered this instance. Its signs of life
	// are then read less often; may be nil.
	Calm func() bool
	// Delay returns how long this instance waits before it claims, so that others that
	// are better placed come first; may be nil.
	Delay func() time.Duration
	// Promised returns until when this instance has promised the holder not to replace
	// it while it may be alive.
	Promised func() time.Time

	mu      sync.Mutex
	holder  Holder
	version int64 // of the row; zero if there is none
	beat    Beat
	beatRow int64     // version of the row of the beat; zero if there is none
	seen    time.Time // last sign of life
	healthy time.Time // since when the watch was answered
	known   bool      // the rows have been read
	term    Term      // of this instance, if leading
	leading bool
	retired bool // does not become the holder any more
	number  int64
	changed chan struct{}
	look    chan struct{}
}

// New returns a keeper of a cell that has read nothing.
func New(cell string, s Settings) *Keeper {
	return &Keeper{Cell: cell, Settings: s.withDefaults(), Log: log.NewNopLogger(), changed: make(chan struct{}), look: make(chan struct{}, 1)}
}

// Holder returns the holder, the version of its row and whether this instance is it.
// The version is zero if there is none or it is not known yet.
func (k *Keeper) Holder() (h Holder, version int64, self bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder, k.version, k.leading
}

// Changed returns a channel that is closed when the holder changes.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// Retire keeps this instance from becoming the holder.
func (k *Keeper) Retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = true
}

// Run follows the rows until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){k.follow, k.beatAll, k.succeed} {
		wg.Go(func() { duty(ctx) })
	}
	wg.Wait()
}

func (k *Keeper) key(row string) string {
	return Key(k.Cell, row)
}

// follow watches the rows.
func (k *Keeper) follow(ctx context.Context) {
	m := mirror.Mirror{
		Store: k.Store, Prefix: k.key(""), Wait: k.Settings.Watch, Timeout: k.Settings.Timeout,
		Rest: k.rest, Wake: k.look,
		Take: func(rows []table.Row, whole bool) {
			k.take(rows)
			if whole {
				k.mu.Lock()
				k.known = true
				k.mu.Unlock()
			}
		},
		Fail: func(error) {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.healthy = time.Time{}
		},
	}
	m.Run(ctx)
}

func (k *Keeper) rest() time.Duration {
	if k.Calm == nil || !k.Calm() {
		return 0
	}
	return k.Settings.Rest
}

// Look reads the rows at once, since the holder may have changed.
func (k *Keeper) Look() {
	select {
	case k.look <- struct{}{}:
	default:
	}
}

// take takes rows as they have changed.
func (k *Keeper) take(rows []table.Row) {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.healthy.IsZero() {
		k.healthy = now
	}
	for _, r := range rows {
		switch r.Key {
		case k.key(HolderRow):
			k.takeHolder(now, r)
		case k.key(BeatRow):
			var b Beat
			if json.Unmarshal(r.Value, &b) == nil && b != k.beat {
				k.beat, k.seen = b, now
			}
			k.beatRow = max(k.beatRow, r.Version)
		}
	}
}

func (k *Keeper) takeHolder(now time.Time, r table.Row) {
	if r.Version <= k.version {
		return
	}
	var h Holder
	if json.Unmarshal(r.Value, &h) != nil {
		h = Holder{}
	}
	former := k.term
	led := k.leading
	k.holder, k.version, k.seen = h, r.Version, now
	close(k.changed)
	k.changed = make(chan struct{})
	_ = k.Log.Log("event", "holder", "node", h.Node, "life", h.Life, "epoch", r.Version, "round", h.Round)
	k.leading = h.Life == k.Self.Life
	if led && former.Epoch != r.Version {
		k.Leader.Lose(former, "the row names "+h.Node)
	}
	if k.leading {
		k.term = Term{Epoch: r.Version, Round: h.Round, Runners: k.beat.Runners}
		k.Leader.Lead(k.term)
	}
}

// beatAll writes signs of life while this instance is the holder.
func (k *Keeper) beatAll(ctx context.Context) {
	for ctx.Err() == nil {
		k.mu.Lock()
		leading, term, changed := k.leading, k.term, k.changed
		k.mu.Unlock()
		if !leading {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		began := k.Clock.Now()
		k.writeBeat(ctx, term, began)
		steady.Sleep(ctx, k.Settings.Beat-k.Clock.Now().Sub(began))
	}
}

func (k *Keeper) writeBeat(ctx context.Context, term Term, now time.Time) {
	runners := k.Leader.Runners()
	k.mu.Lock()
	k.number++
	b := Beat{Life: k.Self.Life, Number: k.number, Runners: runners}
	k.mu.Unlock()
	limited, cancel := context.WithTimeout(ctx, k.Settings.Timeout)
	defer cancel()
	written, err := k.Store.Write(limited, table.Write{Ops: []table.Op{
		{Key: k.key(HolderRow), If: term.Epoch, Check: true},
		{Key: k.key(BeatRow), If: table.Any, Value: encode(b)},
	}})
	switch {
	case err != nil:
		steady.Sleep(ctx, 20*time.Millisecond)
	case written.Done:
		k.Leader.Renew(term, now.Add(k.Settings.Lease))
	default:
		k.take(written.Conflict)
	}
}

// put writes the row of the holder on the condition of its version and of others. It
// reports whether the row changed as asked.
func (k *Keeper) put(ctx context.Context, version int64, h Holder, others ...table.Op) bool {
	limited, cancel := context.WithTimeout(ctx, k.Settings.Timeout)
	defer cancel()
	sent := k.Clock.Now()
	value := encode(h)
	written, err := k.Store.Write(limited, table.Write{Ops: append([]table.Op{
		{Key: k.key(HolderRow), If: version, Value: value},
	}, others...)})
	if err != nil {
		return false
	}
	if written.Done {
		k.take([]table.Row{{Key: k.key(HolderRow), Version: written.Version, Value: value}})
		if h.Life == k.Self.Life {
			k.Leader.Renew(Term{Epoch: written.Version, Round: h.Round}, sent.Add(k.Settings.Lease))
		}
		return true
	}
	k.take(written.Conflict)
	return false
}

// Resign hands the cell to another member. It reports whether this instance is the
// holder no more.
func (k *Keeper) Resign(ctx context.Context, to Member) bool {
	k.mu.Lock()
	leading, term := k.leading, k.term
	k.mu.Unlock()
	if !leading {
		return true
	}
	_ = k.Log.Log("event", "resign", "to", to.Node, "epoch", term.Epoch)
	return k.put(ctx, term.Epoch, Holder{Member: to, Round: term.Round + 1})
}
