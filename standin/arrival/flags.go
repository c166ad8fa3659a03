package arrival

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Rate is the arrival rate of a team.
type Rate struct {
	Team      string
	PerSecond float64 // arrivals per second
}

// Rates is a list of rates. It implements flag.Value: each use of the flag adds
// one rate in the form crew=20/s.
type Rates []Rate

// String returns the rates in the form that Set parses, separated by spaces.
func (r *Rates) String() string {
	parts := make([]string, len(*r))
	for i, rate := range *r {
		parts[i] = fmt.Sprintf("%s=%v/s", rate.Team, rate.PerSecond)
	}
	return strings.Join(parts, " ")
}

// Set adds one rate, given in the form crew=20/s. A negative rate or an empty
// team is an error.
func (r *Rates) Set(text string) error {
	team, value, ok := strings.Cut(text, "=")
	value, per := strings.CutSuffix(value, "/s")
	rate, err := strconv.ParseFloat(value, 64)
	if !ok || !per || err != nil || rate < 0 || team == "" {
		return errors.NotValidf("rate %q, want team=20/s:", text)
	}
	*r = append(*r, Rate{Team: team, PerSecond: rate})
	return nil
}

// ForTeam returns the rate of a team per second, or zero if it has none.
func (r Rates) ForTeam(team string) float64 {
	for _, rate := range r {
		if rate.Team == team {
			return rate.PerSecond
		}
	}
	return 0
}

// Flood is additional load of one team for a limited time. It implements
// flag.Value in the form team,urgency,factor,from,for, as in crew,0,10,5s,10s.
// The zero value is no flood.
type Flood struct {
	Team    string
	Urgency int
	Factor  float64       // additional rate as a multiple of the team's rate of requests
	Start   time.Duration // since the start of the load
	Length  time.Duration
}

// String returns the flood in the form that Set parses, or an empty string if
// there is none.
func (f *Flood) String() string {
	if f.Team == "" {
		return ""
	}
	return fmt.Sprintf("%s,%d,%v,%s,%s", f.Team, f.Urgency, f.Factor, f.Start, f.Length)
}

// Set parses a flood. An empty team or a field of the wrong type is an error.
func (f *Flood) Set(text string) error {
	parts := strings.Split(text, ",")
	if len(parts) != 5 || parts[0] == "" {
		return errors.NotValidf("flood %q, want team,urgency,factor,from,for:", text)
	}
	urgency, err1 := strconv.Atoi(parts[1])
	factor, err2 := strconv.ParseFloat(parts[2], 64)
	start, err3 := time.ParseDuration(parts[3])
	duration, err4 := time.ParseDuration(parts[4])
	for _, err := range []error{err1, err2, err3, err4} {
		if err != nil {
			return errors.Annotatef(err, "flood %q", text)
		}
	}
	*f = Flood{Team: parts[0], Urgency: urgency, Factor: factor, Start: start, Length: duration}
	return nil
}
