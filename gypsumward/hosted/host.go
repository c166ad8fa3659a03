package hosted

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/juju/errors"

	"gypsumward/core/cell"
	"gypsumward/core/lead"
	"gypsumward/core/mirror"
	"gypsumward/core/peer"
	"gypsumward/core/record"
	"gypsumward/core/route"
	"gypsumward/core/shard"
	"gypsumward/core/sockopt"
	"gypsumward/core/stamp"
	"gypsumward/core/steady"
	"gypsumward/core/table"
	"gypsumward/core/tenure"
	"gypsumward/gypsumward/boot"
	"gypsumward/platform"
)

// Times of a shutdown, from the signal on.
const (
	handTime   = 600 * time.Millisecond  // to hand the cell over
	noticeTime = 2500 * time.Millisecond // until clients have been sent elsewhere
	lastMargin = 700 * time.Millisecond  // left of the time until the process is killed
)

const (
	runnerConns  = 8
	storeConns   = 8
	peerCalls    = 1024
	peerBeat     = 300 * time.Millisecond
	refuseTime   = 250 * time.Millisecond
	metricsPort  = "9464"
	configWait   = 1500 * time.Millisecond // of the store for a change of the configuration
	listLeading  = 400 * time.Millisecond
	listIdle     = 5 * time.Second
	listStarting = 300 * time.Millisecond
	listLength   = 150 // runners that are read each listLeading
)

// Host is one entry instance.
type Host struct {
	settings *boot.Follower
	log      log.Logger
	ring     *record.Ring
	gauge    *gauge
	clock    steady.Clock
	configs  route.Current
	runners  directory
	self     tenure.Member
	plan     atomic.Pointer[shard.Plan]
	seats    atomic.Pointer[[]*seat] // by the number of the cell; nil until there is a plan
	store    *platform.Store
	orders   *platform.RunnerClient
	adviser  *platform.Adviser
	client   *peer.Client
	leaving  atomic.Bool
}

// New returns an instance with the given settings, which logs to out.
func New(s *platform.Settings, out io.Writer) *Host {
	h := &Host{settings: boot.New(s), ring: record.New(out, 0), gauge: newGauge()}
	h.log = log.With(log.NewLogfmtLogger(h.ring), "t", log.Valuer(func() any { return time.Now().UnixMilli() }))
	h.settings.Log, h.settings.Taken = h.log, h.rebound
	h.settings.Source = func() (*platform.Settings, error) { return platform.Load(os.Getenv(platform.SettingsPathEnv)) }
	h.store = &platform.Store{Client: platform.NewClient(storeConns), Addr: s.StoreAddr}
	h.orders = &platform.RunnerClient{Client: platform.NewClient(runnerConns)}
	h.adviser = &platform.Adviser{Client: platform.NewClient(1), Addr: s.AdviserAddr}
	now := time.Now()
	h.self = tenure.Member{
		Node: s.Node, Life: fmt.Sprintf("%s@%d", s.Node, now.UnixNano()), Zone: s.Zone,
		Addr: fmt.Sprintf("%s:%d", s.IP, s.PeerPorts[0]), Since: now.UnixMilli(), Cores: s.Cores,
	}
	h.client = &peer.Client{
		Clock: &stamp.Clock{}, Calls: peerCalls, Beat: peerBeat, Pause: 20 * time.Millisecond, Dial: dial,
	}
	h.runners = directory{log: h.log, changed: h.relist, wanted: make(chan struct{}, 1)}
	return h
}

// bounds returns the bounds of a cell as they are set now.
func (h *Host) bounds() cell.Settings {
	s := h.settings.Get()
	return cell.Settings{Lease: s.Lease, Grace: s.StopGrace, Keep: s.StatusRetention + keepSlack}
}

// rebound puts changed bounds in force.
func (h *Host) rebound() {
	h.eachLead(func(_ *seat, l *lead.Lead) { l.Adjust(h.bounds()) })
}

// keepSlack is for how much longer than promised the end of a job is told.
const keepSlack = 30 * time.Second

// dial connects to another instance.
func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := &net.Dialer{Timeout: 300 * time.Millisecond, Control: sockopt.Unacked(800 * time.Millisecond)}
	return d.DialContext(ctx, "tcp", addr)
}

// refuses reports whether nothing listens at addr.
func refuses(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, refuseTime)
	defer cancel()
	conn, err := dial(ctx, addr)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Run serves until ctx ends or the process is told to stop.
func (h *Host) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	var duties sync.WaitGroup
	defer duties.Wait()
	defer cancel()
	duties.Go(func() { h.ring.Run(ctx) })
	settings := h.settings.Get()
	_ = h.log.Log("event", "start", "node", settings.Node, "zone", settings.Zone, "front", settings.FrontAddr,
		"life", h.self.Life)
	servers, err := h.serve(ctx, &duties)
	if err != nil {
		return err
	}
	h.follow(ctx, &duties)
	duties.Go(func() { h.sit(ctx, &duties) })
	duties.Go(func() { h.settings.Run(ctx) })
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				h.settings.Check(true)
				continue
			}
			h.stop(servers)
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// serve starts the servers.
func (h *Host) serve(ctx context.Context, duties *sync.WaitGroup) ([]*khttp.Server, error) {
	settings := h.settings.Get()
	ready := khttp.NewServer(khttp.Address(settings.ReadyAddr), khttp.Timeout(0))
	ready.HandlePrefix("/", http.HandlerFunc(h.ready))
	ingress := khttp.NewServer(khttp.Address(settings.FrontAddr), khttp.Timeout(0))
	ingress.HandlePrefix("/", &platform.Ingress{Jobs: desk{h}, Configs: &h.configs, Draining: h.leaving.Load})
	ingress.ReadHeaderTimeout = 5 * time.Second
	ingress.IdleTimeout = time.Minute
	metrics := khttp.NewServer(khttp.Address(net.JoinHostPort(settings.IP, metricsPort)), khttp.Timeout(0))
	metrics.Handle("/metrics", h.gauge.handler())
	servers := []*khttp.Server{ingress, ready, metrics}
	for _, s := range servers {
		if _, err := s.Endpoint(); err != nil {
			return nil, errors.Trace(err)
		}
		duties.Go(func() { _ = s.Start(context.WithoutCancel(ctx)) })
	}
	return servers, nil
}

// sit takes the seats once the plan is known.
func (h *Host) sit(ctx context.Context, duties *sync.WaitGroup) {
	agreement := &shard.Agreement{Store: h.store, Runners: h.runners.count, Clock: h.clock, Log: h.log}
	plan, ok := agreement.Run(ctx)
	if !ok {
		return
	}
	h.plan.Store(&plan)
	peers := &peer.Server{Addr: h.self.Addr, Clock: h.client.Clock, Calls: peerCalls, Drain: 100 * time.Millisecond}
	var seats []*seat
	for i := range plan.Cells {
		s := h.newSeat(i, plan.Cells)
		s.front.Mount(peers)
		seats = append(seats, s)
	}
	_ = h.log.Log("event", "seats", "cells", plan.Cells)
	duties.Go(func() {
		if err := peers.Run(ctx); err != nil {
			_ = h.log.Log("event", "peers", "err", err)
		}
	})
	h.seats.Store(&seats)
	for _, s := range seats {
		duties.Go(func() { s.front.Run(ctx) })
		duties.Go(func() { s.keeper.Run(ctx) })
	}
}

// follow follows the rows of the operator and of the runners.
func (h *Host) follow(ctx context.Context, duties *sync.WaitGroup) {
	configs := &mirror.Mirror{
		Store: h.store, Prefix: platform.ConfigPrefix, Wait: configWait,
		Take: h.configure, Fail: h.missed("config"),
	}
	runners := &mirror.Poll{
		Store: h.store, Prefix: platform.RunnerPrefix, Now: h.runners.wanted,
		Every: h.listEvery, Take: h.runners.take, Fail: h.missed("runners"),
	}
	duties.Go(func() { configs.Run(ctx) })
	duties.Go(func() { runners.Run(ctx) })
}

// listEvery returns the time between readings of the list of runners. It is longer for
// long lists.
func (h *Host) listEvery() time.Duration {
	switch {
	case h.seated() == nil:
		return listStarting
	case h.leading() == 0:
		return listIdle
	}
	return listLeading * time.Duration(max(h.runners.count()/listLength, 1))
}

func (h *Host) missed(what string) func(error) {
	return func(err error) {
		h.gauge.Count("missed_"+what, 1)
		_ = h.log.Log("event", "missed", "what", what, "err", err)
	}
}

// configure takes rows of the operator.
func (h *Host) configure(rows []table.Row, _ bool) {
	for _, r := range rows {
		if r.Key != platform.ConfigKey || r.Version == 0 {
			continue
		}
		c, err := platform.DecodeConfig(r.Value)
		if err != nil {
			_ = h.log.Log("event", "badconfig", "version", r.Version, "err", err)
			continue
		}
		if h.configs.Set(c) {
			_ = h.log.Log("event", "config", "version", c.Version, "routes", len(c.Routes))
		}
	}
}

// ready answers whether clients should be sent here.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() || h.configs.Get() == nil || !h.connected() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// stop hands the cells over, lets clients go elsewhere and finishes what they have
// asked.
func (h *Host) stop(servers []*khttp.Server) {
	began := time.Now()
	h.leaving.Store(true)
	_ = h.log.Log("event", "stop")
	var handing sync.WaitGroup
	for _, s := range h.seated() {
		s.keeper.Retire()
		handing.Go(s.handOver)
	}
	handing.Wait()
	time.Sleep(noticeTime - time.Since(began))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(h.settings.Get().ShutdownGrace-lastMargin))
	defer cancel()
	for _, s := range servers {
		_ = s.Stop(ctx)
	}
	_ = h.log.Log("event", "stopped", "took", time.Since(began))
}
