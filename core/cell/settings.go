package cell

import "time"

// Defaults of Settings.
const (
	DefaultLease   = time.Second
	DefaultGrace   = 50 * time.Millisecond
	DefaultKeep    = 150 * time.Second
	DefaultSilence = 400 * time.Millisecond
	DefaultWait    = 500 * time.Millisecond
	DefaultIdle    = 2 * time.Second
	DefaultFlights = 2
)

// Settings bounds what a Cell does. Zero values mean the defaults.
type Settings struct {
	Lease   time.Duration // that a runner grants at most
	Grace   time.Duration // that a runner takes to stop a run
	Keep    time.Duration // for which the end of a job is told
	Silence time.Duration // without answers until a runner counts as silent
	Wait    time.Duration // for an end at a runner that works
	Idle    time.Duration // for an end at a runner that does not
	Flights int           // writes open at once
}

func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&s.Lease, DefaultLease)
	set(&s.Grace, DefaultGrace)
	set(&s.Keep, DefaultKeep)
	set(&s.Silence, DefaultSilence)
	set(&s.Wait, DefaultWait)
	set(&s.Idle, DefaultIdle)
	if s.Flights == 0 {
		s.Flights = DefaultFlights
	}
	return s
}

// Adjust puts other bounds in force.
func (c *Cell) Adjust(s Settings) {
	c.Settings = s.withDefaults()
	c.log("event", "bounds", "lease", c.Settings.Lease, "grace", c.Settings.Grace, "keep", c.Settings.Keep)
}
