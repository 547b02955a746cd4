package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/freshness"
	"dewknot/internal/proxy/loadreport"
)

// TestRecentLoadReportsSendReadsElsewhere guards against reads that are sent to a server whose
// owner has just reported a long wait. Once the report is old, equal servers share the reads.
func TestRecentLoadReportsSendReadsElsewhere(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		node := newTestNode(catalog.Server{ID: "s1", Service: "bookings", Address: "s1", Zone: "a", Slots: 4},
			catalog.Server{ID: "s2", Service: "bookings", Address: "s2", Zone: "a", Slots: 4})
		defer node.log.Close()
		r := &run{
			session: &session{node: node, route: catalog.Route{TargetLatency: 800 * time.Millisecond}},
			service: node.Service("bookings"), arrived: time.Now(),
		}
		chosen := func() map[string]int {
			counts := map[string]int{}
			for range 200 {
				counts[r.choose(freshness.MinimumPosition{}).ID]++
			}
			return counts
		}
		counts := chosen()
		must.Between(t, 50, counts["s1"], 150)

		report := &loadreport.Report{Incarnation: 1, Sequence: 1}
		for level := range report.Waits {
			report.Waits[level] = loadreport.Milliseconds(200 * time.Millisecond)
		}
		node.Server("s1").LoadReports.Observe(time.Now(), report)
		must.Eq(t, map[string]int{"s2": 200}, chosen())
		time.Sleep(loadreport.MaxAge)
		counts = chosen()
		must.Between(t, 50, counts["s1"], 150)
	})
}
