package monotonic

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, whichever comes first. It returns at once if d is
// not positive.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
