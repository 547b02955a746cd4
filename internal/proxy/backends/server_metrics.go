package backends

import (
	"time"

	"dewknot/internal/proxy/network"
	"github.com/prometheus/client_golang/prometheus"
)

// serverCollector tells what this node has in use of each server. The servers come
// and go, so they are counted when the metrics are asked for.
type serverCollector struct {
	backends    *Backends
	connections *prometheus.Desc
	running     *prometheus.Desc
	waiting     *prometheus.Desc
	limit       *prometheus.Desc
	remote      *prometheus.Desc
	lag         *prometheus.Desc
	proofAge    *prometheus.Desc
}

func newServerCollector(node *Backends) *serverCollector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(network.MetricsNamespace, "server", name), help, []string{"service", "server"}, nil)
	}
	return &serverCollector{
		backends:    node,
		connections: desc("connections", "Connections of this node open to the server."),
		running:     desc("statements_running", "Statements that this node has running on the server."),
		waiting:     desc("statements_waiting", "Statements that wait at this node for the server."),
		limit:       desc("statements_limit", "Statements that this node lets run on the server at a time."),
		remote:      desc("statements_through_owner", "Statements of this node that run through the server's owner."),
		lag:         desc("lag_seconds", "How far behind the primary this node expects the server to be."),
		proofAge: prometheus.NewDesc(prometheus.BuildFQName(network.MetricsNamespace, "service", "proof_age_seconds"),
			"Age of the newest position that the primary is known to have had, from which reads on replicas get their floors.", []string{"service"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *serverCollector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.connections, c.running, c.waiting, c.limit, c.remote, c.lag, c.proofAge} {
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
			c.limit: s.Gate.Limit(), c.remote: float64(s.Remote.Load()), c.lag: s.Stats.Lag(now).Seconds(),
		} {
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, s.service, s.ID)
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
