package network

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestNodeIsDegradedOnlyIfNothingAnswers guards against a node that considers itself degraded
// although another node, a server or the store answers or was not asked.
func TestNodeIsDegradedOnlyIfNothingAnswers(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(offset time.Duration) time.Time { return start.Add(offset) }
	silentPeers := func(r *reachability, count int) {
		for i := range count {
			r.recordPeer(fmt.Sprint(i), false, at(time.Second))
		}
	}
	const late = 2 * time.Second
	silent := ServerAnswers{Overdue: 1, LastAnswer: start}
	for _, c := range []struct {
		name     string
		prepare  func(r *reachability)
		servers  ServerAnswers
		degraded bool
		probe    bool
	}{
		{"all silent", func(r *reachability) { silentPeers(r, degradedPeers); r.recordStore(false, at(time.Second)) }, silent, true, false},
		{"too few nodes were asked", func(r *reachability) { silentPeers(r, degradedPeers-1); r.recordStore(false, at(time.Second)) }, silent, false, false},
		{"a node answers", func(r *reachability) {
			silentPeers(r, degradedPeers)
			r.recordStore(false, at(time.Second))
			r.recordPeer("x", true, at(1800*time.Millisecond))
		}, silent, false, false},
		{"the store answers", func(r *reachability) { silentPeers(r, degradedPeers); r.recordStore(true, at(time.Second)) }, silent, false, false},
		{"the store was not asked", func(r *reachability) { silentPeers(r, degradedPeers) }, silent, false, true},
		{"no server has an overdue answer", func(r *reachability) { silentPeers(r, degradedPeers); r.recordStore(false, at(time.Second)) }, ServerAnswers{LastAnswer: start}, false, false},
		{"a server answers", func(r *reachability) { silentPeers(r, degradedPeers); r.recordStore(false, at(time.Second)) }, ServerAnswers{Overdue: 1, LastAnswer: at(time.Second)}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReachability(start)
			c.prepare(r)
			degraded, changed, probe := r.evaluate(at(late), degradedPeers, c.servers)
			must.Eq(t, c.degraded, degraded)
			must.Eq(t, c.degraded, changed)
			must.Eq(t, c.probe, probe)
		})
	}
	for name, answer := range map[string]func(r *reachability) ServerAnswers{
		"node":   func(r *reachability) ServerAnswers { r.recordPeer("x", true, at(3*time.Second)); return silent },
		"store":  func(r *reachability) ServerAnswers { r.recordStore(true, at(3*time.Second)); return silent },
		"server": func(*reachability) ServerAnswers { return ServerAnswers{Overdue: 1, LastAnswer: at(3 * time.Second)} },
	} {
		t.Run("any answer ends it: "+name, func(t *testing.T) {
			r := newReachability(start)
			silentPeers(r, degradedPeers)
			r.recordStore(false, at(time.Second))
			degraded, _, _ := r.evaluate(at(late), degradedPeers, silent)
			must.True(t, degraded)
			degraded, changed, _ := r.evaluate(at(2500*time.Millisecond), degradedPeers, silent)
			must.True(t, degraded)
			must.False(t, changed)
			degraded, changed, _ = r.evaluate(at(4*time.Second), degradedPeers, answer(r))
			must.False(t, degraded)
			must.True(t, changed)
		})
	}
}
