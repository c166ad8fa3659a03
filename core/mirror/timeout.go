package mirror

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// timeout is the time-out of calls, which grows while they run out of time and follows the time that
// the last one took. The zero value is not ready for use; call reset first.
type timeout struct {
	least time.Duration // of a first call
	next  time.Duration // of the next one
}

// reset sets the time-out of a first call, which is the next one.
func (t *timeout) reset(least time.Duration) { t.least, t.next = least, least }

// record records the result of a call and the time that it took.
func (t *timeout) record(took time.Duration, err error) {
	switch {
	case err == nil:
		t.next = min(max(2*took, t.least), max(maxTimeout, t.least))
	case errors.Is(err, context.DeadlineExceeded):
		t.next = min(2*t.next, max(maxTimeout, t.least))
	}
}
