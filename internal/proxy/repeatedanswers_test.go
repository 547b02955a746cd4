package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

// TestPromisesHoldWithRepeatedAnswers guards against broken consistency promises, and answers of other
// requests, while servers send answers again later or in the middle of others.
func TestPromisesHoldWithRepeatedAnswers(t *testing.T) {
	for run := range simulatedRuns(t) {
		seed := firstSeed(t) + uint64(run)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				nodes := fewNodes
				if seed%4 >= 2 {
					nodes = manyNodes
				}
				fleet := prepareFleet(fleetConfig{nodes: nodes, synchronousReplicas: int(seed / 4 % 2), unfenced: seed%2 == 1})
				fleet.repeatedAnswers = true
				fleet.startNodes()
				result := simulateOn(fleet, seed, 30*time.Second)
				for i, violation := range result.violations {
					if i < 5 {
						t.Error(violation)
					}
				}
				t.Logf("%d violations, served %d, refused %d, unknown %d, reads %d, writes %d",
					len(result.violations), result.served, result.refused, result.unknown, result.reads, result.writes)
				must.Greater(t, 300, result.served)
			})
		})
	}
}
