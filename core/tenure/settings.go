package tenure

import "time"

// Defaults of Settings.
const (
	DefaultBeat    = 300 * time.Millisecond
	DefaultLease   = 600 * time.Millisecond
	DefaultRefused = 700 * time.Millisecond
	DefaultStale   = 1200 * time.Millisecond
	DefaultTimeout = 700 * time.Millisecond
	DefaultWatch   = time.Second
	DefaultProbe   = 100 * time.Millisecond
	step           = 25 * time.Millisecond
	jitter         = 60 * time.Millisecond
)

// Settings are the times of a Keeper. Zero values mean the defaults.
type Settings struct {
	Beat    time.Duration // between signs of life
	Lease   time.Duration // for which a sign of life counts, from its sending
	Refused time.Duration // without a sign of life until a holder is replaced at whose address nothing listens; above Lease
	Stale   time.Duration // without a sign of life until the holder is replaced; above Lease
	Timeout time.Duration // for a call of the store
	Watch   time.Duration // for which the store waits for a change
	Probe   time.Duration // between looks whether the holder listens
	Rest    time.Duration // between readings of the rows while the holder answers; zero means none
}

func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&s.Beat, DefaultBeat)
	set(&s.Lease, DefaultLease)
	set(&s.Stale, DefaultStale)
	set(&s.Refused, DefaultRefused)
	set(&s.Timeout, DefaultTimeout)
	set(&s.Watch, DefaultWatch)
	set(&s.Probe, DefaultProbe)
	return s
}
