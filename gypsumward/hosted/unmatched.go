package hosted

import (
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Limits of the log of calls that no route matches.
const (
	unmatchedPerSecond = 20
	unmatchedLength    = 200 // bytes of a host or path
)

// unmatched logs and counts the calls of clients that no route matches. Lines beyond
// unmatchedPerSecond are left out, and the next line says how many.
type unmatched struct {
	log     log.Logger
	metrics *metrics

	mu      sync.Mutex
	second  int64 // Unix time of the lines counted
	lines   int   // in that second
	omitted int   // since the last line
}

// record records a call that a configuration of the given version refused.
func (u *unmatched) record(host, path string, version int64) {
	u.metrics.Count("noroute", 1)
	now := time.Now().Unix()
	u.mu.Lock()
	if now != u.second {
		u.second, u.lines = now, 0
	}
	u.lines++
	omitted := u.omitted
	if u.lines > unmatchedPerSecond {
		u.omitted++
		u.mu.Unlock()
		return
	}
	u.omitted = 0
	u.mu.Unlock()
	age := u.metrics.ReadAge(configReads)
	_ = u.log.Log("event", "noroute", "host", clip(host), "path", clip(path), "version", version, "age", age, "omitted", omitted)
}

// clip returns the first unmatchedLength bytes of s.
func clip(s string) string { return s[:min(len(s), unmatchedLength)] }
