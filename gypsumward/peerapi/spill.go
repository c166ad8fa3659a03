package peerapi

import (
	"context"
	"slices"
	"strings"
	"sync"

	"gypsumward/core/api"
	"gypsumward/core/forward"
	"gypsumward/core/peer"
	"gypsumward/core/spill"
)

// Names of the methods between data centres.
const (
	methodCapacity = "request.room"
	methodSpill    = "request.spill"
)

// CapacityRequest asks how many requests of an instance could be accepted.
type CapacityRequest struct {
	Instance string `json:"instance"`
}

// FreeCapacity asks all instances of other data centres how many requests they could
// accept. Instances that do not respond within callMargin are left out.
func (p *Peers) FreeCapacity(ctx context.Context, requester string) []spill.Report {
	var mutex sync.Mutex
	var group sync.WaitGroup
	var reports []spill.Report
	neighbours := p.Directory.Neighbours()
	for _, addr := range p.Directory.Others() {
		if slices.Contains(neighbours, addr) {
			continue
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callMargin)
			defer cancel()
			var r spill.Report
			if p.Client.Call(ctx, addr, methodCapacity, CapacityRequest{Instance: requester}, &r) == nil {
				mutex.Lock()
				defer mutex.Unlock()
				reports = append(reports, r)
			}
		})
	}
	group.Wait()
	return reports
}

// Spill transfers a request to an instance of another data centre and waits for its
// result. With an error, the api.RunStatus states whether the request may have run.
func (p *Peers) Spill(ctx context.Context, request forward.SpillRequest) (forward.SpillResponse, api.RunStatus, error) {
	name, _, _ := strings.Cut(request.Instance, "@")
	addr, ok := p.Directory.PeerAddr(name)
	if !ok {
		return forward.SpillResponse{}, api.RanNot, ErrUnknownInstance
	}
	var result forward.SpillResponse
	err := p.Client.Call(ctx, addr, methodSpill, request, &result)
	return result, peer.Ran(err), err
}

// SpillHandler accepts requests of other data centres; see package forward.
type SpillHandler interface {
	FreeCapacity(asker string) spill.Report
	RunSpilled(ctx context.Context, request forward.SpillRequest) forward.SpillResponse
}

// ServeSpills registers the methods for requests of other data centres.
func ServeSpills(s *peer.Server, handler SpillHandler) {
	peer.Handle(s, methodCapacity, func(_ context.Context, m CapacityRequest) (spill.Report, error) {
		return handler.FreeCapacity(m.Instance), nil
	})
	peer.Handle(s, methodSpill, func(ctx context.Context, request forward.SpillRequest) (forward.SpillResponse, error) {
		return handler.RunSpilled(ctx, request), nil
	})
}
