package follow

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/settings"
	"gypsumward/core/span"
)

// Defaults of Follower.
const (
	DefaultPollInterval = 2 * time.Second
	DefaultTimeout      = time.Second
)

// Store reads the shared settings from the platform's table; *settings.Store
// implements it.
type Store interface {
	Revision(ctx context.Context) (int64, error)
	Load(ctx context.Context) (*settings.Tree, error)
}

// Peers provides access to the other instances.
type Peers interface {
	// FetchNewer asks one of the other instances for its tree, a different one at each
	// call. It returns false if that tree is not newer than revision.
	FetchNewer(ctx context.Context, revision int64) (s settings.Snapshot, ok bool, err error)
}

// Source is the origin of a tree.
type Source string

// Sources of trees.
const (
	SourceNone     Source = "none"     // no tree yet
	SourcePlatform Source = "platform" // the platform's table
	SourcePeer     Source = "peer"     // another instance
)

// State describes the active tree and the last poll of a Follower.
type State struct {
	Revision int64     `json:"revision"`
	Source   Source    `json:"source"`          // source that last confirmed the revision
	Age      span.Span `json:"age"`             // time since that confirmation; since the start if Source is SourceNone
	Fault    string    `json:"fault,omitempty"` // failure since then; empty if none
}

// Follower keeps the active tree in Active up to date. Its exported fields must be
// set before Run.
type Follower struct {
	Active       *settings.ActiveTree
	Store        Store
	Peers        Peers // may be nil
	Clock        clockwork.Clock
	PollInterval time.Duration // time between polls; zero means DefaultPollInterval
	Timeout      time.Duration // limit of one poll of the platform or a peer; zero means DefaultTimeout

	// OnApply is called after a tree was applied, in the order of revisions. It
	// must not block. It may be nil.
	OnApply func(t *settings.Tree, from Source)

	applyMu sync.Mutex

	mu          sync.Mutex // guards the fields below
	source      Source
	confirmedAt time.Time // time of the last confirmation; the start if source is SourceNone
	fault       string
}

// Run polls for newer settings until ctx ends, at once and then at each poll
// interval.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.source, f.confirmedAt = SourceNone, f.Clock.Now()
	f.mu.Unlock()
	ticker := f.Clock.NewTicker(orDefault(f.PollInterval, DefaultPollInterval))
	defer ticker.Stop()
	for ctx.Err() == nil {
		f.refresh(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		}
	}
}

// Offer applies the tree of another instance and reports whether it did. A tree
// that is not newer than the active one or has a fault is ignored.
func (f *Follower) Offer(s settings.Snapshot) bool {
	if s.Revision <= f.Active.Tree().Revision() {
		return false
	}
	tree, faults := settings.NewTree(s)
	if faults != nil {
		f.recordFault(faults)
		return false
	}
	return f.apply(tree, SourcePeer)
}

// NewerSnapshot returns the active tree if it is newer than revision. It serves the
// Peers.FetchNewer calls of other instances.
func (f *Follower) NewerSnapshot(revision int64) (settings.Snapshot, bool) {
	tree := f.Active.Tree()
	if tree.Revision() <= revision {
		return settings.Snapshot{}, false
	}
	return tree.Snapshot(), true
}

// State returns the current state.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := State{Revision: f.Active.Tree().Revision(), Source: f.source, Fault: f.fault}
	if state.Source == "" {
		state.Source = SourceNone
	}
	if !f.confirmedAt.IsZero() {
		state.Age = span.Of(f.Clock.Since(f.confirmedAt))
	}
	return state
}

// refresh polls the platform, or a peer if that fails.
func (f *Follower) refresh(ctx context.Context) {
	err := f.withTimeout(ctx, f.refreshFromPlatform)
	if err == nil {
		return
	}
	f.recordFault(err)
	if f.Peers != nil {
		if err := f.withTimeout(ctx, f.refreshFromPeer); err != nil {
			f.recordFault(err)
		}
	}
}

// withTimeout calls refresh with the timeout of one poll.
func (f *Follower) withTimeout(ctx context.Context, refresh func(context.Context) error) error {
	ctx, cancel := clockwork.WithTimeout(ctx, f.Clock, orDefault(f.Timeout, DefaultTimeout))
	defer cancel()
	return refresh(ctx)
}

// refreshFromPlatform loads and applies the stored tree if its revision is higher
// than the active one.
func (f *Follower) refreshFromPlatform(ctx context.Context) error {
	revision, err := f.Store.Revision(ctx)
	if err != nil {
		return err
	}
	if revision <= f.Active.Tree().Revision() {
		f.confirm(SourcePlatform)
		return nil
	}
	tree, err := f.Store.Load(ctx)
	if err != nil {
		return err
	}
	f.apply(tree, SourcePlatform)
	return nil
}

// refreshFromPeer asks one peer for a newer tree and applies it.
func (f *Follower) refreshFromPeer(ctx context.Context) error {
	s, ok, err := f.Peers.FetchNewer(ctx, f.Active.Tree().Revision())
	if err != nil {
		return err
	}
	if !ok {
		f.confirm(SourcePeer)
		return nil
	}
	f.Offer(s)
	return nil
}

// apply makes tree the active one if it is newer and reports whether it did. Only
// one goroutine does so at a time, so that OnApply is called in the order of
// revisions.
func (f *Follower) apply(tree *settings.Tree, from Source) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	replaced := f.Active.Update(tree)
	f.confirm(from)
	if replaced && f.OnApply != nil {
		f.OnApply(tree, from)
	}
	return replaced
}

// confirm records that the source has no tree newer than the active one. While
// there is no tree at all, a peer's reply does not count as a confirmation.
func (f *Follower) confirm(from Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from == SourcePeer && f.Active.Tree().Revision() == 0 {
		return
	}
	f.source, f.confirmedAt, f.fault = from, f.Clock.Now(), ""
}

// recordFault records the failure of the last poll or offer.
func (f *Follower) recordFault(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = err.Error()
}

// orDefault returns d, or def if d is zero.
func orDefault(d, def time.Duration) time.Duration {
	if d == 0 {
		return def
	}
	return d
}
