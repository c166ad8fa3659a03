package election

import "time"

// Defaults of Settings.
const (
	DefaultHeartbeatInterval = 300 * time.Millisecond
	DefaultLeaseDuration     = 600 * time.Millisecond
	DefaultRefusedTimeout    = 700 * time.Millisecond
	DefaultSilentTimeout     = 1200 * time.Millisecond
	DefaultCutTimeout        = 640 * time.Millisecond
	DefaultStoreTimeout      = 700 * time.Millisecond
	DefaultWatchWait         = time.Second
	DefaultProbeInterval     = 100 * time.Millisecond
	DefaultStoredExtension   = 5500 * time.Millisecond
	DefaultMaxExtension      = 11 * time.Second
	DefaultReserveTimeout    = 2500 * time.Millisecond
	DefaultBlindTimeout      = 7 * time.Second
	DefaultOutsiderTimeout   = 12 * time.Second
	evidenceInterval         = 250 * time.Millisecond // between looks of a reserve for evidence
	takeoverCheckInterval    = 25 * time.Millisecond  // between checks whether to take over
	reachableCheckInterval   = 100 * time.Millisecond // the same while the holder answers
	maxClaimJitter           = 60 * time.Millisecond  // upper bound of the random delay before a claim
)

// Settings holds the intervals and timeouts of an Elector. A zero value stands for the
// default, except for PollInterval.
type Settings struct {
	HeartbeatInterval time.Duration // between heartbeats
	LeaseDuration     time.Duration // validity of a heartbeat, from when it was sent
	RefusedTimeout    time.Duration // without heartbeat until takeover if the holder's address refuses connections; greater than LeaseDuration
	SilentTimeout     time.Duration // without heartbeat until takeover in any other case; greater than LeaseDuration
	CutTimeout        time.Duration // instead of SilentTimeout if the holder does not answer this instance either; greater than LeaseDuration
	StoreTimeout      time.Duration // of a call to the store
	WatchWait         time.Duration // for which the store waits for a change
	ProbeInterval     time.Duration // between connection probes of the holder's address
	PollInterval      time.Duration // between polls of the rows while the holder is reachable; zero means no pause
	StoredExtension   time.Duration // for which a holder may run stored jobs after its last heartbeat was written, if no standby can take over
	MaxExtension      time.Duration // for which it may at most, as long as the reserves promise not to take over either
	ReserveTimeout    time.Duration // without heartbeat until takeover by a reserve that reaches the runners of the cell; greater than SilentTimeout
	BlindTimeout      time.Duration // without heartbeat until takeover by any reserve; greater than StoredExtension and the lease of runners
	OutsiderTimeout   time.Duration // without heartbeat until takeover by any instance; greater than MaxExtension
}

// withDefaults returns s with the defaults in place of zero values.
func (s Settings) withDefaults() Settings {
	setDefault := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setDefault(&s.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&s.LeaseDuration, DefaultLeaseDuration)
	setDefault(&s.SilentTimeout, DefaultSilentTimeout)
	setDefault(&s.RefusedTimeout, DefaultRefusedTimeout)
	setDefault(&s.CutTimeout, DefaultCutTimeout)
	setDefault(&s.StoreTimeout, DefaultStoreTimeout)
	setDefault(&s.WatchWait, DefaultWatchWait)
	setDefault(&s.ProbeInterval, DefaultProbeInterval)
	setDefault(&s.StoredExtension, DefaultStoredExtension)
	setDefault(&s.MaxExtension, DefaultMaxExtension)
	setDefault(&s.ReserveTimeout, DefaultReserveTimeout)
	setDefault(&s.BlindTimeout, DefaultBlindTimeout)
	setDefault(&s.OutsiderTimeout, DefaultOutsiderTimeout)
	return s
}
