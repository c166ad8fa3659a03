package faults_test

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"gypsumward/core/table"
)

var (
	errNoAnswer = errors.New("no answer")
	errDead     = errors.New("the instance is gone")
)

// platform is the table service and object store, with its faults.
type platform struct {
	mutex   sync.Mutex
	rows    map[string]table.Row
	objects map[string][]byte
	version int64
	writes  int
	down    bool          // nothing is answered
	delay   time.Duration // of each call
	lose    int           // answers of writes to lose after the effect
	hook    func(what, key string)
}

func newPlatform() *platform {
	return &platform{rows: make(map[string]table.Row), objects: make(map[string][]byte)}
}

// enter waits for the delay of a call and tells whether the platform answers.
func (p *platform) enter(ctx context.Context) error {
	p.mutex.Lock()
	delay, down := p.delay, p.down
	p.mutex.Unlock()
	if down {
		delay = time.Hour
	}
	select {
	case <-time.After(delay + time.Millisecond):
		return nil
	case <-ctx.Done():
		return errNoAnswer
	}
}

// write carries out a transaction. Once it is on its way it takes effect, also if
// its caller is gone by then.
func (p *platform) write(ctx context.Context, w table.Write) (table.Written, error) {
	p.mutex.Lock()
	delay, down := p.delay, p.down
	p.mutex.Unlock()
	if down {
		<-ctx.Done()
		return table.Written{}, errNoAnswer
	}
	time.Sleep(delay + time.Millisecond)
	p.mutex.Lock()
	written := p.apply(w)
	lost := written.Done && p.lose > 0
	if lost {
		p.lose--
	}
	hook := p.hook
	p.mutex.Unlock()
	if hook != nil && written.Done {
		for _, op := range w.Ops {
			hook("applied", op.Key)
		}
	}
	if lost {
		<-ctx.Done()
		return table.Written{}, errNoAnswer
	}
	return written, nil
}

func (p *platform) apply(w table.Write) table.Written {
	var conflict []table.Row
	for _, op := range w.Ops {
		if row := p.row(op.Key); op.If != table.Any && op.If != row.Version {
			conflict = append(conflict, row)
		}
	}
	if len(conflict) > 0 {
		return table.Written{Conflict: conflict}
	}
	p.version++
	p.writes++
	for _, op := range w.Ops {
		if op.Check {
			continue
		}
		if op.Delete {
			delete(p.rows, op.Key)
			continue
		}
		p.rows[op.Key] = table.Row{Key: op.Key, Version: p.version, Value: op.Value}
	}
	return table.Written{Done: true, Version: p.version}
}

func (p *platform) row(key string) table.Row {
	if r, ok := p.rows[key]; ok {
		return r
	}
	return table.Row{Key: key}
}

func (p *platform) read(ctx context.Context, r table.Read) (table.Found, error) {
	if err := p.enter(ctx); err != nil {
		return table.Found{}, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found table.Found
	for _, key := range r.Keys {
		found.Rows = append(found.Rows, p.row(key))
	}
	return found, nil
}

func (p *platform) scan(ctx context.Context, s table.Scan) (table.Found, error) {
	if err := p.enter(ctx); err != nil {
		return table.Found{}, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var found table.Found
	for key, row := range p.rows {
		if strings.HasPrefix(key, s.Prefix) && key > s.After {
			found.Rows = append(found.Rows, row)
		}
	}
	sort.Slice(found.Rows, func(i, j int) bool { return found.Rows[i].Key < found.Rows[j].Key })
	found.Rows = found.Rows[:min(len(found.Rows), s.Limit)]
	return found, nil
}

func (p *platform) set(change func(p *platform)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(p)
}

// port is one instance's way to the platform: it may be cut, and it ends with
// the instance.
type port struct {
	*platform
	life *life
}

func (p port) Write(ctx context.Context, w table.Write) (table.Written, error) {
	if err := p.life.leave(ctx, toPlatform); err != nil {
		return table.Written{}, err
	}
	got, err := p.write(ctx, w)
	return got, p.life.back(ctx, toPlatform, err)
}

func (p port) Read(ctx context.Context, r table.Read) (table.Found, error) {
	if err := p.life.leave(ctx, toPlatform); err != nil {
		return table.Found{}, err
	}
	got, err := p.read(ctx, r)
	return got, p.life.back(ctx, toPlatform, err)
}

func (p port) Scan(ctx context.Context, s table.Scan) (table.Found, error) {
	if err := p.life.leave(ctx, toPlatform); err != nil {
		return table.Found{}, err
	}
	got, err := p.scan(ctx, s)
	return got, p.life.back(ctx, toPlatform, err)
}

func (p port) Put(ctx context.Context, key string, value []byte) error {
	if err := p.life.leave(ctx, toPlatform); err != nil {
		return err
	}
	if err := p.enter(ctx); err != nil {
		return err
	}
	p.set(func(p *platform) { p.objects[key] = value })
	return p.life.back(ctx, toPlatform, nil)
}

func (p port) Get(ctx context.Context, key string) ([]byte, bool, error) {
	if err := p.life.leave(ctx, toPlatform); err != nil {
		return nil, false, err
	}
	if err := p.enter(ctx); err != nil {
		return nil, false, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	value, ok := p.objects[key]
	return value, ok, nil
}

// way is a kind of link of an instance.
type way int

const (
	toPlatform way = iota
	toPeers
	toTargets
)

// life is whether an instance runs, and which of its links are cut.
type life struct {
	mutex  sync.Mutex
	dead   chan struct{}
	frozen chan struct{} // closed on thaw; nil while running
	cut    map[way]bool
}

func newLife() *life {
	return &life{dead: make(chan struct{}), cut: make(map[way]bool)}
}

// leave waits until a call may leave the instance.
func (l *life) leave(ctx context.Context, w way) error {
	if err := l.thawed(ctx); err != nil {
		return err
	}
	return l.pass(ctx, w, nil)
}

// back waits until an answer may be seen by the instance.
func (l *life) back(ctx context.Context, w way, err error) error {
	if thawed := l.thawed(context.Background()); thawed != nil {
		return thawed
	}
	return l.pass(ctx, w, err)
}

// pass returns err, or waits for the end of ctx while the link is cut.
func (l *life) pass(ctx context.Context, w way, err error) error {
	l.mutex.Lock()
	cut := l.cut[w]
	l.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return errNoAnswer
	}
	return err
}

func (l *life) thawed(ctx context.Context) error {
	l.mutex.Lock()
	frozen := l.frozen
	l.mutex.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-l.dead:
		}
	}
	select {
	case <-l.dead:
		return errDead
	default:
		return ctx.Err()
	}
}

func (l *life) freeze(d time.Duration) {
	thaw := make(chan struct{})
	l.mutex.Lock()
	l.frozen = thaw
	l.mutex.Unlock()
	time.AfterFunc(d, func() {
		l.mutex.Lock()
		l.frozen = nil
		l.mutex.Unlock()
		close(thaw)
	})
}

func (l *life) sever(w way, d time.Duration) {
	l.mutex.Lock()
	l.cut[w] = true
	l.mutex.Unlock()
	time.AfterFunc(d, func() {
		l.mutex.Lock()
		delete(l.cut, w)
		l.mutex.Unlock()
	})
}
