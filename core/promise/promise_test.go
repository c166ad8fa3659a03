package promise_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/election"
	"gypsumward/core/promise"
	"gypsumward/core/span"
)

const holder = "h@1"

// pair is a holder and a peer. The peer's clock shows another time and runs at rate times
// the speed of the holder's.
type pair struct {
	now       time.Time // on the holder's clock
	startedAt time.Time
	rate      float64
	received  promise.Received
	granted   promise.Granted
	self      election.Member
}

func newPair(rate float64) *pair {
	p := &pair{
		now: time.Unix(5000, 0), startedAt: time.Unix(5000, 0), rate: rate,
		received: promise.Received{Incarnation: holder}, self: election.Member{Node: "p", Incarnation: "p@1"},
	}
	p.granted.Restart(p.peerTime(p.now))
	return p
}

// peerTime converts a time on the holder's clock to the peer's clock.
func (p *pair) peerTime(t time.Time) time.Time {
	return time.Unix(90, 0).Add(time.Duration(float64(t.Sub(p.startedAt)) * p.rate))
}

// exchange delivers a hello message to the holder and its reply to the peer at once.
func (p *pair) exchange(heartbeatMissing bool) {
	p.received.RecordHello(p.now, p.granted.NextHello(p.self))
	p.granted.RecordReply(p.peerTime(p.now), newReply(p.now, heartbeatMissing))
}

// restart replaces the peer by a new incarnation on the same machine.
func (p *pair) restart() {
	p.granted = promise.Granted{}
	p.granted.Restart(p.peerTime(p.now))
	p.self.Incarnation += "+"
}

// newReply returns the reply of the holder at a time on its clock.
func newReply(now time.Time, heartbeatMissing bool) promise.HelloReply {
	r := promise.HelloReply{Leading: true, Incarnation: holder, Timestamp: now.UnixNano(), HeartbeatAge: span.Of(300 * time.Millisecond)}
	if heartbeatMissing {
		r.HeartbeatAge = span.Of(2 * time.Second)
	}
	return r
}

func TestLengths(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name             string
		heartbeatMissing bool
		validFor         time.Duration // the holder still counts on the promise after this time
		expiredAfter     time.Duration // the holder no longer does
	}{
		{"heartbeat in the store", false, 550 * time.Millisecond, 600 * time.Millisecond},
		{"no heartbeat in the store", true, 5500 * time.Millisecond, 6 * time.Second},
	} {
		p := newPair(1)
		_, ok := p.received.Until(p.now, nil, false)
		require.False(t, ok, "no hello message was received")
		p.exchange(test.heartbeatMissing)
		_, ok = p.received.Until(p.now, nil, false)
		require.False(t, ok, "the promise has not been reported yet")
		p.exchange(test.heartbeatMissing)
		p.now = p.now.Add(test.validFor)
		_, ok = p.received.Until(p.now, nil, false)
		require.True(t, ok, test.name)
		p.now = p.startedAt.Add(test.expiredAfter)
		_, ok = p.received.Until(p.now, nil, false)
		require.False(t, ok, test.name)
	}
}

func TestOthers(t *testing.T) {
	t.Parallel()
	p := newPair(1)
	p.exchange(true)
	p.exchange(true)
	p.received.RecordHello(p.now, promise.Hello{Member: election.Member{Node: "q", Incarnation: "q@1", StartedAt: 7}})
	_, ok := p.received.Until(p.now, nil, false)
	require.False(t, ok, "another peer has promised nothing")
	m, _, ok := p.received.BestSuccessor(p.now, time.Second, anyMember, "")
	require.True(t, ok)
	require.Equal(t, "q", m.Node)
	p.now = p.now.Add(9 * time.Second)
	p.exchange(true)
	p.exchange(true)
	p.now = p.now.Add(2 * time.Second)
	_, ok = p.received.Until(p.now, nil, false)
	require.True(t, ok, "the other peer has timed out")
	p.received = promise.Received{Incarnation: holder}
	p.received.RecordHello(p.now, promise.Hello{Member: p.self, HolderIncarnation: "h@0", ReplyTimestamp: p.now.UnixNano(), PromiseDuration: span.Of(promise.ExtendedDuration)})
	_, ok = p.received.Until(p.now, nil, false)
	require.False(t, ok, "the promise was given to another incarnation of the holder")
}

// TestNeverTooMuch delays, reorders and loses hello messages and replies, with clocks of
// different rates and a peer that restarts and leaves. The holder must never count on a promise beyond its end at the peer.
func TestNeverTooMuch(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(rapid.Float64Range(0.97, 1.03).Draw(t, "rate"))
		type message struct {
			at    time.Time
			hello *promise.Hello
			reply *promise.HelloReply
			to    string // incarnation that a reply is for
		}
		var inFlight, next []message
		send := func(m message) {
			if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
				m.at = p.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "delay")) * time.Millisecond)
				next = append(next, m)
			}
		}
		for range 120 {
			p.now = p.now.Add(time.Duration(rapid.IntRange(10, 300).Draw(t, "pass")) * time.Millisecond)
			hello := p.granted.NextHello(p.self)
			next = nil
			send(message{hello: &hello})
			for _, m := range inFlight {
				switch {
				case m.at.After(p.now):
					next = append(next, m)
				case m.hello != nil:
					p.received.RecordHello(p.now, *m.hello)
					reply := newReply(p.now, rapid.Bool().Draw(t, "dark"))
					send(message{reply: &reply, to: p.self.Incarnation})
				case m.to == p.self.Incarnation:
					p.granted.RecordReply(p.peerTime(p.now), *m.reply)
				}
			}
			inFlight = next
			switch rapid.IntRange(0, 30).Draw(t, "end") {
			case 0:
				p.restart()
			case 1:
				p.granted.Leave()
				last := p.granted.NextHello(p.self)
				inFlight = append(inFlight, message{at: p.now.Add(50 * time.Millisecond), hello: &last})
			}
			if until, ok := p.received.Until(p.now, nil, false); ok {
				require.False(t, p.peerTime(until).After(p.granted.Until()), "the holder overestimates the promise")
			}
		}
	})
}

func anyMember(election.Member) bool { return true }

// bestTest is one case of TestBest. A node called not cannot be the successor.
type bestTest struct {
	want, zone string
	hellos     []promise.Hello
}

func (bestTest) usable() func(m election.Member) bool {
	return func(m election.Member) bool { return m.Node != "not" }
}

func TestBest(t *testing.T) {
	t.Parallel()
	now := time.Unix(100, 0)
	newHello := func(node string, cells int, cores float64, since int64) promise.Hello {
		return promise.Hello{Cells: cells, Member: election.Member{Node: node, Incarnation: node, Cores: cores, StartedAt: since, Zone: "z-" + node}}
	}
	leaving := newHello("b", 0, 0.8, 1)
	leaving.Leaving = true
	for _, test := range []bestTest{
		{"", "", nil},
		{"a", "", []promise.Hello{newHello("a", 3, 0.1, 1)}},
		{"b", "", []promise.Hello{newHello("a", 1, 0.8, 1), newHello("b", 0, 0.4, 1)}},
		{"b", "", []promise.Hello{newHello("a", 0, 0.4, 9), newHello("b", 0, 0.8, 1)}},
		{"b", "", []promise.Hello{newHello("a", 0, 0.4, 1), newHello("b", 0, 0.4, 2), newHello("c", 1, 0.4, 3)}},
		{"a", "z-a", []promise.Hello{newHello("a", 3, 0.1, 1), newHello("b", 0, 0.8, 1)}},
		{"b", "z-x", []promise.Hello{newHello("a", 3, 0.1, 1), newHello("b", 0, 0.8, 1)}},
		{"a", "", []promise.Hello{newHello("a", 3, 0.1, 1), leaving}},
		{"a", "z-b", []promise.Hello{newHello("a", 3, 0.1, 1), leaving}},
		{"", "z-b", []promise.Hello{leaving}},
		{"a", "z-not", []promise.Hello{newHello("a", 3, 0.1, 1), newHello("not", 0, 0.8, 1)}},
	} {
		received := promise.Received{Incarnation: holder}
		for _, hello := range test.hellos {
			received.RecordHello(now, hello)
		}
		m, _, ok := received.BestSuccessor(now.Add(time.Second), time.Second, test.usable(), test.zone)
		require.Equal(t, test.want, m.Node)
		require.Equal(t, test.want != "", ok)
		_, _, ok = received.BestSuccessor(now.Add(2*time.Second), time.Second, test.usable(), test.zone)
		require.False(t, ok, "no recent hello message")
	}
}

// TestLeaving checks that an instance which shuts down says so in each further hello
// message, also after later replies and without any, and that its next incarnation does not.
func TestLeaving(t *testing.T) {
	t.Parallel()
	p := newPair(1)
	p.granted.Leave()
	require.True(t, p.granted.NextHello(p.self).Leaving)
	p.exchange(false)
	p.exchange(false)
	until, ok := p.received.Until(p.now, []string{p.self.Node}, true)
	require.True(t, ok)
	require.Greater(t, until.Sub(p.now), 5*time.Second, "the next incarnation keeps the promise")
	_, _, ok = p.received.BestSuccessor(p.now, time.Second, anyMember, "")
	require.False(t, ok)
	p.restart()
	p.exchange(false)
	_, _, ok = p.received.BestSuccessor(p.now, time.Second, anyMember, "")
	require.True(t, ok)
}

// TestStandbys plays peers of which only some may take over. The holder must wait for all
// standbys, also for those that it has never heard, and for no other peer but one that
// does not keep to the list.
func TestStandbys(t *testing.T) {
	t.Parallel()
	now := time.Unix(100, 0)
	received := promise.Received{Incarnation: holder}
	record := func(node string, standbyOnly bool, promised time.Duration) {
		received.RecordHello(now, promise.Hello{
			Member: election.Member{Node: node, Incarnation: node}, StandbyOnly: standbyOnly,
			HolderIncarnation: holder, ReplyTimestamp: now.UnixNano(), PromiseDuration: span.Of(promised),
		})
	}
	record("a", true, time.Second)
	record("b", true, 0)
	_, ok := received.Until(now, []string{"a"}, true)
	require.True(t, ok, "b is no standby")
	_, ok = received.Until(now, []string{"a", "c"}, true)
	require.False(t, ok, "c was never heard")
	_, ok = received.Until(now, nil, false)
	require.False(t, ok, "everyone may take over")
	record("d", false, 0)
	_, ok = received.Until(now, []string{"a"}, true)
	require.False(t, ok, "d takes over without being a standby")
	require.True(t, received.Heard(now.Add(time.Second), "a", time.Second))
	require.False(t, received.Heard(now.Add(time.Second), "c", time.Second))
}

// TestMalformedPromise reports promises that no reply can have led to. They must count for
// no more than one that a peer can give.
func TestMalformedPromise(t *testing.T) {
	t.Parallel()
	now := time.Unix(100, 0)
	for _, hello := range []promise.Hello{
		{ReplyTimestamp: now.Add(time.Hour).UnixNano(), PromiseDuration: span.Of(time.Second)},
		{ReplyTimestamp: now.UnixNano(), PromiseDuration: span.Of(1000 * time.Hour)},
		{ReplyTimestamp: now.UnixNano(), PromiseDuration: -1},
		{ReplyTimestamp: -1 << 63, PromiseDuration: 1<<63 - 1},
	} {
		received := promise.Received{Incarnation: holder}
		hello.Member, hello.HolderIncarnation = election.Member{Node: "p"}, holder
		received.RecordHello(now, hello)
		until, ok := received.Until(now, nil, false)
		require.True(t, !ok || !until.After(now.Add(promise.ExtendedDuration)), "%v", until)
	}
}
