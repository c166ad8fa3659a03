package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"

	"gypsumward/core/api"
	"gypsumward/core/detach"
	"gypsumward/core/table"
)

// Reader reads rows of the platform's table by key.
type Reader interface {
	Read(ctx context.Context, r table.Read) (table.Found, error)
}

// ObjectStore is the platform's object store. Get reports false if there is no object
// with the key.
type ObjectStore interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, bool, error)
}

// Read returns the row with the given key and whether it exists. A row that cannot
// be decoded is an error.
func Read(ctx context.Context, t Reader, key string) (row Row, found bool, err error) {
	got, err := t.Read(ctx, table.Read{Keys: []string{key}})
	if err != nil || len(got.Rows) != 1 || got.Rows[0].Version == 0 {
		return Row{}, false, err
	}
	row, err = Decode(got.Rows[0])
	return row, err == nil, err
}

// LoadAnswer returns the durable answer of a final row, which is read from the object
// store if it is not in the row. It reports false if the answer cannot be read or
// decoded.
func (r Row) LoadAnswer(ctx context.Context, objects ObjectStore) (*api.Answer, bool) {
	value := []byte(r.Answer)
	if r.ObjectKey != "" {
		stored, found, err := objects.Get(ctx, r.ObjectKey)
		if err != nil || !found {
			return nil, false
		}
		value = stored
	}
	var a api.Answer
	if err := json.Unmarshal(value, &a); err != nil {
		return nil, false
	}
	return &a, true
}

// PutWithRetry puts an object. Each attempt times out after limit, and a failed one is
// repeated after limit until the object is stored. PutWithRetry reports false if closed
// is closed before that.
func PutWithRetry(clock clockwork.Clock, objects ObjectStore, key string, value []byte, limit time.Duration, closed <-chan struct{}) bool {
	for {
		ctx, cancel := detach.WithTimeout(clock, limit)
		err := objects.Put(ctx, key, value)
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-clock.After(limit):
		case <-closed:
			return false
		}
	}
}
