package choose

import "gypsumward/core/outlier"

// DefaultWaitTolerance is the default of Settings.WaitTolerance.
const DefaultWaitTolerance = 2.0

// Settings holds the parameters of a Chooser. The zero value means the defaults.
type Settings struct {
	Seed          uint64           // random seed; should differ between instances so that their choices among equal runners differ
	WaitTolerance float64          // relative excess in run time of an idle runner above which a request waits for a faster one, see Pick; zero means DefaultWaitTolerance, negative means that requests never wait
	Detection     outlier.Settings // parameters of the quarantine
}
