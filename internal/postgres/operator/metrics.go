package operator

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"dewknot/internal/postgres/node"
)

// collector exports a node's counters as Prometheus metrics.
type collector struct {
	node          *node.Node
	reads         *prometheus.Desc
	writes        *prometheus.Desc
	failures      *prometheus.Desc
	callers       *prometheus.Desc
	gossip        *prometheus.Desc
	gossipDropped *prometheus.Desc
	requests      *prometheus.Desc
	connections   *prometheus.Desc
	revision      *prometheus.Desc
	members       *prometheus.Desc
}

func newRegistry(n *node.Node) *prometheus.Registry {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("dewknot_"+name, help, labels, nil)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), &collector{
		node:          n,
		reads:         describe("reads_total", "Reads answered by this node as owner, by the role of the server.", "role"),
		writes:        describe("writes_total", "Writes answered by this node as owner."),
		failures:      describe("failures_total", "Requests that ended with a failure, by kind.", "kind"),
		callers:       describe("callers", "Connected callers."),
		gossip:        describe("gossip_bytes_total", "Bytes of membership datagrams.", "direction"),
		gossipDropped: describe("gossip_dropped_total", "Datagrams with a wrong digest or form."),
		requests:      describe("requests_routed_total", "Requests of this node's callers, by where the owner was.", "owner"),
		connections:   describe("callers_total", "Callers' connections, by what became of them.", "event"),
		revision:      describe("configuration_revision", "Revision up to which the configuration is complete."),
		members:       describe("members", "Running members known."),
	})
	return registry
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, out) }

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	count := func(desc *prometheus.Desc, value uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(desc *prometheus.Desc, value int) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value))
	}
	owners, gossip, connections, router := &c.node.OwnerCounters, &c.node.GossipCounters, &c.node.Callers().Counters, c.node.Router()
	count(c.reads, owners.ReadsByReplica.Load(), "replica")
	count(c.reads, owners.ReadsByPrimary.Load(), "primary")
	count(c.writes, owners.Writes.Load())
	for kind, value := range owners.Failures() {
		count(c.failures, value, kind.String())
	}
	count(c.gossip, gossip.SentBytes.Load(), "sent")
	count(c.gossip, gossip.ReceivedBytes.Load(), "received")
	count(c.gossipDropped, gossip.Dropped.Load())
	count(c.requests, router.Local.Load(), "local")
	count(c.requests, router.Forwarded.Load(), "peer")
	count(c.connections, connections.Accepted.Load(), "accepted")
	count(c.connections, connections.Refused.Load(), "refused")
	count(c.connections, connections.AuthenticationFailures.Load(), "authentication_failed")
	count(c.connections, connections.ProtocolViolations.Load(), "protocol_violation")
	gauge(c.callers, c.node.Callers().Connected())
	view := c.node.View()
	gauge(c.revision, int(view.Digest.Complete))
	gauge(c.members, len(view.Members))
}
