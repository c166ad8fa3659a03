package shutdown

import (
	"context"
	"sync"
	"time"
)

// Sequence is the shutdown of an instance. All fields must be set.
type Sequence struct {
	DrainTime    time.Duration // from the start until no requests are taken any more
	Grace        time.Duration // from the start until the process must have ended
	AnswerMargin time.Duration // before the end of Grace, when requests in progress are ended

	// HandOver hands over what the instance holds. It must return within Grace.
	HandOver func()
	// StopServing makes the servers take no requests any more, and waits until those in progress
	// are answered or ctx has ended.
	StopServing func(ctx context.Context)
	// EndRequests makes the requests in progress answer at once.
	EndRequests func()
}

// Run runs the steps, and returns once the handovers and all requests in progress have ended, or
// Grace has passed since the call.
func (s *Sequence) Run() {
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	end := time.AfterFunc(s.Grace-s.AnswerMargin, s.EndRequests)
	defer end.Stop()
	var handovers sync.WaitGroup
	handovers.Go(s.HandOver)
	time.Sleep(s.DrainTime)
	s.StopServing(ctx)
	handovers.Wait()
}
