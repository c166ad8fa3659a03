package place

// resources is an amount of cores and memory: a capacity or a need.
type resources struct {
	cores, memory float64 // memory in bytes
}

// noCapacity is the capacity of a worker that gets no tasks. It does not even
// cover a need of zero.
var noCapacity = resources{cores: -1, memory: -1}

// covers reports whether need fits into r.
func (r resources) covers(need resources) bool {
	return r.cores >= need.cores && r.memory >= need.memory
}

// maxVisits bounds the nodes that one search of a tree visits.
const maxVisits = 128

// tree is a segment tree that finds workers with enough capacity. Each inner node
// has the maximum of the cores and that of the memory below it, which may belong
// to different workers.
type tree struct {
	leaves     int // number of leaves, a power of two
	nodes      []resources
	visitsLeft int // number of nodes that the current search may still visit
}

// resize sets the number of workers to n and all capacities to noCapacity.
func (t *tree) resize(n int) {
	t.leaves = 1
	for t.leaves < n {
		t.leaves *= 2
	}
	t.nodes = make([]resources, 2*t.leaves)
	for i := range t.nodes {
		t.nodes[i] = noCapacity
	}
}

// set changes the capacity of worker i.
func (t *tree) set(i int, r resources) {
	n := t.leaves + i
	t.nodes[n] = r
	for n /= 2; n > 0; n /= 2 {
		a, b := t.nodes[2*n], t.nodes[2*n+1]
		r := resources{cores: max(a.cores, b.cores), memory: max(a.memory, b.memory)}
		if t.nodes[n] == r {
			return
		}
		t.nodes[n] = r
	}
}

// find returns the first worker at or after from whose capacity covers need,
// with wraparound at the end, or -1 if there is none or the search has visited
// too many nodes.
func (t *tree) find(from int, need resources) int {
	t.visitsLeft = maxVisits
	if i := t.search(1, 0, t.leaves, from, t.leaves, need); i >= 0 {
		return i
	}
	return t.search(1, 0, t.leaves, 0, from, need)
}

// search returns the first worker in [from, to) below node n, whose leaves are
// [low, high), with a capacity that covers need, or -1.
func (t *tree) search(n, low, high, from, to int, need resources) int {
	if high <= from || low >= to || !t.nodes[n].covers(need) {
		return -1
	}
	t.visitsLeft--
	if t.visitsLeft < 0 {
		return -1
	}
	if high-low == 1 {
		return low
	}
	mid := (low + high) / 2
	if i := t.search(2*n, low, mid, from, to, need); i >= 0 {
		return i
	}
	return t.search(2*n+1, mid, high, from, to, need)
}
