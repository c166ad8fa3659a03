package detach

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// WithTimeout returns a context without a parent that is cancelled after d on the given
// clock or when the returned function is called. That function must be called to
// release the timer.
func WithTimeout(clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	timer := clock.AfterFunc(d, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
