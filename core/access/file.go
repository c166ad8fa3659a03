package access

import (
	"bytes"
	"context"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

const (
	// DefaultPollInterval is the default time between reads of a key file.
	DefaultPollInterval = 2 * time.Second
	// maxFileSize is the maximum size of a key file, in bytes.
	maxFileSize = 1 << 20
)

// File holds the keys of a key file and reloads them when the file changes. Its
// fields must be set before Load. Only the method Keys is safe for concurrent use.
type File struct {
	Path         string
	Clock        clockwork.Clock
	PollInterval time.Duration // time between reads; zero means DefaultPollInterval

	// OnChange is called after the keys of a changed file were applied, or with the
	// error of a changed file that was rejected. In that case the previous keys
	// stay valid. It may be nil.
	OnChange func(keys *Keys, err error)

	keys     atomic.Pointer[Keys]
	lastData []byte // contents of the file as last read
}

// Load reads the file for the first time. It returns an error if the file cannot
// be read or has a fault.
func (f *File) Load() error {
	data, err := f.readFile()
	if err != nil {
		return err
	}
	keys, err := Parse(f.Path, data)
	if err != nil {
		return err
	}
	f.lastData = data
	f.keys.Store(keys)
	return nil
}

// Keys returns the valid keys. There are none before Load.
func (f *File) Keys() *Keys {
	if keys := f.keys.Load(); keys != nil {
		return keys
	}
	return &Keys{}
}

// Run checks the file for changes at each poll interval until ctx ends.
func (f *File) Run(ctx context.Context) {
	interval := f.PollInterval
	if interval == 0 {
		interval = DefaultPollInterval
	}
	ticker := f.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			f.reload()
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the file and applies its keys if it changed. If the file cannot be
// read, for instance while it is being replaced, the keys stay as they are.
func (f *File) reload() {
	data, err := f.readFile()
	if err != nil || bytes.Equal(data, f.lastData) {
		return
	}
	f.lastData = data
	keys, err := Parse(f.Path, data)
	if err == nil {
		f.keys.Store(keys)
	}
	if f.OnChange != nil {
		f.OnChange(keys, err)
	}
}

// readFile returns the contents of the file, or an error if it is larger than
// maxFileSize.
func (f *File) readFile() ([]byte, error) {
	file, err := os.Open(f.Path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return nil, errors.Annotate(err, f.Path)
	}
	if len(data) > maxFileSize {
		return nil, errors.Errorf("%s: longer than %d bytes", f.Path, maxFileSize)
	}
	return data, nil
}
