package fair

// Kinds of heaps that a team can belong to.
const (
	byPass = iota // teams with queued items, lowest pass first
	byLoad        // teams with queued items, highest load first
	heaps
)

// heap is a binary heap of teams, lowest key first.
type heap struct {
	kind  int
	teams []*team
}

// top returns the team with the lowest key. The heap must not be empty.
func (h *heap) top() *team {
	return h.teams[0]
}

// put adds a team with the given key, or updates its key.
func (h *heap) put(t *team, key float64) {
	t.keys[h.kind] = key
	if t.positions[h.kind] == 0 {
		h.teams = append(h.teams, t)
		t.positions[h.kind] = len(h.teams)
	}
	h.up(t.positions[h.kind] - 1)
	h.down(t.positions[h.kind] - 1)
}

// remove removes a team if it is in the heap.
func (h *heap) remove(t *team) {
	i := t.positions[h.kind] - 1
	if i < 0 {
		return
	}
	last := len(h.teams) - 1
	h.swap(i, last)
	h.teams[last] = nil
	h.teams = h.teams[:last]
	t.positions[h.kind] = 0
	if i < last {
		h.up(i)
		h.down(i)
	}
}

// up moves the team at i towards the top until the order is restored.
func (h *heap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the team at i away from the top until the order is restored.
func (h *heap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.teams) {
			return
		}
		if child+1 < len(h.teams) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// less orders teams by key, and teams of equal keys by creation.
func (h *heap) less(i, j int) bool {
	a, b := h.teams[i], h.teams[j]
	if a.keys[h.kind] != b.keys[h.kind] {
		return a.keys[h.kind] < b.keys[h.kind]
	}
	return a.number < b.number
}

func (h *heap) swap(i, j int) {
	h.teams[i], h.teams[j] = h.teams[j], h.teams[i]
	h.teams[i].positions[h.kind] = i + 1
	h.teams[j].positions[h.kind] = j + 1
}
