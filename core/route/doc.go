// Package route holds the routing configuration set by the operator, which maps hosts and
// paths to queues and their services.
package route
