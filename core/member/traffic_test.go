package member_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/member"
)

// budget is the control traffic that an instance may cause, sent and received, in
// bytes per second.
const budget = 7 * 1000

// maxPropagation is the time within which settings must be in force on all
// instances.
const maxPropagation = 13 * time.Second

// traffic is the cost of membership for an instance and the age of its information.
type traffic struct {
	gossip      float64       // bytes per second in messages, of the instance with the most
	list        float64       // bytes per second in lists, average of all instances
	oldest      time.Duration // age of the oldest record in any view
	unknown     int           // pairs of which one has no record of the other
	silent      int           // pairs of which one sees the other as silent
	propagation time.Duration // time until a revision is known to all instances
}

// measureTraffic runs a fleet with a steady load for some minutes and returns its
// traffic after a warm-up.
func measureTraffic(entries, centres, targets int) traffic {
	const warmupRounds, rounds = 120, 60
	f := newFleet(entries, centres, targets)
	revs := map[*node]int64{}
	for _, n := range f.nodes {
		n.OwnState = func() (int64, []byte) { return revs[n], make([]byte, 300) }
		n.OnChange = func(v member.View) { revs[n] = v.Revision }
	}
	for range warmupRounds {
		f.runRound()
	}
	for _, n := range f.nodes {
		n.messageBytes, n.listBytes = 0, 0
	}
	for range rounds {
		f.runRound()
	}
	var got traffic
	seconds := (rounds * member.DefaultInterval).Seconds()
	for _, n := range f.nodes {
		got.gossip = max(got.gossip, float64(n.messageBytes)/seconds)
		got.list += float64(n.listBytes) / seconds / float64(len(f.nodes))
		for _, e := range n.State.View(f.clock.Now()).Entries {
			switch {
			case e.Updated.IsZero():
				got.unknown++
			case e.Silent:
				got.silent++
			}
			if !e.Updated.IsZero() {
				got.oldest = max(got.oldest, f.clock.Now().Sub(e.Updated))
			}
		}
	}
	revs[f.nodes[0]] = 7
	known := func() bool { return f.allViews(func(_ *node, v member.View) bool { return v.Revision == 7 }) }
	got.propagation = time.Duration(f.runRounds(60, known)) * member.DefaultInterval
	return got
}

// Membership must stay within its traffic budget, spread a settings revision in
// time and leave no instance unknown or silent.
func TestTraffic(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ entries, centres, targets int }{{8, 3, 100}, {40, 7, 300}} {
		got := measureTraffic(size.entries, size.centres, size.targets)
		t.Logf("%d instances: %+v", size.entries, got)
		require.LessOrEqual(t, got.gossip+got.list, float64(budget))
		require.LessOrEqual(t, got.propagation, maxPropagation)
		require.Zero(t, got.unknown+got.silent)
	}
}

// BenchmarkTraffic measures traffic at the sizes of the page on capacity. The largest
// takes minutes; run it with -benchtime 1x.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []struct{ entries, centres, targets int }{
		{8, 3, 100}, {40, 7, 300}, {120, 7, 940}, {400, 7, 940},
	} {
		b.Run(fmt.Sprint(size.entries), func(b *testing.B) {
			for b.Loop() {
				got := measureTraffic(size.entries, size.centres, size.targets)
				b.ReportMetric(got.gossip, "gossip-B/s")
				b.ReportMetric(got.list, "list-B/s")
				b.ReportMetric(got.oldest.Seconds(), "oldest-s")
				b.ReportMetric(float64(got.unknown), "unheard")
				b.ReportMetric(float64(got.silent), "silent")
				b.ReportMetric(got.propagation.Seconds(), "settings-s")
			}
		})
	}
}

// FuzzMessage merges arbitrary messages. None may cause a panic or a response of
// 8000 bytes or more.
func FuzzMessage(f *testing.F) {
	f.Add([]byte(`{"recs":[{"id":"b","inc":"1","peer":"10.0.0.1:1","data":"AAAA"}],"list":[{"is":{"id":"r1","kind":"runner"},"age":"1s"}]}`))
	f.Add([]byte(`{"recs":[{"id":"a","inc":"2","peer":"x","born":9223372036854775807}],"list":[{"age":"-1s"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m member.Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		now := time.Unix(1_000_000, 0)
		state := member.New(member.Settings{}, member.Record{ID: "a", Incarnation: "1", Peer: "10.0.0.1:1"}, now)
		state.Merge(m, now)
		answer, err := json.Marshal(state.Message("", m, now))
		require.NoError(t, err)
		require.Less(t, len(answer), 8000)
		state.View(now)
	})
}
