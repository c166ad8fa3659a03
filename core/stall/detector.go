package stall

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"gypsumward/core/monotonic"
)

// beatInterval is the time between two signs of life of the process.
const beatInterval = 100 * time.Millisecond

// backlogTime is the time after a pause within which the messages are read that arrived during it.
const backlogTime = 500 * time.Millisecond

// Clock returns the current time. It must include the time during which the process or its machine
// was paused.
type Clock interface {
	Now() time.Time
}

// Detector detects pauses of this process. Its fields must be set before Run. It is safe for
// concurrent use.
type Detector struct {
	Clock Clock
	Log   log.Logger
	Least time.Duration // shorter pauses are ignored

	mu      sync.Mutex
	beat    time.Time // last sign of life; zero before Run
	began   time.Time // when the last pause began, at the earliest
	ended   time.Time // when it ended; zero if there was none
	stopped bool      // Run has ended
}

// Run watches the process until ctx ends. From then on Delay returns zero.
func (d *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		d.recordBeat(d.Clock.Now())
		monotonic.Sleep(ctx, beatInterval)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
}

// recordBeat records a sign of life at now, and the pause that it ends, if there was one.
func (d *Detector) recordBeat(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pause := now.Sub(d.beat); !d.beat.IsZero() && pause >= d.Least {
		d.began, d.ended = d.beat, now
		_ = d.Log.Log("event", "paused", "for", pause)
	}
	d.beat = now
}

// Delay returns the longest time for which a message that is read now may have waited because of a
// pause; zero if there was none lately.
func (d *Detector) Delay() time.Duration {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.beat.IsZero() || d.stopped:
		return 0
	case now.Sub(d.beat) >= d.Least: // the pause has ended, but Run has not noticed yet
		return now.Sub(d.beat)
	case !d.ended.IsZero() && now.Sub(d.ended) < backlogTime:
		return now.Sub(d.began)
	}
	return 0
}
