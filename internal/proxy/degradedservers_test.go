package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

// TestPromisesHoldWithDegradedServers guards against broken consistency promises while servers are
// slow, fail some statements or flap, on platforms with and without fencing.
func TestPromisesHoldWithDegradedServers(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				fleet := prepareFleet(fleetConfig{nodes: 5, unfenced: seed%2 == 1})
				fleet.degradedServers = true
				fleet.startNodes()
				result := simulateOn(fleet, 7_000+seed, 30*time.Second)
				must.SliceEmpty(t, result.violations)
				must.Greater(t, 300, result.served)
			})
		})
	}
}
