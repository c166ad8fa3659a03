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
func (o *teamFilter) WriteHeader(status int) {
	o.status = status
}

// Write buffers a part of the body.
func (o *teamFilter) Write(part []byte) (int, error) {
	return o.body.Write(part)
}

// flush writes the response. A body whose status is not 200 is written unchanged.
func (o *teamFilter) flush() {
	if o.status == 0 {
		o.status = http.StatusOK
	}
	body := o.body.Bytes()
	if o.status == http.StatusOK {
		body = o.filter(body)
	}
	o.Header().Del("Content-Length")
	o.ResponseWriter.WriteHeader(o.status)
	_, _ = o.ResponseWriter.Write(body)
}

// filter returns the snapshot in body with only the teams that the key covers. It
// returns nil if body is not a snapshot.
func (o *teamFilter) filter(body []byte) []byte {
	var s settings.Snapshot
	if json.Unmarshal(body, &s) != nil {
		return nil
	}
	s.Teams = slices.DeleteFunc(s.Teams, func(sub settings.Subtree) bool { return !o.key.IncludesTeam(sub.Team) })
	body, err := json.Marshal(s)
	if err != nil {
		return nil
	}
	return body
}
