package platform_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	client "gypsumward/core/platformclient"
	"gypsumward/core/table"
	"gypsumward/standin/fault"
	"gypsumward/standin/platform"
)

// start starts a platform and returns the dispatcher's client for it and its
// faults.
func start(t *testing.T, s platform.Settings) (*client.Client, *fault.Set) {
	t.Helper()
	server := platform.New(s).Server
	served := httptest.NewServer(server)
	t.Cleanup(served.Close)
	c := &client.Client{Addr: served.Listener.Addr().String()}
	t.Cleanup(c.Close)
	return c, server.Faults
}

func write(key string) table.Write {
	return table.Write{Ops: []table.Op{{Key: key, Value: json.RawMessage(`1`)}}}
}

// TestWriteLost checks that a write whose response is lost is of unknown outcome
// to the dispatcher's client, whether or not it took effect.
func TestWriteLost(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		fault  fault.Name
		effect bool
	}{
		{fault: fault.Lost, effect: true},
		{fault: fault.Truncate, effect: true},
		{fault: fault.Down},
	} {
		c, faults := start(t, platform.Default)
		require.NoError(t, faults.Switch(fault.Fault{Name: test.fault, On: true, Value: "1"}))
		_, err := c.Write(t.Context(), write("a"))
		require.True(t, client.MayHaveTakenEffect(err), err)
		found, err := c.Read(t.Context(), table.Read{Keys: []string{"a"}})
		require.NoError(t, err, "the fault ends after one call")
		require.Equal(t, test.effect, found.Rows[0].Version > 0)
	}
}

// TestBudget checks that calls beyond the rate limits are refused as busy and
// have no effect.
func TestBudget(t *testing.T) {
	t.Parallel()
	s := platform.Default
	s.WriteRate, s.ReadRate = 0.001, 0.001 // one call each, the next after 1000 s
	c, _ := start(t, s)
	_, err := c.Write(t.Context(), write("a"))
	require.NoError(t, err)
	_, err = c.Write(t.Context(), write("b"))
	var refused *client.Error
	require.ErrorAs(t, err, &refused)
	require.True(t, refused.Busy)
	require.ErrorAs(t, c.Put(t.Context(), "o", []byte("x")), &refused)
	found, err := c.Scan(t.Context(), table.Scan{Limit: 10})
	require.NoError(t, err)
	require.Len(t, found.Rows, 1, "what was refused had no effect")
	_, err = c.Scan(t.Context(), table.Scan{Limit: 10})
	require.ErrorAs(t, err, &refused)
}

// TestObjects checks that objects are stored under keys with special characters
// and that a missing object is reported as such.
func TestObjects(t *testing.T) {
	t.Parallel()
	c, _ := start(t, platform.Default)
	require.NoError(t, c.Put(t.Context(), "odd key/&?", []byte{0, 1}))
	got, there, err := c.Get(t.Context(), "odd key/&?")
	require.NoError(t, err)
	require.True(t, there)
	require.Equal(t, []byte{0, 1}, got)
	_, there, err = c.Get(t.Context(), "other")
	require.NoError(t, err)
	require.False(t, there)
}
