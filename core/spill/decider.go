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
func (d *Decider) ShouldAsk(now time.Time) bool {
	if !d.askPending || now.Sub(d.lastAsked) < max(d.askInterval, d.settings.AskInterval) {
		return false
	}
	d.askPending, d.lastAsked = false, now
	return true
}

// GrantCapacity returns the number of requests that are accepted from the instance that
// asked: the free slots beyond the reserved ones, divided among all instances
// that asked recently. It is zero while own requests wait.
func (d *Decider) GrantCapacity(now time.Time, requester string, own OwnState) int {
	d.requesters[requester] = now
	for id, at := range d.requesters {
		if now.Sub(at) > d.settings.MaxAge {
			delete(d.requesters, id)
		}
	}
	if own.Waiting > 0 {
		return 0
	}
	return max(0, (own.Free-int(d.settings.ReservedPart*float64(own.Slots)))/len(d.requesters))
}

// AddReport records the report of an instance of another centre, which replaces the
// previous report of the instance.
func (d *Decider) AddReport(now time.Time, r Report) {
	if r.Capacity > 0 {
		d.askInterval = 0
	} else {
		d.askInterval = min(max(2*d.askInterval, d.settings.AskInterval), d.settings.MaxAge)
	}
	for i := range d.reports {
		if d.reports[i].Instance == r.Instance {
			d.reports[i] = receivedReport{r, now}
			return
		}
	}
	d.reports = append(d.reports, receivedReport{r, now})
}

// Forget deletes the report of the instance, such as when a request could not be
// sent to it.
func (d *Decider) Forget(instance string) {
	for i := range d.reports {
		if d.reports[i].Instance == instance {
			d.reports = append(d.reports[:i], d.reports[i+1:]...)
			return
		}
	}
}

// Decide returns the instance of another centre to which the request is to be
// forwarded: the one with the most capacity left. It reports false if the request
// stays in the own centre. Decide may be called again for a request that waits.
func (d *Decider) Decide(now time.Time, r Request, own OwnState) (instance string, send bool) {
	if r.Hops > 0 || d.fitsOwn(r, own) {
		d.counts.Stayed++
		return "", false
	}
	d.askPending = true
	best := -1
	for i := range d.reports {
		h := &d.reports[i]
		if now.Sub(h.at) <= d.settings.MaxAge && h.Capacity > 0 && (best < 0 || h.Capacity > d.reports[best].Capacity) {
			best = i
		}
	}
	if best < 0 {
		d.counts.Unplaced++
		return "", false
	}
	d.reports[best].Capacity--
	d.counts.Sent++
	return d.reports[best].Instance, true
}

// Counts returns the number of decisions so far.
func (d *Decider) Counts() Counts {
	return d.counts
}

// fitsOwn reports whether the own targets can serve the request in time.
func (d *Decider) fitsOwn(r Request, own OwnState) bool {
	if own.Slots == 0 {
		return false
	}
	return own.ExpectedWait <= d.settings.MaxWait && (r.TimeLeft == 0 || own.ExpectedWait+r.RunTime <= r.TimeLeft)
}
