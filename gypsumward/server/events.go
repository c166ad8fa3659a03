package server

import (
	nethttp "net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kratos/kratos/v2/transport/http"

	"gypsumward/core/event"
)

// Events stores and finds events of the time line; see package event.
type Events interface {
	Find(f event.Filter) []event.Event
	Add(e event.Event)
}

// EventList is the body of GET /v1/events.
type EventList struct {
	Events []event.Event `json:"events"`
}

// events serves the events that match the query. Its parameters are job=TEAM/ID,
// request=TEAM/ID, runner, worker, team and last, which is a duration with a unit.
// Events of teams that the key of the call may not see are left out.
func (s *Server) events(c http.Context) error {
	q := c.Query()
	f := event.Filter{Team: q.Get("team"), Target: q.Get("runner") + q.Get("worker")}
	if team, id, ok := strings.Cut(q.Get("job"), "/"); ok {
		f.Team, f.Job = team, id
	}
	if team, id, ok := strings.Cut(q.Get("request"), "/"); ok {
		f.Team, f.Request = team, id
	}
	if text := q.Get("last"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return write(c, nil, invalid("last must be a time with a unit such as 30s"))
		}
		f.Since = time.Now().Add(-d)
	}
	list := EventList{Events: s.Events.Find(f)}
	if s.Access != nil {
		list.Events = slices.DeleteFunc(list.Events, func(e event.Event) bool {
			return !s.Access.Sees(c.Request().Context(), e.Team)
		})
	}
	if list.Events == nil {
		list.Events = []event.Event{}
	}
	return c.JSON(nethttp.StatusOK, list)
}
