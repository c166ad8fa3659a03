package table

import (
	"encoding/json"

	"gypsumward/core/span"
)

// MaxOpsPerWrite is the largest number of operations in one transaction.
const MaxOpsPerWrite = 100

// MaxValueBytes is the largest size of the value of one row, in bytes. Larger values
// are kept in the object store.
const MaxValueBytes = 64 << 10

// Op writes or deletes one row if its condition holds.
type Op struct {
	Key       string          `json:"key"`
	IfVersion int64           `json:"if"`               // required version; zero requires that the row is absent, AnyVersion sets no condition
	Value     json.RawMessage `json:"value,omitempty"`  // the new value
	Delete    bool            `json:"delete,omitempty"` // deletes the row; Value is ignored
	CheckOnly bool            `json:"check,omitempty"`  // only checks the condition; Value is ignored
}

// AnyVersion is the value of Op.IfVersion for an operation without condition.
const AnyVersion = -1

// Write is one transaction: either all operations take effect or none.
type Write struct {
	Ops []Op `json:"ops"`
}

// Written is the result of a Write. Committed reports whether it took effect. The name of
// the type is part of texts sent to callers of the settings API, see Found.
type Written struct {
	Committed bool  `json:"done"`
	Version   int64 `json:"version,omitempty"`  // version of all rows written; increases with every transaction
	Conflicts []Row `json:"conflict,omitempty"` // current state of the rows whose condition did not hold
}

// Row is the current state of one row. A version of zero means that the row does
// not exist.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Read asks for rows by key.
type Read struct {
	Keys []string `json:"keys"`
}

// Scan asks for the rows whose key has the prefix Prefix, sorts after After and, unless
// Through is empty, not after Through.
type Scan struct {
	Prefix  string `json:"prefix"`
	After   string `json:"after,omitempty"`
	Through string `json:"through,omitempty"` // known to the users' platform only
	Limit   int    `json:"limit"`             // at most MaxScanRows
}

// MaxScanRows is the largest number of rows that one Scan returns.
const MaxScanRows = 1000

// Found is the result of a Read or a Scan. For a Read it has one row for each key,
// in the order of Read.Keys; for a Scan the rows are in key order.
//
// The name of the type is part of texts sent to callers: if a response cannot be decoded,
// the settings API returns the decoder's error, which holds the name.
type Found struct {
	Rows      []Row `json:"rows"`
	Version   int64 `json:"version,omitempty"` // version of the table service when the rows were read; zero if unknown
	Truncated bool  `json:"more,omitempty"`    // the result of a Scan is truncated; continue after the last key
}

// Watch asks for the rows with a prefix that changed after version After. If there
// is none, the call waits for one for at most Wait.
type Watch struct {
	Prefix string    `json:"prefix"`
	After  int64     `json:"after"`
	Wait   span.Span `json:"wait"`
}

// WatchResult is the result of a Watch: the rows that changed, in order. A row with
// version zero was deleted. If HistoryLost is set, the history since Watch.After is no
// longer available: the caller must scan and watch from the version of that scan.
type WatchResult struct {
	Rows        []Row `json:"rows"`
	Version     int64 `json:"version"`
	HistoryLost bool  `json:"lost,omitempty"`
}

// MemberKind is the kind of a member of the directory.
type MemberKind string

// The kinds of members.
const (
	KindEntry  MemberKind = "entry"
	KindRunner MemberKind = "runner"
	KindWorker MemberKind = "worker"
)

// Member is the directory entry of one instance or target.
type Member struct {
	ID       string     `json:"id" toml:"id"`
	Kind     MemberKind `json:"kind" toml:"kind"`
	Addr     string     `json:"addr" toml:"addr"`           // IP address and port for HTTP
	Peer     string     `json:"peer,omitempty" toml:"peer"` // IP address and port for peers; of an entry instance
	Centre   string     `json:"centre" toml:"centre"`       // data centre
	Rack     string     `json:"rack,omitempty" toml:"rack"`
	Slots    int        `json:"slots,omitempty" toml:"slots"`   // slots of a runner
	MaxConns int        `json:"conns,omitempty" toml:"conns"`   // connections that a runner accepts
	Cores    float64    `json:"cores,omitempty" toml:"cores"`   // CPU cores of a worker
	Memory   int64      `json:"memory,omitempty" toml:"memory"` // memory of a worker, in bytes
	Leaving  bool       `json:"leaving,omitempty" toml:"leaving"`
}

// LiveList is the platform's directory of live members. It lags by seconds.
type LiveList struct {
	Members []Member  `json:"members"`
	Age     span.Span `json:"age"` // age of the list
}
