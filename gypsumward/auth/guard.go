package auth

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"strings"

	"gypsumward/core/access"
	"gypsumward/core/api"
	"gypsumward/core/check"
	"gypsumward/core/intake/intakehttp"
	"gypsumward/core/settings"
	"gypsumward/core/settings/httpapi"
)

// Paths that need no key, any key or an operator's key.
const (
	pathHealth  = "/health"
	pathReady   = "/ready"
	pathMetrics = "/metrics"
	pathStatus  = "/v1/status"
	pathEvents  = "/v1/events"
)

const (
	detailUnknownKey = "the key is missing or not known"
	detailForbidden  = "the key does not allow this"
)

// scheme is the prefix of the Authorization header, in any letter case.
const scheme = "bearer "

// Guard checks the keys of calls. Its fields must be set before Wrap.
type Guard struct {
	Keys      func() *access.Keys // returns the keys in force
	OnRefusal func(r api.Refusal) // called with each refusal; may be nil
}

// Allows reports whether a call that passed Wrap may act as a caller for a team.
func (*Guard) Allows(ctx context.Context, team string) bool {
	return access.FromContext(ctx).Allows(access.Caller, team)
}

// Sees reports whether a call that passed Wrap may see what operators of a team see. If
// team is empty, all operators may.
func (*Guard) Sees(ctx context.Context, team string) bool {
	key := access.FromContext(ctx)
	return key != nil && key.Role == access.Operator && (team == "" || key.IncludesTeam(team))
}

// Wrap returns a handler that refuses the calls that their keys do not allow and passes
// all others to next.
func (g *Guard) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clean := path.Clean(r.URL.Path)
		if clean == pathHealth || clean == pathReady {
			next.ServeHTTP(w, r)
			return
		}
		key, ok := g.Keys().Lookup(secret(r))
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			g.refuse(w, http.StatusUnauthorized, detailUnknownKey)
			return
		}
		r = r.WithContext(access.NewContext(r.Context(), key))
		switch {
		case clean == pathMetrics || clean == pathStatus:
			next.ServeHTTP(w, r)
		case clean == httpapi.Path || strings.HasPrefix(clean, httpapi.Path+"/"):
			g.serveSettings(w, r, next, key)
		case clean == pathEvents:
			g.forward(w, r, next, key.Role == access.Operator)
		default:
			g.forward(w, r, next, key.Role == access.Caller)
		}
	})
}

// serveSettings passes on calls of operators about the teams that their keys cover.
func (g *Guard) serveSettings(w http.ResponseWriter, r *http.Request, next http.Handler, key *access.Key) {
	allTeams := key.Allows(access.Operator, access.AllTeams)
	switch {
	case key.Role != access.Operator || allTeams:
		g.forward(w, r, next, allTeams)
	case r.Method == http.MethodPost:
		g.serveChange(w, r, next, key)
	case path.Clean(r.URL.Path) == httpapi.HistoryPath:
		g.forward(w, r, next, key.IncludesTeam(r.URL.Query().Get("team")))
	default:
		filter := &teamFilter{ResponseWriter: w, key: key}
		next.ServeHTTP(filter, r)
		filter.flush()
	}
}

// serveChange passes on a change if the key covers its team. It decodes the body in the
// same way as package httpapi, so that both see the same team.
func (g *Guard) serveChange(w http.ResponseWriter, r *http.Request, next http.Handler, key *access.Key) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpapi.MaxBodyBytes))
	if err != nil {
		status := intakehttp.Status(err, http.StatusRequestEntityTooLarge)
		intakehttp.SetRetryAfter(w, status)
		g.refuse(w, status, "the body was cut off, is too large or too slow, or no memory is left for it")
		return
	}
	var change settings.Change
	refusal := check.Decode(body, &change)
	r.Body = io.NopCloser(bytes.NewReader(body))
	g.forward(w, r, next, refusal == nil && key.IncludesTeam(change.Team))
}

// forward passes the call to next if it is allowed and refuses it otherwise.
func (g *Guard) forward(w http.ResponseWriter, r *http.Request, next http.Handler, allowed bool) {
	if !allowed {
		g.refuse(w, http.StatusForbidden, detailForbidden)
		return
	}
	next.ServeHTTP(w, r)
}

func (g *Guard) refuse(w http.ResponseWriter, status int, detail string) {
	refusal := api.Refusal{Reason: api.ReasonTeam, Detail: detail, Ran: api.RanNot}
	if g.OnRefusal != nil {
		g.OnRefusal(refusal)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal)
}

// secret returns the key that a call carries, or an empty string if it carries none.
func secret(r *http.Request) string {
	header := r.Header.Get("Authorization")
	if len(header) < len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(header[len(scheme):])
}
