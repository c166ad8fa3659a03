package route

import (
	"strings"

	"gypsumward/core/work"
)

// Route sends a host and the paths that begin with Prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  work.Queue
}

// Config is one version of the configuration. It is not changed once it is used.
type Config struct {
	Version int64
	Routes  []Route
	Body    int64 // bytes of a body at most; zero means no limit

	hosts map[string][]Route
}

// Index prepares Find.
func (c *Config) Index() {
	c.hosts = make(map[string][]Route, len(c.Routes))
	for _, r := range c.Routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
}

// Find returns the route of host with the longest prefix that path begins with, or
// nil if there is none. A port in host does not count.
func (c *Config) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var found *Route
	routes := c.hosts[strings.ToLower(host)]
	for i := range routes {
		r := &routes[i]
		if strings.HasPrefix(path, r.Prefix) && (found == nil || len(r.Prefix) > len(found.Prefix)) {
			found = r
		}
	}
	return found
}
