package mirror_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/mirror"
	"gypsumward/core/table"
)

// script is a store that answers in turn.
type script struct {
	scans   []table.Found
	watches []any // table.Changes or error
	after   []int64
	stop    context.CancelFunc
}

func (s *script) Scan(context.Context, table.Scan) (table.Found, error) {
	next := s.scans[0]
	s.scans = s.scans[1:]
	return next, nil
}

func (s *script) Watch(_ context.Context, w table.Watch) (table.Changes, error) {
	s.after = append(s.after, w.After)
	if len(s.watches) == 0 {
		s.stop()
		return table.Changes{}, context.Canceled
	}
	next := s.watches[0]
	s.watches = s.watches[1:]
	if err, ok := next.(error); ok {
		return table.Changes{}, err
	}
	return next.(table.Changes), nil
}

func row(key string, version int64) table.Row { return table.Row{Key: key, Version: version} }

// TestMirror reads in pages, follows, reads anew after a lost history, and goes on after
// a call that failed.
func TestMirror(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	s := &script{
		stop: stop,
		scans: []table.Found{
			{Rows: []table.Row{row("/op/a", 1)}, Version: 5, More: true},
			{Rows: []table.Row{row("/op/b", 2)}, Version: 6},
			{Rows: []table.Row{row("/op/b", 8)}, Version: 9},
		},
		watches: []any{
			table.Changes{Rows: []table.Row{row("/op/a", 6)}, Version: 6},
			table.Changes{Version: 6},
			table.Changes{Lost: true},
			errors.New("no answer"),
		},
	}
	var taken [][]table.Row
	var whole []bool
	failed := 0
	m := &mirror.Mirror{
		Store: s, Prefix: "/op/",
		Take: func(rows []table.Row, all bool) { taken = append(taken, rows); whole = append(whole, all) },
		Fail: func(error) { failed++ },
	}
	m.Run(ctx)
	require.Equal(t, []int64{5, 6, 6, 9, 9}, s.after, "nothing between the pages is missed")
	require.Equal(t, []bool{true, false, false, true}, whole)
	require.Equal(t, [][]table.Row{
		{row("/op/a", 1), row("/op/b", 2)}, {row("/op/a", 6)}, nil, {row("/op/b", 8)},
	}, taken)
	require.Equal(t, 1, failed)
}

// TestMirrorEmptyStore begins before anything was ever written.
func TestMirrorEmptyStore(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	s := &script{
		stop:    stop,
		scans:   []table.Found{{Version: 0}},
		watches: []any{table.Changes{Version: 0}, table.Changes{Rows: []table.Row{row("/op/a", 1)}, Version: 1}},
	}
	var taken []table.Row
	m := &mirror.Mirror{Store: s, Prefix: "/op/", Take: func(rows []table.Row, _ bool) { taken = append(taken, rows...) }}
	m.Run(ctx)
	require.Equal(t, []int64{0, 0, 1}, s.after, "the first row of all is not missed")
	require.Equal(t, []table.Row{row("/op/a", 1)}, taken)
}
