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

// links model the links of nodes. Each direction has a rate in bytes per second and a queue that
// drops messages when it is full.
type links struct {
	rate      int
	queue     int
	busyUntil map[string]time.Time
	// sentBytes are the bytes that each queue accepted, dropped the number of messages dropped.
	sentBytes map[string]int
	dropped   int
}

// headerBytes is the size of a datagram's headers.
const headerBytes = 28

// transmit returns when a message has passed one direction of a node's link, and false if it was
// dropped.
func (l *links) transmit(direction string, from time.Time, size int) (time.Time, bool) {
	free := l.busyUntil[direction]
	if free.Before(from) {
		free = from
	}
	if int(free.Sub(from).Seconds()*float64(l.rate)) > l.queue {
		l.dropped++
		return from, false
	}
	l.sentBytes[direction] += size
	l.busyUntil[direction] = free.Add(time.Duration(size) * time.Second / time.Duration(l.rate))
	return l.busyUntil[direction], true
}

// carry returns how long a message takes from one node to another, and false if it was dropped.
func (l *links) carry(from, to string, m *quorum.Message) (time.Duration, bool) {
	content, err := codec.Append(nil, m)
	if err != nil {
		panic(err)
	}
	now, size := time.Now(), len(content)+headerBytes
	sent, ok := l.transmit("out of "+from, now, size)
	if !ok {
		return 0, false
	}
	arrived, ok := l.transmit("into "+to, sent, size)
	return arrived.Sub(now), ok
}

// busiest returns the largest number of bytes that one direction of a link carried.
func (l *links) busiest() int {
	most := 0
	for _, bytes := range l.sentBytes {
		most = max(most, bytes)
	}
	return most
}

// openAll opens a tenure of each service at once, each through another keeper. A round without
// agreement is followed by one with the next ballot.
func (n *network) openAll(services int, until time.Time) {
	for i := range services {
		k := n.keepers[fmt.Sprintf("k%d", 7+i)]
		go func() {
			service := fmt.Sprintf("service-%d", i)
			for ballot, _ := k.VoterStatus(); time.Now().Before(until); ballot++ {
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

// renewUncovered checks all nodes until a time and requests leases where a tenure is not covered,
// as requests would. It counts the checks, and those with all tenures covered.
func (n *network) renewUncovered(services int, checks, covered *atomic.Int64, until time.Time) {
	for _, k := range n.keepers {
		go func() {
			for time.Now().Before(until) {
				all := true
				for i := range services {
					view := k.View(fmt.Sprintf("service-%d", i))
					all = all && view != nil && view.Covers(time.Now())
				}
				checks.Add(1)
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

// TestLargeFleetOnSlowLinks guards against a large fleet on links of 2 Mbit/s that opens its
// tenures late, loses leases, or uses much of the bandwidth for them.
func TestLargeFleetOnSlowLinks(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const (
			nodes      = 102
			services   = 10
			rate       = 250_000
			steadyTime = 10 * time.Second
		)
		n := newNetwork(0)
		n.links = &links{rate: rate, queue: 64 << 10, busyUntil: map[string]time.Time{}, sentBytes: map[string]int{}}
		for i := range nodes {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(4 * time.Second)
		must.NotNil(t, n.keepers["k0"].table())
		var checks, covered atomic.Int64
		n.openAll(services, time.Now().Add(3*time.Second))
		n.renewUncovered(services, &checks, &covered, time.Now().Add(3*time.Second))
		time.Sleep(3 * time.Second)
		checks.Store(0)
		covered.Store(0)
		n.mu.Lock()
		clear(n.links.sentBytes)
		n.mu.Unlock()
		n.renewUncovered(services, &checks, &covered, time.Now().Add(steadyTime))
		time.Sleep(steadyTime)
		n.mu.Lock()
		busiest := float64(n.links.busiest()) / steadyTime.Seconds()
		n.mu.Unlock()
		t.Logf("covered in %d of %d checks, busiest link %.0f bytes/s, %d messages dropped", covered.Load(), checks.Load(), busiest, n.links.dropped)
		must.Eq(t, checks.Load(), covered.Load())
		must.Less(t, 0.2*rate, busiest)
		n.stop()
	})
}
