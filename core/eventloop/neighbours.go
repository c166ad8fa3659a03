package eventloop

import (
	"context"
	"time"

	"gypsumward/core/cell"
)

// Neighbours reaches the other cells.
type Neighbours interface {
	// Search returns the answers of the other cells to a question, of those that answer in time.
	Search(ctx context.Context, q cell.Query) []cell.Answer
	// Move passes a job to a cell. It reports whether that cell has certainly stored it.
	Move(ctx context.Context, to string, m cell.MovedJob) bool
	// ReportEnds tells a cell of ends of its jobs. It returns the ids of those that it has noted.
	ReportEnds(ctx context.Context, to string, ends []cell.MovedEnd) []string
}

// Timeouts of calls to other cells.
const (
	searchTimeout = 200 * time.Millisecond
	moveTimeout   = time.Second
)

// neighbourSender reaches the other cells, each time in a goroutine of its own.
type neighbourSender struct {
	l          *Loop
	neighbours Neighbours
}

// SetNeighbours sets what reaches the other cells. It must be called before Run.
func (l *Loop) SetNeighbours(n Neighbours) { l.cell.Neighbours = neighbourSender{l, n} }

func (s neighbourSender) Search(q cell.Query) {
	s.l.callAsync(searchTimeout, func(ctx context.Context) cell.Message {
		return cell.SearchReply{Query: q, Answers: s.neighbours.Search(ctx, q)}
	})
}

func (s neighbourSender) Move(to string, m cell.MovedJob) {
	s.l.callAsync(moveTimeout, func(ctx context.Context) cell.Message {
		return cell.MoveReply{To: to, ID: m.Job.ID, Number: m.Place.Number, Stored: s.neighbours.Move(ctx, to, m)}
	})
}

func (s neighbourSender) ReportEnds(to string, ends []cell.MovedEnd) {
	s.l.callAsync(moveTimeout, func(ctx context.Context) cell.Message {
		return cell.EndsReply{Noted: s.neighbours.ReportEnds(ctx, to, ends)}
	})
}

// Answers answers a question of another cell. Ok is false if this one does not answer it now. Errors
// are those of Submit.
func (l *Loop) Answers(ctx context.Context, q cell.Query) (a cell.Answer, ok bool, err error) {
	m := queryMessage{query: q, reply: make(chan queryAnswer, 1)}
	v, err := request(ctx, l, m, m.reply)
	return v.answer, v.ok, err
}

type queryMessage struct {
	query cell.Query
	reply chan queryAnswer
}

type queryAnswer struct {
	answer cell.Answer
	ok     bool
}

func (m queryMessage) Apply(c *cell.Cell, now time.Time) {
	a, ok := c.Answers(now, m.query)
	m.reply <- queryAnswer{a, ok}
}

// Take takes a job that another cell has passed on. It reports whether the job is stored here. Errors
// are those of Submit.
func (l *Loop) Take(ctx context.Context, moved cell.MovedJob) (bool, error) {
	m := takeMessage{moved: moved, reply: make(chan bool, 1)}
	return request(ctx, l, m, m.reply)
}

type takeMessage struct {
	moved cell.MovedJob
	reply chan bool
}

func (m takeMessage) Apply(c *cell.Cell, now time.Time) {
	c.Take(now, m.moved, func(stored bool) { m.reply <- stored })
}

// NoteEnds takes note of ends, in another cell, of jobs that belong to this one. It returns the ids of
// those whose ends are stored here. Errors are those of Submit.
func (l *Loop) NoteEnds(ctx context.Context, from string, ends []cell.MovedEnd) ([]string, error) {
	m := noteMessage{from: from, ends: ends, reply: make(chan []string, 1)}
	return request(ctx, l, m, m.reply)
}

type noteMessage struct {
	from  string
	ends  []cell.MovedEnd
	reply chan []string
}

func (m noteMessage) Apply(c *cell.Cell, now time.Time) { m.reply <- c.NoteEnds(now, m.from, m.ends) }
