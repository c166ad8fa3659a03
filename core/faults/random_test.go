package faults_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// action is one step of a random plan: a fault of the matrix, a submission or a
// cancel, at one of the instances.
type action struct {
	delay    time.Duration // time since the previous action
	kind     int           // index into actionNames
	instance int           // index of the instance, modulo their number
}

// actionNames returns the names of all actions. Faults that hit the owner in the
// matrix hit the drawn instance here.
func actionNames() []string {
	return []string{
		"submit", "send", "cancel", "kill", "freeze", "terminate", "cut peers", "cut platform", "cut targets",
		"store down", "store slow", "lose answers", "target hangs", "target restarted", "boot",
	}
}

// perform performs an action. Added is the number of instances added so far.
func (d *driver) perform(act action, added *int) {
	sim := d.sim
	in := sim.instances[act.instance%len(sim.instances)]
	switch actionNames()[act.kind] {
	case "submit":
		d.submit(act.instance % len(sim.instances))
	case "send":
		d.sendRequest(act.instance % len(sim.instances))
	case "cancel":
		jobScenario().cancel(d, act.instance%len(sim.instances))
	case "kill":
		in.kill()
	case "freeze":
		in.state.freeze(2 * faultDuration)
	case "terminate":
		go in.terminate()
	case "cut peers":
		in.state.cutLink(linkPeers, faultDuration)
	case "cut platform":
		in.state.cutLink(linkPlatform, faultDuration)
	case "cut targets":
		in.state.cutLink(linkTargets, faultDuration)
	case "store down":
		sim.platform.outage(faultDuration)
	case "store slow":
		sim.platform.slow(faultDuration)
	case "lose answers":
		sim.platform.update(func(q *platform) { q.lostReplies = 3 })
	case "target hangs":
		sim.fleet.hang("w1", "r1")
	case "target restarted":
		sim.fleet.restart("w2", "r2")
	case "boot":
		*added++
		sim.addInstance(fmt.Sprintf("n%d", *added))
	}
}

// TestSoakPlays runs random interleavings of submissions, resubmissions, cancels and
// faults, and checks the guarantees from what the fakes recorded. An instance added
// at the end stays alive, so every accepted job must get an answer.
func TestSoakPlays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) action {
			return action{
				delay:    time.Duration(rapid.SampledFrom([]int{0, 1, 3, 10, 50, 150, 400, 2000, 6000}).Draw(rt, "after")) * time.Millisecond,
				kind:     rapid.IntRange(0, len(actionNames())-1).Draw(rt, "kind"),
				instance: rapid.IntRange(0, 4).Draw(rt, "at"),
			}
		}), 1, 12).Draw(rt, "plan")
		if violations := runPlan(t, plan); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// runPlan performs the actions of a plan and returns the guarantees that were
// broken.
func runPlan(t *testing.T, plan []action) (violations []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, 3)
		d := newDriver(sim)
		time.Sleep(3 * time.Second)
		d.submit(0)
		added := 0
		for _, act := range plan {
			time.Sleep(act.delay)
			d.perform(act, &added)
		}
		time.Sleep(time.Second)
		sim.addInstance("last")
		time.Sleep(horizon)
		d.group.Wait()
		violations = append(append(checkJob(d), checkRequest(d)...), d.checkDurableAnswer(jobScenario())...)
		for _, in := range sim.instances {
			in.kill()
		}
		cancel()
		sim.group.Wait()
		time.Sleep(2 * time.Hour)
	})
	return violations
}
