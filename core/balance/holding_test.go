package balance_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gypsumward/core/balance"
	"gypsumward/core/election"
)

func member(node, zone string, cores float64) election.Member {
	return election.Member{Node: node, Zone: zone, Cores: cores}
}

func TestReason(t *testing.T) {
	t.Parallel()
	home, other := member("a", "z", 0.4), member("b", "y", 0.4)
	large := member("c", "z", 0.8)
	for _, test := range []struct {
		name    string
		holding balance.Holding
		hand    bool
	}{
		{"nothing to gain", balance.Holding{Zone: "z", Self: home, Cells: 1, Successor: large}, false},
		{"back to the data centre of the runners", balance.Holding{Zone: "z", Self: other, Cells: 1, Successor: home, SuccessorCells: 2}, true},
		{"nobody at home", balance.Holding{Zone: "z", Self: other, Cells: 1, Successor: member("d", "x", 0.8)}, false},
		{"two cells, one from elsewhere", balance.Holding{Zone: "x", Self: home, Cells: 2, Successor: other}, false},
		{"too slow, from elsewhere to elsewhere", balance.Holding{Zone: "x", Self: home, Cells: 2, Slow: true, Successor: other}, true},
		{"two cells", balance.Holding{Zone: "z", Self: home, Cells: 2, Successor: large}, true},
		{"two cells, but nobody else at home", balance.Holding{Zone: "z", Self: home, Cells: 2, Successor: other}, false},
		{"two cells, the successor has more", balance.Holding{Zone: "z", Self: home, Cells: 2, Successor: large, SuccessorCells: 3}, false},
		{"too slow", balance.Holding{Zone: "z", Self: home, Cells: 1, Slow: true, Successor: large}, true},
		{"too slow, the successor holds a cell", balance.Holding{Zone: "z", Self: home, Cells: 1, Slow: true, Successor: large, SuccessorCells: 1}, false},
		{"too slow, but nobody else at home", balance.Holding{Zone: "z", Self: home, Cells: 1, Slow: true, Successor: other}, false},
		{"too slow, runners everywhere", balance.Holding{Self: home, Cells: 1, Slow: true, Successor: other}, true},
	} {
		require.Equal(t, test.hand, test.holding.Reason() != "", test.name)
	}
}

// TestNoReturn checks that no cell goes to and fro: once handed over, the new holder has no
// reason to hand it back, unless its own machine is too slow.
func TestNoReturn(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		zone := rapid.SampledFrom([]string{"", "x", "y"})
		cores := rapid.SampledFrom([]float64{0, 0.144, 0.4, 0.8})
		h := balance.Holding{
			Zone: zone.Draw(t, "cell"), Self: member("a", zone.Draw(t, "own"), cores.Draw(t, "own cores")), Cells: rapid.IntRange(1, 4).Draw(t, "held"),
			Slow: rapid.Bool().Draw(t, "slow"), Successor: member("b", zone.Draw(t, "other"), cores.Draw(t, "other cores")),
			SuccessorCells: rapid.IntRange(0, 4).Draw(t, "other held"),
		}
		if h.Reason() == "" {
			return
		}
		back := balance.Holding{
			Zone: h.Zone, Self: h.Successor, Cells: h.SuccessorCells + 1, Successor: h.Self, SuccessorCells: h.Cells - 1,
		}
		require.Empty(t, back.Reason())
	})
}
