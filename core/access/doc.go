// Package access authenticates callers and operators by secret keys.
//
// A key file is in TOML. Instead of each key it holds the SHA-256 sum of the key,
// which `printf %s KEY | sha256sum` prints:
//
//	[[keys]]
//	name  = "booking"          # shown in the log; unique
//	role  = "caller"           # caller or operator
//	teams = ["crew", "choir"]  # or ["*"] for all teams
//	sum   = "4f2a..."          # SHA-256 of the key, 64 hexadecimal digits
//
// A caller submits, queries and cancels work of its teams. An operator reads and
// changes the settings and reads the time line of its teams. Whoever does both
// needs two keys, listed under two names with two sums. Keys should be random and
// long, because short keys can be guessed from their sums.
//
// Keys.Lookup compares the sum of the key that was sent with all sums in constant
// time, so that its running time reveals nothing about the keys. No error and no
// log line contains a key or a sum.
package access
