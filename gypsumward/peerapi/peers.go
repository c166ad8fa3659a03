package peerapi

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/meter"
	"gypsumward/core/peer"
	"gypsumward/core/settings"
	"gypsumward/core/span"
)

// Names of the methods.
const (
	methodJob     = "job.wait"
	methodCancel  = "job.cancel"
	methodOffer   = "job.offer"
	methodRequest = "request.wait"
	methodNewer   = "settings.newer"
)

const (
	callMargin    = 500 * time.Millisecond // transmission time of a call, in addition to its wait
	cancelTimeout = 5 * time.Second        // time for a cancelled job to end
)

// ErrUnknownInstance is returned by calls to an instance whose address is not known.
const ErrUnknownInstance = errors.ConstError("the instance is not on the list")

// WorkRequest is the parameter of a call about a job or request of an instance.
type WorkRequest struct {
	Instance string    `json:"instance"`
	Key      api.Key   `json:"key"`
	Task     string    `json:"task,omitempty"`
	Wait     span.Span `json:"wait,omitempty"`
}

// WorkResponse is the result of a call with a WorkRequest. Answer is valid if Owned is
// set.
type WorkResponse struct {
	Owned  bool       `json:"owned"`
	Answer api.Answer `json:"answer"`
}

// ReleaseNotice announces that an instance has released jobs.
type ReleaseNotice struct {
	From string `json:"from"`
}

// SettingsRequest asks for settings newer than a revision.
type SettingsRequest struct {
	Revision int64 `json:"revision"`
}

// SettingsResponse is the result of a call with a SettingsRequest. It is empty if the
// instance has no newer settings.
type SettingsResponse struct {
	Newer    bool              `json:"newer"`
	Settings settings.Snapshot `json:"settings,omitzero"`
}

// Directory provides the peer addresses of entry instances.
type Directory interface {
	// PeerAddr returns the address of an instance by its name without incarnation. It
	// returns false if the instance is not known.
	PeerAddr(name string) (addr string, ok bool)
	// Neighbours returns the addresses of the other instances of the data centre.
	Neighbours() []string
	// Others returns the addresses of all other instances.
	Others() []string
}

// Peers calls other instances. Its exported fields must be set before the first call.
type Peers struct {
	ID        string
	Client    *peer.Client
	Directory Directory
	Meter     *meter.Recorder // counts the calls; may be nil

	rotation atomic.Int64 // number of calls of FetchNewer; selects the instance to ask
}

// FetchNewer asks one other instance for settings that are newer than revision, another one
// at each call. It returns false if that instance has none, and ErrUnknownInstance if no
// other instance is known.
func (p *Peers) FetchNewer(ctx context.Context, revision int64) (settings.Snapshot, bool, error) {
	others := p.Directory.Others()
	if len(others) == 0 {
		return settings.Snapshot{}, false, ErrUnknownInstance
	}
	addr := others[int(p.rotation.Add(1)%int64(len(others)))]
	var response SettingsResponse
	err := p.callPeer(ctx, meter.Gossip, addr, methodNewer, SettingsRequest{Revision: revision}, &response)
	return response.Settings, response.Newer, err
}

// AwaitAnswer asks an instance for the answer to a job that it owns and waits for it up to
// wait. It returns false if the instance does not own the job.
func (p *Peers) AwaitAnswer(ctx context.Context, instance string, k api.Key, wait time.Duration) (api.Answer, bool, error) {
	return p.callInstance(ctx, methodJob, WorkRequest{Instance: instance, Key: k, Wait: span.Of(wait)}, wait)
}

// Cancel asks an instance to cancel a job that it owns, or one task of it. It returns
// false if the instance does not own the job.
func (p *Peers) Cancel(ctx context.Context, instance string, k api.Key, task string) (api.Answer, bool, error) {
	return p.callInstance(ctx, methodCancel, WorkRequest{Instance: instance, Key: k, Task: task, Wait: span.Of(cancelTimeout)}, cancelTimeout)
}

// Request asks an instance for the answer to a request that it holds and waits for it up
// to wait. It returns false if the instance does not hold the request.
func (p *Peers) Request(ctx context.Context, instance string, k api.Key, wait time.Duration) (api.Answer, bool, error) {
	return p.callInstance(ctx, methodRequest, WorkRequest{Instance: instance, Key: k, Wait: span.Of(wait)}, wait)
}

// NotifyReleased notifies one other instance of the data centre that jobs were
// released. It tries the instances in order until a call succeeds, and returns the last
// error if none does.
func (p *Peers) NotifyReleased(ctx context.Context) error {
	var err error = ErrUnknownInstance
	for _, addr := range p.Directory.Neighbours() {
		callCtx, cancel := context.WithTimeout(ctx, callMargin)
		err = p.callPeer(callCtx, meter.Transfer, addr, methodOffer, ReleaseNotice{From: p.ID}, nil)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// callInstance calls a method of the instance that request names. The call times out
// callMargin after wait.
func (p *Peers) callInstance(ctx context.Context, method string, request WorkRequest, wait time.Duration) (api.Answer, bool, error) {
	name, _, _ := strings.Cut(request.Instance, "@")
	addr, ok := p.Directory.PeerAddr(name)
	if !ok {
		return api.Answer{}, false, ErrUnknownInstance
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	var response WorkResponse
	if err := p.callPeer(ctx, meter.Transfer, addr, method, request, &response); err != nil {
		return api.Answer{}, false, err
	}
	return response.Answer, response.Owned, nil
}

// callPeer calls a method of the peer at addr and counts the call.
func (p *Peers) callPeer(ctx context.Context, purpose meter.Purpose, addr, method string, params, result any) error {
	err := p.Client.Call(ctx, addr, method, params, result)
	p.Meter.CountMessages(purpose, err == nil, 1)
	return err
}
