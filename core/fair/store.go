package fair

// Kinds of chains that an entry can belong to.
const (
	levelChain = iota // items of one team and urgency, oldest first
	jobChain          // items of one job
	wheelChain        // items whose deadlines are in one bucket of the wheel
	chains
)

// none is the index that stands for a missing entry.
const none = int32(0)

// link holds the indices of the neighbours of an entry in one chain.
type link struct {
	prev, next int32
}

// chain is a doubly linked list of entries. The zero value is empty.
type chain struct {
	head, tail int32
	size       int
}

// entry is an item in the store. The team of a free entry is nil.
type entry[T any] struct {
	item  Item[T]
	team  *team
	links [chains]link
}

// store holds entries by index and reuses released ones. Index 0 is not used.
type store[T any] struct {
	entries []entry[T]
	free    chain // released entries, linked as levelChain
}

// add stores an item and returns the index of its entry.
func (s *store[T]) add(it Item[T], t *team) int32 {
	if s.free.head == none {
		if len(s.entries) == 0 {
			s.entries = append(s.entries, entry[T]{})
		}
		s.entries = append(s.entries, entry[T]{item: it, team: t})
		return int32(len(s.entries) - 1)
	}
	i := s.free.head
	s.unlink(levelChain, &s.free, i)
	s.entries[i].item = it
	s.entries[i].team = t
	return i
}

// release frees an entry, which must not be in any chain.
func (s *store[T]) release(i int32) {
	s.entries[i] = entry[T]{}
	s.link(levelChain, &s.free, i)
}

// link appends an entry to a chain.
func (s *store[T]) link(kind int, c *chain, i int32) {
	s.entries[i].links[kind] = link{prev: c.tail}
	if c.tail == none {
		c.head = i
	} else {
		s.entries[c.tail].links[kind].next = i
	}
	c.tail = i
	c.size++
}

// unlink removes an entry from a chain.
func (s *store[T]) unlink(kind int, c *chain, i int32) {
	l := s.entries[i].links[kind]
	if l.prev == none {
		c.head = l.next
	} else {
		s.entries[l.prev].links[kind].next = l.next
	}
	if l.next == none {
		c.tail = l.prev
	} else {
		s.entries[l.next].links[kind].prev = l.prev
	}
	s.entries[i].links[kind] = link{}
	c.size--
}

// next returns the index of the entry after i in a chain, or none.
func (s *store[T]) next(kind int, i int32) int32 {
	return s.entries[i].links[kind].next
}
