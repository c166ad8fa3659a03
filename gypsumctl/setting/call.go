package setting

import (
	"context"
	"crypto/rand"
	"net/http"
	"net/url"

	"gypsumward/core/settings"
	"gypsumward/core/settings/httpapi"
	"gypsumward/gypsumctl/entry"
)

// loadSnapshot returns the stored settings of all teams.
func loadSnapshot(ctx context.Context, client *entry.Client) (settings.Snapshot, error) {
	var s settings.Snapshot
	err := client.Do(ctx, entry.Call{
		Method: http.MethodGet, Path: httpapi.Path, Query: url.Values{"stored": {"true"}}, Wait: httpapi.Timeout,
	}, &s)
	return s, err
}

// submitChange submits a change. If the reply of an instance is lost, the change
// is sent to the next one; the nonce ensures that it takes effect only once.
func submitChange(ctx context.Context, client *entry.Client, c settings.Change) (settings.Result, error) {
	c.Nonce = rand.Text()
	var r settings.Result
	err := client.Do(ctx, entry.Call{
		Method: http.MethodPost, Path: httpapi.Path, Body: c, Wait: httpapi.Timeout, Idempotent: true,
	}, &r)
	return r, err
}

// loadHistory returns the latest versions of the settings of a team, newest
// first.
func loadHistory(ctx context.Context, client *entry.Client, team string) ([]settings.Subtree, error) {
	var h httpapi.HistoryResponse
	err := client.Do(ctx, entry.Call{
		Method: http.MethodGet, Path: httpapi.HistoryPath, Query: url.Values{"team": {team}}, Wait: httpapi.Timeout,
	}, &h)
	return h.List, err
}

// findSubtree returns the subtree of a team and whether s contains one. If not,
// the subtree has only its team set.
func findSubtree(s settings.Snapshot, team string) (settings.Subtree, bool) {
	for _, sub := range s.Teams {
		if sub.Team == team {
			return sub, true
		}
	}
	return settings.Subtree{Team: team}, false
}
