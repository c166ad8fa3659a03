package config

import (
	"fmt"
	"net/netip"
	"regexp"

	"gypsumward/core/span"
)

// Bounds of settings.
const (
	minBody                 = Kilobyte
	maxBody                 = Gigabyte
	maxCount                = 1_000_000
	maxBytes                = 64 * Gigabyte
	minDrain                = 100 * span.Millisecond
	maxDrain                = 10 * span.Minute
	minHeartbeatInterval    = 50 * span.Millisecond
	maxHeartbeatInterval    = span.Minute
	maxLeaseTimeout         = 10 * span.Minute
	maxSize                 = 100.0
	minHeartbeatsPerTimeout = 3 // smallest ratio of lease.lapse to lease.beat
)

// namePattern matches the names of instances and data centres.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// tables lists the names of the tables of the file.
var tables = []string{"limits", "lease"}

// Keys returns the full names of all allowed keys, such as lease.beat.
func Keys() []string {
	return []string{
		"name", "centre", "addr", "peer", "platform", "log", "size", "access",
		"limits.body", "limits.count", "limits.bytes", "limits.drain",
		"lease.beat", "lease.lapse",
	}
}

// check returns the faults of c. Their lines are not set.
func (c *Config) check() []Fault {
	var k checker
	k.name("name", c.Name)
	k.name("centre", c.Centre)
	k.addr("addr", c.Addr)
	k.addr("peer", c.Peer)
	k.addr("platform", c.Platform)
	k.distinct(c)
	k.requireKeys(c)
	switch c.Log {
	case Debug, Info, Warn, Error:
	default:
		k.addFault("log", "%q is not allowed; allowed are debug, info, warn, error", c.Log)
	}
	if !(c.Size > 0 && c.Size <= maxSize) {
		k.addFault("size", "%v is not allowed; allowed is above 0 up to %v", c.Size, maxSize)
	}
	c.Limits.check(&k)
	c.Lease.check(&k)
	return k.faults
}

func (l Limits) check(k *checker) {
	inRange(k, "limits.body", l.Body, minBody, maxBody)
	inRange(k, "limits.count", l.Count, 1, maxCount)
	inRange(k, "limits.bytes", l.Bytes, minBody, maxBytes)
	inRange(k, "limits.drain", l.Drain, minDrain, maxDrain)
	if l.Bytes < l.Body {
		k.addFault("limits.bytes", "%v is less than limits.body, %v", l.Bytes, l.Body)
	}
}

func (l Lease) check(k *checker) {
	inRange(k, "lease.beat", l.HeartbeatInterval, minHeartbeatInterval, maxHeartbeatInterval)
	inRange(k, "lease.lapse", l.Timeout, minHeartbeatInterval*minHeartbeatsPerTimeout, maxLeaseTimeout)
	if l.Timeout < minHeartbeatsPerTimeout*l.HeartbeatInterval {
		k.addFault("lease.lapse", "%v is not allowed; allowed is from %d times lease.beat, %v", l.Timeout, minHeartbeatsPerTimeout, minHeartbeatsPerTimeout*l.HeartbeatInterval)
	}
}

// checker collects faults.
type checker struct {
	faults []Fault
}

func (k *checker) addFault(key, format string, args ...any) {
	k.faults = append(k.faults, Fault{Key: key, Text: fmt.Sprintf(format, args...)})
}

// name checks a required name.
func (k *checker) name(key, value string) {
	switch {
	case value == "":
		k.addFault(key, "missing; required")
	case !namePattern.MatchString(value):
		k.addFault(key, "%q is not allowed; allowed are 1 to 64 small letters, digits and inner hyphens", value)
	}
}

// addr checks a required address, which must be that of one machine.
func (k *checker) addr(key, value string) {
	if value == "" {
		k.addFault(key, "missing; required")
		return
	}
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		k.addFault(key, "%q is not allowed; allowed is the IP number of one machine with a port, such as 127.0.0.1:8080", value)
	}
}

// distinct checks that no address is used for two purposes.
func (k *checker) distinct(c *Config) {
	if c.Addr != "" && c.Addr == c.Peer {
		k.addFault("peer", "%q is addr as well; allowed is another port", c.Peer)
	}
	if c.Platform != "" && (c.Platform == c.Addr || c.Platform == c.Peer) {
		k.addFault("platform", "%q is an address of this instance", c.Platform)
	}
}

// requireKeys checks that there is a key file unless only processes on the same machine
// can reach the instance.
func (k *checker) requireKeys(c *Config) {
	addr, err := netip.ParseAddrPort(c.Addr)
	if c.Access == "" && err == nil && !addr.Addr().Unmap().IsLoopback() {
		k.addFault("access", "missing; required unless addr is a loopback address")
	}
}

// inRange adds a fault unless low <= value <= high.
func inRange[T int | Size | span.Span](k *checker, key string, value, low, high T) {
	if value < low || value > high {
		k.addFault(key, "%v is not allowed; allowed is from %v to %v", value, low, high)
	}
}
