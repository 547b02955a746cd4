package proxy

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"dewknot/internal/base/failure"
)

// TestSeriesOfTenantsAreBounded guards against a series for each of 10,000 tenants, and against
// tenants that are missing from the total.
func TestSeriesOfTenantsAreBounded(t *testing.T) {
	collector := newTenantCollector()
	const tenants = 10_000
	for i := range tenants {
		collector.count(fmt.Sprintf("t%d", i), failure.None)
	}
	for range 5 {
		collector.count("t77", failure.OverQuota)
	}
	registry := prometheus.NewRegistry()
	must.NoError(t, registry.Register(collector))
	families, err := registry.Gather()
	must.NoError(t, err)
	must.Len(t, 1, families)
	series := families[0].GetMetric()
	must.Len(t, 3*(shownTenants+1), series)
	sum, overQuota := 0.0, 0.0
	for _, sample := range series {
		sum += sample.GetCounter().GetValue()
		if sample.GetLabel()[1].GetValue() == "t77" && sample.GetLabel()[0].GetValue() == "over_quota" {
			overQuota = sample.GetCounter().GetValue()
		}
	}
	must.Eq(t, float64(tenants+5), sum)
	must.Eq(t, 5.0, overQuota)
}
