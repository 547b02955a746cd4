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
	"dewknot/internal/proxy/told"
	"dewknot/internal/proxy/urgency"
)

// nodeBefore returns a node of zone a, alone, before some servers of service bookings.
func nodeBefore(servers ...catalog.Server) *Node {
	node := New(Options{Name: "a0", Zone: "a", PeerAddress: "a0", DrainBound: time.Second},
		Ports{}, eventlog.New(io.Discard, eventlog.Config{Node: "a0", LinesPerSecond: 1}))
	node.catalog.ApplyConfiguration(&catalog.Configuration{
		Version: 1, Services: map[string]catalog.Service{"bookings": {Name: "bookings", MaxConnections: 40}},
	})
	node.catalog.ReplaceDirectory(servers, 0, time.Now())
	return node
}

// roomRun returns a run of a route with a priority, an objective of 500 ms and a time-out of
// 2 s, at a node that reaches server s1 through its owner.
func roomRun(priority int) (*run, *backends.Server) {
	node := nodeBefore(catalog.Server{ID: "s1", Service: "bookings", Address: "s1", Zone: "b"})
	target := node.Server("s1")
	now := time.Now()
	s := &session{node: node, bound: catalog.Route{
		Name: "lookups", Service: "bookings", Priority: priority, TargetLatency: 500 * time.Millisecond,
		Freshness: catalog.BoundedStaleness, MaxStaleness: time.Second, StatementTimeout: 2*time.Second + answerMargin,
	}}
	return s.newRun(&command.Statement{}, now), target
}

// admitted counts, of 1,000 tries, those that are sent to the server's owner.
func admitted(r *run, target *backends.Server, class admission.Class) int {
	count := 0
	for range 1000 {
		if r.passesEarlyCheck(target, class) {
			count++
		}
	}
	return count
}

// TestNodesRefuseByWhatOwnersTell: of reads that have no room, about as many are asked as may
// fit; writes, which have room, are; and nothing is refused by what is old.
func TestNodesRefuseByWhatOwnersTell(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		r, target := roomRun(1)
		defer r.session.node.log.Close()
		must.Eq(t, 1000, admitted(r, target, admission.Anywhere), must.Sprint("a node that starts knows nothing"))
		r.session.node.OwnerReported("s1", time.Now(), &told.Report{Life: 1, Sequence: 1, Waits: [urgency.Levels]uint16{0, 400, 4000, 4000}, Waiting: 30})
		must.Between(t, 200, admitted(r, target, admission.Anywhere), 300)
		must.Eq(t, ruleReportedWait, r.session.record.headroom.rule)
		must.Eq(t, 1000, admitted(r, target, admission.OnlyHere))
		time.Sleep(told.Life)
		must.Eq(t, 1000, admitted(r, target, admission.Anywhere))

		views, busy := roomRun(2)
		defer views.session.node.log.Close()
		views.session.node.OwnerReported("s1", time.Now(), &told.Report{Life: 1, Sequence: 1, Waits: [urgency.Levels]uint16{0, 400, 4000, 4000}, Waiting: 30})
		must.Eq(t, 0, admitted(views, busy, admission.Anywhere))
		must.Eq(t, ruleReportedDeadline, views.session.record.headroom.rule)
	})
}

// TestTimeToComeBackFollowsTheLevel: callers of urgent work are told to come back sooner.
func TestTimeToComeBackFollowsTheLevel(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		for priority, wait := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
			r, _ := roomRun(priority)
			r.session.node.OwnerReported("s1", time.Now(), &told.Report{Life: 1, Sequence: 1, Waits: [urgency.Levels]uint16{50, 200, 1000, 1000}})
			must.Eq(t, wait, r.expectedWait(time.Now()))
			r.session.node.log.Close()
		}
	})
}

// TestTurningAwayIsLoggedOnce: at its beginning, for each more urgent level, and at its end.
func TestTurningAwayIsLoggedOnce(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(span time.Duration) time.Time { return start.Add(span) }
	var away backends.TurnedAway
	_, _, _, ended := away.Over(at(0))
	must.False(t, ended)
	must.True(t, away.Refused(at(0), 2))
	must.False(t, away.Refused(at(time.Second), 2))
	must.False(t, away.Refused(at(time.Second), 3))
	must.True(t, away.Refused(at(2*time.Second), 0))
	_, _, _, ended = away.Over(at(2*time.Second + backends.TurnedAwayRest - 1))
	must.False(t, ended)
	count, lasted, most, ended := away.Over(at(2*time.Second + backends.TurnedAwayRest))
	must.True(t, ended)
	must.Eq(t, 4, count)
	must.Eq(t, 2*time.Second, lasted)
	must.Eq(t, 0, most)
	_, _, _, ended = away.Over(at(time.Hour))
	must.False(t, ended)
	must.True(t, away.Refused(at(time.Hour), 3))
}
