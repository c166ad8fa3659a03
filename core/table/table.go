package table

import (
	"encoding/json"

	"gypsumward/core/span"
)

// MaxOps is the largest number of operations in one transaction.
const MaxOps = 100

// MaxValue is the largest value of one row, in bytes. Larger values go to the
// object store.
const MaxValue = 64 << 10

// Op writes or deletes one row if its condition holds.
type Op struct {
	Key    string          `json:"key"`
	If     int64           `json:"if"`               // required version; zero means the row must be absent; Any means no condition
	Value  json.RawMessage `json:"value,omitempty"`  // the new value
	Delete bool            `json:"delete,omitempty"` // deletes the row; Value is ignored
	Check  bool            `json:"check,omitempty"`  // only requires the version; Value is ignored
}

// Any is the Op.If of an operation without condition.
const Any = -1

// Write is one transaction: all operations take effect, or none.
type Write struct {
	Ops []Op `json:"ops"`
}

// Written is the result of a Write.
type Written struct {
	Done     bool  `json:"done"`
	Version  int64 `json:"version,omitempty"`  // of all rows written; grows with every transaction
	Conflict []Row `json:"conflict,omitempty"` // the rows whose condition did not hold, as they are
}

// Row is one row as it is. A version of zero means that there is none.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Read asks for rows by key.
type Read struct {
	Keys []string `json:"keys"`
}

// Scan asks for the rows whose key starts with Prefix and sorts after After.
type Scan struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"` // at most MaxScan
}

// MaxScan is the largest number of rows that one Scan returns.
const MaxScan = 1000

// Found lists rows: for a Read one for each key in its order, for a Scan in the
// order of keys.
type Found struct {
	Rows    []Row `json:"rows"`
	Version int64 `json:"version,omitempty"` // of the table service at that moment; zero if it does not say
	More    bool  `json:"more,omitempty"`    // a Scan was cut off; scan again after the last key
}

// Watch asks for the rows with a prefix that changed after a version, and waits for
// one.
type Watch struct {
	Prefix string    `json:"prefix"`
	After  int64     `json:"after"`
	Wait   span.Span `json:"wait"`
}

// Changes lists rows that changed, in order. A row without version was removed. If
// Lost is set, the history is gone: scan, and watch from the version of that.
type Changes struct {
	Rows    []Row `json:"rows"`
	Version int64 `json:"version"`
	Lost    bool  `json:"lost,omitempty"`
}

// Kind is what a member of the live list is.
type Kind string

// The kinds of members.
const (
	Entry  Kind = "entry"
	Runner Kind = "runner"
	Worker Kind = "worker"
)

// Member is one instance or target of the live list.
type Member struct {
	ID      string  `json:"id" toml:"id"`
	Kind    Kind    `json:"kind" toml:"kind"`
	Addr    string  `json:"addr" toml:"addr"`           // IP number and port for HTTP
	Peer    string  `json:"peer,omitempty" toml:"peer"` // IP number and port for peers; of entry instances
	Centre  string  `json:"centre" toml:"centre"`       // data centre
	Rack    string  `json:"rack,omitempty" toml:"rack"`
	Slots   int     `json:"slots,omitempty" toml:"slots"`   // of a runner
	Conns   int     `json:"conns,omitempty" toml:"conns"`   // connections a runner takes
	Cores   float64 `json:"cores,omitempty" toml:"cores"`   // of a worker
	Memory  int64   `json:"memory,omitempty" toml:"memory"` // bytes, of a worker
	Leaving bool    `json:"leaving,omitempty" toml:"leaving"`
}

// Live is the platform's list of what is live. It lags by seconds.
type Live struct {
	Members []Member  `json:"members"`
	Age     span.Span `json:"age"` // how old the list is
}
