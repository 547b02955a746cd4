package proxy

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/loadreport"
	"dewknot/internal/proxy/urgency"
)

// newTestNode returns a node in zone a without other nodes, and the given servers of service
// bookings.
func newTestNode(servers ...catalog.Server) *Node {
	node := New(Options{Name: "a0", Zone: "a", PeerAddress: "a0", DrainBound: time.Second},
		Ports{}, eventlog.New(io.Discard, eventlog.Config{Node: "a0", LinesPerSecond: 1}))
	node.catalog.ApplyConfiguration(&catalog.Configuration{
		Version: 1, Services: map[string]catalog.Service{"bookings": {Name: "bookings", MaxConnections: 40}},
	})
	node.catalog.ReplaceDirectory(servers, 0, time.Now())
	return node
}

// newTestRun returns a run on a route with a priority, an objective of 500 ms and a timeout of 2 s.
// The node reaches server s1 through its owner.
func newTestRun(priority int) (*run, *backends.Server) {
	node := newTestNode(catalog.Server{ID: "s1", Service: "bookings", Address: "s1", Zone: "b"})
	target := node.Server("s1")
	now := time.Now()
	s := &session{node: node, route: catalog.Route{
		Name: "lookups", Service: "bookings", Priority: priority, TargetLatency: 500 * time.Millisecond,
		Freshness: catalog.BoundedStaleness, MaxStaleness: time.Second,
		StatementTimeout: 2*time.Second + answerMargin,
	}}
	return s.newRun(&command.Statement{}, now), target
}

// countSent returns how many of 1,000 attempts are sent to the server's owner.
func countSent(r *run, target *backends.Server, class admission.Class) int {
	count := 0
	for range 1000 {
		if r.passesPrecheck(target, class) {
			count++
		}
	}
	return count
}

// TestNodesRejectByLoadReports guards against nodes that send work without headroom to an owner, or
// that reject work because of an old load report.
func TestNodesRejectByLoadReports(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		r, target := newTestRun(1)
		defer r.session.node.log.Close()
		must.Eq(t, 1000, countSent(r, target, admission.Anywhere), must.Sprint("without a load report"))
		r.session.node.OwnerReported("s1", time.Now(),
			&loadreport.Report{Incarnation: 1, Sequence: 1, Waits: [urgency.Levels]uint16{0, 400, 4000, 4000}, Waiting: 30})
		must.Between(t, 200, countSent(r, target, admission.Anywhere), 300)
		must.Eq(t, ruleReportedWait, r.session.record.headroom.rule)
		must.Eq(t, 1000, countSent(r, target, admission.OnlyHere))
		time.Sleep(loadreport.MaxAge)
		must.Eq(t, 1000, countSent(r, target, admission.Anywhere))

		lowPriority, lowTarget := newTestRun(2)
		defer lowPriority.session.node.log.Close()
		lowPriority.session.node.OwnerReported("s1", time.Now(),
			&loadreport.Report{Incarnation: 1, Sequence: 1, Waits: [urgency.Levels]uint16{0, 400, 4000, 4000}, Waiting: 30})
		must.Eq(t, 0, countSent(lowPriority, lowTarget, admission.Anywhere))
		must.Eq(t, ruleReportedDeadline, lowPriority.session.record.headroom.rule)
	})
}

// TestRetryDelayFollowsTheLevel guards against retry delays that ignore the urgency of the work.
func TestRetryDelayFollowsTheLevel(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		for priority, wait := range []time.Duration{
			50 * time.Millisecond, 200 * time.Millisecond, time.Second,
		} {
			r, _ := newTestRun(priority)
			r.session.node.OwnerReported("s1", time.Now(),
				&loadreport.Report{Incarnation: 1, Sequence: 1, Waits: [urgency.Levels]uint16{50, 200, 1000, 1000}})
			must.Eq(t, wait, r.expectedWait(time.Now()))
			r.session.node.log.Close()
		}
	})
}

// TestRejectionsAreLoggedOnce guards against a log line for each rejection: one is written at the
// beginning, one for each more urgent level, and one at the end.
func TestRejectionsAreLoggedOnce(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(offset time.Duration) time.Time { return start.Add(offset) }
	var rejections backends.Rejections
	_, _, _, ended := rejections.Ended(at(0))
	must.False(t, ended)
	must.True(t, rejections.Record(at(0), 2))
	must.False(t, rejections.Record(at(time.Second), 2))
	must.False(t, rejections.Record(at(time.Second), 3))
	must.True(t, rejections.Record(at(2*time.Second), 0))
	_, _, _, ended = rejections.Ended(at(2*time.Second + backends.RejectionQuietPeriod - 1))
	must.False(t, ended)
	count, lasted, level, ended := rejections.Ended(at(2*time.Second + backends.RejectionQuietPeriod))
	must.True(t, ended)
	must.Eq(t, 4, count)
	must.Eq(t, 2*time.Second, lasted)
	must.Eq(t, 0, level)
	_, _, _, ended = rejections.Ended(at(time.Hour))
	must.False(t, ended)
	must.True(t, rejections.Record(at(time.Hour), 3))
}
