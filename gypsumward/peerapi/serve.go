package peerapi

import (
	"context"

	"gypsumward/core/api"
	"gypsumward/core/peer"
	"gypsumward/core/settings"
)

// Jobs answers calls about the jobs that this instance owns. Its methods return false if
// the instance does not own the job.
type Jobs interface {
	LocalAnswer(ctx context.Context, k api.Key) (api.Answer, bool)
	CancelLocal(ctx context.Context, k api.Key, task string) (api.Answer, bool)
}

// Requests answers calls about the requests that this instance holds. LocalAnswer
// returns false if the instance does not hold the request.
type Requests interface {
	LocalAnswer(ctx context.Context, k api.Key) (api.Answer, bool)
}

// Serve registers the methods for jobs and requests at s for the instance with the given
// id. onRelease is called when another instance has released jobs; it must not block.
func Serve(s *peer.Server, id string, jobs Jobs, requests Requests, onRelease func()) {
	peer.Handle(s, methodJob, func(ctx context.Context, m WorkRequest) (WorkResponse, error) {
		return answerLocal(ctx, id, m, func(ctx context.Context) (api.Answer, bool) { return jobs.LocalAnswer(ctx, m.Key) }), nil
	})
	peer.Handle(s, methodCancel, func(ctx context.Context, m WorkRequest) (WorkResponse, error) {
		return answerLocal(ctx, id, m, func(ctx context.Context) (api.Answer, bool) { return jobs.CancelLocal(ctx, m.Key, m.Task) }), nil
	})
	peer.Handle(s, methodRequest, func(ctx context.Context, m WorkRequest) (WorkResponse, error) {
		return answerLocal(ctx, id, m, func(ctx context.Context) (api.Answer, bool) { return requests.LocalAnswer(ctx, m.Key) }), nil
	})
	peer.Handle(s, methodOffer, func(context.Context, ReleaseNotice) (struct{}, error) {
		onRelease()
		return struct{}{}, nil
	})
}

// ServeSettings registers the method that returns the settings in force to other
// instances. newer returns false if the settings are not newer than revision.
func ServeSettings(s *peer.Server, newer func(revision int64) (settings.Snapshot, bool)) {
	peer.Handle(s, methodNewer, func(_ context.Context, m SettingsRequest) (SettingsResponse, error) {
		snapshot, ok := newer(m.Revision)
		return SettingsResponse{Newer: ok, Settings: snapshot}, nil
	})
}

// answerLocal runs call until the wait of request has elapsed. A request for another
// incarnation than id is answered as not owned.
func answerLocal(ctx context.Context, id string, request WorkRequest, call func(context.Context) (api.Answer, bool)) WorkResponse {
	if request.Instance != id {
		return WorkResponse{}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Wait.Duration())
	defer cancel()
	a, owned := call(ctx)
	return WorkResponse{Owned: owned, Answer: a}
}
