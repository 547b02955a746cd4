package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/failure"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
)

// TestEvacuatedZone guards against work that reaches a server of an evacuated zone after the bound,
// also while the store is down. The primary must be replaced, and the zone used again after the
// evacuation ends.
func TestEvacuatedZone(t *testing.T) {
	for name, unfenced := range map[string]bool{"fenced": false, "without fences": true} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) { testEvacuatedZone(t, unfenced) })
		})
	}
}

func testEvacuatedZone(t *testing.T, unfenced bool) {
	const nodes, bound = 6, 5 * time.Second
	fleet := prepareFleet(fleetConfig{nodes: nodes, unfenced: unfenced, evacuationBound: bound})
	fleet.startNodes()
	time.Sleep(20 * time.Second)
	until := time.Now().Add(20 * time.Second)
	var working sync.WaitGroup
	for i := range 4 * nodes {
		caller := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(7, uint64(i))))
		working.Go(func() { caller.Run(until) })
	}
	time.Sleep(2 * time.Second)
	evacuated := fleet.group.Primary()
	fleet.store.Put(managed.EvacuationKind, evacuated.Zone(), struct{}{})
	time.Sleep(200 * time.Millisecond)
	fleet.store.SetDown(true)
	time.Sleep(bound - 200*time.Millisecond)
	must.NotEq(t, evacuated.ID(), fleet.group.Primary().ID())
	before, served := evacuated.Statements(), fleet.group.Primary().Statements()
	time.Sleep(3 * time.Second)
	must.Eq(t, before, evacuated.Statements(), must.Sprint("statements that reached the evacuated server"))
	must.Greater(t, served, fleet.group.Primary().Statements())
	fleet.store.SetDown(false)
	fleet.store.Remove(managed.EvacuationKind, evacuated.Zone())
	time.Sleep(3 * time.Second)
	must.Greater(t, before, evacuated.Statements(), must.Sprint("statements after the evacuation ended"))
	working.Wait()
	must.SliceEmpty(t, fleet.check.Violations)
	fleet.end()
}

// TestAllZonesEvacuated guards against work that reaches evacuated servers when no other server is
// left, and against callers that are not served again after one zone returns.
func TestAllZonesEvacuated(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const nodes, bound = 6, 5 * time.Second
		fleet := prepareFleet(fleetConfig{nodes: nodes, evacuationBound: bound})
		fleet.startNodes()
		time.Sleep(20 * time.Second)
		for _, zone := range fleet.zones {
			fleet.store.Put(managed.EvacuationKind, zone, struct{}{})
		}
		time.Sleep(bound)
		statements := 0
		for i := range 3 {
			statements += fleet.group.Server(i).Statements()
		}
		began := time.Now()
		caller := fleet.caller("c0", rand.New(rand.NewPCG(7, 7)))
		caller.Run(began.Add(2 * time.Second))
		for i := range 3 {
			statements -= fleet.group.Server(i).Statements()
		}
		must.Zero(t, statements)
		fleet.store.Remove(managed.EvacuationKind, "b")
		time.Sleep(4 * time.Second)
		must.Eq(t, "b", fleet.group.Primary().Zone())
		must.SliceEmpty(t, fleet.check.Violations)
		fleet.end()
	})
}

// TestHomes guards against statements that leave the homes of their route: they may only reach
// servers of these regions, through nodes of these regions, and the primary must move there.
func TestHomes(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const nodes = 9
		fleet := prepareFleet(fleetConfig{nodes: nodes})
		fleet.group.SetConnections(8)
		configuration := testConfiguration(2, testTenants)
		configuration.Services[testService] = catalog.Service{Name: testService, MaxConnections: 8}
		configuration.HasHomes = true
		configuration.Routes = map[string]catalog.Route{}
		for name, route := range testRoutes {
			route.Homes = catalog.Homes{"r2"}
			configuration.Routes[name] = route
		}
		fleet.store.Put(managed.ConfigurationKind, "main", configuration)
		fleet.startNodes()
		time.Sleep(20 * time.Second)
		must.Eq(t, "b", fleet.group.Primary().Zone())
		before := []int{fleet.group.Server(0).Statements(), fleet.group.Server(2).Statements()}
		until := time.Now().Add(5 * time.Second)
		var working sync.WaitGroup
		for i := range nodes {
			caller := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(7, uint64(i))))
			working.Go(func() { caller.Run(until) })
		}
		working.Wait()
		must.Eq(t, before, []int{fleet.group.Server(0).Statements(), fleet.group.Server(2).Statements()})
		must.Positive(t, fleet.group.Server(1).Statements())
		must.SliceEmpty(t, fleet.check.Violations)
		fleet.end()
	})
}

// TestTransactionOnAnEvacuatedServer guards against a statement or commit of an open transaction
// that reaches a server after its evacuation, also if no other server becomes the primary. The
// caller must learn that nothing is kept.
func TestTransactionOnAnEvacuatedServer(t *testing.T) {
	for _, last := range []command.Kind{command.Read, command.Commit} {
		bubbletest.Test(t, func(t *testing.T) {
			const nodes, bound = 3, 5 * time.Second
			fleet := prepareFleet(fleetConfig{nodes: nodes, evacuationBound: bound})
			fleet.startNodes()
			time.Sleep(20 * time.Second)
			client, refusal := fleet.open(t, 0, "current", testTenants["amber"][0])
			must.Nil(t, refusal)
			must.Nil(t, ask(client, command.Begin, "r0", "BEGIN"))
			must.Nil(t, ask(client, command.Write, "r1", "WRITE a 1"))
			evacuated := fleet.group.Primary()
			fleet.store.Put(managed.EvacuationKind, evacuated.Zone(), struct{}{})
			fleet.promoter.SetOrderDelay(time.Minute)
			for range 2 {
				time.Sleep(400 * time.Millisecond)
				must.Nil(t, ask(client, command.Read, "r1", "READ a"))
			}
			time.Sleep(400 * time.Millisecond)
			before := evacuated.Statements()
			reason := ask(client, last, "r2", "READ a")
			must.Eq(t, failure.TransactionLost, kindOf(reason))
			must.True(t, reason.Kind.NotRun())
			must.Eq(t, before, evacuated.Statements())
			close(client.commands)
			fleet.end()
		})
	}
}
