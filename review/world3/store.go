package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the stand-in of the platform's store. A removed one stays as a mark.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store serves the calls of the platform's store from memory.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	ver     int64
	changed chan struct{}
	began   time.Time
	writes  int
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
}

const (
	txTime   = 8 * time.Millisecond
	readTime = 4 * time.Millisecond
)

// put and drop are the writes of the operator and of the runners.
func (s *store) put(table, key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: text}})
}

func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Removed: true}})
}

func (s *store) apply(rows []row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.rows[r.id()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v map[string]any) {
	text, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case nTx:
		s.tx(w, r)
	case nGet:
		time.Sleep(readTime)
		s.get(w, r)
	case nFeed:
		s.feed(w, r)
	case nParts:
		time.Sleep(readTime)
		s.parts(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Puts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&tx) != nil || len(tx.Expected)+len(tx.Puts)+len(tx.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	part, first := "", true
	for _, list := range [][]row{tx.Expected, tx.Puts, tx.Remove} {
		for _, e := range list {
			if first {
				part, first = e.Part, false
			}
			if e.Part != part {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
	}
	for _, e := range append(append([]row{}, tx.Puts...), tx.Remove...) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(e.Value) > 65536 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []row
	for _, e := range tx.Expected {
		c, found := s.rows[e.id()]
		if !found || c.Removed {
			c = row{Table: e.Table, Part: e.Part, Key: e.Key}
		} else {
			current = append(current, c)
		}
		conflict = conflict || c.Ver != e.Ver
	}
	if conflict {
		if current == nil {
			current = []row{}
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"ver": s.ver, "now_ms": s.now(), "rows": current})
		return
	}
	for i := range tx.Remove {
		tx.Remove[i].Removed, tx.Remove[i].Value = true, nil
	}
	s.writes++
	s.apply(append(tx.Puts, tx.Remove...))
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, e := range s.rows {
		if e.Table == q.Get("table") && e.Part == q.Get("part") && !e.Removed && e.Key >= q.Get("from") && (q.Get("target") == "" || e.Key < q.Get("target")) {
			rows = append(rows, e)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now(), "rows": rows[:min(limit, len(rows))], "has_more": more})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	set := map[string]bool{}
	for _, e := range s.rows {
		if e.Table == q.Get("table") && !e.Removed && e.Part > q.Get("after") {
			set[e.Part] = true
		}
	}
	parts := []string{}
	for p := range set {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now(), "parts": parts})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		changed, ver := s.changed, s.ver
		rows := []row{}
		for _, e := range s.rows {
			if e.Table == q.Get("table") && e.Ver > after {
				rows = append(rows, e)
			}
		}
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
		if len(rows) > 0 || over {
			time.Sleep(readTime)
			reply(w, http.StatusOK, map[string]any{"ver": ver, "now_ms": s.now(), "rows": rows})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
