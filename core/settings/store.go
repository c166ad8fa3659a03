package settings

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"gypsumward/core/table"
)

// Row keys and key prefixes in the platform's table.
const (
	Prefix        = "settings/"
	RevisionKey   = Prefix + "rev"
	teamPrefix    = Prefix + "team/"
	historyPrefix = Prefix + "past/"
)

// Defaults of Store.
const (
	DefaultMaxAttempts = 5
	DefaultRetryDelay  = 200 * time.Millisecond
)

// Table is the platform's transactional table.
type Table interface {
	Write(ctx context.Context, w table.Write) (table.Written, error)
	Read(ctx context.Context, r table.Read) (table.Found, error)
	Scan(ctx context.Context, s table.Scan) (table.Found, error)
}

// Store reads and writes the shared settings in the platform's table. The fields
// must be set before the first call. It is safe for concurrent use.
type Store struct {
	Table Table
	Clock clockwork.Clock // for retry delays and Subtree.WrittenAt

	// MayHaveTakenEffect reports whether a write that failed with the given error may have
	// taken effect. If nil, every failed write may have.
	MayHaveTakenEffect func(error) bool
	// MaxAttempts is the maximum number of attempts per call; zero means DefaultMaxAttempts.
	MaxAttempts int
	// RetryDelay is the delay between attempts; zero means DefaultRetryDelay.
	RetryDelay time.Duration
	// Nonce returns a text unique to one change. If nil, nonces are random.
	Nonce func() string
}

// ErrUnstable is returned by Load and History if the settings changed during each
// attempt to read them.
const ErrUnstable = errors.ConstError("settings changed during each attempt to read them")

// Revision returns the revision of the newest change, or zero if there is none.
// It reads one small row.
func (s *Store) Revision(ctx context.Context) (int64, error) {
	found, err := s.Table.Read(ctx, table.Read{Keys: []string{RevisionKey}})
	if err != nil {
		return 0, errors.Annotate(err, "settings revision")
	}
	return found.Rows[0].Version, nil
}

// Load reads all subtrees as of one revision. It reads the revision before and
// after the subtrees and starts over if the two differ. It returns ErrUnstable if
// they differ at every attempt.
func (s *Store) Load(ctx context.Context) (*Tree, error) {
	for range s.maxAttempts() {
		before, err := s.Revision(ctx)
		if err != nil {
			return nil, err
		}
		teams, err := s.scan(ctx, teamPrefix)
		if err != nil {
			return nil, err
		}
		snapshot, err := s.snapshot(ctx, before, teams)
		if err != nil {
			return nil, err
		}
		after, err := s.Revision(ctx)
		if err != nil {
			return nil, err
		}
		if before != after {
			continue
		}
		tree, faults := NewTree(snapshot)
		if faults != nil {
			return nil, faults
		}
		return tree, nil
	}
	return nil, ErrUnstable
}

// snapshot decodes the rows of all teams. A subtree that cannot be read is
// replaced by the team's newest previous one that can.
func (s *Store) snapshot(ctx context.Context, revision int64, rows []table.Row) (Snapshot, error) {
	snapshot := Snapshot{Revision: revision}
	for _, row := range rows {
		sub, fault := decodeSubtree(row)
		if fault != "" {
			var err error
			if sub, err = s.lastReadable(ctx, sub, fault); err != nil {
				return Snapshot{}, err
			}
		}
		sub.Nonce = ""
		if !sub.Removed {
			snapshot.Teams = append(snapshot.Teams, sub)
		}
	}
	return snapshot, nil
}

// decodeSubtree decodes the row of a team. The fault says why its subtree cannot
// be read; it is empty if the subtree can be read or was removed.
func decodeSubtree(row table.Row) (sub Subtree, fault string) {
	team := row.Key[len(teamPrefix):]
	if err := json.Unmarshal(row.Value, &sub); err != nil {
		return Subtree{Team: team, Version: row.Version}, row.Key + ": " + err.Error()
	}
	sub.Team, sub.Version = team, row.Version
	if sub.Removed {
		return sub, ""
	}
	if _, faults := Parse(row.Key, sub.Text); faults != nil {
		return sub, faults.Error()
	}
	return sub, ""
}

// lastReadable returns the team's newest previous subtree that can be read, or an
// empty one, which stands for the defaults. The result has the version of the
// current, unreadable subtree, because the next change is based on that version.
func (s *Store) lastReadable(ctx context.Context, current Subtree, fault string) (Subtree, error) {
	team := current.Team
	found, err := s.Table.Read(ctx, table.Read{Keys: []string{historyPrefix + team}})
	if err != nil {
		return Subtree{}, errors.Annotate(err, "former settings of "+team)
	}
	for _, sub := range decodeHistory(found.Rows[0]) {
		if _, faults := Parse(TeamRowKey(team), sub.Text); faults == nil && !sub.Removed {
			sub.Version, sub.Fault = current.Version, fault
			return sub, nil
		}
	}
	return Subtree{Team: team, Version: current.Version, Fault: fault}, nil
}

// scan returns all rows whose keys start with prefix.
func (s *Store) scan(ctx context.Context, prefix string) ([]table.Row, error) {
	var rows []table.Row
	after := ""
	for {
		found, err := s.Table.Scan(ctx, table.Scan{Prefix: prefix, After: after, Limit: table.MaxScanRows})
		if err != nil {
			return nil, errors.Annotate(err, "settings")
		}
		rows = append(rows, found.Rows...)
		if len(found.Rows) < table.MaxScanRows {
			return rows, nil
		}
		after = found.Rows[len(found.Rows)-1].Key
	}
}

func (s *Store) maxAttempts() int {
	if s.MaxAttempts > 0 {
		return s.MaxAttempts
	}
	return DefaultMaxAttempts
}

// wait sleeps for the retry delay. It returns false if ctx ended first.
func (s *Store) wait(ctx context.Context) bool {
	delay := s.RetryDelay
	if delay == 0 {
		delay = DefaultRetryDelay
	}
	select {
	case <-s.Clock.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Store) nonce() string {
	if s.Nonce != nil {
		return s.Nonce()
	}
	return rand.Text()
}
