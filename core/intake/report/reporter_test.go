package report_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"gypsumward/core/intake"
	"gypsumward/core/intake/report"
)

// TestLines guards against a log that grows with the number of refusals, and against refusals that are
// not counted.
func TestLines(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		counts := map[intake.Kind]int{}
		r := &report.Reporter{Log: log.NewLogfmtLogger(&out), Count: func(kind intake.Kind) { counts[kind]++ }}
		for range 100 {
			r.Record(intake.ConnRefused, 7, 3)
		}
		r.Record(intake.IdleClosed, 7, 3)
		time.Sleep(time.Second)
		r.Record(intake.ConnRefused, 8, 4)
		require.Equal(t, map[intake.Kind]int{intake.ConnRefused: 101, intake.IdleClosed: 1}, counts)
		require.Equal(t, []string{
			"kind=conn_refused count=1 bytes=7 conns=3", "kind=idle_closed count=1 bytes=7 conns=3", "kind=conn_refused count=100 bytes=8 conns=4",
		}, strings.Split(strings.TrimSpace(out.String()), "\n"))
	})
}
