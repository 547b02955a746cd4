package proxy

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/network"
)

// shownTenants is how many tenants have series of their own: those that asked most since
// the node's start. The rest are counted together, so that ten thousand tenants don't make
// ten thousand series.
const shownTenants = 20

// otherTenants is the label of the rest.
const otherTenants = "others"

// tenantCounters count a tenant's commands by their outcome.
type tenantCounters struct {
	served, overQuota, failed atomic.Int64
}

func (c *tenantCounters) total() int64 {
	return c.served.Load() + c.overQuota.Load() + c.failed.Load()
}

// tenantCollector collects what the most active tenants' callers were told. It implements
// prometheus.Collector.
type tenantCollector struct {
	tenants  sync.Map // tenant name to *tenantCounters
	commands *prometheus.Desc
}

func newTenantCollector() *tenantCollector {
	return &tenantCollector{commands: prometheus.NewDesc(
		prometheus.BuildFQName(network.MetricsNamespace, "", "tenant_commands_total"),
		"Commands of the tenants that asked most, and of all others together, by outcome.", []string{"tenant", "outcome"}, nil,
	)}
}

// count counts a command of a tenant; kind is None if it was served.
func (c *tenantCollector) count(tenant string, kind failure.Kind) {
	found, known := c.tenants.Load(tenant)
	if !known {
		found, _ = c.tenants.LoadOrStore(tenant, new(tenantCounters))
	}
	counters := found.(*tenantCounters)
	switch kind {
	case failure.None:
		counters.served.Add(1)
	case failure.OverQuota:
		counters.overQuota.Add(1)
	default:
		counters.failed.Add(1)
	}
}

// Describe implements prometheus.Collector.
func (c *tenantCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.commands }

// Collect implements prometheus.Collector.
func (c *tenantCollector) Collect(metrics chan<- prometheus.Metric) {
	type row struct {
		tenant string
		*tenantCounters
	}
	var rows []row
	c.tenants.Range(func(tenant, counters any) bool {
		rows = append(rows, row{tenant.(string), counters.(*tenantCounters)})
		return true
	})
	slices.SortFunc(rows, func(x, y row) int { return cmp.Or(cmp.Compare(y.total(), x.total()), cmp.Compare(x.tenant, y.tenant)) })
	rest := new(tenantCounters)
	for i, each := range rows {
		if i < shownTenants {
			c.send(metrics, each.tenant, each.tenantCounters)
			continue
		}
		rest.served.Add(each.served.Load())
		rest.overQuota.Add(each.overQuota.Load())
		rest.failed.Add(each.failed.Load())
	}
	if len(rows) > shownTenants {
		c.send(metrics, otherTenants, rest)
	}
}

func (c *tenantCollector) send(metrics chan<- prometheus.Metric, tenant string, counters *tenantCounters) {
	for outcome, value := range map[string]int64{
		"served": counters.served.Load(), failure.OverQuota.String(): counters.overQuota.Load(), "failed": counters.failed.Load(),
	} {
		metrics <- prometheus.MustNewConstMetric(c.commands, prometheus.CounterValue, float64(value), tenant, outcome)
	}
}
