// Package sockopt provides options of sockets that the standard library does not set.
package sockopt
