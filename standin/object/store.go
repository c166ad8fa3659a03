package object

import (
	"sync"

	"github.com/juju/errors"
)

// Store holds objects in memory. The zero value is an empty store. A Store is
// safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// Put sets the object of a key. It keeps data without copying it.
func (s *Store) Put(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	s.objects[key] = data
}

// Get returns the object of a key, or an error that satisfies errors.IsNotFound
// if there is none. The caller must not modify the object.
func (s *Store) Get(key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[key]
	if !ok {
		return nil, errors.NotFoundf("object %q", key)
	}
	return data, nil
}
