package shares

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Default values of the fields of Settings.
const (
	DefaultInterval     = 500 * time.Millisecond
	DefaultStaleAfter   = 3 * time.Second
	DefaultSizeFraction = 0.2
)

// defaultSize is the size of an instance that reports none.
const defaultSize = 1.0

// Settings holds the parameters of Shares. A field that is not positive means its
// default.
type Settings struct {
	Interval     time.Duration // interval between two reports; DefaultInterval
	StaleAfter   time.Duration // age of a peer's latest report at which the peer is dropped; DefaultStaleAfter
	SizeFraction float64       // fraction of the targets that is divided by size and not by demand; DefaultSizeFraction
	Size         float64       // relative size of this instance, such as its number of cores; 1
}

// Shares holds the demand of each team at each instance of a data centre. It is not
// safe for concurrent use.
type Shares struct {
	settings   Settings
	self       string
	capacity   float64 // capacity of the data centre, in target seconds per second
	instances  int     // number of instances in the data centre, this one included
	teams      map[string]*team
	sorted     []*team // teams ordered by name
	peers      []*peer // peers with a recent report, ordered by id
	lastReport time.Time
	reports    int
}

// team is the demand of one team at this instance.
type team struct {
	name         string
	weight       float64
	requested    float64 // target seconds demanded since the latest report
	rate         float64 // smoothed rate of demand, in target seconds per second
	reportedRate float64 // rate in the latest report that included the team
}

// peer is the demand reported by another instance.
type peer struct {
	id       string
	size     float64
	lastSeen time.Time
	rates    map[string]float64
}

// New returns the Shares of the instance with the identity self.
func New(self string, s Settings) *Shares {
	if s.Interval <= 0 {
		s.Interval = DefaultInterval
	}
	if s.StaleAfter <= 0 {
		s.StaleAfter = DefaultStaleAfter
	}
	if s.SizeFraction <= 0 {
		s.SizeFraction = DefaultSizeFraction
	}
	if s.Size <= 0 {
		s.Size = defaultSize
	}
	return &Shares{
		settings: s, self: self, instances: 1,
		teams: make(map[string]*team),
	}
}

// SetTeamWeight sets the weight of a team over the data centre. A team for which
// it was never called has weight 1.
func (s *Shares) SetTeamWeight(name string, weight float64) {
	s.team(name).weight = weight
}

// SetCapacity sets the number of instances in the data centre, this one included, and the
// capacity of its targets in target seconds per second, which is their number of
// slots.
func (s *Shares) SetCapacity(instances int, capacity float64) {
	s.instances = max(instances, 1)
	s.capacity = capacity
}

// AddDemand adds the cost of submitted work, in target seconds, to the demand of a team,
// whether the work was admitted or not.
func (s *Shares) AddDemand(name string, cost float64) {
	s.team(name).requested += cost
}

// team returns the state of a team, which is created if it does not exist.
func (s *Shares) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{name: name, weight: 1}
		s.teams[name] = t
		i := sort.Search(len(s.sorted), func(i int) bool { return s.sorted[i].name > name })
		s.sorted = slices.Insert(s.sorted, i, t)
	}
	return t
}

// Parameters of reports.
const (
	rateSmoothing      = 0.4  // weight of the newest interval in a rate
	minRelativeChange  = 0.1  // relative change of a rate at which it is reported
	minRate            = 0.01 // lower rates count as zero, in target seconds per second
	fullReportInterval = 10   // number of reports from one that lists all teams to the next
)

// NextReport returns the report to send to the other instances of the data centre. It
// reports false if less than Settings.Interval has passed since the latest one, or if
// it is called for the first time.
func (s *Shares) NextReport(now time.Time) (Usage, bool) {
	if s.lastReport.IsZero() {
		s.lastReport = now
	}
	elapsed := now.Sub(s.lastReport)
	if elapsed < s.settings.Interval {
		return Usage{}, false
	}
	s.lastReport = now
	u := Usage{From: s.self, Size: s.settings.Size, Full: s.reports%fullReportInterval == 0}
	s.reports++
	for _, t := range s.sorted {
		t.rate += rateSmoothing * (t.requested/elapsed.Seconds() - t.rate)
		t.requested = 0
		if t.rate < minRate {
			t.rate = 0
		}
		changed := math.Abs(t.rate-t.reportedRate) > minRelativeChange*t.reportedRate
		if changed || u.Full && t.rate > 0 {
			u.Rates = append(u.Rates, Rate{Team: t.name, Rate: roundRate(t.rate)})
			t.reportedRate = t.rate
		}
	}
	return u, true
}

// roundRate rounds a rate to few digits, which keeps reports short.
func roundRate(rate float64) float64 {
	const digits = 100
	return math.Round(rate*digits) / digits
}

// ReceiveReport handles a report. A report of this instance itself is ignored.
func (s *Shares) ReceiveReport(now time.Time, u Usage) {
	if u.From == s.self {
		return
	}
	p := s.peer(u.From)
	p.lastSeen, p.size = now, u.Size
	if !(p.size > 0) {
		p.size = defaultSize
	}
	if u.Full {
		clear(p.rates)
	}
	for _, r := range u.Rates {
		if r.Rate > 0 && !math.IsInf(r.Rate, 0) {
			s.team(r.Team) // the team takes part in the division even without demand at this instance
			p.rates[r.Team] = r.Rate
		} else {
			delete(p.rates, r.Team)
		}
	}
}

// peer returns the state of another instance, which is created if it does not exist.
func (s *Shares) peer(id string) *peer {
	i := sort.Search(len(s.peers), func(i int) bool { return s.peers[i].id >= id })
	if i == len(s.peers) || s.peers[i].id != id {
		s.peers = slices.Insert(s.peers, i, &peer{id: id, rates: make(map[string]float64)})
	}
	return s.peers[i]
}

// dropStalePeers removes the peers without a recent report and returns the number of
// those left.
func (s *Shares) dropStalePeers(now time.Time) int {
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool {
		return now.Sub(p.lastSeen) > s.settings.StaleAfter
	})
	return len(s.peers)
}

// totalDemand returns the demand of each team over the known instances, with rates
// that include headroom.
func (s *Shares) totalDemand() []demand {
	demands := make([]demand, len(s.sorted))
	for i, t := range s.sorted {
		demands[i] = demand{weight: t.weight, rate: t.rate}
		for _, p := range s.peers {
			demands[i].rate += p.rates[t.name]
		}
		demands[i].rate *= headroom
	}
	return demands
}
