package fair_test

import (
	"fmt"
	"time"

	"gypsumward/core/fair"
)

func ExampleQueue() {
	q := fair.New[string](fair.Settings{})
	q.SetTeamWeight("crews", 2, 0.1)
	q.SetTeamWeight("quotes", 1, 0.1)
	now := time.Now()
	for i := range 3 {
		q.Push(now, fair.Item[string]{Team: "quotes", Cost: 0.2, Payload: fmt.Sprint("quote ", i)})
		q.Push(now, fair.Item[string]{Team: "crews", Cost: 0.2, Payload: fmt.Sprint("crew ", i)})
	}
	q.Push(now, fair.Item[string]{Team: "crews", Urgency: 9, Cost: 0.2, Payload: "urgent crew"})
	for {
		it, ok := q.Pop(now, nil)
		if !ok {
			break
		}
		fmt.Println(it.Payload)
	}
	// Output:
	// urgent crew
	// quote 0
	// crew 0
	// crew 1
	// quote 1
	// crew 2
	// quote 2
}
