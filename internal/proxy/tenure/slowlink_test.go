package tenure

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/codec"
	"dewknot/internal/proxy/quorum"
)

// links carry a number of bytes a second out of each node and into it, through queues that
// drop what they have no room for.
type links struct {
	rate  int
	queue int
	busy  map[string]time.Time
	// passed are the bytes that each queue has taken, dropped the messages that it has not.
	passed  map[string]int
	dropped int
}

// headerBytes are those of a datagram's way besides its content.
const headerBytes = 28

// pass returns when a message is through a node's link in one direction, and whether it is
// not dropped.
func (l *links) pass(direction string, from time.Time, size int) (time.Time, bool) {
	free := l.busy[direction]
	if free.Before(from) {
		free = from
	}
	if int(free.Sub(from).Seconds()*float64(l.rate)) > l.queue {
		l.dropped++
		return from, false
	}
	l.passed[direction] += size
	l.busy[direction] = free.Add(time.Duration(size) * time.Second / time.Duration(l.rate))
	return l.busy[direction], true
}

// carry returns how long a message takes from one node to another, and whether it arrives.
func (l *links) carry(from, to string, m *quorum.Message) (time.Duration, bool) {
	content, err := codec.Append(nil, m)
	if err != nil {
		panic(err)
	}
	now, size := time.Now(), len(content)+headerBytes
	sent, ok := l.pass("out of "+from, now, size)
	if !ok {
		return 0, false
	}
	arrived, ok := l.pass("into "+to, sent, size)
	return arrived.Sub(now), ok
}

// busiest returns the most bytes that one direction of a link has carried.
func (l *links) busiest() int {
	most := 0
	for _, bytes := range l.passed {
		most = max(most, bytes)
	}
	return most
}

// openAll opens a tenure of each service, each through another keeper and all at once, as
// the holders of their leases do: a round that is not agreed is followed by the next ballot.
func (n *network) openAll(services int, until time.Time) {
	for i := range services {
		k := n.keepers[fmt.Sprintf("k%d", 7+i)]
		go func() {
			service := fmt.Sprintf("service-%d", i)
			for ballot, _ := k.Standing(); time.Now().Before(until); ballot++ {
				if view := k.View(service); view != nil {
					ballot = max(ballot, view.Highest)
				}
				if k.Prepare(service, ballot+1).Agreed && k.AwaitClear(service, ballot+1, 1500*time.Millisecond).Clear &&
					k.Open(service, quorum.Tenure{Ballot: ballot + 1, Primary: "a"}, 1, false).Agreed {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// want asks for leases on all nodes, as their requests do, and counts the looks at which
// all tenures were covered.
func (n *network) want(services int, looks, covered *atomic.Int64, until time.Time) {
	for _, k := range n.keepers {
		go func() {
			for time.Now().Before(until) {
				all := true
				for i := range services {
					view := k.View(fmt.Sprintf("service-%d", i))
					all = all && view != nil && view.Covers(time.Now())
				}
				looks.Add(1)
				if all {
					covered.Add(1)
				} else {
					k.Renew(time.Now())
				}
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
}

// TestLargeFleetOnSlowLinks: a hundred nodes on links of 2 Mbit/s open their tenures soon,
// keep their leases, and use a small part of the links for that.
func TestLargeFleetOnSlowLinks(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const (
			nodes    = 102
			services = 10
			rate     = 250_000
			calm     = 10 * time.Second
		)
		n := newNetwork(0)
		n.links = &links{rate: rate, queue: 64 << 10, busy: map[string]time.Time{}, passed: map[string]int{}}
		for i := range nodes {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(4 * time.Second)
		must.NotNil(t, n.keepers["k0"].table())
		var looks, covered atomic.Int64
		n.openAll(services, time.Now().Add(3*time.Second))
		n.want(services, &looks, &covered, time.Now().Add(3*time.Second))
		time.Sleep(3 * time.Second)
		looks.Store(0)
		covered.Store(0)
		n.mu.Lock()
		clear(n.links.passed)
		n.mu.Unlock()
		n.want(services, &looks, &covered, time.Now().Add(calm))
		time.Sleep(calm)
		n.mu.Lock()
		busiest := float64(n.links.busiest()) / calm.Seconds()
		n.mu.Unlock()
		t.Logf("covered %d of %d looks, busiest link %.0f bytes/s, %d messages dropped", covered.Load(), looks.Load(), busiest, n.links.dropped)
		must.Eq(t, looks.Load(), covered.Load())
		must.Less(t, 0.2*rate, busiest)
		n.end()
	})
}
