package evacuation_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/evacuation"
	"gypsumward/core/table"
)

// clock is a clock that is set by hand.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// decode takes keys of the form zone/NAME for evacuations.
func decode(key string) (zone string, ok bool, err error) {
	zone, ok = strings.CutPrefix(key, "zone/")
	if ok && zone == "" {
		return "", false, errors.New("no name")
	}
	return zone, ok, nil
}

// fixture is a set of data centres with the lines that it has logged.
type fixture struct {
	*evacuation.Zones
	clock  *clock
	lines  *strings.Builder
	counts map[string]int
}

func newFixture() fixture {
	f := fixture{clock: &clock{now: time.Unix(100, 0)}, lines: &strings.Builder{}, counts: map[string]int{}}
	f.Zones = &evacuation.Zones{
		Clock: f.clock, Log: log.NewLogfmtLogger(f.lines), Decode: decode, Count: func(kind string, n int) { f.counts[kind] += n },
	}
	return f
}

// zones returns the data centres as currently known.
func (f fixture) zones() []string {
	s, _ := f.Current()
	return s.Zones
}

func row(key string, version int64) table.Row { return table.Row{Key: key, Version: version} }

// TestUnreadIsUnknown guards against a holder that takes rows which it has never read for rows without
// an evacuation.
func TestUnreadIsUnknown(t *testing.T) {
	t.Parallel()
	f := newFixture()
	s, changed := f.Current()
	require.False(t, s.Known)
	f.Apply(nil, true)
	select {
	case <-changed:
	default:
		require.Fail(t, "the first read is no change")
	}
	s, _ = f.Current()
	require.True(t, s.Known)
	require.Empty(t, s.Zones)
	require.Zero(t, s.ChangedAt)
}

// TestChanges guards against an evacuation that is missed, or never ends: by a change, by its removal, or
// by a complete read without its row.
func TestChanges(t *testing.T) {
	t.Parallel()
	f := newFixture()
	f.Apply([]table.Row{row("config", 1), row("zone/b", 2), row("zone/gone", 0)}, true)
	require.Equal(t, []string{"b"}, f.zones())
	f.clock.now = f.clock.now.Add(time.Second)
	f.Apply([]table.Row{row("zone/a", 3)}, false)
	s, changed := f.Current()
	require.Equal(t, []string{"a", "b"}, s.Zones)
	require.Equal(t, f.clock.now, s.ChangedAt)
	f.clock.now = f.clock.now.Add(time.Second)
	f.Apply([]table.Row{row("zone/a", 4), row("config", 5)}, false)
	select {
	case <-changed:
		require.Fail(t, "a row that is written again is no change of the set")
	default:
	}
	f.Apply([]table.Row{row("zone/b", 0)}, false)
	require.Equal(t, []string{"a"}, f.zones())
	f.Apply(nil, false)
	require.Equal(t, []string{"a"}, f.zones(), "a read without changes")
	f.Apply([]table.Row{row("config", 5)}, true)
	require.Empty(t, f.zones(), "a complete read without the row")
	f.Apply([]table.Row{row("zone/a", 9)}, false)
	require.Equal(t, []string{"a"}, f.zones(), "evacuated twice")
	require.Contains(t, f.lines.String(), "event=evacuate zone=a begins=true version=3 age=1s")
}

// TestFollow guards against a holder that begins before it knows the evacuations that are known, misses
// a later one, or is told of any before they are known or after its term.
func TestFollow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		var early, late [][]string
		done := make(chan struct{})
		f.Follow(done, func(zones []string) { early = append(early, zones) })
		synctest.Wait()
		require.Empty(t, early)
		f.Apply([]table.Row{row("zone/a", 1)}, true)
		synctest.Wait()
		f.Follow(done, func(zones []string) { late = append(late, zones) })
		require.Equal(t, [][]string{{"a"}}, late, "before it returns")
		f.Apply([]table.Row{row("zone/b", 2)}, false)
		synctest.Wait()
		f.Apply([]table.Row{row("zone/a", 0)}, false)
		synctest.Wait()
		require.Equal(t, [][]string{{"a"}, {"a", "b"}, {"b"}}, early)
		require.Equal(t, early, late)
		close(done)
		synctest.Wait()
		f.Apply(nil, true)
		synctest.Wait()
		require.Len(t, early, 3)
	})
}

// TestMalformedKey guards against a malformed key that hides other rows, or is logged at each read.
func TestMalformedKey(t *testing.T) {
	t.Parallel()
	f := newFixture()
	for range 3 {
		f.Apply([]table.Row{row("zone/", 1), row("zone/a", 2)}, true)
	}
	require.Equal(t, []string{"a"}, f.zones())
	require.Equal(t, 1, strings.Count(f.lines.String(), "badrow"))
}

// TestOverdue guards against a holder that goes on for long with an old set, or without any, and nobody
// is told; and against a line for each check.
func TestOverdue(t *testing.T) {
	t.Parallel()
	const limit = 5 * time.Second
	for _, read := range []bool{false, true} {
		f := newFixture()
		if read {
			f.Apply(nil, true)
		}
		check := func(after time.Duration, holds bool) {
			f.clock.now = f.clock.now.Add(after)
			f.Check(limit, holds)
		}
		check(0, true)
		check(limit, true)
		require.False(t, f.Overdue())
		check(time.Millisecond, false)
		require.False(t, f.Overdue(), "it holds no cell")
		for range 3 {
			check(time.Second, true)
		}
		require.True(t, f.Overdue())
		require.Equal(t, 1, f.counts["operator_rows_overdue"])
		f.Apply(nil, false)
		check(0, true)
		require.False(t, f.Overdue())
		require.Equal(t, 2, strings.Count(f.lines.String(), "overdue="))
	}
}
