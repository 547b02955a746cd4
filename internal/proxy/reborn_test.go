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

// TestPrimaryComesBackWithoutItsLog: a primary crashes and starts again under its ID at once, and
// still leads, but holds nothing. It is not taken for one that holds the log: a replica that does
// is promoted, and no read misses an acknowledged commit.
func TestPrimaryComesBackWithoutItsLog(t *testing.T) {
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
				empty := fleet.group.Primary()
				empty.Crash()
				time.Sleep(100 * time.Millisecond)
				empty.RestartEmpty()
				time.Sleep(6 * time.Second)
				must.NotEq(t, empty.ID(), fleet.group.Primary().ID())
				working.Wait()
				must.SliceEmpty(t, fleet.check.Violations)
				fleet.end()
			})
		})
	}
}
