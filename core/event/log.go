package event

import (
	"sync"
	"time"

	"gypsumward/core/hlc"
)

// Defaults of Log.
const (
	DefaultMaxEvents = 1 << 17
	DefaultMaxBytes  = 48 << 20 // bytes
)

const (
	initialRing = 1 << 10 // events in the first ring, which grows by doubling
	scanChunk   = 1 << 12 // events that Find examines while it holds the lock once
)

// Log keeps the latest events of one process. Its fields must be set before the
// first Add. It is safe for concurrent use and must not be copied after the first
// use. A nil Log is empty and discards all events, which disables the time line.
type Log struct {
	Process   string     // name@incarnation of the process
	Clock     *hlc.Clock // clock of the timestamps; must be set
	MaxEvents int        // events kept; zero means DefaultMaxEvents
	MaxBytes  int        // memory of the events kept, in bytes; zero means DefaultMaxBytes

	mu    sync.Mutex
	start time.Time // time of the first event, with a monotonic reading
	ring  []Event   // event n is at index n modulo the length, a power of two or MaxEvents
	first int64     // number of the oldest event kept
	next  int64     // number of the next event
	bytes int       // memory of the events kept, in bytes
}

// Add adds e after setting its Timestamp, Time and Process, and drops the oldest events
// if a bound is exceeded. A Detail longer than MaxDetail is truncated.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}
	if len(e.Detail) > MaxDetail {
		e.Detail = e.Detail[:MaxDetail]
	}
	e.Process = l.Process
	size := e.size()
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Timestamp = l.Clock.Now()
	e.Time = l.now()
	l.reserve(size)
	l.ring[l.next%int64(len(l.ring))] = e
	l.next++
	l.bytes += size
}

// MaxDetail is the largest length of Event.Detail, in bytes.
const MaxDetail = 512

// Find returns the latest events that match f, oldest first. Events dropped while it
// runs may be missing.
func (l *Log) Find(f Filter) []Event {
	if l == nil {
		return nil
	}
	limit := f.Limit
	if limit <= 0 || limit > MaxFound {
		limit = MaxFound
	}
	var found []Event
	pos := int64(0)
	for more := true; more; {
		found, pos, more = l.scan(found, pos, &f)
	}
	if len(found) > limit {
		found = found[len(found)-limit:]
	}
	return found
}

// Size returns the number of events kept and their memory in bytes.
func (l *Log) Size() (count, bytes int) {
	if l == nil {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.next - l.first), l.bytes
}

// scan appends the matches among one chunk of events that begins at number pos.
// It returns the number of the event to continue with and whether there are more.
func (l *Log) scan(found []Event, pos int64, f *Filter) ([]Event, int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pos = max(pos, l.first)
	end := min(l.next, pos+scanChunk)
	for ; pos < end; pos++ {
		e := &l.ring[pos%int64(len(l.ring))]
		if f.Match(e) {
			found = append(found, *e)
		}
	}
	return found, pos, pos < l.next
}

// now returns the time on the monotonic clock, which later steps of the wall clock do
// not affect. It equals the wall clock at the first event.
func (l *Log) now() time.Time {
	now := time.Now()
	if l.Clock.Wall != nil {
		now = l.Clock.Wall.Now()
	}
	if l.start.IsZero() {
		l.start = now
	}
	return l.start.Add(now.Sub(l.start))
}

// reserve drops old events until one of the given size in bytes can be added. It
// grows a full ring that has fewer than MaxEvents events instead of dropping events
// by count.
func (l *Log) reserve(size int) {
	maxEvents, maxBytes := l.MaxEvents, l.MaxBytes
	if maxEvents == 0 {
		maxEvents = DefaultMaxEvents
	}
	if maxBytes == 0 {
		maxBytes = DefaultMaxBytes
	}
	count := int(l.next - l.first)
	if count == len(l.ring) && count < maxEvents {
		l.grow(min(max(initialRing, 2*count), maxEvents))
	}
	for l.first < l.next && (int(l.next-l.first) >= maxEvents || l.bytes+size > maxBytes) {
		oldest := &l.ring[l.first%int64(len(l.ring))]
		l.bytes -= oldest.size()
		*oldest = Event{}
		l.first++
	}
}

// grow copies the events to a ring for count events.
func (l *Log) grow(count int) {
	ring := make([]Event, count)
	for n := l.first; n < l.next; n++ {
		ring[n%int64(count)] = l.ring[n%int64(len(l.ring))]
	}
	l.ring = ring
}
