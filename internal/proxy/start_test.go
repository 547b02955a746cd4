package proxy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/judge"
)

// TestCallersWaitForStartingNode guards against rejected callers on a node that has not loaded
// its configuration yet because the store is slow.
func TestCallersWaitForStartingNode(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(fleetOfFive, 0, nothingBroken)
		time.Sleep(6 * time.Second)
		fleet.store.SetDelay(250 * time.Millisecond)
		for i := range fleetOfFive {
			fleet.stopNode(i)
		}
		time.Sleep(8 * time.Second)
		fleet.startNodes()
		began := time.Now()
		session, route := fleet.connect(rand.New(rand.NewPCG(1, 1)), testTenants["amber"][0])
		must.NotNil(t, session)
		must.NotNil(t, route)
		must.Less(t, 500*time.Millisecond, time.Since(began))
		must.Positive(t, fleet.runCaller("c", 2, 2*time.Second).Served)
		fleet.end()
	})
}

// TestCallersDoNotWaitForever guards against callers that wait past their own timeout for a node
// that can't load its configuration.
func TestCallersDoNotWaitForever(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := prepareFleet(fleetConfig{nodes: 1})
		fleet.store.SetDown(true)
		fleet.startNodes()
		began := time.Now()
		session, _ := fleet.connect(rand.New(rand.NewPCG(1, 1)), testTenants["amber"][0])
		must.Eq(t, judge.Session(nil), session)
		must.Less(t, 2*time.Second, time.Since(began))
		fleet.end()
	})
}
