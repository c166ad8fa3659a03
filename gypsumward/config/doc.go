// Package config reads and checks the settings file of one instance.
//
// The file is TOML. Every key is one word, every duration and every size has a unit,
// and every address is an IP number with a port. Example:
//
//	name     = "como-1"           # unique among all instances
//	centre   = "como"             # data centre
//	addr     = "127.0.0.1:8080"   # HTTP for callers and operators
//	peer     = "127.0.0.1:8081"   # jsonrpc2 for other instances
//	platform = "127.0.0.1:9000"   # the platform's services
//	log      = "info"             # debug, info, warn or error
//	size     = 1.0                # weight of this instance relative to the others
//	access   = "/etc/keys.toml"   # key file, see package access; optional on loopback
//
//	[limits]
//	body  = "64MB"                # size of the body of one call
//	count = 20000                 # tasks and requests in the queue
//	bytes = "256MB"               # size of all inputs in the queue
//	drain = "20s"                 # limit for a shutdown
//
//	[lease]
//	beat  = "1s"                  # interval between two renewals
//	lapse = "5s"                  # time without renewal after which others take over
//
// Load refuses unknown keys, wrong types and values out of range. The error names the
// file, the line, the key and what is allowed, and reports all faults of a file that
// can be decoded.
package config
