package route

import (
	"strings"
	"time"

	"gypsumward/core/work"
)

// Route maps the paths of a host that begin with Prefix to a queue.
type Route struct {
	Host   string // in lower case, without a port
	Prefix string
	Queue  work.Queue
}

// Config is one version of the routing configuration. It must not be changed after Index.
type Config struct {
	Version      int64
	Routes       []Route
	MaxBodyBytes int64 // maximum size of a request body, in bytes; zero means no limit

	MaxHeaderBytes int64         // maximum size of the header of a request, in bytes; zero means the default
	HeaderTimeout  time.Duration // time for the header of a request; zero means the default
	IdleTimeout    time.Duration // time between requests of a connection; zero means the default

	routesByHost map[string][]Route
}

// Index builds the index that Find uses. It must be called before Find.
func (c *Config) Index() {
	c.routesByHost = make(map[string][]Route, len(c.Routes))
	for _, r := range c.Routes {
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
}

// Find returns the route of host with the longest prefix that path begins with, or nil if
// there is none. The case of host and a port in it are ignored.
func (c *Config) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var found *Route
	routes := c.routesByHost[strings.ToLower(host)]
	for i := range routes {
		r := &routes[i]
		if strings.HasPrefix(path, r.Prefix) && (found == nil || len(r.Prefix) > len(found.Prefix)) {
			found = r
		}
	}
	return found
}
