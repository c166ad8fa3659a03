package proxy

import (
	"context"

	"github.com/juju/errors"

	"gypsumward/core/api"
	"gypsumward/core/cell"
	"gypsumward/core/eventloop"
	"gypsumward/core/peer"
)

// answersReply is the reply to a question of another cell.
type answersReply struct {
	Answer cell.Answer `json:"answer"`
	OK     bool        `json:"ok,omitempty"`
}

// takeReply is the reply to a job that another cell has passed on.
type takeReply struct {
	Stored bool `json:"stored,omitempty"`
}

// endsReport tells the home of jobs that they have ended in another cell.
type endsReport struct {
	From string          `json:"from"`
	Ends []cell.MovedEnd `json:"ends"`
}

// endsReply names the jobs whose ends the home has stored.
type endsReply struct {
	Noted []string `json:"noted,omitempty"`
}

// registerNeighbourMethods registers the methods that the holders of other cells call.
func (p *Proxy) registerNeighbourMethods(s *peer.Server) {
	peer.Handle(s, p.method(methodAnswers), func(ctx context.Context, q cell.Query) (answersReply, error) {
		l, err := p.localLoop()
		if err != nil {
			return answersReply{}, err
		}
		a, ok, err := l.Answers(ctx, q)
		return answersReply{a, ok}, toFault(err)
	})
	peer.Handle(s, p.method(methodTake), func(ctx context.Context, m cell.MovedJob) (takeReply, error) {
		if err := m.Job.Validate(); err != nil {
			return takeReply{}, &peer.Fault{Ran: api.RanNot, Text: err.Error()}
		}
		l, err := p.localLoop()
		if err != nil {
			return takeReply{}, err
		}
		stored, err := l.Take(ctx, m)
		return takeReply{stored}, toFault(err)
	})
	peer.Handle(s, p.method(methodEnds), func(ctx context.Context, r endsReport) (endsReply, error) {
		l, err := p.localLoop()
		if err != nil {
			return endsReply{}, err
		}
		noted, err := l.NoteEnds(ctx, r.From, r.Ends)
		return endsReply{noted}, toFault(err)
	})
}

// errNoAnswer is returned when the holder does not answer a question now.
const errNoAnswer = errors.ConstError("the holder does not answer")

// Answers asks the holder whether it can run a job.
func (p *Proxy) Answers(ctx context.Context, q cell.Query) (cell.Answer, error) {
	var v answersReply
	_, err := p.callHolder(ctx, methodAnswers, q, &v, func(ctx context.Context, l *eventloop.Loop) error {
		var err error
		v.Answer, v.OK, err = l.Answers(ctx, q)
		return err
	})
	if err == nil && !v.OK {
		err = errNoAnswer
	}
	return v.Answer, err
}

// Take passes a job of another cell to the holder. It reports whether it is certainly stored there.
func (p *Proxy) Take(ctx context.Context, m cell.MovedJob) bool {
	var v takeReply
	_, err := p.callHolder(ctx, methodTake, m, &v, func(ctx context.Context, l *eventloop.Loop) error {
		var err error
		v.Stored, err = l.Take(ctx, m)
		return err
	})
	return err == nil && v.Stored
}

// NoteEnds tells the holder of ends of its jobs in the cell from. It returns the ids of those whose ends
// are stored.
func (p *Proxy) NoteEnds(ctx context.Context, from string, ends []cell.MovedEnd) []string {
	var v endsReply
	_, err := p.callHolder(ctx, methodEnds, endsReport{from, ends}, &v, func(ctx context.Context, l *eventloop.Loop) error {
		var err error
		v.Noted, err = l.NoteEnds(ctx, from, ends)
		return err
	})
	if err != nil {
		return nil
	}
	return v.Noted
}
