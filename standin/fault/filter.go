package fault

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// exemptPaths lists the paths that no fault affects.
var exemptPaths = map[string]bool{"/fault": true, "/record": true, "/count": true}

// Filter returns a handler that applies the faults of the set to the exchanges
// of next.
func (s *Set) Filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if exemptPaths[r.URL.Path] {
			next.ServeHTTP(w, r)
			return
		}
		if !s.applyBefore(w, r) {
			return
		}
		if s.consume(Lost, r.URL.Path) != nil {
			next.ServeHTTP(newResponseBuffer(), r)
			reset(w)
			return
		}
		if s.consume(Truncate, r.URL.Path) != nil {
			b := newResponseBuffer()
			next.ServeHTTP(b, r)
			b.sendTruncated(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// applyBefore applies the faults that act before a call takes effect. It reports
// whether the call proceeds.
func (s *Set) applyBefore(w http.ResponseWriter, r *http.Request) bool {
	if s.consume(Down, r.URL.Path) != nil {
		reset(w)
		return false
	}
	if f := s.consume(Hang, r.URL.Path); f != nil {
		wait(r, f.ended, 0)
		reset(w)
		return false
	}
	if f := s.consume(Freeze, r.URL.Path); f != nil && !wait(r, f.ended, 0) {
		return false
	}
	if f := s.consume(Slow, r.URL.Path); f != nil && !wait(r, nil, f.delay) {
		return false
	}
	return true
}

// wait blocks until ended is closed or, if ended is nil, until the delay has
// passed. It returns false if the caller disconnects first.
func wait(r *http.Request, ended <-chan struct{}, delay time.Duration) bool {
	var after <-chan time.Time
	if ended == nil {
		after = time.After(delay)
	}
	select {
	case <-ended:
	case <-after:
	case <-r.Context().Done():
		return false
	}
	return true
}

// reset resets the connection of the call without a response.
func reset(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// responseBuffer is an http.ResponseWriter that stores the response instead of
// sending it.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newResponseBuffer() *responseBuffer {
	return &responseBuffer{header: make(http.Header), status: http.StatusOK}
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// sendTruncated sends the first half of the response with the Content-Length of
// the whole response and breaks the connection.
func (b *responseBuffer) sendTruncated(w http.ResponseWriter) {
	for key, values := range b.header {
		w.Header()[key] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(b.body.Len()))
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes()[:b.body.Len()/2])
	panic(http.ErrAbortHandler)
}

// ServeHTTP switches a fault on POST and responds with the faults that are on.
func (s *Set) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := s.Switch(f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.List())
}
