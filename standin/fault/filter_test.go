package fault_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"gypsumward/standin/fault"
)

const body = "a whole answer"

// TestFilter checks for each fault whether a call takes effect and whether its
// response arrives whole, and that exempt and other paths are not affected.
func TestFilter(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		fault  fault.Fault
		path   string
		effect bool // the call takes effect
		whole  bool // the response arrives whole
	}{
		{fault: fault.Fault{Name: fault.Down}, path: "/run"},
		{fault: fault.Fault{Name: fault.Down}, path: "/record", effect: true, whole: true},
		{fault: fault.Fault{Name: fault.Down, Path: "/other"}, path: "/run", effect: true, whole: true},
		{fault: fault.Fault{Name: fault.Lost}, path: "/run", effect: true},
		{fault: fault.Fault{Name: fault.Truncate}, path: "/run", effect: true},
		{fault: fault.Fault{Name: fault.Slow, Value: "1us"}, path: "/run", effect: true, whole: true},
	} {
		t.Run(string(test.fault.Name)+test.path, func(t *testing.T) {
			t.Parallel()
			var set fault.Set
			var effects atomic.Int64
			server := httptest.NewServer(set.Filter(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				effects.Add(1)
				_, _ = io.WriteString(w, body)
			})))
			defer server.Close()
			test.fault.On = true
			require.NoError(t, set.Switch(test.fault))
			resp, err := server.Client().Post(server.URL+test.path, "application/json", nil)
			var got []byte
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
				got, err = io.ReadAll(resp.Body)
			}
			require.Equal(t, test.whole, err == nil)
			require.Equal(t, test.whole, string(got) == body)
			require.Equal(t, test.effect, effects.Load() == 1)
		})
	}
}

// TestSwitch checks that invalid faults are refused and that Failkind fails only
// its kind and only while it is on.
func TestSwitch(t *testing.T) {
	t.Parallel()
	var set fault.Set
	for _, bad := range []fault.Fault{
		{Name: "rain", On: true},
		{Name: fault.Slow, On: true},
		{Name: fault.Slow, On: true, Value: "200"},
		{Name: fault.Failkind, On: true},
		{Name: fault.Lost, On: true, Value: "some"},
	} {
		require.Error(t, set.Switch(bad))
	}
	require.Empty(t, set.List().Faults)
	require.NoError(t, set.Switch(fault.Fault{Name: fault.Failkind, On: true, Value: "price"}))
	require.True(t, set.ShouldFail("price"))
	require.False(t, set.ShouldFail("slot"))
	require.NoError(t, set.Switch(fault.Fault{Name: fault.Failkind}))
	require.False(t, set.ShouldFail("price"))
}
