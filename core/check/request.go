package check

import "gypsumward/core/api"

// Request returns nil if q is within the limits of package api, and sets the
// default of its deadline. A request that is not repeatable needs an id, since
// otherwise a resubmission could not be distinguished from a new request. A
// request that is refused is left unchanged.
func Request(q *api.Request) *api.Refusal {
	if r := checkIDs(q.Team, "team", q.Kind, "kind"); r != nil {
		return r
	}
	if q.ID == "" && !q.Repeatable {
		return refusal("id: missing; a request that is not repeatable needs one")
	}
	if q.ID != "" {
		if r := ID("id", q.ID); r != nil {
			return r
		}
	}
	if r := checkUrgencyAndDeadline(q.Urgency, q.Deadline); r != nil {
		return r
	}
	if r := checkInputSize(len(q.Input)); r != nil {
		return r
	}
	if q.Deadline == 0 {
		q.Deadline = api.DefaultDeadline
	}
	return nil
}
