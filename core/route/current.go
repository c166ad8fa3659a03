package route

import "sync/atomic"

// Current holds the newest configuration. The zero value holds none. It is safe for
// concurrent use.
type Current struct {
	config atomic.Pointer[Config]
}

// Load returns the current configuration, or nil if there is none.
func (c *Current) Load() *Config {
	return c.config.Load()
}

// SetIfNewer makes next the current configuration and indexes it, unless the current
// version is the same or higher. It reports whether the configuration has changed.
func (c *Current) SetIfNewer(next *Config) bool {
	next.Index()
	for {
		current := c.config.Load()
		if current != nil && current.Version >= next.Version {
			return false
		}
		if c.config.CompareAndSwap(current, next) {
			return true
		}
	}
}
