package demand

import "time"

// Defaults of Settings.
const (
	DefaultMaxKinds = 4096
	DefaultMemory   = 256 << 20
	DefaultRunTime  = 300 * time.Millisecond
	DefaultMargin   = 0.5
)

// Settings holds the parameters of an Estimator. Fields that are not positive
// mean the defaults.
type Settings struct {
	MaxKinds int           // upper bound of the number of kinds, above which those not used recently are dropped; DefaultMaxKinds
	Cores    float64       // cores of a task that declares none; api.DefaultCores
	Memory   int64         // memory in bytes of a task that declares none; DefaultMemory
	RunTime  time.Duration // run time of a task that declares none and has a kind without observed run times; DefaultRunTime
	Margin   float64       // margin added to the mean need, in standard deviations; DefaultMargin
}
