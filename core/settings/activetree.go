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
func (a *ActiveTree) Tree() *Tree {
	if t := a.tree.Load(); t != nil {
		return t
	}
	return &emptyTree
}

// Update makes t the active tree if its revision is higher than that of the
// current one, and reports whether it did.
func (a *ActiveTree) Update(t *Tree) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.Revision() <= a.Tree().Revision() {
		return false
	}
	a.tree.Store(t)
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
	return true
}

// Watch returns the active tree and a channel that is closed when another tree
// replaces it.
func (a *ActiveTree) Watch() (*Tree, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.Tree(), a.changed
}
