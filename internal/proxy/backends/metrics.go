package backends

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"dewknot/internal/proxy/network"
)

// DurationBuckets are the buckets of duration histograms, in seconds.
var DurationBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 2, 4}

// backendMetrics are the counters and histograms of the services.
type backendMetrics struct {
	failovers *prometheus.CounterVec
	// headroom counts the work that was rejected or sent elsewhere for lack of headroom.
	headroom *prometheus.CounterVec
	// rounds are the durations of requests to the voters. unconfirmed counts the answers of
	// primaries that arrived without a valid lease and were not confirmed.
	rounds      *prometheus.HistogramVec
	unconfirmed prometheus.Counter
	// ownerMoves counts the changes of owners that this node sees.
	ownerMoves prometheus.Counter
	// restarts counts the servers that have restarted under the same ID.
	restarts prometheus.Counter
}

func newBackendMetrics() *backendMetrics {
	return &backendMetrics{
		failovers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: "failover_phases_total",
			Help: "Phases entered by the failover machines.",
		}, []string{"service", "phase"}),
		headroom: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: "room_decisions_total",
			Help: "Work that was refused, or sent elsewhere, for want of room on a server.",
		}, []string{"service", "level", "decision"}),
		rounds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: network.MetricsNamespace, Name: "tenure_round_seconds", Buckets: DurationBuckets,
			Help: "Time of a candidate's question to the voters, by step.",
		}, []string{"step", "outcome"}),
		unconfirmed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: "answers_unproved_total",
			Help: "Answers of a primary that were not believed, since its tenure may have ended.",
		}),
		ownerMoves: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: "owner_moves_total",
			Help: "Servers whose connections another node owns than before, as this node sees it.",
		}),
		restarts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: network.MetricsNamespace, Name: "servers_reborn_total",
			Help: "Servers that have started again under their ID.",
		}),
	}
}

// Collectors returns the metrics of the services and their servers.
func (b *Backends) Collectors() []prometheus.Collector {
	m := b.metrics
	collectors := []prometheus.Collector{
		m.failovers, m.headroom, m.rounds, m.unconfirmed, m.ownerMoves, m.restarts, newServerCollector(b),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: network.MetricsNamespace, Name: "owned_servers",
			Help: "Servers whose connections are assigned to this node; none are while a zone has too many to bound them.",
		}, b.ownedServers),
	}
	if b.Tenures != nil {
		collectors = append(collectors, b.Tenures.Metrics())
	}
	return append(collectors, b.Network.Collectors()...)
}

// serverCollector reports this node's use of each server. Servers come and go, so the values are
// computed at each scrape.
type serverCollector struct {
	backends    *Backends
	connections *prometheus.Desc
	running     *prometheus.Desc
	waiting     *prometheus.Desc
	limit       *prometheus.Desc
	remote      *prometheus.Desc
	lag         *prometheus.Desc
	repeated    *prometheus.Desc
	mismatched  *prometheus.Desc
	proofAge    *prometheus.Desc
}

func newServerCollector(b *Backends) *serverCollector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(network.MetricsNamespace, "server", name), help,
			[]string{"service", "server"}, nil)
	}
	return &serverCollector{
		backends:    b,
		connections: desc("connections", "Connections of this node open to the server."),
		running:     desc("statements_running", "Statements that this node has running on the server."),
		waiting:     desc("statements_waiting", "Statements that wait at this node for the server."),
		limit:       desc("statements_limit", "Statements that this node lets run on the server at a time."),
		remote:      desc("statements_through_owner", "Statements of this node that run through the server's owner."),
		lag:         desc("lag_seconds", "How far behind the primary this node expects the server to be."),
		repeated:    desc("repeated_answers_total", "Answers of the server that were dropped, since nothing had asked for them."),
		mismatched:  desc("mismatched_answers_total", "Answers of the server that did not match their requests; the connection was closed."),
		proofAge: prometheus.NewDesc(prometheus.BuildFQName(network.MetricsNamespace, "service", "proof_age_seconds"),
			"Age of the newest position that the primary is known to have had, from which reads on replicas get their floors.", []string{"service"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *serverCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.connections, c.running, c.waiting, c.limit, c.remote, c.lag, c.repeated, c.mismatched, c.proofAge} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *serverCollector) Collect(out chan<- prometheus.Metric) {
	now := time.Now()
	c.backends.Servers.Range(func(_, value any) bool {
		s := value.(*Server)
		running, waiting := s.Gate.Load()
		for desc, value := range map[*prometheus.Desc]float64{
			c.connections: float64(s.Pool.Open()), c.running: float64(running), c.waiting: float64(waiting),
			c.limit: s.Gate.Limit(), c.remote: float64(s.RemoteWork.Load()), c.lag: s.Stats.Lag(now).Seconds(),
		} {
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, s.service, s.ID)
		}
		for desc, value := range map[*prometheus.Desc]uint64{c.repeated: s.Stats.Repeated(), c.mismatched: s.Stats.Mismatched()} {
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), s.service, s.ID)
		}
		return true
	})
	c.backends.services.Range(func(_, value any) bool {
		s := value.(*Service)
		if proof := s.Proofs.Newest(); !proof.At.IsZero() {
			out <- prometheus.MustNewConstMetric(c.proofAge, prometheus.GaugeValue, now.Sub(proof.At).Seconds(), s.Name)
		}
		return true
	})
}
