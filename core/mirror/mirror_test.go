package mirror_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/mirror"
	"gypsumward/core/table"
)

// scriptedStore is a store that returns prepared replies in order.
type scriptedStore struct {
	scans       []table.Found
	watches     []any // table.WatchResult or error
	watchedFrom []int64
	stop        context.CancelFunc
}

func (s *scriptedStore) Scan(context.Context, table.Scan) (table.Found, error) {
	next := s.scans[0]
	s.scans = s.scans[1:]
	return next, nil
}

func (s *scriptedStore) Watch(_ context.Context, w table.Watch) (table.WatchResult, error) {
	s.watchedFrom = append(s.watchedFrom, w.After)
	if len(s.watches) == 0 {
		s.stop()
		return table.WatchResult{}, context.Canceled
	}
	next := s.watches[0]
	s.watches = s.watches[1:]
	if err, ok := next.(error); ok {
		return table.WatchResult{}, err
	}
	return next.(table.WatchResult), nil
}

func row(key string, version int64) table.Row { return table.Row{Key: key, Version: version} }

// TestMirror reads rows in pages, watches them, reads them again after the store has lost
// its history, and continues after a failed call.
func TestMirror(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	s := &scriptedStore{
		stop: stop,
		scans: []table.Found{
			{Rows: []table.Row{row("/op/a", 1)}, Version: 5, Truncated: true},
			{Rows: []table.Row{row("/op/b", 2)}, Version: 6},
			{Rows: []table.Row{row("/op/b", 8)}, Version: 9},
		},
		watches: []any{
			table.WatchResult{Rows: []table.Row{row("/op/a", 6)}, Version: 6},
			table.WatchResult{Version: 6},
			table.WatchResult{HistoryLost: true},
			errors.New("no answer"),
		},
	}
	var got [][]table.Row
	var whole []bool
	failures := 0
	m := &mirror.Mirror{
		Store: s, Prefix: "/op/",
		OnRows:  func(rows []table.Row, all bool) { got = append(got, rows); whole = append(whole, all) },
		OnError: func(mirror.Failure) { failures++ },
	}
	m.Run(ctx)
	require.Equal(t, []int64{5, 6, 6, 9, 9}, s.watchedFrom, "no change between the pages is missed")
	require.Equal(t, []bool{true, false, false, true}, whole)
	require.Equal(t, [][]table.Row{
		{row("/op/a", 1), row("/op/b", 2)}, {row("/op/a", 6)}, nil, {row("/op/b", 8)},
	}, got)
	require.Equal(t, 1, failures)
}

// TestMirrorEmptyStore starts before the first write to the store, at version zero. The
// first row must not be missed.
func TestMirrorEmptyStore(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	s := &scriptedStore{
		stop:    stop,
		scans:   []table.Found{{Version: 0}},
		watches: []any{table.WatchResult{Version: 0}, table.WatchResult{Rows: []table.Row{row("/op/a", 1)}, Version: 1}},
	}
	var got []table.Row
	m := &mirror.Mirror{Store: s, Prefix: "/op/", OnRows: func(rows []table.Row, _ bool) { got = append(got, rows...) }}
	m.Run(ctx)
	require.Equal(t, []int64{0, 0, 1}, s.watchedFrom, "the first row is not missed")
	require.Equal(t, []table.Row{row("/op/a", 1)}, got)
}
