package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]row
	history []row
	ver     int64
	changed chan struct{}
	start   time.Time
	server  *http.Server
	addr    string

	// delay returns how long a call is kept before it takes effect, and whether its answer is lost.
	delay func(r *http.Request) (wait time.Duration, lose bool)
}

func newStore(addr string) (*store, error) {
	s := &store{rows: map[rowID]row{}, changed: make(chan struct{}), start: time.Now(), addr: addr}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.handler()}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/api/rows-tx", s.tx)
	mux.HandleFunc("/api/rows-get", s.get)
	mux.HandleFunc("/api/rows-feed", s.feed)
	mux.HandleFunc("/api/rows-parts", s.parts)
	return mux
}

// entrance is the store as one machine of the system reaches it.
type entrance struct {
	addr  string
	fault atomic.Value // how calls of this machine fail: silent, busy or reset; empty if they do not
}

// entrance opens an address of the store for one machine, which ends with the process.
func (s *store) entrance(addr string) (*entrance, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &entrance{addr: addr}
	e.fault.Store("")
	next := s.handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch e.fault.Load() {
		case "silent":
			for e.fault.Load() != "" {
				time.Sleep(20 * time.Millisecond)
			}
			hang(w)
		case "busy":
			reply(w, 503, struct{}{})
		case "reset":
			hang(w)
		default:
			next.ServeHTTP(w, r)
		}
	})}
	go func() { _ = server.Serve(l) }()
	return e, nil
}

// put writes a row without a condition, as the platform and the operator do.
func (s *store) put(table, key string, v any) {
	text, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(text), Ver: s.ver})
	s.wake()
}

// drop removes a row, as the platform does.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Ver: s.ver, Removed: true})
	s.wake()
}

func (s *store) set(r row) {
	id := rowID{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() int64 { return time.Since(s.start).Milliseconds() + 50000 }

func reply(w http.ResponseWriter, status int, v any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Expected, Puts, Remove []struct {
			Table, Part, Key, Value string
			Ver                     int64
		}
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&q) != nil || len(q.Expected)+len(q.Puts)+len(q.Remove) > 100 {
		reply(w, 400, struct{}{})
		return
	}
	lose := false
	wait := 10 * time.Millisecond
	if s.delay != nil {
		var more time.Duration
		more, lose = s.delay(r)
		wait += more
	}
	time.Sleep(wait)
	for _, p := range q.Puts {
		if p.Table == "op" || p.Table == "servers" {
			reply(w, 403, struct{}{})
			return
		}
		if raw, err := base64.StdEncoding.DecodeString(p.Value); err != nil || len(raw) > 65536 {
			reply(w, 400, struct{}{})
			return
		}
	}
	s.mu.Lock()
	met := true
	current := []row{}
	for _, e := range q.Expected {
		have, ok := s.rows[rowID{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, have)
		}
		if have.Ver != e.Ver {
			met = false
		}
	}
	status := 412
	if met {
		status = 200
		s.ver++
		for _, p := range q.Puts {
			s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.ver})
		}
		for _, p := range q.Remove {
			s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Removed: true})
		}
		s.wake()
	}
	answer := map[string]any{"ver": s.ver, "now_ms": s.now()}
	if !met {
		answer["rows"] = current
	}
	s.mu.Unlock()
	if lose {
		if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = c.Close()
		}
		return
	}
	reply(w, status, answer)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for id, have := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (!q.Has("target") || id.key < q.Get("target")) {
			list = append(list, have)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	reply(w, 200, map[string]any{"rows": list, "has_more": more, "ver": s.ver, "now_ms": s.now()})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	list := []string{}
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") && id.part > r.URL.Query().Get("after") && !seen[id.part] {
			seen[id.part] = true
			list = append(list, id.part)
		}
	}
	sort.Strings(list)
	reply(w, 200, map[string]any{"parts": list, "has_more": false, "ver": s.ver, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		list := []row{}
		for _, h := range s.history[first:] {
			if h.Table == q.Get("table") {
				list = append(list, h)
			}
		}
		ver, changed := s.ver, s.changed
		now := s.now()
		s.mu.Unlock()
		if len(list) > 0 {
			reply(w, 200, map[string]any{"rows": list, "ver": ver, "now_ms": now})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, 200, map[string]any{"rows": list, "ver": ver, "now_ms": now})
			return
		case <-r.Context().Done():
			return
		}
	}
}
