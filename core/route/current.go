package route

import "sync/atomic"

// Current holds the newest configuration. The zero value holds none.
type Current struct {
	config atomic.Pointer[Config]
}

// Get returns the configuration in force, or nil.
func (c *Current) Get() *Config {
	return c.config.Load()
}

// Set puts next in force unless a version at least as high is. It reports whether
// it did.
func (c *Current) Set(next *Config) bool {
	next.Index()
	for {
		now := c.config.Load()
		if now != nil && now.Version >= next.Version {
			return false
		}
		if c.config.CompareAndSwap(now, next) {
			return true
		}
	}
}
