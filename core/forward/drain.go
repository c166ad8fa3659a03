package forward

import "context"

// Drain stops accepting requests and waits until all accepted ones have ended and
// their outcomes are recorded, or until ctx ends. It reports whether all were
// recorded.
func (f *Forwarder) Drain(ctx context.Context) bool {
	done := make(chan struct{})
	if !f.post(drainMessage{done: done}) {
		return false
	}
	select {
	case <-done:
	case <-ctx.Done():
		return false
	}
	for f.recording.Load() > 0 {
		select {
		case <-f.Clock.After(tickInterval):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// drainMessage makes the loop stop accepting requests. It closes done once no
// request is open.
type drainMessage struct {
	done chan struct{}
}

func (m drainMessage) apply(f *Forwarder) {
	f.drained = m.done
	f.checkDrain()
}

// checkDrain reports the end of draining once no request is open.
func (f *Forwarder) checkDrain() {
	if f.drained == nil || f.openCalls > 0 {
		return
	}
	select {
	case <-f.drained:
	default:
		close(f.drained)
	}
}
