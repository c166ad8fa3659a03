package tally

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumward/core/api"
	"gypsumward/standin/arrival"
	"gypsumward/standin/outcome"
)

const (
	maxMicros         = int64(time.Hour / time.Microsecond) // largest latency of the histograms
	significantDigits = 3                                   // precision of the histograms
)

// Key identifies one line of a report.
type Key struct {
	Team  string        `json:"team"`
	Jobs  bool          `json:"jobs"` // whether the line is on jobs rather than requests
	Group arrival.Group `json:"group"`
}

// Cause counts outcomes of one state and reason.
type Cause struct {
	State  outcome.State `json:"state"`
	Reason api.Reason    `json:"reason,omitempty"`
	Ran    api.RunStatus `json:"ran,omitempty"`
	Count  int           `json:"count"`
}

// Line is the line of a report for one Key. Latencies are in milliseconds and
// include only complete work.
type Line struct {
	Key
	Sent        int     `json:"sent"`
	Complete    int     `json:"complete"`
	Failed      int     `json:"failed"`
	Refused     int     `json:"refused"`
	Open        int     `json:"open"`
	Wrong       int     `json:"wrong"`
	Late        int     `json:"late"` // complete, but after the deadline
	Attempts    int     `json:"tries"`
	P50         float64 `json:"p50"`
	P99         float64 `json:"p99"`
	Max         float64 `json:"max"`
	OverheadP50 float64 `json:"over50"` // latency above the run time at speed 1
	OverheadP99 float64 `json:"over99"`
	Causes      []Cause `json:"causes,omitempty"`
}

// Report is the result of a load.
type Report struct {
	Lines        []Line  `json:"lines"`
	Seconds      float64 `json:"seconds"`
	Rate         float64 `json:"rate"` // completed requests and tasks per second
	MaxSendDelay float64 `json:"lag"`  // longest delay of the load generator in sending, in milliseconds
}

// Tally aggregates outcomes. Create it with New. It is safe for concurrent use.
type Tally struct {
	mu           sync.Mutex
	stats        map[Key]*lineStats
	completed    int // number of complete requests and tasks
	maxSendDelay time.Duration
}

// lineStats accumulates the outcomes of one line.
type lineStats struct {
	line     Line
	latency  *hdrhistogram.Histogram
	overhead *hdrhistogram.Histogram
	causes   map[Cause]int
}

// New returns an empty tally.
func New() *Tally {
	return &Tally{stats: make(map[Key]*lineStats)}
}

// RecordSendDelay records how much later than planned an arrival was sent.
func (t *Tally) RecordSendDelay(delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxSendDelay = max(t.maxSendDelay, delay)
}

// Add adds an outcome.
func (t *Tally) Add(o outcome.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statsFor(Key{Team: o.Team, Jobs: o.Tasks > 0, Group: o.Group})
	s.line.Sent++
	s.line.Attempts += o.Attempts
	if o.State != outcome.Complete {
		s.causes[Cause{State: o.State, Reason: o.Reason, Ran: o.Ran}]++
	}
	switch o.State {
	case outcome.Complete:
		t.completed += max(1, o.Tasks)
		s.line.Complete++
		_ = s.latency.RecordValue(o.Latency.Microseconds())
		_ = s.overhead.RecordValue(max(0, o.Overhead.Microseconds()))
		if o.Lateness > 0 {
			s.line.Late++
		}
	case outcome.Failed:
		s.line.Failed++
	case outcome.Refused:
		s.line.Refused++
	case outcome.Open:
		s.line.Open++
	case outcome.Wrong:
		s.line.Wrong++
	}
}

// statsFor returns the statistics of the key and creates them if necessary. The
// caller holds the mutex.
func (t *Tally) statsFor(k Key) *lineStats {
	s, ok := t.stats[k]
	if !ok {
		s = &lineStats{
			line:     Line{Key: k},
			latency:  hdrhistogram.New(1, maxMicros, significantDigits),
			overhead: hdrhistogram.New(1, maxMicros, significantDigits),
			causes:   make(map[Cause]int),
		}
		t.stats[k] = s
	}
	return s
}

// Report returns the report on the outcomes so far. The duration of the load is
// elapsed, which must be positive.
func (t *Tally) Report(elapsed time.Duration) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Seconds: elapsed.Seconds(), Rate: float64(t.completed) / elapsed.Seconds(), MaxSendDelay: millis(t.maxSendDelay.Microseconds())}
	for _, s := range t.stats {
		line := s.line
		line.P50, line.P99 = millis(s.latency.ValueAtQuantile(50)), millis(s.latency.ValueAtQuantile(99))
		line.OverheadP50, line.OverheadP99 = millis(s.overhead.ValueAtQuantile(50)), millis(s.overhead.ValueAtQuantile(99))
		line.Max = millis(s.latency.Max())
		for c, n := range s.causes {
			c.Count = n
			line.Causes = append(line.Causes, c)
		}
		sort.Slice(line.Causes, func(i, j int) bool { return fmt.Sprint(line.Causes[i]) < fmt.Sprint(line.Causes[j]) })
		r.Lines = append(r.Lines, line)
	}
	sort.Slice(r.Lines, func(i, j int) bool { return fmt.Sprint(r.Lines[i].Key) < fmt.Sprint(r.Lines[j].Key) })
	return r
}

// millis converts microseconds to milliseconds.
func millis(micros int64) float64 {
	return float64(micros) / 1000
}

// Sum returns the sum of pick over all lines.
func (r Report) Sum(pick func(Line) int) int {
	sum := 0
	for _, line := range r.Lines {
		sum += pick(line)
	}
	return sum
}

// Table writes the report as a table.
func (r Report) Table(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(tab, format+"\n", args...) }
	line("team\twork\tgroup\tsent\tcomplete\tfailed\trefused\topen\twrong\tlate\ttries\tp50 ms\tp99 ms\tmax ms\tover p50\tover p99")
	for _, l := range r.Lines {
		work := "request"
		if l.Jobs {
			work = "job"
		}
		line("%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f", l.Team, work, l.Group,
			l.Sent, l.Complete, l.Failed, l.Refused, l.Open, l.Wrong, l.Late, l.Attempts, l.P50, l.P99, l.Max, l.OverheadP50, l.OverheadP99)
	}
	for _, l := range r.Lines {
		for _, c := range l.Causes {
			line("%s %s: %s", l.Team, l.Group, strings.TrimSpace(fmt.Sprintf("%d %s %s %s", c.Count, c.State, c.Reason, c.Ran)))
		}
	}
	line("%.1f requests and tasks complete a second over %.1f s; arrivals sent at most %.1f ms late", r.Rate, r.Seconds, r.MaxSendDelay)
	return tab.Flush()
}
