package meter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"gypsumward/core/table"
)

// Gauges holds the values of all gauges of an instance at one time.
type Gauges struct {
	Revision   int64          // revision of the settings in force
	StoreDown  bool           // the last transaction got no response
	Superseded bool           // a later incarnation of this instance is known
	ListAge    time.Duration  // age of the platform's list; zero if there is none
	Overdue    *time.Duration // time by which the most overdue open job is past its deadline; nil if not known
	Queues     []Queue
	Members    []MemberCount
}

// Queue holds the length and limits of a queue.
type Queue struct {
	Name          string // value of label queue, from a small fixed set
	Length, Limit int    // tasks or requests
	Bytes         *int64 // size of the inputs; nil if not known
}

// MemberCount is the number of instances or targets in one condition.
type MemberCount struct {
	Kind  table.MemberKind
	State string // value of label state, from a small fixed set
	Count int
}

// RegisterGauges registers the gauges of an instance. The function read is called at
// each scrape and must not block. RegisterGauges panics if it is called twice.
func (r *Recorder) RegisterGauges(read func() Gauges) {
	if r == nil {
		return
	}
	r.registry.MustRegister(&gaugeCollector{
		read:       read,
		revision:   newDesc("settings_revision", "Revision of the settings in force."),
		storeDown:  newDesc("store_down", "1 if the last transaction of the platform's table was not answered."),
		superseded: newDesc("passed", "1 if a later incarnation of this instance is known."),
		listAge:    newDesc("list_age_seconds", "Age of the platform's list of what is live."),
		overdue:    newDesc("jobs_overdue_seconds", "Time by which the most overdue open job is past its deadline."),
		length:     newDesc("queue_length", "Tasks or requests that wait.", "queue"),
		limit:      newDesc("queue_limit", "Tasks or requests that may wait.", "queue"),
		bytes:      newDesc("queue_bytes", "Bytes of inputs that wait.", "queue"),
		members:    newDesc("members", "Instances and targets as this instance sees them.", "kind", "state"),
	})
}

// gaugeCollector is a prometheus.Collector of the gauges of an instance.
type gaugeCollector struct {
	read                                              func() Gauges
	revision, storeDown, superseded, listAge, overdue *prometheus.Desc
	length, limit, bytes, members                     *prometheus.Desc
}

// Describe sends the descriptors of all gauges to ch.
func (c *gaugeCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		c.revision, c.storeDown, c.superseded, c.listAge, c.overdue, c.length, c.limit, c.bytes, c.members,
	} {
		ch <- desc
	}
}

// Collect reads the values of all gauges and sends them to ch.
func (c *gaugeCollector) Collect(ch chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	r := c.read()
	gauge(c.revision, float64(r.Revision))
	gauge(c.storeDown, boolValue(r.StoreDown))
	gauge(c.superseded, boolValue(r.Superseded))
	gauge(c.listAge, r.ListAge.Seconds())
	if r.Overdue != nil {
		gauge(c.overdue, r.Overdue.Seconds())
	}
	for _, q := range r.Queues {
		gauge(c.length, float64(q.Length), q.Name)
		gauge(c.limit, float64(q.Limit), q.Name)
		if q.Bytes != nil {
			gauge(c.bytes, float64(*q.Bytes), q.Name)
		}
	}
	for _, m := range r.Members {
		gauge(c.members, float64(m.Count), string(m.Kind), m.State)
	}
}

// boolValue returns 1 for true and 0 for false.
func boolValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, labels, nil)
}
