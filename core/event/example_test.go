package event_test

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/event"
	"gypsumward/core/hlc"
)

func ExampleTimeline() {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 4, 15, 8, 0, 0, 0, time.UTC))
	log := &event.Log{Process: "hobart-1@4", Clock: &hlc.Clock{Wall: clock}}
	for _, e := range []event.Event{
		{Kind: event.Received, Team: "derwent", Request: "quote-9"},
		{Kind: event.Queued, Team: "derwent", Request: "quote-9"},
		{Kind: event.Started, Team: "derwent", Request: "quote-9", Target: "runner-3"},
		{Kind: event.Done, Team: "derwent", Request: "quote-9", Target: "runner-3"},
		{Kind: event.Replied, Team: "derwent", Request: "quote-9", Detail: "complete"},
	} {
		log.Add(e)
		clock.Advance(20 * time.Millisecond)
	}
	fmt.Print(event.Timeline{Events: log.Find(event.Filter{Request: "quote-9"})})
	// Output:
	// request derwent/quote-9: 5 events in 80ms from 2026-04-15 08:00:00.000 UTC
	//
	// events
	//         +0s  received   by hobart-1@4
	//       +20ms  queued     by hobart-1@4
	//       +40ms  started    on runner-3  by hobart-1@4
	//       +60ms  done       on runner-3  by hobart-1@4
	//       +80ms  told       by hobart-1@4  (complete)
}
