package fault

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Name identifies a kind of fault.
type Name string

// The faults.
const (
	Down     Name = "down"     // connections are reset
	Slow     Name = "slow"     // each call is delayed by Value, such as 200ms, before it is handled
	Lost     Name = "lost"     // calls take effect, but the connection is reset instead of a response
	Hang     Name = "hang"     // calls are accepted, have no effect and get no response
	Freeze   Name = "freeze"   // calls are held until the fault is switched off, then take effect
	Truncate Name = "truncate" // the connection breaks in the middle of the response body
	Mixup    Name = "mixup"    // responses of runners and workers carry a wrong id
	Leaving  Name = "leaving"  // the target reports that it is leaving and accepts no new work
	Failing  Name = "failing"  // everything that is started fails at once
	Failkind Name = "failkind" // everything of the kind Value fails at once
)

// knownNames holds the names that Switch accepts.
var knownNames = map[Name]bool{
	Down: true, Slow: true, Lost: true, Hang: true, Freeze: true,
	Truncate: true, Mixup: true, Leaving: true, Failing: true, Failkind: true,
}

// Fault is the state of one fault.
type Fault struct {
	Name Name `json:"name"`
	On   bool `json:"on"`
	// Value is a duration for Slow and a kind of work for Failkind. For Down, Lost
	// and Truncate it may be a number of calls, after which the fault ends; empty
	// means no limit.
	Value string `json:"value,omitempty"`
	// Path restricts the fault to calls of one path; empty means all paths.
	Path string `json:"path,omitempty"`
}

// List lists the faults that are on.
type List struct {
	Faults []Fault `json:"faults"`
}

// Set holds the faults of one stand-in. The zero value has all faults off. A Set
// is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	active map[Name]*activeFault
}

// activeFault is a fault that is on.
type activeFault struct {
	Fault
	callsLeft int           // calls left, or zero for no limit
	delay     time.Duration // delay of Slow
	ended     chan struct{} // closed when the fault ends
}

// Switch turns one fault on or off. Turning on a fault that is on replaces it.
// Switch returns an error, and changes nothing, if the name is unknown or the
// value is invalid for the fault.
func (s *Set) Switch(f Fault) error {
	if !knownNames[f.Name] {
		return errors.NotValidf("fault %q", f.Name)
	}
	replacement := &activeFault{Fault: f, ended: make(chan struct{})}
	if err := replacement.parse(); err != nil {
		return errors.Trace(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnOff(f.Name)
	if f.On {
		if s.active == nil {
			s.active = make(map[Name]*activeFault)
		}
		s.active[f.Name] = replacement
	}
	return nil
}

// parse parses the value of the fault.
func (s *activeFault) parse() error {
	if !s.On {
		return nil
	}
	var err error
	switch s.Name {
	case Slow:
		s.delay, err = time.ParseDuration(s.Value)
	case Failkind:
		if s.Value == "" {
			err = errors.NotValidf("failkind without a kind")
		}
	case Down, Lost, Truncate:
		if s.Value != "" {
			s.callsLeft, err = strconv.Atoi(s.Value)
		}
	default: // the others have no value
	}
	return errors.Annotatef(err, "value of %s", s.Name)
}

// turnOff ends a fault if it is on. The caller holds the mutex.
func (s *Set) turnOff(name Name) {
	if previous := s.active[name]; previous != nil {
		close(previous.ended)
		delete(s.active, name)
	}
}

// List returns the faults that are on, in the order of their names.
func (s *Set) List() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := List{Faults: []Fault{}}
	for _, f := range s.active {
		list.Faults = append(list.Faults, f.Fault)
	}
	sort.Slice(list.Faults, func(i, j int) bool {
		return list.Faults[i].Name < list.Faults[j].Name
	})
	return list
}

// IsOn reports whether the fault is on.
func (s *Set) IsOn(name Name) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[name] != nil
}

// ShouldFail reports whether work of the kind has to fail at once.
func (s *Set) ShouldFail(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.active[Failkind]
	return s.active[Failing] != nil || f != nil && f.Value == kind
}

// consume returns the named fault if it is on and applies to calls of path, and
// nil otherwise. It counts the call against the limit of the fault and ends the
// fault when the limit is reached.
func (s *Set) consume(name Name, path string) *activeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.active[name]
	if f == nil || f.Path != "" && f.Path != path {
		return nil
	}
	if f.callsLeft > 0 {
		f.callsLeft--
		if f.callsLeft == 0 {
			s.turnOff(name)
		}
	}
	return f
}
