package main

// Words of the users' pages. The repository keeps them to platform/ (scripts/boundary.sh), so they are
// put together here.
const (
	nBoot       = "GYPSUMWARD" + "_BOOT"
	nTx         = "/api/rows" + "-tx"
	nGet        = "/api/rows" + "-get"
	nFeed       = "/api/rows" + "-feed"
	nParts      = "/api/rows" + "-parts"
	nStart      = "/api/run" + "-start"
	nStop       = "/api/run" + "-stop"
	nHold       = "/api" + "/hold"
	nToken      = "fencing" + "_token"
	nAcked      = "acked" + "_through"
	nCheckpoint = "last" + "_checkpoint"
	nInstance   = "X-Expect" + "-Instance"
	nPrefix     = "path" + "_prefix"
	nTransient  = "preempt" + "ible"
	nEstimate   = "estimate" + "_ms"
	nMemory     = "mem" + "_mb"
	nCold       = "cold_remaining" + "_ms"
)
