package auth

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"

	"gypsumward/core/access"
	"gypsumward/core/settings"
)

// teamFilter buffers a response whose body is a settings.Snapshot. Its flush writes the
// response without the teams that the key does not cover.
type teamFilter struct {
	http.ResponseWriter
	key    *access.Key
	status int
	body   bytes.Buffer
}

// WriteHeader stores the status.
func (f *teamFilter) WriteHeader(status int) {
	f.status = status
}

// Write buffers a part of the body.
func (f *teamFilter) Write(part []byte) (int, error) {
	return f.body.Write(part)
}

// flush writes the response. A body whose status is not 200 is written unchanged.
func (f *teamFilter) flush() {
	if f.status == 0 {
		f.status = http.StatusOK
	}
	body := f.body.Bytes()
	if f.status == http.StatusOK {
		body = f.filter(body)
	}
	f.Header().Del("Content-Length")
	f.ResponseWriter.WriteHeader(f.status)
	_, _ = f.ResponseWriter.Write(body)
}

// filter returns the snapshot in body with only the teams that the key covers. It
// returns nil if body is not a snapshot.
func (f *teamFilter) filter(body []byte) []byte {
	var s settings.Snapshot
	if json.Unmarshal(body, &s) != nil {
		return nil
	}
	s.Teams = slices.DeleteFunc(s.Teams, func(sub settings.Subtree) bool { return !f.key.IncludesTeam(sub.Team) })
	body, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return body
}
