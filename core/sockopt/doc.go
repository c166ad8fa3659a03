// Package sockopt sets socket options that the standard library does not support.
package sockopt
