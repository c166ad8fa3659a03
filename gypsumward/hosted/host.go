package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"

	"gypsumward/core/cell"
	"gypsumward/core/election"
	"gypsumward/core/evacuation"
	"gypsumward/core/eventloop"
	"gypsumward/core/hlc"
	"gypsumward/core/intake"
	"gypsumward/core/logring"
	"gypsumward/core/lookup"
	"gypsumward/core/mirror"
	"gypsumward/core/monotonic"
	"gypsumward/core/notice"
	"gypsumward/core/peer"
	"gypsumward/core/roster"
	"gypsumward/core/route"
	"gypsumward/core/shard"
	"gypsumward/core/shutdown"
	"gypsumward/core/sockopt"
	"gypsumward/core/stall"
	"gypsumward/core/table"
	"gypsumward/gypsumward/reload"
	"gypsumward/platform"
)

// Times of a shutdown, measured from the signal.
const (
	handoverTimeout = 600 * time.Millisecond  // of calls for a handover, and of what follows a failed one
	drainTime       = 2500 * time.Millisecond // until clients have been directed to other instances
	killMargin      = 700 * time.Millisecond  // kept free of the time until the process is killed
	answerMargin    = 300 * time.Millisecond  // in which requests in progress are answered before that
)

// Limits and intervals.
const (
	runnerConns   = 8
	storeConns    = 8
	maxPeerCalls  = 1024 // in flight to one peer
	peerHeartbeat = 300 * time.Millisecond
	// minCallerTimeout is more than twice peerHeartbeat, so that one lost message is no loss of
	// the caller.
	minCallerTimeout = 700 * time.Millisecond
	probeTimeout     = 250 * time.Millisecond // of a connection attempt that checks whether an instance listens
	metricsPort      = "9464"
	noticeWait       = 2 * time.Second // time that the store waits for a change of the notices
	membersPlanning  = time.Second     // between two reads of the members while this instance makes a plan
)

// Host is one entry instance on the users' platform.
type Host struct {
	settings     *reload.Follower
	log          log.Logger
	ring         *logring.Ring
	metrics      *metrics
	clock        monotonic.Clock
	configs      route.Current
	evacuations  *evacuation.Zones
	self         election.Member
	plan         atomic.Pointer[shard.Plan]
	cells        atomic.Pointer[[]*participant] // by cell number; nil until the plan is known
	store        *platform.Store
	lookups      *lookup.Store // reads of rows that calls of clients cause
	runnerClient *platform.RunnerClient
	adviser      *platform.Adviser
	client       *peer.Client
	board        *notice.Board
	stalls       *stall.Detector
	roster       *roster.Roster
	readMembers  chan struct{} // requests an immediate read of the members
	wake         chan struct{} // makes supervise look at the cells
	unmatched    *unmatched
	draining     atomic.Bool
	endRequests  context.CancelFunc // ends the contexts of all requests of clients
	balanceAt    time.Time          // earliest time at which balance hands the next cell over
}

// New returns an instance with the given settings that logs to out. It does nothing
// before Run.
func New(s *platform.Settings, out io.Writer) *Host {
	h := &Host{settings: reload.New(s), ring: logring.New(out, 0), metrics: newMetrics()}
	h.log = log.With(log.NewLogfmtLogger(h.ring), "t", log.Valuer(func() any { return time.Now().UnixMilli() }))
	h.settings.Log, h.settings.Changed = h.log, h.applyBounds
	h.settings.Load = func() (*platform.Settings, error) { return platform.Load(os.Getenv(platform.SettingsPathEnv)) }
	h.store = &platform.Store{Client: platform.NewClient(storeConns), Addr: s.StoreAddr}
	h.lookups = &lookup.Store{Rows: h.store, OnRefused: func() { h.metrics.Count("lookups_refused", 1) }}
	h.runnerClient = &platform.RunnerClient{Client: platform.NewClient(runnerConns)}
	h.adviser = &platform.Adviser{Client: platform.NewClient(1), Addr: s.AdviserAddr}
	for _, c := range []*platform.Client{h.store.Client, h.runnerClient.Client, h.adviser.Client} {
		c.OnCall = h.metrics.CountCall
	}
	h.evacuations = &evacuation.Zones{Clock: h.clock, Log: h.log, Decode: platform.EvacuatedZone, Count: h.metrics.Count}
	h.registerEvacuations()
	now := time.Now()
	h.self = election.Member{
		Node: s.Node, Incarnation: fmt.Sprintf("%s@%d", s.Node, now.UnixNano()), Zone: s.Zone,
		Addr: fmt.Sprintf("%s:%d", s.IP, s.PeerPorts[0]), StartedAt: now.UnixMilli(), Cores: s.Cores,
	}
	h.client = &peer.Client{
		Clock: &hlc.Clock{}, MaxCalls: maxPeerCalls, PingInterval: peerHeartbeat, DialBackoff: 20 * time.Millisecond, Dial: dial,
		LongCall: intake.LongWait,
	}
	h.unmatched = &unmatched{log: h.log, metrics: h.metrics}
	h.stalls = &stall.Detector{Clock: h.clock, Log: h.log, Least: s.Retransmit / 2}
	h.wake, h.readMembers = make(chan struct{}, 1), make(chan struct{}, 1)
	h.board = &notice.Board{Store: h.store, Wait: noticeWait, Log: h.log, OnNotice: h.applyNotice, OnRead: h.readDone(noticeReads), OnError: h.readFailed(noticeReads)}
	h.roster = &roster.Roster{Store: h.store, Self: h.self, Clock: h.clock, Log: h.log, Interval: h.membersInterval, Refresh: h.readMembers, OnRead: h.readDone(memberReads), OnError: h.readFailed(memberReads)}
	return h
}

// bounds returns the bounds of a cell under the current settings.
func (h *Host) bounds() cell.Settings {
	s := h.settings.Current()
	return cell.Settings{
		Lease: s.Lease, StopGrace: s.StopGrace, EndRetention: s.StatusRetention + retentionSlack, ResubmitAfter: s.Retransmit, MaxRow: s.MaxRow,
		MaxJobMemory: cell.JobMemory(s.MemoryMB), MaxStarts: cell.StartLimit(s.MaxFDs), AwaitEvacuations: true, Interference: s.Interference,
	}
}

// applyBounds applies changed bounds to all cells that this instance holds.
func (h *Host) applyBounds() {
	h.eachLoop(func(_ *participant, l *eventloop.Loop) { l.ApplySettings(h.bounds()) })
}

// retentionSlack is the time for which the end of a job is reported beyond the promised
// time.
const retentionSlack = 30 * time.Second

// dial opens a connection to another instance.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: 300 * time.Millisecond, Control: sockopt.TCPUserTimeout(800 * time.Millisecond)}
	return d.DialContext(ctx, "tcp", addr)
}

// refusesConn reports whether the connection to addr is refused, that is, whether
// nothing listens there.
func refusesConn(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := dial(ctx, addr)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Run serves until ctx ends or the process receives SIGTERM or SIGINT. SIGHUP makes it
// reload the settings. Run returns an error if it cannot listen.
func (h *Host) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { h.ring.Run(ctx) })
	wg.Go(func() { h.stalls.Run(ctx) })
	settings := h.settings.Current()
	_ = h.log.Log("event", "start", "node", settings.Node, "zone", settings.Zone, "front", settings.FrontAddr,
		"life", h.self.Incarnation)
	servers, err := h.serve(ctx, &wg)
	if err != nil {
		return err
	}
	h.followRows(ctx, &wg)
	wg.Go(func() { h.joinCells(ctx, &wg) })
	wg.Go(func() { h.settings.Run(ctx) })
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				h.settings.Check(true)
				continue
			}
			h.shutDown(servers)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// serve starts the servers for clients, readiness probes and metrics.
func (h *Host) serve(ctx context.Context, wg *sync.WaitGroup) ([]*khttp.Server, error) {
	settings := h.settings.Current()
	ingress := &platform.Ingress{Jobs: jobService{h}, Configs: &h.configs, Draining: h.draining.Load, Delay: h.stalls.Delay, OnNoRoute: h.unmatched.record}
	bytes, conns := intake.LimitsOf(int64(settings.MemoryMB)<<20, settings.MaxFDs)
	ingressServer, err := h.newServer(ctx, "front", settings.FrontAddr, ingress, h.newGate("front", bytes, conns), h.requestLimits)
	if err != nil {
		return nil, err
	}
	readyServer, err := h.newServer(ctx, "ready", settings.ReadyAddr, http.HandlerFunc(h.serveReady), h.newGate("ready", probeBytes, probeConns), nil)
	if err != nil {
		return nil, err
	}
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", h.metrics.handler())
	metricsServer, err := h.newServer(ctx, "metrics", net.JoinHostPort(settings.IP, metricsPort), metrics, h.newGate("metrics", probeBytes, probeConns), nil)
	if err != nil {
		return nil, err
	}
	requests, end := context.WithCancel(context.WithoutCancel(ctx))
	h.endRequests = end
	servers := []*khttp.Server{ingressServer, readyServer, metricsServer}
	for _, s := range servers {
		wg.Go(func() { _ = s.Start(requests) })
	}
	return servers, nil
}

// joinCells agrees on the plan with the other instances and then takes part in all
// cells.
func (h *Host) joinCells(ctx context.Context, wg *sync.WaitGroup) {
	plan, ok := h.agreePlan(ctx, wg)
	if !ok {
		return
	}
	h.plan.Store(&plan)
	peers := &peer.Server{
		Addr: h.self.Addr, Clock: h.client.Clock, MaxCalls: maxPeerCalls, DrainTimeout: 100 * time.Millisecond, CallerTimeout: h.callerTimeout(),
		Gate: h.newPeerGate(), Delay: h.stalls.Delay, OnPanic: h.panicked, OnCall: h.countPeerCall, OnCallerLost: h.callerLost,
	}
	var participants []*participant
	for i := range plan.Cells {
		p := h.newParticipant(plan, i)
		p.proxy.RegisterMethods(peers)
		participants = append(participants, p)
	}
	_ = h.log.Log("event", "seats", "cells", len(plan.Cells))
	wg.Go(func() {
		if err := peers.Run(ctx); err != nil {
			_ = h.log.Log("event", "peers", "err", err)
		}
	})
	for _, p := range participants {
		wg.Go(func() { p.proxy.Run(ctx) })
	}
	h.cells.Store(&participants)
	wg.Go(func() { h.board.Run(ctx) })
	h.supervise(ctx)
}

// agreePlan returns the plan that all instances use, and makes one if there is none. Ok is
// false if ctx ends first.
func (h *Host) agreePlan(ctx context.Context, wg *sync.WaitGroup) (p shard.Plan, ok bool) {
	proposing, stop := context.WithCancel(ctx)
	defer stop()
	d := &directory{log: h.log}
	agreement := &shard.Agreement{
		Store: h.store, Node: h.self.Node, Clock: h.clock, Log: h.log, ProposeAfter: h.startDelay("plan"),
		Fleet: func() (shard.Fleet, int) {
			runners, reads := d.fleet()
			return shard.Fleet{Runners: runners, Instances: h.roster.CountByZone(), PerCell: runnersPerCell(h.settings.Current().LinkMbps)}, reads
		},
		OnPropose: func() {
			wg.Go(func() { h.pollRunners(proposing, "", "", d.apply) })
			h.requestMembers()
		},
	}
	return agreement.Run(ctx)
}

// requestMembers makes the roster read the members.
func (h *Host) requestMembers() {
	select {
	case h.readMembers <- struct{}{}:
	default:
	}
}

// callerTimeout returns the time without a message of another instance until the jobs of its
// callers are cancelled. It leaves time to stop them before the platform submits them again,
// possibly to another cell.
func (h *Host) callerTimeout() time.Duration {
	return max(peer.CallerTimeoutWithin(h.settings.Current().Retransmit-cell.LossNoticeMargin), minCallerTimeout)
}

// countPeerCall counts a call of another instance, whose method ends with the name of a cell.
func (h *Host) countPeerCall(method string, params, result int) {
	name, _, _ := strings.Cut(method, "/")
	h.metrics.CountCall(name, result, params)
}

// callerLost counts and logs the loss of another instance with calls in flight here.
func (h *Host) callerLost(addr string, silence time.Duration, calls int) {
	h.metrics.Count("callers_lost", calls)
	_ = h.log.Log("event", "callerlost", "addr", addr, "silence", silence, "calls", calls)
}

// panicked counts and logs a panic of the handler of a call between instances.
func (h *Host) panicked(method string, value any) {
	h.metrics.Count("panic", 1)
	_ = h.log.Log("event", "panic", "duty", method, "value", fmt.Sprint(value), "stack", string(debug.Stack()))
}

// followRows starts reading the rows of the operator and of the runners.
func (h *Host) followRows(ctx context.Context, wg *sync.WaitGroup) {
	settings := h.settings.Current()
	wait, timeout := mirror.Intervals(min(settings.ConfigApply, settings.Evacuate))
	configs := &mirror.Mirror{
		Store: h.store, Prefix: platform.ConfigPrefix, Wait: wait, Timeout: timeout,
		OnRead: h.readDone(configReads), OnRows: h.applyOperatorRows, OnError: h.readFailed(configReads),
	}
	wg.Go(func() { configs.Run(ctx) })
	wg.Go(func() { h.roster.Register(ctx) })
	wg.Go(func() {
		select {
		case <-h.readMembers:
			h.roster.Run(ctx)
		case <-ctx.Done():
		}
	})
}

// membersInterval returns the time between two reads of the members.
func (h *Host) membersInterval() time.Duration {
	if h.plan.Load() == nil {
		return membersPlanning
	}
	return roster.ReadInterval(len(h.roster.Members()), h.cellsHeld() > 0)
}

// readDone returns a function that records a successful read of rows.
func (h *Host) readDone(kind string) func() {
	return func() { h.metrics.RecordRead(kind) }
}

// readFailed returns a function that counts and logs a failed read of rows.
func (h *Host) readFailed(kind string) func(mirror.Failure) {
	return func(f mirror.Failure) {
		h.metrics.Count("missed_"+kind, 1)
		_ = h.log.Log(append([]any{"event", "missed", "what", kind}, f.KeyValues()...)...)
	}
}

// applyOperatorRows applies rows of the operator, all of them if whole is true, otherwise those that have
// changed.
func (h *Host) applyOperatorRows(rows []table.Row, whole bool) {
	h.evacuations.Apply(rows, whole)
	h.applyConfig(rows)
}

// applyConfig applies a changed configuration among the operator's rows. One that cannot
// be decoded leaves the current one in force.
func (h *Host) applyConfig(rows []table.Row) {
	for _, r := range rows {
		if r.Key != platform.ConfigKey || r.Version == 0 {
			continue
		}
		c, err := platform.DecodeConfig(r.Value)
		if err != nil {
			_ = h.log.Log("event", "badconfig", "version", r.Version, "err", err)
			continue
		}
		if h.configs.SetIfNewer(c) {
			_ = h.log.Log("event", "config", "version", c.Version, "routes", len(c.Routes))
		}
	}
}

// serveReady responds to the probe of whether clients should be sent here.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() || h.configs.Load() == nil || !h.connected() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutDown hands the cells over and directs clients to other instances. Meanwhile, independent of
// the handovers, the servers stop taking calls and finish those in progress.
func (h *Host) shutDown(servers []*khttp.Server) {
	start := time.Now()
	h.draining.Store(true)
	_ = h.log.Log("event", "stop")
	grace := h.settings.Current().ShutdownGrace - killMargin
	s := &shutdown.Sequence{
		DrainTime: drainTime, Grace: grace, AnswerMargin: answerMargin, EndRequests: h.endRequests,
		HandOver: func() { h.handOver(h.clock.Now().Add(grace - handoverTimeout)) },
		StopServing: func(ctx context.Context) {
			_ = h.log.Log("event", "closed", "after", time.Since(start))
			for _, p := range servers {
				_ = p.Stop(ctx)
			}
			_ = h.log.Log("event", "answered", "after", time.Since(start), "err", ctx.Err())
		},
	}
	s.Run()
	_ = h.log.Log("event", "stopped", "took", time.Since(start))
}

// handOver gives up the part of this instance in all cells until deadline.
func (h *Host) handOver(deadline time.Time) {
	var handovers sync.WaitGroup
	for _, p := range h.participants() {
		p.elector.StopClaiming()
		handovers.Go(func() { p.leave(deadline) })
	}
	handovers.Go(func() { h.roster.Deregister(context.Background()) })
	handovers.Wait()
}
