package event_test

import (
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"gypsumward/core/event"
	"gypsumward/core/hlc"
)

// A log that exceeds its bound by count or by bytes must drop the oldest events and
// keep the rest in order.
func TestLogBounds(t *testing.T) {
	t.Parallel()
	byCount := &event.Log{Process: "como-1@1", Clock: &hlc.Clock{}, MaxEvents: 3000}
	byBytes := &event.Log{Process: "como-1@1", Clock: &hlc.Clock{}, MaxBytes: 100_000}
	for n := range 10_000 {
		e := event.Event{Kind: event.Started, Job: "J1", Task: strconv.Itoa(n), Detail: strings.Repeat("x", n%900)}
		byCount.Add(e)
		byBytes.Add(e)
		_, bytes := byBytes.Size()
		require.LessOrEqual(t, bytes, 100_000)
	}
	for _, log := range []*event.Log{byCount, byBytes} {
		found := log.Find(event.Filter{})
		count, _ := log.Size()
		require.Len(t, found, count)
		require.Equal(t, "9999", found[count-1].Task)
		for i := 1; i < count; i++ {
			require.Greater(t, found[i].Timestamp, found[i-1].Timestamp)
		}
		require.Len(t, log.Find(event.Filter{Limit: 5}), 5)
	}
	count, _ := byCount.Size()
	require.Equal(t, 3000, count)
}

// The times of two events must differ by the time between them, and Since must include
// an event at exactly that time.
func TestLogMonotonicTime(t *testing.T) {
	t.Parallel()
	now := clockwork.NewFakeClock()
	log := &event.Log{Clock: &hlc.Clock{Wall: now}}
	log.Add(event.Event{Kind: event.Received})
	now.Advance(time.Second)
	log.Add(event.Event{Kind: event.Replied})
	found := log.Find(event.Filter{})
	require.Equal(t, time.Second, found[1].Time.Sub(found[0].Time))
	require.Len(t, log.Find(event.Filter{Since: found[1].Time}), 1)
}

func TestLogFilter(t *testing.T) {
	t.Parallel()
	log := &event.Log{Process: "como-1@1", Clock: &hlc.Clock{}}
	log.Add(event.Event{Kind: event.Started, Team: "a", Job: "J", Task: "t1", Target: "w1"})
	log.Add(event.Event{Kind: event.Started, Team: "b", Job: "J", Task: "t1", Target: "w2"})
	log.Add(event.Event{Kind: event.Done, Team: "b", Request: "R", Target: "r1"})
	for _, test := range []struct {
		filter event.Filter
		want   int
	}{
		{event.Filter{}, 3},
		{event.Filter{Job: "J"}, 2},
		{event.Filter{Team: "b", Job: "J"}, 1},
		{event.Filter{Request: "R"}, 1},
		{event.Filter{Target: "w1"}, 1},
		{event.Filter{Task: "t2"}, 0},
		{event.Filter{Process: "como-1@1"}, 3},
		{event.Filter{Kind: event.Done}, 1},
	} {
		require.Len(t, log.Find(test.filter), test.want, "%+v", test.filter)
	}
}

// Find must return events in order while other goroutines add and drop events.
func TestLogParallel(t *testing.T) {
	t.Parallel()
	log := &event.Log{Clock: &hlc.Clock{}, MaxEvents: 9000}
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for range 5000 {
				log.Add(event.Event{Kind: event.Started})
			}
		})
		group.Go(func() {
			for range 5 {
				found := log.Find(event.Filter{})
				for i := 1; i < len(found); i++ {
					require.Greater(t, found[i].Timestamp, found[i-1].Timestamp)
				}
			}
		})
	}
	group.Wait()
}

// A nil log must accept events and find none.
func TestNilLog(t *testing.T) {
	t.Parallel()
	var log *event.Log
	log.Add(event.Event{})
	require.Empty(t, log.Find(event.Filter{}))
}

func BenchmarkAdd(b *testing.B) {
	e := event.Event{Kind: event.Started, Team: "team-1", Job: "J-2026-04-15-000001", Task: "filing-0017", Target: "worker-17"}
	b.Run("on", func(b *testing.B) {
		log := &event.Log{Process: "como-1@1", Clock: &hlc.Clock{}}
		b.ReportAllocs()
		for b.Loop() {
			log.Add(e)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		log := &event.Log{Process: "como-1@1", Clock: &hlc.Clock{}}
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				log.Add(e)
			}
		})
	})
	b.Run("off", func(b *testing.B) {
		var log *event.Log
		b.ReportAllocs()
		for b.Loop() {
			log.Add(e)
		}
	})
}
