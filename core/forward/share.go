package forward

import (
	"context"
	"time"

	"gypsumward/core/admit/shares"
	"gypsumward/core/api"
	"gypsumward/core/choose"
	"gypsumward/core/detach"
	"gypsumward/core/fair"
)

// UsageSender sends usage reports to the other instances of the data centre.
type UsageSender interface {
	// SendUsage sends u once to each instance. Delivery is not guaranteed.
	SendUsage(ctx context.Context, u shares.Usage)
}

// teamWeight is the configured weight and floor of a team.
type teamWeight struct {
	weight float64
	floor  float64
}

// ReceiveUsage handles a usage report of another instance of the data centre.
func (f *Forwarder) ReceiveUsage(u shares.Usage) {
	f.post(usageMessage{usage: u})
}

// usageMessage carries the usage report of another instance.
type usageMessage struct {
	usage shares.Usage
}

func (m usageMessage) apply(f *Forwarder) {
	f.shares.ReceiveReport(f.Clock.Now(), m.usage)
}

// countDemand adds the expected cost of a request to the demand of its team.
func (f *Forwarder) countDemand(spec api.Request) {
	cost := f.Chooser.ExpectedRunTime(spec.Kind).Seconds()
	if cost == 0 {
		cost = defaultCost
	}
	f.shares.AddDemand(spec.Team, cost)
}

// exchangeUsage reports the demand at this instance to the others, if a report is
// due, and applies the local weights and parts that follow from all reports. It
// has no effect if UsageSender is nil.
func (f *Forwarder) exchangeUsage(now time.Time) {
	if f.UsageSender == nil {
		return
	}
	u, ok := f.shares.NextReport(now)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := detach.WithTimeout(f.Clock, shares.DefaultInterval)
		defer cancel()
		f.UsageSender.SendUsage(ctx, u)
	}()
	f.shares.SetCapacity(f.instances, float64(f.slots))
	allocation := f.shares.Allocate(now)
	for _, t := range allocation.Teams {
		f.Queue.SetTeamWeight(t.Team, t.Weight, f.weightOf(t.Team).floor)
	}
	f.applyParts(allocation)
}

// applyParts sets the part of the runners that this instance uses: its part among
// those of the other instances if the reports of all are known, and otherwise the
// part by instance weights.
func (f *Forwarder) applyParts(allocation shares.Allocation) {
	if len(allocation.Fractions) != f.instances {
		f.Chooser.SetInstances(f.instances, f.instanceWeight)
		return
	}
	parts := make([]choose.InstanceDemand, len(allocation.Fractions))
	for i, part := range allocation.Fractions {
		parts[i] = choose.InstanceDemand{Instance: part.Instance, Demand: part.Fraction}
	}
	f.Chooser.SetBounds(choose.Bounds(parts, f.ID))
}

// weightOf returns the configured weight and floor of a team, or the defaults if
// it has none.
func (f *Forwarder) weightOf(team string) teamWeight {
	if b, ok := f.teamWeights[team]; ok {
		return b
	}
	return teamWeight{weight: fair.DefaultWeight, floor: fair.DefaultFloor}
}
