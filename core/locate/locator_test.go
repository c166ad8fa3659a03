package locate_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/core/locate"
	"gypsumward/core/work"
)

// TestFind looks for jobs that stay, that have moved, and that are being moved.
func TestFind(t *testing.T) {
	t.Parallel()
	broken := errors.New("no answer")
	moved, returning := locate.Answer{To: "c1"}, locate.Answer{To: "c0"}
	running := locate.Answer{State: work.Running, Known: true}
	for _, test := range []struct {
		name       string
		home, away []locate.Answer // in turn; the last is repeated
		awayErr    error
		answer     locate.Answer
		err        error
	}{
		{"at home", []locate.Answer{running}, nil, nil, running, nil},
		{"no such job", []locate.Answer{{}}, nil, nil, locate.Answer{}, nil},
		{"moved", []locate.Answer{moved}, []locate.Answer{running}, nil, running, nil},
		{"on its way", []locate.Answer{moved}, []locate.Answer{{}, {}, running}, nil, running, nil},
		{"on its way home", []locate.Answer{moved, moved, running}, []locate.Answer{returning, {}}, nil, running, nil},
		{"never there", []locate.Answer{moved}, []locate.Answer{{}}, nil, locate.Answer{}, locate.ErrMoving},
		{"not reached", []locate.Answer{moved}, []locate.Answer{{}}, broken, locate.Answer{}, broken},
	} {
		for _, attempts := range []int{0, 5} {
			synctest.Test(t, func(t *testing.T) {
				next := map[string]int{}
				l := locate.Locator{Ask: func(_ context.Context, cell string) (locate.Answer, error) {
					list, err := test.home, error(nil)
					if cell == "c1" {
						list, err = test.away, test.awayErr
					}
					n := min(next[cell], len(list)-1)
					next[cell]++
					return list[n], err
				}}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				a, err := l.Find(ctx, "c0", attempts)
				require.Equal(t, test.answer, a, test.name)
				require.Equal(t, test.err, err, test.name)
				require.True(t, attempts == 0 || next["c0"] <= attempts)
			})
		}
	}
}
