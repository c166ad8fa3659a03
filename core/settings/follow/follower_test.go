package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/settings"
	"gypsumward/core/settings/follow"
	"gypsumward/core/settings/tabletest"
)

const errCut = errors.ConstError("cut off")

// node is one of several instances with a Follower. It is the Store and the Peers
// of that Follower.
type node struct {
	follow.Follower
	table       *tabletest.Table // shared by all nodes
	platformCut atomic.Bool      // the platform is unreachable
	peersCut    atomic.Bool      // the peers are unreachable
	peers       []*node          // nodes that it may call, in turn

	peerCalls    atomic.Int64 // calls to peers
	peerBytes    atomic.Int64 // size of these calls and their responses
	lastRevision atomic.Int64 // revision applied last
	wentBack     atomic.Bool  // a tree was applied that is not newer than the previous one
}

func (n *node) FetchNewer(_ context.Context, revision int64) (settings.Snapshot, bool, error) {
	if n.peersCut.Load() {
		return settings.Snapshot{}, false, errCut
	}
	s, ok := n.peers[int(n.peerCalls.Add(1))%len(n.peers)].NewerSnapshot(revision)
	ask, _ := json.Marshal(settings.Snapshot{Revision: revision})
	answer, _ := json.Marshal(s)
	n.peerBytes.Add(int64(len(ask) + len(answer)))
	return s, ok, nil
}

func (n *node) Revision(ctx context.Context) (int64, error) {
	if n.platformCut.Load() {
		return 0, errCut
	}
	return n.store().Revision(ctx)
}

func (n *node) Load(ctx context.Context) (*settings.Tree, error) {
	if n.platformCut.Load() {
		return nil, errCut
	}
	return n.store().Load(ctx)
}

func (n *node) store() *settings.Store {
	return &settings.Store{Table: n.table, Clock: clockwork.NewRealClock()}
}

// startNodes starts count nodes at different moments and returns them. All nodes
// are peers of each other, unless prepare, which is called before each start,
// changes that. It must be called within a synctest bubble.
func startNodes(t *testing.T, rows *tabletest.Table, count int, prepare func(i int, nodes []*node)) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		n := &node{table: rows}
		n.Follower = follow.Follower{Active: &settings.ActiveTree{}, Store: n, Peers: n, Clock: clockwork.NewRealClock()}
		n.OnApply = func(tree *settings.Tree, _ follow.Source) {
			if n.lastRevision.Swap(tree.Revision()) >= tree.Revision() {
				n.wentBack.Store(true)
			}
		}
		nodes[i] = n
	}
	for i, n := range nodes {
		for j := 1; j < count; j++ {
			n.peers = append(n.peers, nodes[(i+j)%count])
		}
		prepare(i, nodes)
		go func() {
			time.Sleep(time.Duration(i) * follow.DefaultPollInterval / time.Duration(count))
			n.Run(t.Context())
		}()
	}
	return nodes
}

// writeChange writes a subtree of realistic size and returns the revision.
func writeChange(t *testing.T, rows *tabletest.Table, team string, base int64, weight int) int64 {
	store := settings.Store{Table: rows, Clock: clockwork.NewRealClock()}
	text := fmt.Sprintf("# %s\nweight = %d\ncount = 5000\nbytes = \"32MiB\"\nretry = 0.1\nspill = [\"price\", \"slot\"]\n", team, weight)
	r := store.Put(t.Context(), settings.Change{Team: team, Base: base, Text: text, Author: "ada", Note: "season"})
	require.Equal(t, settings.OutcomeWritten, r.Outcome)
	return r.Revision
}

// awaitRevision waits until all nodes have applied the revision, for at most about
// a minute, and returns the time that passed.
func awaitRevision(nodes []*node, revision int64) time.Duration {
	start := time.Now()
	for slices.ContainsFunc(nodes, func(n *node) bool { return n.Active.Tree().Revision() < revision }) {
		time.Sleep(10 * time.Millisecond)
		if time.Since(start) > time.Minute {
			break
		}
	}
	return time.Since(start)
}

// maxDelay and maxBytesPerSecond are the targets for the load expected in two
// years: every instance applies a change within 13 s, and control messages take at
// most 7 KB/s.
const (
	maxDelay          = 13 * time.Second
	maxBytesPerSecond = 7000
)

// TestTimeToInForce checks both targets during half an hour of changes at the rate
// expected in two years (390 a day), with and without instances disconnected from
// the platform. It logs the time until changes apply and the messages per
// instance.
func TestTimeToInForce(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ nodes, teams, cut int }{
		{8, 1, 0},
		{8, 37, 0},
		{8, 111, 0},
		{8, 37, 4},
		{8, 37, 7},
		{24, 37, 0},
	} {
		t.Run(fmt.Sprintf("%d instances, %d teams, %d cut off", test.nodes, test.teams, test.cut), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				runHalfHour(t, test.nodes, test.teams, test.cut)
			})
		})
	}
}

// runHalfHour runs one case of TestTimeToInForce with count nodes, of which cut
// cannot reach the platform.
func runHalfHour(t *testing.T, count, teams, cut int) {
	const changes = 8
	rows := &tabletest.Table{}
	versions := make([]int64, teams)
	for i := range teams {
		versions[i] = writeChange(t, rows, fmt.Sprintf("team%d", i), 0, 1)
	}
	nodes := startNodes(t, rows, count, func(i int, nodes []*node) { nodes[i].platformCut.Store(i < cut) })
	require.Less(t, awaitRevision(nodes, versions[teams-1]), maxDelay)
	before := rows.Calls()
	peerBytes, peerCalls := peerTraffic(nodes)
	start := time.Now()
	delays := make([]time.Duration, 0, changes)
	for i := range changes {
		time.Sleep(30*time.Minute/changes - time.Duration(i)*130*time.Millisecond)
		team := i % teams
		versions[team] = writeChange(t, rows, fmt.Sprintf("team%d", team), versions[team], 2+i)
		delays = append(delays, awaitRevision(nodes, versions[team]))
	}
	seconds := time.Since(start).Seconds()
	calls := rows.Calls()
	bytes, asked := peerTraffic(nodes)
	direct := float64(max(1, count-cut))
	slices.Sort(delays)
	platform := float64(calls.Bytes-before.Bytes) / direct / seconds
	peers := float64(bytes-peerBytes) / float64(count) / seconds
	t.Logf("applied after: median %v, longest %v; per instance to the platform: %.2f messages/s, %.0f B/s; to peers: %.2f messages/s, %.0f B/s",
		delays[len(delays)/2], delays[len(delays)-1],
		float64(calls.Reads+calls.Scans-before.Reads-before.Scans)/direct/seconds, platform,
		float64(asked-peerCalls)/float64(count)/seconds, peers)
	require.LessOrEqual(t, delays[len(delays)-1], maxDelay)
	require.LessOrEqual(t, platform+peers, float64(maxBytesPerSecond))
	for _, n := range nodes {
		require.False(t, n.wentBack.Load())
	}
}

// peerTraffic returns the bytes and calls between all nodes.
func peerTraffic(nodes []*node) (bytes, calls int64) {
	for _, n := range nodes {
		bytes += n.peerBytes.Load()
		calls += n.peerCalls.Load()
	}
	return bytes, calls
}

// TestPlatformOut checks that a change spreads from peer to peer while only one
// instance reaches the platform, and that an instance that reaches neither keeps
// its settings, reports their age and catches up afterwards.
func TestPlatformOut(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		rows := &tabletest.Table{}
		first := writeChange(t, rows, "crew", 0, 1)
		// All but node 0 reach only the previous node.
		nodes := startNodes(t, rows, 4, func(i int, nodes []*node) {
			if i > 0 {
				nodes[i].platformCut.Store(true)
				nodes[i].peers = nodes[i-1 : i]
			}
		})
		require.Less(t, awaitRevision(nodes, first), maxDelay)
		second := writeChange(t, rows, "crew", first, 2)
		require.Less(t, awaitRevision(nodes, second), maxDelay)
		require.Equal(t, follow.SourcePeer, nodes[3].State().Source)

		nodes[0].platformCut.Store(true)
		nodes[0].peersCut.Store(true)
		third := writeChange(t, rows, "crew", second, 3)
		time.Sleep(time.Minute)
		state := nodes[0].State()
		require.Equal(t, second, state.Revision)
		require.GreaterOrEqual(t, state.Age.Duration(), time.Minute-follow.DefaultPollInterval)
		require.Contains(t, state.Fault, "cut off")
		nodes[0].platformCut.Store(false)
		require.Less(t, awaitRevision(nodes, third), maxDelay)
		state = nodes[0].State()
		require.Equal(t, follow.SourcePlatform, state.Source)
		require.Empty(t, state.Fault)
	})
}

// TestNeverGoesBack disconnects instances from the platform and from each other at
// random while settings change. No instance may return to an older revision, and
// all must have the newest one soon after the platform is reachable again.
func TestNeverGoesBack(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.IntRange(0, 15), 1, 30).Draw(rt, "actions")
		var recovery time.Duration
		var wentBack bool
		synctest.Test(t, func(t *testing.T) {
			rows := &tabletest.Table{}
			last := writeChange(t, rows, "crew", 0, 1)
			nodes := startNodes(t, rows, 4, func(int, []*node) {})
			for i, action := range actions {
				n := nodes[action%4]
				switch action / 4 {
				case 0:
					last = writeChange(t, rows, "crew", last, 2+i)
				case 1:
					n.platformCut.Store(!n.platformCut.Load())
				case 2:
					n.peersCut.Store(!n.peersCut.Load())
				case 3:
					n.Offer(nodes[i%4].Active.Tree().Snapshot())
				}
				time.Sleep(time.Duration(1+action) * 300 * time.Millisecond)
			}
			for _, n := range nodes {
				n.platformCut.Store(false)
			}
			recovery = awaitRevision(nodes, last)
			for _, n := range nodes {
				wentBack = wentBack || n.wentBack.Load()
			}
		})
		require.False(rt, wentBack)
		require.LessOrEqual(rt, recovery, maxDelay)
	})
}

// TestOffer checks that Offer ignores trees that are not newer or have faults.
func TestOffer(t *testing.T) {
	t.Parallel()
	f := follow.Follower{Active: &settings.ActiveTree{}, Clock: clockwork.NewFakeClock()}
	require.Equal(t, follow.SourceNone, f.State().Source)
	at := func(revision int64, text string) settings.Snapshot {
		return settings.Snapshot{Revision: revision, Teams: []settings.Subtree{{Team: "crew", Text: text}}}
	}
	require.True(t, f.Offer(at(5, "weight = 2")))
	require.False(t, f.Offer(at(5, "weight = 3")))
	require.False(t, f.Offer(at(4, "weight = 3")))
	require.False(t, f.Offer(at(6, "weight = 0")))
	require.Contains(t, f.State().Fault, "weight: 0 is out of range")
	require.Equal(t, int64(5), f.State().Revision)
	_, ok := f.NewerSnapshot(5)
	require.False(t, ok)
	s, ok := f.NewerSnapshot(4)
	require.True(t, ok)
	require.True(t, strings.HasPrefix(s.Teams[0].Text, "weight = 2"))
}
