package meter

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gypsumward/core/api"
	"gypsumward/core/platformclient"
)

// MaxTeams is the largest number of teams that are counted by name.
const MaxTeams = 128

// Other is the label of teams beyond MaxTeams and of unknown reasons.
const Other = "other"

const namespace = "gypsumward"

// Purpose is the purpose of a message to a target, a peer or the platform.
type Purpose string

// The purposes of messages.
const (
	Run      Purpose = "run"    // sends a request to a runner
	Start    Purpose = "start"  // starts tasks on a worker
	Watch    Purpose = "watch"  // waits for outcomes of tasks and renews their leases
	Adopt    Purpose = "adopt"  // takes over tasks on a worker
	Stop     Purpose = "stop"   // stops tasks on a worker
	Hedge    Purpose = "hedge"  // repeats a slow request on another target
	Probe    Purpose = "probe"  // sends work to a target in quarantine
	Transfer Purpose = "hand"   // transfers work or a query to another instance
	Gossip   Purpose = "gossip" // exchanges membership and settings between instances
	Store    Purpose = "store"  // accesses tables and objects of the platform
	List     Purpose = "list"   // polls the platform's list of live instances and targets
)

// Recorder holds the metrics of an entry instance. It must be created by New. Its methods
// are safe for concurrent use. All methods that count or register do nothing on a nil
// Recorder.
type Recorder struct {
	registry *prometheus.Registry

	requests, jobs, tasks                        *prometheus.CounterVec
	refusals                                     *prometheus.CounterVec
	messages                                     *prometheus.CounterVec
	storeCalls                                   *prometheus.CounterVec
	intake                                       *prometheus.CounterVec
	requestDuration, jobDuration                 *prometheus.HistogramVec
	waitDuration, runDuration                    prometheus.Histogram
	storeDuration                                *prometheus.HistogramVec
	jobsTakenOver, doubleStarts, settingsRefused prometheus.Counter

	mu    sync.Mutex
	teams map[string]bool // teams counted by name
}

// durationBuckets are the upper bounds of the buckets of duration histograms in
// seconds, from 1 ms to 65 s.
var durationBuckets = prometheus.ExponentialBuckets(0.001, 2, 17)

// New returns a Recorder with its own registry, which also contains the metrics of
// the process and of the Go runtime.
func New() *Recorder {
	r := &Recorder{
		registry:        prometheus.NewRegistry(),
		teams:           map[string]bool{},
		requests:        newCounterVec("requests_total", "Requests answered or refused.", "team", "outcome"),
		jobs:            newCounterVec("jobs_total", "Jobs answered or refused.", "team", "outcome"),
		tasks:           newCounterVec("tasks_total", "Tasks that ended, or that were dropped before they started.", "team", "outcome"),
		refusals:        newCounterVec("refusals_total", "Refusals and failures by reason and whether the work ran.", "reason", "ran"),
		messages:        newCounterVec("messages_total", "Messages sent by purpose; useful=false had no part in an answer.", "purpose", "useful"),
		storeCalls:      newCounterVec("store_calls_total", "Calls of the platform's table and object store.", "call", "outcome"),
		intake:          newCounterVec("intake_total", "Connections and requests refused or closed for lack of room or time, by server and kind.", "server", "kind"),
		requestDuration: newHistogramVec("request_seconds", "Time from the arrival of a request to its answer.", "team"),
		jobDuration:     newHistogramVec("job_seconds", "Time from the arrival of a job to its recorded answer.", "team"),
		storeDuration:   newHistogramVec("store_seconds", "Time of a call of the platform's store.", "call"),
		waitDuration:    newHistogram("wait_seconds", "Time of a task or request in the queue."),
		runDuration:     newHistogram("run_seconds", "Time of a task or request on its target."),
		jobsTakenOver:   newCounter("jobs_taken_total", "Jobs taken over from other instances."),
		doubleStarts:    newCounter("double_starts_total", "Tasks that a target reported as started twice. Must stay zero."),
		settingsRefused: newCounter("settings_refused_total", "Settings trees that were refused as a whole."),
	}
	r.registry.MustRegister(r.requests, r.jobs, r.tasks, r.refusals, r.messages, r.storeCalls, r.intake,
		r.requestDuration, r.jobDuration, r.storeDuration, r.waitDuration, r.runDuration, r.jobsTakenOver, r.doubleStarts, r.settingsRefused,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Handler returns the HTTP handler of /metrics. The Recorder must not be nil.
func (r *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}

// CountRequest counts a request with its outcome and the time since its arrival.
func (r *Recorder) CountRequest(team string, outcome Outcome, elapsed time.Duration) {
	if r == nil {
		return
	}
	team = r.teamLabel(team)
	r.requests.WithLabelValues(team, string(outcome)).Inc()
	r.requestDuration.WithLabelValues(team).Observe(elapsed.Seconds())
}

// CountJob counts a job with its outcome and the time since its arrival.
func (r *Recorder) CountJob(team string, outcome Outcome, elapsed time.Duration) {
	if r == nil {
		return
	}
	team = r.teamLabel(team)
	r.jobs.WithLabelValues(team, string(outcome)).Inc()
	r.jobDuration.WithLabelValues(team).Observe(elapsed.Seconds())
}

// CountTask counts a task with its outcome, its time in the queue and its run time on the
// target. Both times are ignored for a Dropped task.
func (r *Recorder) CountTask(team string, outcome Outcome, waitTime, runTime time.Duration) {
	if r == nil {
		return
	}
	r.tasks.WithLabelValues(r.teamLabel(team), string(outcome)).Inc()
	if outcome == Dropped {
		return
	}
	r.waitDuration.Observe(waitTime.Seconds())
	r.runDuration.Observe(runTime.Seconds())
}

// CountRefusal counts a refusal or a failure by its reason and by whether the work ran. A
// reason that package api does not define is counted as Other.
func (r *Recorder) CountRefusal(reason api.Reason, ran api.RunStatus) {
	if r == nil {
		return
	}
	r.refusals.WithLabelValues(reasonLabel(reason), string(ran)).Inc()
}

// CountMessages counts messages with the given purpose. A message is useful if it took part
// in a result.
func (r *Recorder) CountMessages(purpose Purpose, useful bool, count int) {
	if r == nil {
		return
	}
	label := "false"
	if useful {
		label = "true"
	}
	r.messages.WithLabelValues(string(purpose), label).Add(float64(count))
}

// ObserveStoreCall counts a call of the platform's store with its latency and the
// outcome given by err. Its signature is that of platformclient.Client.Observe.
func (r *Recorder) ObserveStoreCall(call platformclient.CallKind, elapsed time.Duration, err error) {
	if r == nil {
		return
	}
	r.storeCalls.WithLabelValues(string(call), string(storeOutcome(err))).Inc()
	r.storeDuration.WithLabelValues(string(call)).Observe(elapsed.Seconds())
}

// CountJobsTakenOver adds count to the jobs taken over from other instances.
func (r *Recorder) CountJobsTakenOver(count int) {
	if r != nil {
		r.jobsTakenOver.Add(float64(count))
	}
}

// CountDoubleStart counts a task that a target reported as started twice.
func (r *Recorder) CountDoubleStart() {
	if r != nil {
		r.doubleStarts.Inc()
	}
}

// CountRefusedSettings counts a settings tree that was refused as a whole.
func (r *Recorder) CountRefusedSettings() {
	if r != nil {
		r.settingsRefused.Inc()
	}
}

// CountIntake counts a decision of a server against a connection or a request that is being read.
func (r *Recorder) CountIntake(server, kind string) {
	if r != nil {
		r.intake.WithLabelValues(server, kind).Inc()
	}
}

// teamLabel returns the label of a team: its name with invalid UTF-8 replaced, or Other
// if MaxTeams other teams have been counted.
func (r *Recorder) teamLabel(name string) string {
	name = strings.ToValidUTF8(name, "?")
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.teams[name] {
		return name
	}
	if len(r.teams) >= MaxTeams {
		return Other
	}
	r.teams[name] = true
	return name
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func newHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: durationBuckets})
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: durationBuckets}, labels)
}
