package settings

import (
	"sync"
	"sync/atomic"
)

// ActiveTree stores the active tree. The zero value stores the zero Tree. It is safe
// for concurrent use, and Tree takes no lock.
type ActiveTree struct {
	tree atomic.Pointer[Tree]

	mu      sync.Mutex
	changed chan struct{} // closed when tree is replaced
}

// emptyTree is the active tree before the first Update.
var emptyTree = Tree{snapshot: Snapshot{Teams: []Subtree{}}}

// Tree returns the active tree.
func (h *ActiveTree) Tree() *Tree {
	if t := h.tree.Load(); t != nil {
		return t
	}
	return &emptyTree
}

// Update makes t the active tree if its revision is higher than that of the
// current one, and reports whether it did.
func (h *ActiveTree) Update(t *Tree) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.Revision() <= h.Tree().Revision() {
		return false
	}
	h.tree.Store(t)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// Watch returns the active tree and a channel that is closed when another tree
// replaces it.
func (h *ActiveTree) Watch() (*Tree, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.Tree(), h.changed
}
