package hosted

import (
	"context"
	"sync"

	"gypsumward/core/cell"
	"gypsumward/core/eventloop"
)

// neighbours reaches the cells other than that of a participant through their proxies. It implements
// eventloop.Neighbours.
type neighbours struct{ p *participant }

var _ eventloop.Neighbours = neighbours{}

// Search asks all other cells at once. Those that do not answer before ctx ends are left out.
func (n neighbours) Search(ctx context.Context, q cell.Query) []cell.Answer {
	var mu sync.Mutex
	var list []cell.Answer
	var calls sync.WaitGroup
	for _, other := range n.p.host.participants() {
		if other == n.p {
			continue
		}
		calls.Go(func() {
			a, err := other.proxy.Answers(ctx, q)
			if err != nil {
				n.p.host.metrics.Count("missed_answer", 1)
				return
			}
			a.Cell = other.name
			mu.Lock()
			defer mu.Unlock()
			list = append(list, a)
		})
	}
	calls.Wait()
	return list
}

// Move passes a job to a cell.
func (n neighbours) Move(ctx context.Context, to string, m cell.MovedJob) bool {
	other := n.p.host.participantOf(to)
	return other != nil && other.proxy.Take(ctx, m)
}

// ReportEnds tells a cell of ends of its jobs.
func (n neighbours) ReportEnds(ctx context.Context, to string, ends []cell.MovedEnd) []string {
	other := n.p.host.participantOf(to)
	if other == nil {
		return nil
	}
	return other.proxy.NoteEnds(ctx, n.p.name, ends)
}
