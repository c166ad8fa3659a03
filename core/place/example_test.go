package place_test

import (
	"fmt"
	"time"

	"gypsumward/core/place"
)

func ExamplePlacer() {
	p := place.New(place.Settings{Seed: 1})
	now := time.Now()
	p.SetWorkers(now, []place.Worker{{ID: "worker-1", Rack: "rack-1", Cores: 32, Memory: 64 << 30}})
	quote := place.Task{Team: "catalogue", Kind: "quote", Job: "easter", Cores: 2}
	id, v := p.Pick(now, quote)
	fmt.Println(id, v == place.Placed)
	p.Done(now, id, quote, 200*time.Millisecond, place.Succeeded)
	_, v = p.Pick(now, place.Task{Team: "catalogue", Kind: "bind", Cores: 64})
	fmt.Println(v == place.TooLarge)
	// Output:
	// worker-1 true
	// true
}
