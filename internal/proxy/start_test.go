package proxy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/judge"
)

// TestCallersOfANodeThatStartsAreHeld: a caller that comes back before the node knows a
// configuration is not refused, and is served once the slow store has told one.
func TestCallersOfANodeThatStartsAreHeld(t *testing.T) {
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
		must.Positive(t, fleet.drive("c", 2, 2*time.Second).Served)
		fleet.end()
	})
}

// TestCallersAreNotHeldForEver: the store tells nothing at all, so a caller is told that
// the node is not ready while it still listens.
func TestCallersAreNotHeldForEver(t *testing.T) {
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
