package kind

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"gypsumward/core/span"
)

const (
	defaultRunTime = 100 * time.Millisecond // nominal run time of an unknown kind
	maxDeviation   = 0.2                    // largest deviation from the nominal run time, as a fraction of it
)

// Input is the part of the input of work that sets its actual run time, resource
// use and result.
type Input struct {
	Run    span.Span `json:"run"`    // run time at speed 1; zero means that of the kind
	Fail   bool      `json:"fail"`   // whether the work runs and then fails
	Cores  float64   `json:"cores"`  // cores in use; zero means as declared
	Memory int64     `json:"memory"` // bytes in use; zero means as declared
}

// ParseInput parses an input. It returns the zero Input if data is not a JSON
// object of that form.
func ParseInput(data json.RawMessage) Input {
	var in Input
	if json.Unmarshal(data, &in) != nil {
		return Input{}
	}
	return in
}

// Output is the output of work. It echoes the input so that callers can check
// that an answer belongs to their request.
type Output struct {
	Kind string          `json:"kind"`
	Echo json.RawMessage `json:"echo"`
}

// NewOutput returns the Output of successful work of the named kind as JSON. An
// empty input is echoed as null; if the input is not valid JSON, the whole output
// is null.
func NewOutput(name string, input json.RawMessage) json.RawMessage {
	if len(input) == 0 {
		input = json.RawMessage("null")
	}
	out, err := json.Marshal(Output{Kind: name, Echo: input})
	if err != nil {
		return json.RawMessage("null")
	}
	return out
}

// Times holds nominal run times by kind. It implements flag.Value: each use of
// the flag sets the time of one kind in the form price=80ms. Create it with New.
type Times struct {
	Seed  uint64  // seed of the deviations
	Speed float64 // speed of the target; zero means 1

	kinds map[string]time.Duration
}

// New returns the run times of the kinds that are in use, at speed 1.
func New() *Times {
	return &Times{Speed: 1, kinds: map[string]time.Duration{
		"clearance": 60 * time.Millisecond,
		"price":     80 * time.Millisecond,
		"slot":      120 * time.Millisecond,
		"edition":   50 * time.Millisecond,
		"quote":     200 * time.Millisecond,
		"stamp":     150 * time.Millisecond,
		"validate":  250 * time.Millisecond,
		"compute":   600 * time.Millisecond,
		"confirm":   time.Second,
	}}
}

// String lists the kinds and their times, sorted and separated by spaces.
func (t *Times) String() string {
	parts := make([]string, 0, len(t.kinds))
	for name, d := range t.kinds {
		parts = append(parts, fmt.Sprintf("%s=%s", name, d))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}

// Set sets the time of one kind, given in the form price=80ms.
func (t *Times) Set(text string) error {
	name, value, ok := strings.Cut(text, "=")
	d, err := time.ParseDuration(value)
	if !ok || err != nil || d < 0 {
		return errors.NotValidf("kind %q, want name=80ms:", text)
	}
	t.kinds[name] = d
	return nil
}

// RunTime returns the run time of the work with the given kind, id and input.
func (t *Times) RunTime(name, id string, in Input) time.Duration {
	d := in.Run.Duration()
	if d <= 0 {
		d = defaultRunTime
		if known, ok := t.kinds[name]; ok {
			d = known
		}
		deviation := float64(xxhash.Sum64String(fmt.Sprint(t.Seed, id))%1000)/500 - 1
		d += time.Duration(float64(d) * maxDeviation * deviation)
	}
	if t.Speed > 0 {
		d = time.Duration(float64(d) / t.Speed)
	}
	return d
}
