package reload_test

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"gypsumward/gypsumward/reload"
	"gypsumward/platform"
)

func TestFollower(t *testing.T) {
	t.Parallel()
	first := platform.Settings{Node: "a", FrontAddr: "10.0.0.1:80", Lease: time.Second, ShutdownGrace: 6 * time.Second}
	next, fault := first, error(nil)
	var out bytes.Buffer
	changes := 0
	f := reload.New(&first)
	f.Load = func() (*platform.Settings, error) {
		s := next
		return &s, fault
	}
	f.Log = log.NewLogfmtLogger(&out)
	f.Changed = func() { changes++ }
	for _, test := range []struct {
		name    string
		do      func()
		asked   bool
		log     string
		changes int
		lease   time.Duration
	}{
		{"nothing changed", func() {}, false, "", 0, time.Second},
		{"nothing changed, with a signal", func() {}, true, "event=reload asked=true applied= later=\n", 0, time.Second},
		{
			"a silent change", func() { next.Lease = 700 * time.Millisecond }, false,
			"event=reload asked=false applied=lease later=\n", 1, 700 * time.Millisecond,
		},
		{"no further change", func() {}, false, "", 1, 700 * time.Millisecond},
		{
			"an address and a bound", func() { next.FrontAddr, next.ShutdownGrace = "10.0.0.2:80", 3*time.Second }, true,
			"event=reload asked=true applied=grace later=front\n", 2, 700 * time.Millisecond,
		},
		{"logged once", func() {}, false, "", 2, 700 * time.Millisecond},
		{"unreadable", func() { fault = errors.New("line 3") }, false, "event=reload asked=false err=\"line 3\"\n", 2, 700 * time.Millisecond},
		{"still unreadable", func() {}, false, "", 2, 700 * time.Millisecond},
		{"unreadable, with a signal", func() {}, true, "event=reload asked=true err=\"line 3\"\n", 2, 700 * time.Millisecond},
		{
			"readable again", func() { fault, next.Lease = nil, time.Second }, false,
			"event=reload asked=false applied=lease later=front\n", 3, time.Second,
		},
	} {
		test.do()
		out.Reset()
		f.Check(test.asked)
		require.Equal(t, test.log, out.String(), test.name)
		require.Equal(t, test.changes, changes, test.name)
		require.Equal(t, test.lease, f.Current().Lease, test.name)
		require.Equal(t, "10.0.0.1:80", f.Current().FrontAddr, test.name)
	}
}

// TestAllFields changes each field of the settings alone. The log must name one setting,
// and it must be in force exactly if the log says that it was applied.
func TestAllFields(t *testing.T) {
	t.Parallel()
	for i := range reflect.TypeFor[platform.Settings]().NumField() {
		var first, next platform.Settings
		name := reflect.TypeFor[platform.Settings]().Field(i).Name
		switch field := reflect.ValueOf(&next).Elem().Field(i); field.Kind() {
		case reflect.String:
			field.SetString("x")
		case reflect.Float64:
			field.SetFloat(1)
		case reflect.Int, reflect.Int64:
			field.SetInt(1)
		case reflect.Bool:
			field.SetBool(true)
		case reflect.Array:
			field.Index(0).SetInt(1)
		default:
			t.Fatalf("%s: kind %v", name, field.Kind())
		}
		var out bytes.Buffer
		f := reload.New(&first)
		f.Load = func() (*platform.Settings, error) { return &next, nil }
		f.Log = log.NewLogfmtLogger(&out)
		f.Check(false)
		if f.Current() == next {
			require.Regexp(t, `^event=reload asked=false applied=\w+ later=\n$`, out.String(), name)
		} else {
			require.Regexp(t, `^event=reload asked=false applied= later=\w+\n$`, out.String(), name)
			require.Equal(t, first, f.Current(), name)
		}
	}
}
