package proxy_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/failure"
	"dewknot/internal/lab/judge"
	"dewknot/internal/proxy"
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

// TestStartWaitsAreBoundedTogether guards against callers that wait past their own timeout, first for the
// configuration of a starting node and then for a primary.
func TestStartWaitsAreBoundedTogether(t *testing.T) {
	const callersTimeout = 2 * time.Second
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newUnfencedFleet(fleetOfFive, 0)
		time.Sleep(8 * time.Second)
		for i := range fleetOfFive {
			fleet.stopNode(i)
		}
		time.Sleep(8 * time.Second)
		// One of five voters decides nothing.
		fleet.store.SetDown(true)
		fleet.startNode(0)
		time.AfterFunc(3*time.Second, func() { fleet.store.SetDown(false) })
		var mu sync.Mutex
		var longest time.Duration
		var starting sync.WaitGroup
		for i := range 40 {
			starting.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				client := newMemoryClient("current", testTenants["amber"][0])
				fleet.listeners[0].pending <- client
				began := time.Now()
				select {
				case <-client.replies:
				case <-client.closed:
				}
				mu.Lock()
				defer mu.Unlock()
				longest = max(longest, time.Since(began))
			})
		}
		starting.Wait()
		fleet.end()
		must.Less(t, callersTimeout, longest)
	})
}

// TestIsolatedNodeRefusesSessions guards against callers that wait at a node that can't serve them, and whose
// statements are rejected then.
func TestIsolatedNodeRefusesSessions(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newUnfencedFleet(fleetOfFive, 0)
		time.Sleep(8 * time.Second)
		for i := range fleetOfFive {
			fleet.stopNode(i)
		}
		time.Sleep(8 * time.Second)
		fleet.startNode(0)
		time.Sleep(4 * time.Second)
		client := newMemoryClient("current", testTenants["amber"][0])
		fleet.listeners[0].pending <- client
		began := time.Now()
		var reply proxy.Reply
		select {
		case reply = <-client.replies:
		case <-client.closed:
		}
		took := time.Since(began)
		fleet.end()
		must.NotNil(t, reply.Failure)
		must.Eq(t, failure.Isolated, reply.Failure.Kind)
		must.Positive(t, reply.Failure.RetryAfter)
		must.Less(t, 50*time.Millisecond, took)
	})
}
