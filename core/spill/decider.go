package spill

import "time"

// Report is the response of an instance that was asked for capacity.
type Report struct {
	Instance string `json:"instance"` // instance that reports
	Centre   string `json:"centre"`   // data centre of the instance
	Capacity int    `json:"room"`     // number of requests that it accepts from the instance that asked
}

// OwnState is the state of the targets of the own data centre.
type OwnState struct {
	Slots        int           // number of usable slots
	Free         int           // number of free slots among those
	Waiting      int           // number of requests in the queue
	ExpectedWait time.Duration // expected wait of the next request
}

// Request describes a request to be decided.
type Request struct {
	Hops     int           // number of times it was forwarded to another centre
	RunTime  time.Duration // expected run time; zero if unknown
	TimeLeft time.Duration // time left to its deadline; zero means no deadline
}

// Counts holds the number of decisions by result.
type Counts struct {
	Stayed   int // requests that stayed in the own centre
	Sent     int // requests that were forwarded
	Unplaced int // requests that should have been forwarded, but no centre had capacity
}

// Decider decides which requests are forwarded by the reports of other data
// centres. It is not safe for concurrent use.
type Decider struct {
	settings    Settings
	reports     []receivedReport
	requesters  map[string]time.Time // last time at which each other instance asked for capacity
	askPending  bool                 // whether a request should have been forwarded since ShouldAsk last reported true
	askInterval time.Duration        // interval between questions while there is no capacity, else zero
	lastAsked   time.Time            // last time at which ShouldAsk reported true
	counts      Counts
}

// receivedReport is a report with the time of its arrival.
type receivedReport struct {
	Report
	at time.Time
}

// New returns a Decider without reports.
func New(s Settings) *Decider {
	return &Decider{settings: s.withDefaults(), requesters: map[string]time.Time{}}
}

// ShouldAsk reports whether instances of other centres should be asked for capacity
// now, because a request should have been forwarded since they were last asked.
// It reports false while all requests stay, and mostly false while no centre
// has capacity. The caller has to ask if ShouldAsk reports true.
func (s *Decider) ShouldAsk(now time.Time) bool {
	if !s.askPending || now.Sub(s.lastAsked) < max(s.askInterval, s.settings.AskInterval) {
		return false
	}
	s.askPending, s.lastAsked = false, now
	return true
}

// GrantCapacity returns the number of requests that are accepted from the instance that
// asked: the free slots beyond the reserved ones, divided among all instances
// that asked recently. It is zero while own requests wait.
func (s *Decider) GrantCapacity(now time.Time, requester string, own OwnState) int {
	s.requesters[requester] = now
	for id, at := range s.requesters {
		if now.Sub(at) > s.settings.MaxAge {
			delete(s.requesters, id)
		}
	}
	if own.Waiting > 0 {
		return 0
	}
	return max(0, (own.Free-int(s.settings.ReservedPart*float64(own.Slots)))/len(s.requesters))
}

// AddReport records the report of an instance of another centre, which replaces the
// previous report of the instance.
func (s *Decider) AddReport(now time.Time, r Report) {
	if r.Capacity > 0 {
		s.askInterval = 0
	} else {
		s.askInterval = min(max(2*s.askInterval, s.settings.AskInterval), s.settings.MaxAge)
	}
	for i := range s.reports {
		if s.reports[i].Instance == r.Instance {
			s.reports[i] = receivedReport{r, now}
			return
		}
	}
	s.reports = append(s.reports, receivedReport{r, now})
}

// Forget deletes the report of the instance, such as when a request could not be
// sent to it.
func (s *Decider) Forget(instance string) {
	for i := range s.reports {
		if s.reports[i].Instance == instance {
			s.reports = append(s.reports[:i], s.reports[i+1:]...)
			return
		}
	}
}

// Decide returns the instance of another centre to which the request is to be
// forwarded: the one with the most capacity left. It reports false if the request
// stays in the own centre. Decide may be called again for a request that waits.
func (s *Decider) Decide(now time.Time, r Request, own OwnState) (instance string, send bool) {
	if r.Hops > 0 || s.fitsOwn(r, own) {
		s.counts.Stayed++
		return "", false
	}
	s.askPending = true
	best := -1
	for i := range s.reports {
		h := &s.reports[i]
		if now.Sub(h.at) <= s.settings.MaxAge && h.Capacity > 0 && (best < 0 || h.Capacity > s.reports[best].Capacity) {
			best = i
		}
	}
	if best < 0 {
		s.counts.Unplaced++
		return "", false
	}
	s.reports[best].Capacity--
	s.counts.Sent++
	return s.reports[best].Instance, true
}

// Counts returns the number of decisions so far.
func (s *Decider) Counts() Counts {
	return s.counts
}

// fitsOwn reports whether the own targets can serve the request in time.
func (s *Decider) fitsOwn(r Request, own OwnState) bool {
	if own.Slots == 0 {
		return false
	}
	return own.ExpectedWait <= s.settings.MaxWait && (r.TimeLeft == 0 || own.ExpectedWait+r.RunTime <= r.TimeLeft)
}
