package cell

import "time"

// Default values of the fields of Settings.
const (
	DefaultLease          = time.Second
	DefaultStopGrace      = 50 * time.Millisecond
	DefaultEndRetention   = 150 * time.Second
	DefaultResubmitAfter  = 1300 * time.Millisecond
	DefaultSilenceTimeout = 400 * time.Millisecond
	DefaultBusyPollWait   = 500 * time.Millisecond
	DefaultIdlePollWait   = 2 * time.Second
	DefaultMaxWrites      = 2
	DefaultMaxRow         = 48 << 10
)

// Settings holds the time limits and the write concurrency of a Cell. Zero values select
// the defaults.
type Settings struct {
	Lease          time.Duration // longest lease that a runner grants
	StopGrace      time.Duration // time that a runner takes to stop a run
	EndRetention   time.Duration // time for which the end of a job is kept and reported
	ResubmitAfter  time.Duration // time after which a caller that got no answer submits a transient job again, possibly to another cell
	SilenceTimeout time.Duration // time without a reply after which a runner counts as silent
	BusyPollWait   time.Duration // long-poll time at a runner with runs
	IdlePollWait   time.Duration // long-poll time at a runner without runs
	MaxWrites      int           // maximum number of write transactions in flight
	MaxRow         int           // largest value of a row, in bytes
	MaxJobMemory   int           // estimated memory of jobs, in bytes, beyond which no more are admitted; zero means no limit
	MaxStarts      int           // start orders without a reply, beyond which no more tasks are started; zero means no limit
	Interference   bool          // kinds of tasks that slow each other down are kept apart where there is free capacity

	// AwaitEvacuations makes the cell start nothing before it has received an Evacuation.
	AwaitEvacuations bool
}

// withDefaults returns s with zero values replaced by the defaults.
func (s Settings) withDefaults() Settings {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&s.Lease, DefaultLease)
	set(&s.StopGrace, DefaultStopGrace)
	set(&s.EndRetention, DefaultEndRetention)
	set(&s.ResubmitAfter, DefaultResubmitAfter)
	set(&s.SilenceTimeout, DefaultSilenceTimeout)
	set(&s.BusyPollWait, DefaultBusyPollWait)
	set(&s.IdlePollWait, DefaultIdlePollWait)
	if s.MaxWrites == 0 {
		s.MaxWrites = DefaultMaxWrites
	}
	if s.MaxRow == 0 {
		s.MaxRow = DefaultMaxRow
	}
	return s
}

// leaseSlackDivisor sets the safety margin for the leases of previous holders: a new
// holder waits for 1/leaseSlackDivisor of a lease longer than the lease itself.
const leaseSlackDivisor = 16

// longestLease returns how long a lease that a previous holder has granted may last.
func (s Settings) longestLease() time.Duration { return s.Lease + s.Lease/leaseSlackDivisor }

// ApplySettings replaces the settings of c by s. Zero values select the defaults.
func (c *Cell) ApplySettings(s Settings) {
	c.Settings = s.withDefaults()
	c.log("event", "bounds", "lease", c.Settings.Lease, "grace", c.Settings.StopGrace, "keep", c.Settings.EndRetention,
		"again", c.Settings.ResubmitAfter, "memory", c.Settings.MaxJobMemory, "interference", c.Settings.Interference)
}
