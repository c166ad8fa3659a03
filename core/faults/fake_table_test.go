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
	errKilled   = errors.New("the instance was killed")
)

// platform is a fake of the table service and the object store that can show
// faults.
type platform struct {
	mutex       sync.Mutex
	rows        map[string]table.Row
	objects     map[string][]byte
	version     int64
	writes      int
	down        bool          // calls get no response
	delay       time.Duration // added to each call
	lostReplies int           // number of further writes that take effect and get no response
	hook        func(what, key string)
}

func newPlatform() *platform {
	return &platform{rows: make(map[string]table.Row), objects: make(map[string][]byte)}
}

// awaitResponse waits for the delay of a call. It returns an error if ctx ends
// first, as it does while the platform is down.
func (p *platform) awaitResponse(ctx context.Context) error {
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

// write executes a transaction. Unless the platform is down, the transaction takes
// effect even if ctx ends meanwhile.
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
	lost := written.Committed && p.lostReplies > 0
	if lost {
		p.lostReplies--
	}
	hook := p.hook
	p.mutex.Unlock()
	if hook != nil && written.Committed {
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

// apply executes a transaction on the rows. The caller holds mutex.
func (p *platform) apply(w table.Write) table.Written {
	var conflict []table.Row
	for _, op := range w.Ops {
		if row := p.row(op.Key); op.IfVersion != table.AnyVersion && op.IfVersion != row.Version {
			conflict = append(conflict, row)
		}
	}
	if len(conflict) > 0 {
		return table.Written{Conflicts: conflict}
	}
	p.version++
	p.writes++
	for _, op := range w.Ops {
		if op.CheckOnly {
			continue
		}
		if op.Delete {
			delete(p.rows, op.Key)
			continue
		}
		p.rows[op.Key] = table.Row{Key: op.Key, Version: p.version, Value: op.Value}
	}
	return table.Written{Committed: true, Version: p.version}
}

// row returns the row of key, with version zero if there is none. The caller holds
// mutex.
func (p *platform) row(key string) table.Row {
	if r, ok := p.rows[key]; ok {
		return r
	}
	return table.Row{Key: key}
}

func (p *platform) read(ctx context.Context, r table.Read) (table.Found, error) {
	if err := p.awaitResponse(ctx); err != nil {
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
	if err := p.awaitResponse(ctx); err != nil {
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

// update calls change with the mutex held.
func (p *platform) update(change func(p *platform)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	change(p)
}

// platformClient gives one instance access to the platform. Its calls depend on the
// state and the links of the instance.
type platformClient struct {
	*platform
	state *instanceState
}

func (p platformClient) Write(ctx context.Context, w table.Write) (table.Written, error) {
	if err := p.state.awaitSend(ctx, linkPlatform); err != nil {
		return table.Written{}, err
	}
	got, err := p.write(ctx, w)
	return got, p.state.awaitReceive(ctx, linkPlatform, err)
}

func (p platformClient) Read(ctx context.Context, r table.Read) (table.Found, error) {
	if err := p.state.awaitSend(ctx, linkPlatform); err != nil {
		return table.Found{}, err
	}
	got, err := p.read(ctx, r)
	return got, p.state.awaitReceive(ctx, linkPlatform, err)
}

func (p platformClient) Scan(ctx context.Context, s table.Scan) (table.Found, error) {
	if err := p.state.awaitSend(ctx, linkPlatform); err != nil {
		return table.Found{}, err
	}
	got, err := p.scan(ctx, s)
	return got, p.state.awaitReceive(ctx, linkPlatform, err)
}

func (p platformClient) Put(ctx context.Context, key string, value []byte) error {
	if err := p.state.awaitSend(ctx, linkPlatform); err != nil {
		return err
	}
	if err := p.awaitResponse(ctx); err != nil {
		return err
	}
	p.update(func(p *platform) { p.objects[key] = value })
	return p.state.awaitReceive(ctx, linkPlatform, nil)
}

func (p platformClient) Get(ctx context.Context, key string) ([]byte, bool, error) {
	if err := p.state.awaitSend(ctx, linkPlatform); err != nil {
		return nil, false, err
	}
	if err := p.awaitResponse(ctx); err != nil {
		return nil, false, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	value, ok := p.objects[key]
	return value, ok, nil
}

// link is a network link of an instance.
type link int

const (
	linkPlatform link = iota
	linkPeers
	linkTargets
)

// instanceState says whether an instance runs, is frozen or was killed, and which of
// its links are cut.
type instanceState struct {
	mutex    sync.Mutex
	killed   chan struct{}
	frozen   chan struct{} // closed on thaw; nil while running
	cutLinks map[link]bool
}

func newInstanceState() *instanceState {
	return &instanceState{killed: make(chan struct{}), cutLinks: make(map[link]bool)}
}

// awaitSend waits until the instance can send a call over l.
func (s *instanceState) awaitSend(ctx context.Context, l link) error {
	if err := s.awaitThaw(ctx); err != nil {
		return err
	}
	return s.checkLink(ctx, l, nil)
}

// awaitReceive waits until the instance can receive a response over l. It returns
// err if the response arrives.
func (s *instanceState) awaitReceive(ctx context.Context, l link, err error) error {
	if stateErr := s.awaitThaw(context.Background()); stateErr != nil {
		return stateErr
	}
	return s.checkLink(ctx, l, err)
}

// checkLink returns err if l works. If l is cut, it waits for the end of ctx and
// returns errNoAnswer.
func (s *instanceState) checkLink(ctx context.Context, l link, err error) error {
	s.mutex.Lock()
	cut := s.cutLinks[l]
	s.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return errNoAnswer
	}
	return err
}

// awaitThaw waits until the instance is not frozen. It returns errKilled if the
// instance was killed, else the error of ctx.
func (s *instanceState) awaitThaw(ctx context.Context) error {
	s.mutex.Lock()
	frozen := s.frozen
	s.mutex.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-s.killed:
		}
	}
	select {
	case <-s.killed:
		return errKilled
	default:
		return ctx.Err()
	}
}

// freeze stops all calls and responses of the instance for the given time.
func (s *instanceState) freeze(d time.Duration) {
	thaw := make(chan struct{})
	s.mutex.Lock()
	s.frozen = thaw
	s.mutex.Unlock()
	time.AfterFunc(d, func() {
		s.mutex.Lock()
		s.frozen = nil
		s.mutex.Unlock()
		close(thaw)
	})
}

// cutLink cuts a link for the given time.
func (s *instanceState) cutLink(l link, d time.Duration) {
	s.mutex.Lock()
	s.cutLinks[l] = true
	s.mutex.Unlock()
	time.AfterFunc(d, func() {
		s.mutex.Lock()
		delete(s.cutLinks, l)
		s.mutex.Unlock()
	})
}
