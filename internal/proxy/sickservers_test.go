package proxy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

// TestPromisesHoldBeforeSickServers plays days in which servers are also slow, fail part of
// the statements, or go down and up by turns, on both kinds of platform.
func TestPromisesHoldBeforeSickServers(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				fleet := prepareFleet(fleetConfig{nodes: 5, unfenced: seed%2 == 1})
				fleet.sickServers = true
				fleet.startNodes()
				played := simulateOn(fleet, 7_000+seed, 30*time.Second)
				must.SliceEmpty(t, played.violations)
				must.Greater(t, 300, played.served)
			})
		})
	}
}
