package shard

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"gypsumward/core/standby"
)

// MaxCells is the largest number of cells of a plan.
const MaxCells = 64

// Formats of a plan, by the value of its row.
const (
	formatCount = 0 // a number of cells for all data centres, with bounds of the ids of runners
	formatCells = 2 // a list of cells
)

// errFormat is the error of a plan in a format that this build does not know.
const errFormat = errors.ConstError("unknown format")

// Plan is the division of runners into cells. The zero value has no cells.
type Plan struct {
	Cells []Cell
	// byRemainder means that the cell of a job is the remainder of a hash of its id, as in
	// plans of formatCount.
	byRemainder bool
}

// Cell is one cell of a plan: runners of one data centre, or of all data centres without
// cells of their own if Zone is empty.
type Cell struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
	// Through is the highest id of a runner in the cell, After that of the cell before it. The
	// first and the last cell of a data centre have no lower and no upper bound. If no cell
	// of a data centre has bounds, a hash of the id decides on the cell of a runner.
	After   string `json:"after,omitempty"`
	Through string `json:"through,omitempty"`
}

// encodedPlan is the value of the row of a plan.
type encodedPlan struct {
	Format int    `json:"format,omitempty"`
	List   []Cell `json:"list,omitempty"`

	// Of formatCount; Count is written by all formats.
	Count  int      `json:"cells"`
	Bounds []string `json:"bounds,omitempty"`
}

// MarshalJSON returns the value of the row of p.
func (p Plan) MarshalJSON() ([]byte, error) {
	return json.Marshal(encodedPlan{Format: formatCells, List: p.Cells, Count: len(p.Cells)})
}

// UnmarshalJSON decodes the value of a row. It returns an error and leaves p as it is if the
// plan is invalid or has a format that is not known.
func (p *Plan) UnmarshalJSON(data []byte) error {
	var e encodedPlan
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	var decoded Plan
	switch e.Format {
	case formatCells:
		decoded.Cells = e.List
	case formatCount:
		if e.Count < 1 || e.Count > MaxCells || (len(e.Bounds) > 0 && len(e.Bounds) != e.Count-1) {
			return errors.Errorf("%d cells with %d bounds", e.Count, len(e.Bounds))
		}
		decoded.byRemainder = true
		decoded.Cells = newCells("", e.Count, e.Bounds)
	default:
		return errFormat
	}
	if err := decoded.validate(); err != nil {
		return err
	}
	*p = decoded
	return nil
}

// newCells returns count cells of a data centre, without bounds or with the highest ids of
// all but the last.
func newCells(zone string, count int, bounds []string) []Cell {
	cells := make([]Cell, count)
	for i := range cells {
		cells[i].Name, cells[i].Zone = CellName(i), zone
	}
	for i, bound := range bounds {
		cells[i].Through, cells[i+1].After = bound, bound
	}
	return cells
}

// validate returns an error unless the names of the cells differ, are not empty, and the
// bounds of the cells of each data centre leave no gap.
func (p Plan) validate() error {
	if len(p.Cells) < 1 || len(p.Cells) > MaxCells {
		return errors.Errorf("%d cells", len(p.Cells))
	}
	names := map[string]bool{}
	last := map[string]Cell{} // last cell by data centre
	for _, c := range p.Cells {
		if c.Name == "" || names[c.Name] {
			return errors.Errorf("cell %q twice or without a name", c.Name)
		}
		previous, found := last[c.Zone]
		hashed := found && previous.Through == ""
		if c.After != previous.Through || (c.Through != "" && c.Through <= c.After) || (hashed && (c.Through != "" || previous.After != "")) {
			return errors.Errorf("bounds of cell %q", c.Name)
		}
		names[c.Name], last[c.Zone] = true, c
	}
	for zone, c := range last {
		if c.Through != "" {
			return errors.Errorf("no cell in %q for runners after %q", zone, c.Through)
		}
	}
	return nil
}

// InZone returns the numbers, from 0, of the cells whose runners are in a data centre. They
// are those without a data centre if it has no cells of its own, else those of the first
// data centre.
func (p Plan) InZone(zone string) []int {
	for _, z := range []string{zone, "", p.Cells[0].Zone} {
		var numbers []int
		for i, c := range p.Cells {
			if c.Zone == z {
				numbers = append(numbers, i)
			}
		}
		if len(numbers) > 0 {
			return numbers
		}
	}
	return nil
}

// CellOfRunner returns the number of the cell to which the runner with the given id in a
// data centre belongs.
func (p Plan) CellOfRunner(id, zone string) int {
	numbers := p.InZone(zone)
	if last := p.Cells[numbers[len(numbers)-1]]; last.After == "" {
		return numbers[remainder(id, len(numbers))]
	}
	for _, n := range numbers {
		if c := p.Cells[n]; id > c.After && (c.Through == "" || id <= c.Through) {
			return n
		}
	}
	return numbers[0] // an empty id
}

// HomeOf returns the number of the cell to which the job with the given id belongs if it is
// stored.
func (p Plan) HomeOf(id string) int {
	if p.byRemainder {
		return remainder(id, len(p.Cells))
	}
	return p.prefer(id, p.all())[0]
}

// cellsAtHome is the number of cells of a data centre that are asked to run a job before one
// of another data centre.
const cellsAtHome = 2

// Preferred returns the numbers of all cells in the order in which they are asked to run a
// job that is not stored, submitted in a data centre: up to cellsAtHome of the data centre
// first, then one elsewhere, then the others of the data centre, then the others elsewhere.
// The order within each group depends on the id.
func (p Plan) Preferred(id, zone string) []int {
	local := p.InZone(zone)
	others := slices.DeleteFunc(p.all(), func(n int) bool { return slices.Contains(local, n) })
	if p.byRemainder {
		first := p.HomeOf(id)
		return append([]int{first}, p.prefer(id, slices.DeleteFunc(local, func(n int) bool { return n == first }))...)
	}
	local, others = p.prefer(id, local), p.prefer(id, others)
	if len(local) <= cellsAtHome || len(others) == 0 {
		return append(local, others...)
	}
	return slices.Concat(local[:cellsAtHome], others[:1], local[cellsAtHome:], others[1:])
}

func (p Plan) all() []int {
	numbers := make([]int, len(p.Cells))
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// prefer sorts the numbers of cells by rendezvous hashing, so that a cell which is added
// changes the order of the others for no id. It returns numbers.
func (p Plan) prefer(id string, numbers []int) []int {
	if len(numbers) < 2 {
		return numbers
	}
	weights := make(map[int]float64, len(numbers))
	for _, n := range numbers {
		weights[n] = standby.Uniform(id, p.Cells[n].Name)
	}
	slices.SortFunc(numbers, func(a, b int) int {
		if weights[a] > weights[b] {
			return -1
		}
		return 1
	})
	return numbers
}

// remainder returns a number from 0 to n-1 that depends on the hash of id.
func remainder(id string, n int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	sum := h.Sum64()
	return int((sum ^ sum>>32) % uint64(n))
}

// CellName returns the name of the cell with the given number.
func CellName(cell int) string {
	return "c" + strconv.Itoa(cell)
}
