package place

// rackSpread counts the tasks of each job by rack, so that the loss of a rack
// affects few tasks of one job.
type rackSpread struct {
	racks  map[string]int // numbers of the racks
	jobs   map[string]*rackCounts
	unused []*rackCounts // counts of ended jobs, kept for reuse
}

// rackCounts holds the number of tasks of one job by rack and in total.
type rackCounts struct {
	racks []int32
	total int32
}

func newSpread() rackSpread {
	return rackSpread{racks: make(map[string]int), jobs: make(map[string]*rackCounts)}
}

// rack returns the number of a rack and assigns one to a new rack.
func (s *rackSpread) rack(name string) int {
	n, ok := s.racks[name]
	if !ok {
		n = len(s.racks)
		s.racks[name] = n
	}
	return n
}

// fraction returns the fraction of a job's tasks that are in a rack. It is zero
// for a nil receiver, so that tasks without a job are not spread.
func (c *rackCounts) fraction(rack int) float64 {
	if c == nil || c.total == 0 || rack >= len(c.racks) {
		return 0
	}
	return float64(c.racks[rack]) / float64(c.total)
}

// add counts a task of a job. It has no effect for a task without a job.
func (s *rackSpread) add(job string, rack int) {
	if job == "" {
		return
	}
	c := s.jobs[job]
	if c == nil {
		if n := len(s.unused); n > 0 {
			c = s.unused[n-1]
			s.unused = s.unused[:n-1]
		} else {
			c = &rackCounts{}
		}
		s.jobs[job] = c
	}
	for rack >= len(c.racks) {
		c.racks = append(c.racks, 0)
	}
	c.racks[rack]++
	c.total++
}

// remove uncounts a task of a job. It has no effect if the job has none in the
// rack.
func (s *rackSpread) remove(job string, rack int) {
	c := s.jobs[job]
	if c == nil || rack >= len(c.racks) || c.racks[rack] == 0 {
		return
	}
	c.racks[rack]--
	c.total--
	if c.total == 0 {
		delete(s.jobs, job)
		s.unused = append(s.unused, c)
	}
}
