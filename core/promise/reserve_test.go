package promise_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gypsumward/core/election"
	"gypsumward/core/promise"
	"gypsumward/core/span"
)

// TestStoredUntil guards against a holder that runs stored jobs for longer than its reserves wait.
func TestStoredUntil(t *testing.T) {
	t.Parallel()
	now := time.Unix(1000, 0)
	r := promise.Received{Incarnation: "h@1"}
	promised := func(node string, d time.Duration) {
		r.RecordHello(now, promise.Hello{Member: election.Member{Node: node}, HolderIncarnation: "h@1", ReplyTimestamp: now.UnixNano(), PromiseDuration: span.Of(d)})
	}
	promised("near", 600*time.Millisecond)
	promised("far", 6*time.Second)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	alone, most := at(2*time.Second), at(5*time.Second)
	far := at(6*time.Second - 6*time.Second/20)
	for _, test := range []struct {
		name     string
		until    time.Time
		reserves []string
		alone    time.Time
		most     time.Time
		want     time.Time
	}{
		{"the standbys decide", at(time.Second), []string{"near", "far"}, alone, most, at(time.Second)},
		{"a reserve has promised little", at(time.Hour), []string{"near", "far"}, alone, most, alone},
		{"one has never been heard of", at(time.Hour), []string{"far", "unknown"}, alone, most, alone},
		{"all have promised enough", at(time.Hour), []string{"far"}, alone, most, most},
		{"up to their promise", at(time.Hour), []string{"far"}, alone, at(time.Hour), far},
		{"no reserves", at(time.Hour), nil, alone, most, most},
		{"no heartbeat was written", at(time.Hour), nil, time.Time{}, time.Time{}, time.Time{}},
	} {
		require.Equal(t, test.want, r.StoredUntil(test.until, test.reserves, test.alone, test.most), test.name)
	}
}
