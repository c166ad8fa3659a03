package eventloop

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/cell"
)

// ErrNotLoaded is returned for a question that only the rows of all jobs can answer, before they
// have been read.
const ErrNotLoaded = errors.ConstError("the rows have not been read yet")

// Pending returns the number of jobs of a queue of which no task has started yet. Errors
// are those of Submit, and ErrNotLoaded.
func (l *Loop) Pending(ctx context.Context, queue string) (int, error) {
	m := pendingMessage{queue: queue, reply: make(chan pendingCount, 1)}
	count, err := request(ctx, l, m, m.reply)
	if err == nil && !count.known {
		err = ErrNotLoaded
	}
	return count.n, err
}

type pendingMessage struct {
	queue string
	reply chan pendingCount
}

// pendingCount is a number of pending jobs. Known is false if not all jobs are known.
type pendingCount struct {
	n     int
	known bool
}

func (m pendingMessage) Apply(c *cell.Cell, _ time.Time) {
	n, known := c.PendingJobs(m.queue)
	m.reply <- pendingCount{n, known}
}
