// Package httpapi implements the HTTP API of the shared settings. Operators call it
// at an entry instance, which reads and writes the platform's table for them.
//
//	GET  /v1/settings               the active tree of this instance, a settings.Snapshot
//	GET  /v1/settings?stored=true   the tree in the platform's table, a settings.Snapshot
//	POST /v1/settings               settings.Change -> settings.Result
//	GET  /v1/settings/history?team=T  HistoryResponse
//
// A change with the outcome written, same or conflict is answered with status 200
// and a settings.Result. Any other is answered with an api.Refusal.
package httpapi

import (
	"context"
	"io"
	nethttp "net/http"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"

	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/core/intake/intakehttp"
	"gypsumward/core/settings"
	"gypsumward/core/span"
)

const (
	// Path is the URL path of the settings.
	Path = "/v1/settings"
	// HistoryPath is the URL path of the history of one team.
	HistoryPath = Path + "/history"

	// MaxBodyBytes is the maximum size of the body of a change, in bytes.
	MaxBodyBytes = 64 << 10
	// Timeout bounds the calls to the platform for one HTTP request, retries
	// included.
	Timeout = 15 * time.Second
	// retryAfter is the retry hint of refusals while the platform is unreachable.
	retryAfter = 2 * span.Second
)

// Store reads and writes the shared settings; *settings.Store implements it.
type Store interface {
	Load(ctx context.Context) (*settings.Tree, error)
	Put(ctx context.Context, c settings.Change) settings.Result
	History(ctx context.Context, team string) ([]settings.Subtree, error)
}

// HistoryResponse is the response to a request for the history of one team.
type HistoryResponse struct {
	List []settings.Subtree `json:"list"` // current and previous subtrees, newest first
}

// Handler serves the settings API. Its fields must be set before Register.
type Handler struct {
	Store  Store
	Active *settings.ActiveTree
	// OnWrite is called after a change was written, with its revision. It may be
	// nil.
	OnWrite func(c settings.Change, revision int64)
}

// Register registers the routes with an HTTP server.
func (h *Handler) Register(server *http.Server) {
	router := server.Route("/")
	router.GET(Path, h.getSettings)
	router.POST(Path, h.postChange)
	router.GET(HistoryPath, h.getHistory)
}

// getSettings answers with the active tree, or with the stored one if the query
// asks for it.
func (h *Handler) getSettings(c http.Context) error {
	if c.Query().Get("stored") != "true" {
		return c.JSON(nethttp.StatusOK, h.Active.Tree().Snapshot())
	}
	ctx, cancel := context.WithTimeout(c, Timeout)
	defer cancel()
	tree, err := h.Store.Load(ctx)
	if err != nil {
		return writeRefusal(c, storeRefusal(err))
	}
	return c.JSON(nethttp.StatusOK, tree.Snapshot())
}

// postChange applies a change and answers with its result.
func (h *Handler) postChange(c http.Context) error {
	body, err := io.ReadAll(nethttp.MaxBytesReader(nil, c.Request().Body, MaxBodyBytes))
	if err != nil {
		status := intakehttp.Status(err, nethttp.StatusRequestEntityTooLarge)
		intakehttp.SetRetryAfter(c.Response(), status)
		return c.JSON(status, refusalNotRun(api.ReasonInvalid, err.Error()))
	}
	var change settings.Change
	if refused := check.Decode(body, &change); refused != nil {
		return writeRefusal(c, refused)
	}
	ctx, cancel := context.WithTimeout(c, Timeout)
	defer cancel()
	result := h.Store.Put(ctx, change)
	if refused := result.Refusal(); refused != nil {
		return writeRefusal(c, refused)
	}
	if result.Outcome == settings.OutcomeWritten && h.OnWrite != nil {
		h.OnWrite(change, result.Revision)
	}
	return c.JSON(nethttp.StatusOK, result)
}

// getHistory answers with the history of the team named in the query.
func (h *Handler) getHistory(c http.Context) error {
	team := c.Query().Get("team")
	if refused := check.ID("team", team); refused != nil {
		return writeRefusal(c, refused)
	}
	ctx, cancel := context.WithTimeout(c, Timeout)
	defer cancel()
	list, err := h.Store.History(ctx, team)
	if err != nil {
		return writeRefusal(c, storeRefusal(err))
	}
	return c.JSON(nethttp.StatusOK, HistoryResponse{List: list})
}

// writeRefusal answers with a refusal and the HTTP status that fits it.
func writeRefusal(c http.Context, r *api.Refusal) error {
	status := nethttp.StatusBadRequest
	switch {
	case r.Ran == api.RanUnknown:
		status = nethttp.StatusGatewayTimeout
	case r.Reason == api.ReasonStore:
		status = nethttp.StatusServiceUnavailable
	}
	return c.JSON(status, r)
}

// storeRefusal returns the refusal of a read that failed in the platform's table.
func storeRefusal(err error) *api.Refusal {
	r := refusalNotRun(api.ReasonStore, err.Error())
	r.RetryAfter = retryAfter
	return r
}

// refusalNotRun returns a refusal of a call that had no effect.
func refusalNotRun(reason api.Reason, detail string) *api.Refusal {
	return &api.Refusal{Reason: reason, Detail: detail, Ran: api.RanNot}
}
