package arrival

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Group classifies arrivals by their relation to the flood.
type Group string

// The groups of arrivals.
const (
	Steady      Group = "steady" // all work outside the time of the flood
	DuringFlood Group = "during" // other work while the flood lasts
	Excess      Group = "flood"  // the additional work of the flood
)

// Arrival is one request, or one job if it has tasks.
type Arrival struct {
	At            time.Duration // since the start of the load
	Team          string
	ID            string
	Kind          string
	RunTime       time.Duration // run time at speed 1 of the request or of each task
	Tasks         int           // number of tasks of a job; zero for a request
	Urgency       int
	NonRepeatable bool          // whether it is a request that is not repeatable
	Deadline      time.Duration // since the arrival
	Group         Group
}

// Plan holds the parameters of a load.
type Plan struct {
	Seed               uint64        // seed of all random choices
	Length             time.Duration // length of the load
	Requests           Rates         // rates of requests by team
	Jobs               Rates         // rates of jobs by team
	Tasks              int           // number of tasks of each job
	Kinds              []string      // kinds of work, chosen with equal probability
	MinRunTime         time.Duration // shortest run time
	MaxRunTime         time.Duration // longest run time
	NonRepeatableShare float64       // fraction of the requests that is not repeatable
	Urgency            int           // urgency of all work except the flood
	Deadline           time.Duration // deadline of each arrival
	Flood              Flood
}

// Default bounds of the run time of a request at speed 1.
const (
	DefaultMinRunTime = 50 * time.Millisecond
	DefaultMaxRunTime = time.Second
)

// NonRepeatablePrefix is the prefix of the ids of requests that are not
// repeatable.
const NonRepeatablePrefix = "once-"

// Arrivals returns the arrivals in the order of their times. The result depends
// only on the plan.
func (p *Plan) Arrivals() []Arrival {
	var all []Arrival
	for _, rate := range p.Requests {
		all = append(all, p.drawStream(rate, Steady, 0, p.Length, false)...)
	}
	for _, rate := range p.Jobs {
		all = append(all, p.drawStream(rate, Steady, 0, p.Length, true)...)
	}
	if f := p.Flood; f.Team != "" {
		rate := Rate{Team: f.Team, PerSecond: f.Factor * p.Requests.ForTeam(f.Team)}
		all = append(all, p.drawStream(rate, Excess, f.Start, min(f.Start+f.Length, p.Length), false)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// drawStream draws the arrivals of one team from the time from up to, but not
// including, the time to. They are jobs if job is true, else requests.
func (p *Plan) drawStream(rate Rate, group Group, from, to time.Duration, job bool) []Arrival {
	if rate.PerSecond <= 0 {
		return nil
	}
	name := fmt.Sprintf("%s-%s-%t", group, rate.Team, job)
	rng := rand.New(rand.NewPCG(p.Seed, xxhash.Sum64String(name)))
	var all []Arrival
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / rate.PerSecond * float64(time.Second))
		if at >= to {
			return all
		}
		a := Arrival{
			At: at, Team: rate.Team, Urgency: p.Urgency, Deadline: p.Deadline, Group: group,
			Kind:          p.Kinds[rng.IntN(len(p.Kinds))],
			RunTime:       p.MinRunTime + time.Duration(rng.Float64()*float64(p.MaxRunTime-p.MinRunTime)),
			NonRepeatable: rng.Float64() < p.NonRepeatableShare && !job,
			ID:            fmt.Sprintf("%d-%s-%d", p.Seed, group, len(all)),
		}
		p.classify(&a, job)
		all = append(all, a)
	}
}

// classify sets the fields of an arrival that depend on the flood, on the kind of
// message and on whether it is repeatable.
func (p *Plan) classify(a *Arrival, job bool) {
	f := p.Flood
	switch {
	case a.Group == Excess:
		a.Urgency = f.Urgency
	case f.Team != "" && a.At >= f.Start && a.At < f.Start+f.Length:
		a.Group = DuringFlood
	}
	if job {
		a.Tasks = p.Tasks
		a.ID = "job-" + a.ID
	}
	if a.NonRepeatable {
		a.ID = NonRepeatablePrefix + a.ID
	}
}
