package intake

import (
	"sync"
	"time"
)

// ConnBytes is the memory that a claim covers for its connection without any input: two buffers of
// 4 KB, two stacks of up to 4 KB and the structures of the connection and its socket. With 900 silent
// connections the resident memory of a process rose by 8 MB, with others in use by up to twice that.
const ConnBytes = 24 << 10

// StallTime is the time without a byte after which a claim counts as stalled, and the time after which
// a request that is still being read may give way to a new connection. Segments that are lost on the
// way are sent again within 0.2 to 0.4 s.
const StallTime = 500 * time.Millisecond

// IdleGrace is the time without a byte within which a connection between requests gives way last: a request
// may be on its way, or have arrived at a process that is too busy to have read it. Before the first request
// it is StallTime: clients repeat a request on a new connection, but not the first request of one.
const IdleGrace = 100 * time.Millisecond

// LongWait is the longest time for which a client may wait for a reply and hold its connection all the
// while if there are no others left. It is twice the 1.5 s for which the clients of the platform wait.
const LongWait = 3 * time.Second

// Kind is a kind of decision.
type Kind string

// The kinds of decisions of a Gate.
const (
	IdleClosed      Kind = "idle_closed"      // an idle connection was closed for another one
	UnreadClosed    Kind = "unread_closed"    // a connection whose client does not read was closed
	PipelinedClosed Kind = "pipelined_closed" // a connection with requests sent ahead was closed
	LongClosed      Kind = "long_closed"      // a connection whose client waits for long was closed
	StalledEvicted  Kind = "stalled_evicted"  // a request that had stalled gave way
	LargeEvicted    Kind = "large_evicted"    // a request gave way to a smaller one
	ConnRefused     Kind = "conn_refused"     // a connection was refused
	BytesRefused    Kind = "bytes_refused"    // input was refused
)

// Closes reports whether a connection that gives way with this kind is closed at once, since its client
// has no request to which a refusal could reply, would not read it, or has one that may have run.
func (k Kind) Closes() bool {
	return k == IdleClosed || k == UnreadClosed || k == PipelinedClosed || k == LongClosed
}

// Gate holds the claims of a process or of one of its servers. Its exported fields must be set before
// the first call. It is safe for concurrent use.
type Gate struct {
	Bytes int64 // for all claims together
	Conns int   // claims
	Clock interface{ Now() time.Time }

	// Observe is called with each decision against a connection, the bytes that the claims hold and
	// the number of claims. It must not block or call the gate, and may be nil.
	Observe func(kind Kind, bytes int64, conns int)

	mu           sync.Mutex
	claims       map[*Claim]struct{}
	used         int64 // bytes of all claims
	evictedBytes int64 // of used, those of evicted claims that are not closed yet
	evicted      int   // evicted claims whose connections are not closed yet
	detached     int   // evicted claims whose connections are closed
}

// Parts of the limits by which evicted claims that have not been closed yet may exceed them. Without
// a limit, a process too busy to close them would hold ever more.
const (
	evictedBytesPart = 4
	evictedConnsPart = 8
)

// Open returns a claim for a new connection, or nil if there is no room for it. The claim is idle. If
// it gives way to another one later, evict is called, once, with the kind of the decision. If the kind
// Closes, evict must close the connection. The holder of the claim must close that soon. Evict must not
// block.
func (g *Gate) Open(evict func(Kind)) *Claim {
	c := &Claim{gate: g, evict: evict}
	g.mu.Lock()
	now := g.Clock.Now()
	c.last, c.opened = now, now
	c.EndWrite()
	var victims evictions
	conns := len(g.claims) - g.detached
	room := conns < g.Conns+max(1, g.Conns/evictedConnsPart)
	if room && conns-g.evicted >= g.Conns {
		victim, kind := g.connVictim(now)
		if room = victim != nil; room {
			victims = g.evictLocked(victims, victim, kind)
		}
	}
	if room {
		victims, room = g.makeRoom(victims, c, ConnBytes, now)
	}
	if room {
		if g.claims == nil {
			g.claims = map[*Claim]struct{}{}
		}
		g.claims[c] = struct{}{}
		g.used += ConnBytes
		c.bytes = ConnBytes
	} else {
		g.observe(ConnRefused)
	}
	g.mu.Unlock()
	victims.run()
	if !room {
		return nil
	}
	return c
}

// Used returns the bytes that the claims hold and the number of their open connections.
func (g *Gate) Used() (bytes int64, conns int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used, len(g.claims) - g.detached
}

// class is why a claim gives way to a new connection. A lower class gives way first.
type class int

const (
	classUnread class = iota
	classIdle
	classStalled
	classPipelined
	classLong
	classRecent // idle for less than IdleGrace, or StallTime before the first request
	classLarge
	classNone // does not give way
)

// kinds are the kinds of the decisions against claims of the classes that give way.
var kinds = [classNone]Kind{UnreadClosed, IdleClosed, StalledEvicted, PipelinedClosed, LongClosed, IdleClosed, LargeEvicted}

// class returns the class of a claim that has not been evicted.
func (c *Claim) class(now time.Time) class {
	silence := now.Sub(c.last)
	switch {
	case c.unread(now):
		return classUnread
	case c.state == working && c.pipelined:
		return classPipelined
	case c.state == working && c.long && silence >= IdleGrace:
		return classLong
	case c.state == working:
		return classNone
	case c.state == waiting && (silence < IdleGrace || !c.used && silence < StallTime):
		return classRecent
	case c.state == waiting:
		return classIdle
	case silence >= StallTime:
		return classStalled
	case now.Sub(c.began) >= StallTime:
		return classLarge
	}
	return classNone
}

// connVictim returns the claim that gives way to a new connection, or nil if there is none: of the lowest
// class the largest if that is large, otherwise the one that has been without a byte for the longest.
func (g *Gate) connVictim(now time.Time) (*Claim, Kind) {
	var victim *Claim
	lowest := classNone
	for c := range g.claims {
		if c.evicted {
			continue
		}
		switch k := c.class(now); {
		case k < lowest:
			victim, lowest = c, k
		case k > lowest || k == classNone:
		case k == classLarge && c.bytes <= victim.bytes:
		case k != classLarge && !c.last.Before(victim.last):
		default:
			victim = c
		}
	}
	if victim == nil {
		return nil, ""
	}
	return victim, kinds[lowest]
}

// eviction is a claim that gives way, and why.
type eviction struct {
	claim *Claim
	kind  Kind
}

// evictions are claims that have been marked as evicted.
type evictions []eviction

// run calls the functions of the claims. The caller must not hold the lock of the gate.
func (l evictions) run() {
	for _, v := range l {
		v.claim.evict(v.kind)
	}
}

// makeRoom evicts claims, which it appends to victims, until c can have n bytes more. It evicts none
// and returns false if that is not possible.
func (g *Gate) makeRoom(victims evictions, c *Claim, n int64, now time.Time) (evictions, bool) {
	missing := g.used - g.evictedBytes + n - g.Bytes
	if missing > 0 && missing > g.evictableFor(c, n, now) || g.used+n > g.Bytes+g.Bytes/evictedBytesPart {
		return victims, false
	}
	for missing > 0 {
		victim, kind := g.bytesVictim(c, n, now)
		missing -= victim.bytes
		victims = g.evictLocked(victims, victim, kind)
	}
	return victims, true
}

// givesWay reports whether other gives way to c, if that needs n bytes more, and whether because it
// has stalled.
func givesWay(other, c *Claim, n int64, now time.Time) (gives, stalled bool) {
	if other == c || other.evicted {
		return false, false
	}
	if other.unread(now) {
		return true, true
	}
	if other.state != reading {
		return false, false
	}
	stalled = now.Sub(other.last) >= StallTime
	return stalled || other.bytes > c.bytes+n, stalled
}

// evictableFor returns the bytes of the claims that give way to c.
func (g *Gate) evictableFor(c *Claim, n int64, now time.Time) int64 {
	total := int64(0)
	for other := range g.claims {
		if gives, _ := givesWay(other, c, n, now); gives {
			total += other.bytes
		}
	}
	return total
}

// bytesVictim returns the first claim that gives way to c, or nil if there is none.
func (g *Gate) bytesVictim(c *Claim, n int64, now time.Time) (*Claim, Kind) {
	var victim *Claim
	victimStalled := false
	for other := range g.claims {
		gives, stalled := givesWay(other, c, n, now)
		if !gives || (victimStalled && !stalled) {
			continue
		}
		if victim == nil || (stalled && !victimStalled) || other.bytes > victim.bytes {
			victim, victimStalled = other, stalled
		}
	}
	if !victimStalled {
		return victim, LargeEvicted
	}
	if victim.unread(now) {
		return victim, UnreadClosed
	}
	return victim, StalledEvicted
}

// evictLocked marks c as evicted and appends it to victims.
func (g *Gate) evictLocked(victims evictions, c *Claim, kind Kind) evictions {
	c.evicted = true
	if c.detached = kind.Closes(); c.detached {
		g.detached++
	} else {
		g.evicted++
	}
	g.evictedBytes += c.bytes
	g.observe(kind)
	return append(victims, eviction{c, kind})
}

func (g *Gate) observe(kind Kind) {
	if g.Observe != nil {
		g.Observe(kind, g.used, len(g.claims)-g.detached)
	}
}
