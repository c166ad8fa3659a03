package admit

import "time"

// Default values of the fields of Settings.
const (
	DefaultWindow        = 100 * time.Millisecond
	DefaultWaitFactor    = 1.0
	DefaultMinRetryAfter = 100 * time.Millisecond
	DefaultMaxRetryAfter = 10 * time.Second
)

// Settings holds the parameters of a Gate. A field that is not positive means its
// default.
type Settings struct {
	Window        time.Duration // time over which one sample of the drain rate is measured; DefaultWindow
	WaitFactor    float64       // factor applied to the estimated wait; DefaultWaitFactor
	MinRetryAfter time.Duration // minimum hint when to resubmit; DefaultMinRetryAfter
	MaxRetryAfter time.Duration // maximum hint when to resubmit; DefaultMaxRetryAfter
	Seed          uint64        // seed of the jitter; zero is a seed like any other
}
