package claim

import (
	"encoding/json"

	"gypsumward/core/api"
	"gypsumward/core/commit"
	"gypsumward/core/table"
)

// Claim returns the change that makes row the open row of its submission. If
// version is zero, the row must not exist; otherwise it is the version of the
// released row that is replaced.
func Claim(row Row, version int64) commit.Change {
	row.State = api.StateOpen
	return commit.Change{FailFast: true, Ops: []table.Op{putRow(row, version), putIndex(row)}}
}

// RaiseMark returns the change that writes an owned row with a raised mark. The caller
// sets row.Mark and clears row.NeverStarted.
func RaiseMark(row Row, version int64) commit.Change {
	return commit.Change{Ops: []table.Op{putRow(row, version)}}
}

// TakeOver returns the change that moves a row from its previous owner to row.Owner.
func TakeOver(row Row, version int64, previous string) commit.Change {
	return commit.Change{Ops: []table.Op{putRow(row, version), deleteIndex(previous, row.Key), putIndex(row)}}
}

// Release returns the change that releases an owned row. Unless row.ReleasedNotRun is
// set, its index row moves to the owner ReleasedOwner(row.Centre), where another
// instance finds it.
func Release(row Row, version int64) commit.Change {
	previous := row.Owner
	row.Owner = ReleasedOwner(row.Centre)
	ops := []table.Op{putRow(row, version), deleteIndex(previous, row.Key)}
	if !row.ReleasedNotRun {
		ops = append(ops, putIndex(row))
	}
	return commit.Change{Ops: ops}
}

// Finish returns the change that writes the final row of an owned submission,
// without its body, and deletes its index row.
func Finish(row Row, version int64) commit.Change {
	row.Body = nil
	row.NeverStarted = nil
	return commit.Change{Ops: []table.Op{putRow(row, version), deleteIndex(row.Owner, row.Key)}}
}

func putRow(row Row, version int64) table.Op {
	return table.Op{Key: row.Key, IfVersion: version, Value: encode(row)}
}

func putIndex(row Row) table.Op {
	return table.Op{Key: OpenKey(row.Owner, row.Key), IfVersion: table.AnyVersion, Value: json.RawMessage(`{}`)}
}

func deleteIndex(owner, key string) table.Op {
	return table.Op{Key: OpenKey(owner, key), IfVersion: table.AnyVersion, Delete: true}
}

func encode(row Row) json.RawMessage {
	value, err := json.Marshal(row)
	if err != nil {
		panic("claim: encode row: " + err.Error())
	}
	return value
}
