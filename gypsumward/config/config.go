package config

import (
	"time"

	"gypsumward/core/span"
)

// Level is the lowest severity that is logged.
type Level string

// The log levels.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Config holds the settings of one instance.
type Config struct {
	Name     string  `toml:"name"`     // unique among all instances; required
	Centre   string  `toml:"centre"`   // data centre; required
	Addr     string  `toml:"addr"`     // IP number and port for HTTP; required
	Peer     string  `toml:"peer"`     // IP number and port for other instances; required
	Platform string  `toml:"platform"` // IP number and port of the platform; required
	Log      Level   `toml:"log"`      // default Info
	Size     float64 `toml:"size"`     // weight relative to the other instances; default 1
	Access   string  `toml:"access"`   // path of the key file; required unless Addr is a loopback address
	Limits   Limits  `toml:"limits"`
	Lease    Lease   `toml:"lease"`
}

// Limits bounds the work that an instance holds.
type Limits struct {
	Body  Size      `toml:"body"`  // size of the body of one call; default 64MB
	Count int       `toml:"count"` // tasks and requests in the queue; default 20000
	Bytes Size      `toml:"bytes"` // size of all inputs in the queue; default 256MB
	Drain span.Span `toml:"drain"` // limit for a shutdown; default 20s
}

// Lease is the timing of the instance's own lease.
type Lease struct {
	HeartbeatInterval span.Span `toml:"beat"`  // interval between two renewals; default 1s
	Timeout           span.Span `toml:"lapse"` // time without renewal after which others take over; default 5s
}

// Default returns the defaults of optional settings. Name, Centre, Addr, Peer and
// Platform are required and empty, and so is Access.
func Default() Config {
	return Config{
		Log:  Info,
		Size: 1,
		Limits: Limits{
			Body:  64 * Megabyte,
			Count: 20000,
			Bytes: 256 * Megabyte,
			Drain: 20 * span.Second,
		},
		Lease: Lease{
			HeartbeatInterval: span.Of(time.Second),
			Timeout:           5 * span.Second,
		},
	}
}
