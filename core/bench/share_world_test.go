//go:build bench

package bench_test

import (
	"fmt"
	"time"

	"gypsumward/core/admit/shares"
	"gypsumward/core/bench/fleet"
	"gypsumward/core/choose"
)

// Loads and urgencies of the experiments on shares.
const (
	othersLoad      = 0.5              // fraction of the fleet that all other teams need together
	tightLoad       = 0.7              // just within the shares of three of four teams
	ordinaryUrgency = 5                // of all calls but the flood
	ordinaryLoad    = 0.02             // fraction of the fleet that ordinary calls of floodTeam need
	ordinaryGroup   = "flood-own"      // statsGroup of these calls
	refusalDelay    = time.Millisecond // until a client resends a refused call
)

// floodTimes returns when the flood begins and ends, from the start of the run.
func floodTimes() (begin, end time.Duration) {
	return warmUp, warmUp + measured/2
}

// flood is a scenario with calls of several teams and a flood of one of them.
type flood struct {
	name              string
	urgency           int       // of the flood; other calls have ordinaryUrgency
	parts             []float64 // fractions of the flood that arrive at each instance
	uneven            bool      // all calls of team a arrive at the first two instances
	resends           int       // number of times a client resends a refused call at once
	load              float64   // fraction of the fleet that all other teams need together; zero means othersLoad
	currentPolicyOnly bool      // only byCentreShares is measured
	partitioned       bool      // instances receive no messages of each other from the start of the flood
}

// shareWorld is a run of a flood scenario with one policy. Its maps are indexed by
// statsGroup and count only calls that arrived during the flood.
type shareWorld struct {
	*world
	queues        []*shareQueue
	resends       int
	partitioned   bool
	good          map[string]int
	arrivals      map[string]int
	responseTimes map[string][]time.Duration
	refused       int
}

// sharePolicy is a way to queue calls and to divide service between teams.
type sharePolicy struct {
	name       string
	fifo       bool
	refuseLate bool // refuse calls that would be late
	centre     bool // shares apply to the whole data centre, not to each instance
}

// The policies measured. byCentreShares is the one in use.
var (
	byCentreShares = sharePolicy{name: "centre-shares", refuseLate: true, centre: true}
	sharePolicies  = []sharePolicy{
		{name: "fifo", fifo: true},
		{name: "instance-shares"},
		{name: "instance-shares+early", refuseLate: true},
		byCentreShares,
	}
)

// newShareWorld returns a world with the calls of a scenario, or with all but the flood if
// noFlood is set.
func newShareWorld(f flood, p sharePolicy, noFlood bool, seed uint64) *shareWorld {
	w := &shareWorld{
		world: newWorld(0.001, evenParts(instanceCount), seed), resends: f.resends, partitioned: f.partitioned,
		good: map[string]int{}, arrivals: map[string]int{}, responseTimes: map[string][]time.Duration{},
	}
	w.calls = w.streams(f, noFlood, seed)
	choosers := w.addChoosers(instanceCount, choose.Settings{}, seed)
	for i, x := range w.instances {
		x.OnAnswer = w.recordAnswer
		if p.fifo {
			x.Queue = &boundedFIFO{FIFO: fleet.FIFO{Lookahead: 16}, bound: queueBound, drop: w.recordDrop}
			continue
		}
		q := newShareQueue(choosers[i], p.refuseLate, seed*100+uint64(i))
		q.drop = w.recordDrop
		x.Queue = q
		w.queues = append(w.queues, q)
	}
	if p.centre {
		w.exchangeShares(choosers)
	}
	return w
}

// streams returns the calls of all teams, each team's in order of arrival.
func (w *shareWorld) streams(f flood, noFlood bool, seed uint64) []*fleet.Call {
	rate := fleet.ServiceRate(w.targets, kinds)
	begin, end := floodTimes()
	load := f.load
	if load == 0 {
		load = othersLoad
	}
	var calls []*fleet.Call
	for n, team := range otherTeams {
		parts := evenParts(instanceCount)
		if f.uneven && n == 0 {
			parts = []float64{0.5, 0.5, 0, 0, 0, 0, 0, 0}
		}
		calls = append(calls, fleet.Stream{
			Team: team, Urgency: ordinaryUrgency, Kinds: kinds, Rate: rate * load / float64(len(otherTeams)),
			Stop: end + warmUp, Timeout: othersTimeout, LogStdDev: logStdDev,
			Instances: parts, Seed: seed*10 + uint64(n),
		}.Calls(w.loop.Now())...)
	}
	calls = append(calls, fleet.Stream{
		Team: floodTeam, Urgency: ordinaryUrgency, Kinds: kinds, Rate: rate * ordinaryLoad,
		Stop: end + warmUp, Timeout: othersTimeout, LogStdDev: logStdDev, Instances: evenParts(instanceCount), Seed: seed*10 + 8,
	}.Calls(w.loop.Now())...)
	if noFlood {
		return calls
	}
	return append(calls, fleet.Stream{
		Team: floodTeam, Urgency: f.urgency, Kinds: kinds, Rate: floodFactor * rate,
		Start: begin, Stop: end, Timeout: floodTimeout, LogStdDev: logStdDev,
		Instances: f.parts, Seed: seed*10 + 9,
	}.Calls(w.loop.Now())...)
}

// duringFlood reports whether c arrived in the time of the flood.
func duringFlood(c *fleet.Call) bool {
	at := c.ArrivedAt.Sub(fleet.NewLoop().Now())
	begin, end := floodTimes()
	return at >= begin && at < end
}

// statsGroup returns the name under which a call is counted: ordinaryGroup for ordinary
// calls of floodTeam, else the call's team.
func statsGroup(c *fleet.Call) string {
	if c.Team == floodTeam && c.Urgency == ordinaryUrgency {
		return ordinaryGroup
	}
	return c.Team
}

// recordAnswer counts a useful answer that came in time.
func (w *shareWorld) recordAnswer(c *fleet.Call, o choose.Outcome) {
	responseTime := w.loop.Now().Sub(c.ArrivedAt)
	if o != choose.Succeeded || !duringFlood(c) || responseTime > c.Timeout {
		return
	}
	w.good[statsGroup(c)]++
	w.responseTimes[statsGroup(c)] = append(w.responseTimes[statsGroup(c)], responseTime)
}

// recordDrop counts a call that was refused or dropped. Its client resends it after
// refusalDelay, to the next instance, up to the number of resends of the scenario.
func (w *shareWorld) recordDrop(c *fleet.Call, _ bool) {
	c.Ended = true
	w.refused++
	if c.Resends >= w.resends {
		return
	}
	next := *c
	next.Resends++
	next.Ended, next.Attempts = false, 0
	next.Instance = (c.Instance + 1) % instanceCount
	next.ArrivedAt = w.loop.Now()
	w.loop.After(refusalDelay, func() { w.instances[next.Instance].Submit(&next) })
}

// exchangeShares makes the instances report the demand of teams to each other at intervals
// of shares.DefaultInterval, and adjust weights and slots accordingly.
func (w *shareWorld) exchangeShares(choosers []*choose.Chooser) {
	capacity := float64(runnerCount * runnerSlots)
	all := make([]*shares.Shares, instanceCount)
	for i := range all {
		all[i] = shares.New(fmt.Sprint(i), shares.Settings{})
		all[i].SetCapacity(instanceCount, capacity)
		for _, team := range append([]string{floodTeam}, otherTeams...) {
			all[i].SetTeamWeight(team, 1)
		}
	}
	w.onArrival = func(i int, c *fleet.Call) { all[i].AddDemand(c.Team, w.queues[i].cost(c)) }
	for i := range all {
		w.loop.Every(shares.DefaultInterval, func() { w.sendUsage(i, all, choosers) })
	}
}

// sendUsage sends the demand that instance i knows of to all instances, unless they are
// partitioned, and applies the weights and slots that follow from what i has received.
func (w *shareWorld) sendUsage(i int, all []*shares.Shares, choosers []*choose.Chooser) {
	u, ok := all[i].NextReport(w.loop.Now())
	begin, _ := floodTimes()
	flooded := w.loop.Now().Sub(fleet.NewLoop().Now()) >= begin
	if ok && (!w.partitioned || !flooded) {
		w.loop.After(fleet.MessageDelay, func() {
			for j := range all {
				all[j].ReceiveReport(w.loop.Now(), u)
			}
		})
	}
	local := all[i].Allocate(w.loop.Now())
	for _, t := range local.Teams {
		w.queues[i].queue.SetTeamWeight(t.Team, t.Weight, floodFloor)
	}
	var parts []choose.InstanceDemand
	for _, p := range local.Fractions {
		parts = append(parts, choose.InstanceDemand{Instance: p.Instance, Demand: p.Fraction})
	}
	if len(parts) == len(all) {
		choosers[i].SetBounds(choose.Bounds(parts, fmt.Sprint(i)))
	} else {
		choosers[i].SetBounds(float64(i)/instanceCount, float64(i+1)/instanceCount)
	}
}

// runFlood counts the arrivals during the flood and runs the simulation.
func (w *shareWorld) runFlood() {
	for _, c := range w.calls {
		if duringFlood(c) {
			w.arrivals[statsGroup(c)]++
		}
	}
	w.run()
}
