package settings

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"gypsumward/core/table"
)

const (
	// maxHistory is the maximum number of previous subtrees kept per team.
	maxHistory = 32
	// maxHistoryBytes bounds their encoded size, so that they fit in one row.
	maxHistoryBytes = 48 << 10
)

// history is the value of the row of a team's previous subtrees.
type history struct {
	Subtrees []Subtree `json:"list"` // newest first
}

// decodeHistory returns the previous subtrees in a row, newest first. A row that
// cannot be decoded counts as empty.
func decodeHistory(row table.Row) []Subtree {
	var h history
	if len(row.Value) == 0 || json.Unmarshal(row.Value, &h) != nil {
		return nil
	}
	return h.Subtrees
}

// prependHistory returns the row value for sub followed by list, without the
// oldest subtrees that exceed maxHistory or maxHistoryBytes. It always holds sub.
func prependHistory(list []Subtree, sub Subtree) json.RawMessage {
	list = append([]Subtree{sub}, list...)
	list = list[:min(len(list), maxHistory)]
	for {
		value := encode(history{Subtrees: list})
		if len(value) <= maxHistoryBytes || len(list) == 1 {
			return value
		}
		list = list[:len(list)-1]
	}
}

// encode returns v as JSON. It panics on an error, which no type stored by this
// package can cause.
func encode(v any) json.RawMessage {
	value, err := json.Marshal(v)
	if err != nil {
		panic("settings: " + err.Error())
	}
	return value
}

// History returns the current subtree of a team and its previous ones, newest
// first. The list is empty if the team never had one. It returns ErrUnstable if
// the rows changed during each attempt to read them.
func (s *Store) History(ctx context.Context, team string) ([]Subtree, error) {
	for range s.maxAttempts() {
		rec, err := s.readRecord(ctx, team)
		if err != nil {
			return nil, err
		}
		if rec.consistent() {
			return rec.subtrees(), nil
		}
	}
	return nil, ErrUnstable
}

// record holds the rows of one team.
type record struct {
	current        Subtree // zero value if there is no row
	history        []Subtree
	historyVersion int64 // version of the history row
	unreadable     bool  // a row cannot be decoded; a change replaces it whole
}

// readRecord reads the rows of a team. They may be of different moments; see
// record.consistent.
func (s *Store) readRecord(ctx context.Context, team string) (record, error) {
	found, err := s.Table.Read(ctx, table.Read{Keys: []string{TeamRowKey(team), historyPrefix + team}})
	if err != nil {
		return record{}, errors.Annotate(err, "settings of "+team)
	}
	teamRow, historyRow := found.Rows[0], found.Rows[1]
	r := record{history: decodeHistory(historyRow), historyVersion: historyRow.Version}
	r.unreadable = historyRow.Version > 0 && len(r.history) == 0
	if teamRow.Version > 0 {
		r.unreadable = json.Unmarshal(teamRow.Value, &r.current) != nil || r.unreadable
		r.current.Team, r.current.Version = team, teamRow.Version
	}
	return r, nil
}

// consistent reports whether the rows are of the same moment, which is so if the
// current subtree replaced the newest previous one. An unreadable record counts as
// consistent, so that a change can replace it.
func (r record) consistent() bool {
	if r.unreadable {
		return true
	}
	if len(r.history) == 0 {
		return r.current.Base == 0
	}
	return r.history[0].Version == r.current.Base
}

// subtrees returns the current and the previous subtrees, newest first.
func (r record) subtrees() []Subtree {
	if r.current.Version == 0 {
		return nil
	}
	return append([]Subtree{r.current}, r.history...)
}

// byNonce returns the subtree written by the change with the given nonce.
func (r record) byNonce(nonce string) (Subtree, bool) {
	for _, sub := range r.subtrees() {
		if sub.Nonce == nonce {
			return sub, true
		}
	}
	return Subtree{}, false
}

// replacementOf returns the subtree that replaced the one of the given version.
func (r record) replacementOf(version int64) (Subtree, bool) {
	for _, sub := range r.subtrees() {
		if sub.Base == version {
			return sub, true
		}
	}
	return Subtree{}, false
}
