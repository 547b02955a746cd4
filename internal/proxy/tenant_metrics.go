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

// shownTenants is how many tenants have series of their own: those with the most commands since the
// node started. All others share one label, which bounds the number of series.
const shownTenants = 20

// otherTenants is the label for all other tenants.
const otherTenants = "others"

// tenantCounters count a tenant's commands by outcome.
type tenantCounters struct {
	served, overQuota, failed atomic.Int64
}

func (c *tenantCounters) total() int64 {
	return c.served.Load() + c.overQuota.Load() + c.failed.Load()
}

// tenantCollector collects the outcomes of commands by tenant. It implements prometheus.Collector.
type tenantCollector struct {
	tenants  sync.Map // tenant name to *tenantCounters
	commands *prometheus.Desc
}

func newTenantCollector() *tenantCollector {
	return &tenantCollector{commands: prometheus.NewDesc(
		prometheus.BuildFQName(network.MetricsNamespace, "", "tenant_commands_total"),
		"Commands of the tenants that asked most, and of all others together, by outcome.",
		[]string{"tenant", "outcome"}, nil,
	)}
}

// count counts a command of a tenant. The kind is None if the command was served.
func (c *tenantCollector) count(tenant string, kind failure.Kind) {
	value, loaded := c.tenants.Load(tenant)
	if !loaded {
		value, _ = c.tenants.LoadOrStore(tenant, new(tenantCounters))
	}
	counters := value.(*tenantCounters)
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
	slices.SortFunc(rows, func(x, y row) int {
		return cmp.Or(cmp.Compare(y.total(), x.total()), cmp.Compare(x.tenant, y.tenant))
	})
	rest := new(tenantCounters)
	for i, entry := range rows {
		if i < shownTenants {
			c.send(metrics, entry.tenant, entry.tenantCounters)
			continue
		}
		rest.served.Add(entry.served.Load())
		rest.overQuota.Add(entry.overQuota.Load())
		rest.failed.Add(entry.failed.Load())
	}
	if len(rows) > shownTenants {
		c.send(metrics, otherTenants, rest)
	}
}

func (c *tenantCollector) send(metrics chan<- prometheus.Metric, tenant string, counters *tenantCounters) {
	for outcome, value := range map[string]int64{
		"served": counters.served.Load(), failure.OverQuota.String(): counters.overQuota.Load(),
		"failed": counters.failed.Load(),
	} {
		metrics <- prometheus.MustNewConstMetric(c.commands, prometheus.CounterValue, float64(value),
			tenant, outcome)
	}
}
