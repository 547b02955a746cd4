package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

// TestPrimaryRestartsWithoutItsLog guards against a primary that restarts empty under the same ID
// and still counts as one that holds the log. A replica with the log must be promoted, and no read
// may miss an acknowledged commit.
func TestPrimaryRestartsWithoutItsLog(t *testing.T) {
	for name, synchronous := range map[string]int{"asynchronous": 0, "synchronous replicas": 1} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				const nodes = 6
				fleet := newFleet(nodes, synchronous, nothingBroken)
				time.Sleep(20 * time.Second)
				until := time.Now().Add(12 * time.Second)
				var working sync.WaitGroup
				for i := range 2 * nodes {
					caller := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(3, uint64(i))))
					working.Go(func() { caller.Run(until) })
				}
				time.Sleep(3 * time.Second)
				restarted := fleet.group.Primary()
				restarted.Crash()
				time.Sleep(100 * time.Millisecond)
				restarted.RestartEmpty()
				time.Sleep(6 * time.Second)
				must.NotEq(t, restarted.ID(), fleet.group.Primary().ID())
				working.Wait()
				must.SliceEmpty(t, fleet.check.Violations)
				fleet.end()
			})
		})
	}
}
