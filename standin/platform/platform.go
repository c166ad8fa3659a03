package platform

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"golang.org/x/time/rate"

	coretable "gypsumward/core/table"
	"gypsumward/standin/fault"
	"gypsumward/standin/live"
	"gypsumward/standin/object"
	"gypsumward/standin/serve"
	"gypsumward/standin/table"
)

// burstFraction is the burst of the rate limiters as a fraction of the budget for
// one second.
const burstFraction = 0.2

// maxObjectSize is the largest size of an object in bytes.
const maxObjectSize = 64 << 20

// errBudget is the response to calls beyond the rate limits.
var errBudget = &serve.StatusError{Code: http.StatusTooManyRequests, Text: "over budget"}

// Settings holds the settings of a platform.
type Settings struct {
	Addr          string        // IP address and port to listen on
	Fleet         string        // fleet file in TOML; empty for no members
	WriteRate     float64       // transactions and object writes per second
	ReadRate      float64       // table reads, scans and object reads per second
	SyncDelay     time.Duration // delay of a synced write
	Lag           time.Duration // least age of the live list
	ProbeInterval time.Duration // time between probes of the members
}

// Default holds the default settings.
var Default = Settings{
	Addr: "127.0.0.1:0", WriteRate: 300, ReadRate: 2000,
	SyncDelay: 5 * time.Millisecond, Lag: 2 * time.Second, ProbeInterval: time.Second,
}

// Counts holds the number of calls to a platform by kind and result.
type Counts struct {
	Transactions int64 `json:"transactions"` // transactions that took effect
	Conflicts    int64 `json:"conflicts"`    // transactions that failed on a condition
	Rows         int64 `json:"rows"`         // operations of the transactions that took effect
	Reads        int64 `json:"reads"`
	Scans        int64 `json:"scans"`
	Puts         int64 `json:"puts"` // objects written
	Gets         int64 `json:"gets"` // objects read
	Lists        int64 `json:"lists"`
	Refused      int64 `json:"refused"` // calls refused by the rate limits
	Stored       int64 `json:"stored"`  // rows currently in the table
}

// Platform is a stand-in for the platform. Create it with New.
type Platform struct {
	Server *serve.Server // set by New

	settings Settings
	clock    clockwork.Clock
	rows     table.Store
	objects  object.Store
	members  live.List
	writes   *rate.Limiter
	reads    *rate.Limiter
	counts   Counts
}

// New returns a platform with the settings s, which serves after Run is called.
func New(s Settings) *Platform {
	clock := clockwork.NewRealClock()
	p := &Platform{
		settings: s,
		clock:    clock,
		members:  live.List{File: s.Fleet, Lag: s.Lag, ProbeInterval: s.ProbeInterval, Clock: clock},
		writes:   rate.NewLimiter(rate.Limit(s.WriteRate), max(1, int(s.WriteRate*burstFraction))),
		reads:    rate.NewLimiter(rate.Limit(s.ReadRate), max(1, int(s.ReadRate*burstFraction))),
	}
	p.Server = p.routes()
	return p
}

// Run serves until ctx is done or the process receives SIGTERM or an interrupt.
// It returns an error if the fleet file is invalid or the server fails.
func (p *Platform) Run(ctx context.Context) error {
	if p.settings.Fleet != "" {
		if err := p.members.LoadFleet(); err != nil {
			return errors.Trace(err)
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.members.Run(ctx)
	return errors.Trace(p.Server.Run(ctx))
}

// routes returns a server with the routes of the platform.
func (p *Platform) routes() *serve.Server {
	s := serve.New(p.settings.Addr, &fault.Set{})
	serve.HandlePost(s, "/table/write", p.write)
	serve.HandlePost(s, "/table/read", p.read)
	serve.HandlePost(s, "/table/scan", p.scan)
	serve.HandleGet(s, "/live", p.live)
	serve.HandleGet(s, "/count", p.snapshotCounts)
	serve.HandleGet(s, "/health", func(context.Context) live.Health { return live.Health{} })
	s.Route("/").PUT("/object", p.put)
	s.Route("/").GET("/object", p.get)
	return s
}

// allow reports whether the limiter permits a call now, and counts it as refused
// if not.
func (p *Platform) allow(l *rate.Limiter) bool {
	if l.AllowN(p.clock.Now(), 1) {
		return true
	}
	atomic.AddInt64(&p.counts.Refused, 1)
	return false
}

// write executes a transaction. It completes even if the caller disconnects.
func (p *Platform) write(_ context.Context, w coretable.Write) (coretable.Written, error) {
	if !p.allow(p.writes) {
		return coretable.Written{}, errBudget
	}
	p.clock.Sleep(p.settings.SyncDelay)
	written, err := p.rows.Write(w)
	switch {
	case err != nil:
	case written.Committed:
		atomic.AddInt64(&p.counts.Transactions, 1)
		atomic.AddInt64(&p.counts.Rows, int64(len(w.Ops)))
	default:
		atomic.AddInt64(&p.counts.Conflicts, 1)
	}
	return written, errors.Trace(err)
}

func (p *Platform) read(_ context.Context, r coretable.Read) (coretable.Found, error) {
	if !p.allow(p.reads) {
		return coretable.Found{}, errBudget
	}
	atomic.AddInt64(&p.counts.Reads, 1)
	return p.rows.Read(r), nil
}

func (p *Platform) scan(_ context.Context, q coretable.Scan) (coretable.Found, error) {
	if !p.allow(p.reads) {
		return coretable.Found{}, errBudget
	}
	atomic.AddInt64(&p.counts.Scans, 1)
	return p.rows.Scan(q), nil
}

func (p *Platform) live(context.Context) coretable.LiveList {
	atomic.AddInt64(&p.counts.Lists, 1)
	return p.members.Snapshot()
}

// snapshotCounts returns a copy of the counters.
func (p *Platform) snapshotCounts(context.Context) Counts {
	c := &p.counts
	return Counts{
		Transactions: atomic.LoadInt64(&c.Transactions),
		Conflicts:    atomic.LoadInt64(&c.Conflicts),
		Rows:         atomic.LoadInt64(&c.Rows),
		Reads:        atomic.LoadInt64(&c.Reads),
		Scans:        atomic.LoadInt64(&c.Scans),
		Puts:         atomic.LoadInt64(&c.Puts),
		Gets:         atomic.LoadInt64(&c.Gets),
		Lists:        atomic.LoadInt64(&c.Lists),
		Refused:      atomic.LoadInt64(&c.Refused),
		Stored:       int64(p.rows.RowCount()),
	}
}

// put stores the body as the object of the query parameter key.
func (p *Platform) put(c khttp.Context) error {
	w, r := c.Response(), c.Request()
	if !p.allow(p.writes) {
		http.Error(w, errBudget.Text, errBudget.Code)
		return nil
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectSize))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil
	}
	p.clock.Sleep(p.settings.SyncDelay)
	atomic.AddInt64(&p.counts.Puts, 1)
	p.objects.Put(r.URL.Query().Get("key"), data)
	w.WriteHeader(http.StatusOK)
	return nil
}

// get responds with the object of the query parameter key.
func (p *Platform) get(c khttp.Context) error {
	w, r := c.Response(), c.Request()
	if !p.allow(p.reads) {
		http.Error(w, errBudget.Text, errBudget.Code)
		return nil
	}
	atomic.AddInt64(&p.counts.Gets, 1)
	data, err := p.objects.Get(r.URL.Query().Get("key"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return nil
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data)
	return nil
}
