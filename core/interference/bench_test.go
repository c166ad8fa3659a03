package interference_test

import (
	"fmt"
	"testing"
	"time"

	"gypsumward/core/interference"
)

// BenchmarkObserve measures an observation with all neighbours that a kind can have.
func BenchmarkObserve(b *testing.B) {
	fill(b.N)
}

// BenchmarkUpdate measures an update of all kinds that a Model can have.
func BenchmarkUpdate(b *testing.B) {
	m, now := fill(64 * 200)
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Second)
		m.Update(now)
	}
}

// fill returns a Model with n observations of 64 kinds with 12 neighbours each.
func fill(n int) (*interference.Model, time.Time) {
	m, now := interference.New(), time.Unix(5000, 0)
	var runners [100]string
	for i := range runners {
		runners[i] = fmt.Sprint("r", i)
	}
	var beside [12]interference.Neighbour
	for i := range n {
		for j := range beside {
			beside[j] = interference.Neighbour{Kind: interference.Kind{Queue: "q", Size: j}, Fraction: float64((i*7+j*3)%11) / 10}
		}
		now = now.Add(time.Millisecond)
		m.Observe(now, interference.Observation{
			Kind: interference.Kind{Queue: "q", Size: i % 64}, Runner: runners[i%97], Job: "j", RunTime: float64(1 + i%5), Expected: 2, Beside: beside[:],
		})
	}
	return m, now
}
