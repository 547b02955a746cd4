package proxy

import (
	"runtime"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/routing"
	"dewknot/internal/proxy/upstream"
)

// metrics are the node's Prometheus metrics.
type metrics struct {
	registry    *prometheus.Registry
	commands    *prometheus.CounterVec
	durations   *prometheus.HistogramVec
	reads       *prometheus.CounterVec
	minimumAges *prometheus.HistogramVec
	refusals    *prometheus.CounterVec
	// storeCalls counts the calls to the store.
	storeCalls *prometheus.CounterVec
	// entriesRefused counts entries of the store that can't be read.
	entriesRefused *prometheus.CounterVec
	tenants        *tenantCollector
	// tokens counts operations that requested a token of their tenant's quota.
	tokens *prometheus.CounterVec
	// readDistances counts the servers chosen for reads by their distance.
	readDistances *prometheus.CounterVec
}

var freshnessNames = map[catalog.Freshness]string{
	catalog.Current: "current", catalog.BoundedStaleness: "bounded_staleness",
	catalog.ReadYourWrites: "read_your_writes",
}

func newMetrics(node *Node) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: name, Help: help,
		}, labels)
	}
	m := &metrics{
		registry: prometheus.NewRegistry(), tenants: newTenantCollector(),
		commands: counter("commands_total", "Commands answered.", "command", "freshness", "outcome"),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: network.MetricsNamespace, Name: "command_duration_seconds",
			Buckets: backends.DurationBuckets,
			Help:    "Time from a command's arrival to its answer, for commands that reached a server.",
		}, []string{"freshness"}),
		minimumAges: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: network.MetricsNamespace, Name: "read_floor_age_seconds",
			Buckets: backends.DurationBuckets,
			Help:    "Age of the position that a read on any server had to see, when it was answered.",
		}, []string{"freshness"}),
		reads: counter("reads_total", "Reads served, by the role of the server that ran them.",
			"freshness", "role"),
		refusals: counter("server_refusals_total",
			"Answers of servers that they did not run an operation.", "outcome"),
		storeCalls: counter("store_calls_total", "Calls to the store.", "call", "kind", "outcome"),
		entriesRefused: counter("entries_refused_total",
			"Entries of the store that cannot be read, by kind.", "kind"),
		tokens: counter("tokens_total",
			"Operations that asked for a token of their tenant's quota, by the level of their route's urgency (0 is the most urgent).",
			"level", "outcome"),
		readDistances: counter("read_ways_total",
			"Servers chosen for reads, by their distance and role. A read that is tried again counts again.",
			"distance", "role"),
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: network.MetricsNamespace, Name: name, Help: help,
		}, value)
	}
	m.registry.MustRegister(m.commands, m.durations, m.reads, m.minimumAges, m.refusals, m.storeCalls,
		m.entriesRefused, m.readDistances, m.tokens,
		gauge("sessions", "Sessions open.", func() float64 { return float64(node.sessionCount.Load()) }),
		gauge("configuration_version", "Version of the configuration in force.",
			func() float64 { return float64(node.configurationVersion()) }),
		m.tenants,
		gauge("remote_sessions", "Sessions of other nodes with work on this node's connections.",
			func() float64 { return float64(node.Owner.Active()) }),
		gauge("log_lines_dropped", "Log lines dropped since the start.",
			func() float64 { return float64(node.log.Dropped()) }),
		gauge("known_members", "Other nodes known.", func() float64 { return float64(node.KnownMemberCount()) }),
		gauge("degraded", "1 while other nodes, servers and the store are all silent for this node.",
			func() float64 {
				if node.Degraded.Load() {
					return 1
				}
				return 0
			}),
		gauge("goroutines", "Goroutines of the process.",
			func() float64 { return float64(runtime.NumGoroutine()) }),
		gauge("store_lost", "1 while the store does not answer.", node.storeLostValue),
	)
	return m
}

// register adds the collectors of the node's components.
func (m *metrics) register(collectors ...prometheus.Collector) {
	m.registry.MustRegister(collectors...)
}

// Metrics returns the metrics to expose.
func (n *Node) Metrics() prometheus.Gatherer { return n.metrics.registry }

func (n *Node) storeLostValue() float64 {
	if n.StoreLost() {
		return 1
	}
	return 0
}

// countChosen counts a server that was chosen for a read.
func (m *metrics) countChosen(c *routing.Candidate) {
	distance, role := "region", catalog.Replica
	switch {
	case c.SameZone:
		distance = "zone"
	case !c.SameRegion:
		distance = "far"
	}
	if c.Primary {
		role = catalog.Primary
	}
	m.readDistances.WithLabelValues(distance, role.String()).Inc()
}

// countCommand counts a command and, for a read that was served, the role of the server.
func (m *metrics) countCommand(s *session, received *command.Command, reply *Reply, took time.Duration) {
	level := freshnessNames[s.route.Freshness]
	outcome := "served"
	if reply.Failure != nil {
		outcome = reply.Failure.Kind.String()
	}
	m.commands.WithLabelValues(received.Kind.String(), level, outcome).Inc()
	if s.principal != upstream.Own {
		kind := failure.None
		if reply.Failure != nil {
			kind = reply.Failure.Kind
		}
		m.tenants.count(string(s.principal), kind)
	}
	if s.record.attempts == 0 {
		return
	}
	m.durations.WithLabelValues(level).Observe(took.Seconds())
	reads := received.Kind == command.Read || (received.Kind == command.Execute && !s.writes(received))
	if reply.Failure == nil && reads {
		role := catalog.Replica
		if s.record.primary {
			role = catalog.Primary
		}
		m.reads.WithLabelValues(level, role.String()).Inc()
		if since := s.record.minimum.Since; !since.IsZero() {
			m.minimumAges.WithLabelValues(level).Observe(time.Since(since).Seconds())
		}
	}
}

// countNotRun counts an answer that promises that the server did not run an operation.
func (m *metrics) countNotRun(result *upstream.Result) {
	if result != nil && result.Outcome.NotRun() {
		m.refusals.WithLabelValues(result.Outcome.String()).Inc()
	}
}
