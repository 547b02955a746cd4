package backends

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/era"
	"dewknot/internal/base/eventlog"
	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/objectstore"
)

// sizedStore lists members with their entries.
type sizedStore struct {
	objectstore.Store
	entries map[string]string
}

// ListStale implements objectstore.Store.
func (s *sizedStore) ListStale(context.Context, string) ([]objectstore.Object, error) {
	var objects []objectstore.Object
	for name, entry := range s.entries {
		objects = append(objects, objectstore.Object{Name: name, Content: []byte(entry)})
	}
	return objects, nil
}

const (
	largeEntry = `{"address":%q,"zone":"b","capacity":{"processors":0.8,"link":200,"memory":536}}`
	smallEntry = `{"address":%q,"zone":"b","capacity":{"processors":0.192,"link":10,"memory":184}}`
	oldEntry   = `{"address":%q,"zone":"b"}`
)

// sizedFleet returns a node among two large members, eight small ones and one without a stated
// capacity, with 24 servers in the members' zone.
func sizedFleet(t *testing.T) (*Backends, *sizedStore, *Server) {
	t.Helper()
	store := &sizedStore{entries: map[string]string{}}
	for i := range 2 {
		store.entries[fmt.Sprintf("large%d", i)] = fmt.Sprintf(largeEntry, fmt.Sprintf("large%d", i))
	}
	for i := range 8 {
		store.entries[fmt.Sprintf("small%d", i)] = fmt.Sprintf(smallEntry, fmt.Sprintf("small%d", i))
	}
	store.entries["old"] = fmt.Sprintf(oldEntry, "old")
	node, target := ownersNode(store, &linkPeers{requested: make(chan string, 100)}, &countingDialer{}, 20)
	servers := make([]catalog.Server, 24)
	for i := range servers {
		servers[i] = catalog.Server{ID: fmt.Sprintf("s%d", i), Service: "bookings", Address: "s", Zone: "b"}
	}
	node.catalog.ReplaceDirectory(servers, 0, time.Now())
	_, err := node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	return node, store, target
}

// The number of owned servers must follow the capacity of the nodes; a node without a stated
// capacity counts as one of the smallest.
func TestLargeNodesOwnMoreServers(t *testing.T) {
	node, _, target := sizedFleet(t)
	defer node.log.Close()
	must.SliceNotEmpty(t, node.PrecedingOwners(target))
	owned := map[string]int{}
	for _, owner := range node.currentPlacements.Load().owners {
		owned[owner]++
	}
	// The weights are 0.8 twice and 0.192 nine times, so the fair shares of 24 servers are 5.8 and
	// 1.4. With equal shares the two large nodes would own 4.4 together.
	must.Between(t, 9, owned["large0"]+owned["large1"], 16, must.Sprint(owned))
	for _, name := range []string{"small0", "small7", "old"} {
		must.Between(t, 0, owned[name], 2, must.Sprint(owned))
	}
}

// Reading the same members and servers again must keep the ranking. A member that leaves moves its
// servers, and each move is counted.
func TestUnchangedListingsKeepOwners(t *testing.T) {
	node, store, target := sizedFleet(t)
	defer node.log.Close()
	node.PrecedingOwners(target)
	before := target.owners.Load()
	_, err := node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	entry := *node.catalog.Current().Servers["s3"]
	entry.Role, entry.Revision = catalog.Primary, entry.Revision+1
	node.catalog.MergeDirectory([]catalog.Server{entry}, time.Now())
	node.PrecedingOwners(target)
	must.True(t, before == target.owners.Load(), must.Sprint("the ranking was recomputed"))

	delete(store.entries, before.owner)
	_, err = node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	node.PrecedingOwners(target)
	must.NotEq(t, before.owner, target.owners.Load().owner)
	must.Eq(t, float64(1), metricValue(t, node, "dewknot_owner_moves_total"))
}

// All nodes with the same members must compute the same owner, and only that one opens connections.
func TestNodesAgreeOnOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(t, "nodes")
		members := make([]network.Member, count)
		for i := range members {
			members[i] = network.Member{
				Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("n%d", i),
				Zone:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				Capacity: network.Capacity{Processors: rapid.SampledFrom([]float64{0, 0.192, 0.8}).Draw(t, "processors")},
			}
		}
		zones := map[string]string{"s1": "a", "s2": "a", "s3": "b", "s4": "c", "s5": "c"}
		owners := map[string]string{}
		for i, self := range members {
			regions := map[string]string{"a": "r1", "b": "r2", "c": "r2"}
			nodeNetwork := network.New(network.Options{Name: self.Name, Zone: self.Zone, Regions: regions},
				network.Ports{}, stubNode{}, catalog.New(time.Second), time.Now(),
				eventlog.New(io.Discard, eventlog.Config{Node: self.Name, LinesPerSecond: 1}))
			node := New(Options{Name: self.Name, Zone: self.Zone, Capacity: self.Capacity, Regions: regions},
				Ports{Dialer: &countingDialer{}}, nodeNetwork, func(time.Time) {})
			rest := append(append([]network.Member(nil), members[:i]...), members[i+1:]...)
			placed := node.place(zones, rest)
			for id := range zones {
				owner := placed.owners[id]
				must.Eq(t, owner == self.Name, len(node.rankOwners(id, placed).preceding) == 0)
				if earlier, found := owners[id]; found {
					must.Eq(t, earlier, owner)
				}
				owners[id] = owner
			}
			node.log.Close()
		}
	})
}

// The weight of a node must follow its scarcest resource and ignore those that are not stated.
func TestCapacityWeightFollowsScarcestResource(t *testing.T) {
	for _, test := range []struct {
		capacity network.Capacity
		weight   float64
	}{
		{network.Capacity{}, 0},
		{network.Capacity{Processors: 0.8, LinkMbps: 200, MemoryMB: 536}, 0.8},
		{network.Capacity{Processors: 0.8, LinkMbps: 10, MemoryMB: 536}, 0.4},
		{network.Capacity{Processors: 4, LinkMbps: 1000, MemoryMB: 512}, 2},
		{network.Capacity{MemoryMB: 256}, 1},
	} {
		must.Eq(t, test.weight, test.capacity.Weight(), must.Sprint(test.capacity))
	}
}

// metricValue returns the value of a counter or gauge without labels.
func metricValue(t *testing.T, node *Backends, name string) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(node.Collectors()...)
	families, err := registry.Gather()
	must.NoError(t, err)
	for _, family := range families {
		if family.GetName() == name {
			metric := family.GetMetric()[0]
			return metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
		}
	}
	t.Fatalf("metric %s not found", name)
	return 0
}

// Servers that join one by one must not cause a new computation each. A server without a placement
// is ranked on its own and gets a placement within minPlacementsAge.
func TestPlacementsAreReusedWhileServersJoin(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		node, _, target := sizedFleet(t)
		defer node.log.Close()
		node.PrecedingOwners(target)
		before := node.currentPlacements.Load().placements
		for i := range 50 {
			node.catalog.MergeDirectory([]catalog.Server{{
				ID: fmt.Sprintf("late%d", i), Service: "bookings", Address: "s", Zone: "b", Revision: era.Revision(100 + i),
			}}, time.Now())
			must.SliceNotEmpty(t, node.PrecedingOwners(node.Server(fmt.Sprintf("late%d", i))))
			must.True(t, before == node.currentPlacements.Load().placements, must.Sprint("the placements were recomputed"))
		}
		time.Sleep(minPlacementsAge)
		node.PrecedingOwners(target)
		must.MapContainsKey(t, node.currentPlacements.Load().owners, "late49")
	})
}

// Too many servers for an assignment are ranked one by one; nodes must still get shares by
// capacity.
func TestManyServersAreRankedWithoutAssignment(t *testing.T) {
	node, _, _ := sizedFleet(t)
	defer node.log.Close()
	servers := make([]catalog.Server, 1000)
	for i := range servers {
		servers[i] = catalog.Server{ID: fmt.Sprintf("s%d", i), Service: "bookings", Address: "s", Zone: "b"}
	}
	node.catalog.ReplaceDirectory(servers, 0, time.Now())
	placed := node.place(node.ownedServerZones(node.catalog.Current(), 12), *node.Members.Load())
	must.MapEmpty(t, placed.owners)
	large := 0
	for i := range servers {
		owner := node.rankOwners(servers[i].ID, placed).owner
		if owner == "large0" || owner == "large1" {
			large++
		}
	}
	// The two large nodes' fair share is 0.48.
	must.Between(t, 430, large, 530)
}
