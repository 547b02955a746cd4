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

// sizedFleet returns a node among two large nodes, eight small ones and one that tells no
// capacity, before 24 servers of their zone.
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
	node, target := ownersNode(store, &linkPeers{asked: make(chan string, 100)}, &countingDialer{}, 20)
	servers := make([]catalog.Server, 24)
	for i := range servers {
		servers[i] = catalog.Server{ID: fmt.Sprintf("s%d", i), Service: "bookings", Address: "s", Zone: "b"}
	}
	node.catalog.ReplaceDirectory(servers, 0, time.Now())
	_, err := node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	return node, store, target
}

// TestLargeNodesOwnMoreServers: a node with a quarter of the processor owns a quarter of the
// servers, one that tells no capacity as many as the smallest.
func TestLargeNodesOwnMoreServers(t *testing.T) {
	node, _, target := sizedFleet(t)
	defer node.log.Close()
	must.SliceNotEmpty(t, node.OwnersBefore(target))
	owned := map[string]int{}
	for _, owner := range node.placed.Load().owners {
		owned[owner]++
	}
	// 24 servers by weights of 0.8 twice and 0.192 nine times: 5.8 and 1.4 are fair. Equal
	// shares would give the large two 4.4 together.
	must.Between(t, 9, owned["large0"]+owned["large1"], 16, must.Sprint(owned))
	for _, name := range []string{"small0", "small7", "old"} {
		must.Between(t, 0, owned[name], 2, must.Sprint(owned))
	}
}

// TestListingsThatTellNothingNewMoveNobody: the same members and servers, read again, keep
// the ranking; a member that leaves moves its servers, and each move is counted.
func TestListingsThatTellNothingNewMoveNobody(t *testing.T) {
	node, store, target := sizedFleet(t)
	defer node.log.Close()
	node.OwnersBefore(target)
	before := target.owners.Load()
	_, err := node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	entry := *node.catalog.Current().Servers["s3"]
	entry.Role, entry.Revision = catalog.Primary, entry.Revision+1
	node.catalog.MergeDirectory([]catalog.Server{entry}, time.Now())
	node.OwnersBefore(target)
	must.True(t, before == target.owners.Load(), must.Sprint("the ranking was made anew"))

	delete(store.entries, before.first)
	_, err = node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	node.OwnersBefore(target)
	must.NotEq(t, before.first, target.owners.Load().first)
	must.Eq(t, float64(1), metricValue(t, node, "dewknot_owner_moves_total"))
}

// TestNodesAgreeOnOwners: whoever ranks, with the same members, names the same owner, which
// alone opens connections.
func TestNodesAgreeOnOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(t, "nodes")
		members := make([]network.Member, count)
		for i := range members {
			members[i] = network.Member{
				Name: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("n%d", i), Zone: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				Capacity: network.Capacity{Processors: rapid.SampledFrom([]float64{0, 0.192, 0.8}).Draw(t, "processors")},
			}
		}
		zones := map[string]string{"s1": "a", "s2": "a", "s3": "b", "s4": "c", "s5": "c"}
		owners := map[string]string{}
		for i, own := range members {
			regions := map[string]string{"a": "r1", "b": "r2", "c": "r2"}
			others := network.New(network.Options{Name: own.Name, Zone: own.Zone, Regions: regions}, network.Ports{}, idle{},
				catalog.New(time.Second), time.Now(), eventlog.New(io.Discard, eventlog.Config{Node: own.Name, LinesPerSecond: 1}))
			node := New(Options{Name: own.Name, Zone: own.Zone, Capacity: own.Capacity, Regions: regions},
				Ports{Dialer: &countingDialer{}}, others, func(time.Time) {})
			rest := append(append([]network.Member(nil), members[:i]...), members[i+1:]...)
			placed := node.place(zones, rest)
			for id := range zones {
				first := placed.owners[id]
				must.Eq(t, first == own.Name, len(node.rankOwners(id, placed).before) == 0)
				if known, found := owners[id]; found {
					must.Eq(t, known, first)
				}
				owners[id] = first
			}
			node.log.Close()
		}
	})
}

// TestCapacityIsItsScarcestPart covers what is not told, too.
func TestCapacityIsItsScarcestPart(t *testing.T) {
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
	t.Fatalf("there is no metric %s", name)
	return 0
}

// TestPlacementsStandWhileServersEnter: servers that enter one by one do not make all be
// placed anew for each. One that has no place yet is ranked by itself, and gets its place
// within placementsPause.
func TestPlacementsStandWhileServersEnter(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		node, _, target := sizedFleet(t)
		defer node.log.Close()
		node.OwnersBefore(target)
		before := node.placed.Load().placements
		for i := range 50 {
			node.catalog.MergeDirectory([]catalog.Server{{
				ID: fmt.Sprintf("late%d", i), Service: "bookings", Address: "s", Zone: "b", Revision: era.Revision(100 + i),
			}}, time.Now())
			must.SliceNotEmpty(t, node.OwnersBefore(node.Server(fmt.Sprintf("late%d", i))))
			must.True(t, before == node.placed.Load().placements, must.Sprint("placed anew"))
		}
		time.Sleep(placementsPause)
		node.OwnersBefore(target)
		must.MapContainsKey(t, node.placed.Load().owners, "late49")
	})
}

// TestManyServersAreRankedOnly: before so many servers that to assign them would take a small
// node's processor, each goes to the node that ranks first for it, by capacity.
func TestManyServersAreRankedOnly(t *testing.T) {
	node, _, _ := sizedFleet(t)
	defer node.log.Close()
	servers := make([]catalog.Server, 1000)
	for i := range servers {
		servers[i] = catalog.Server{ID: fmt.Sprintf("s%d", i), Service: "bookings", Address: "s", Zone: "b"}
	}
	node.catalog.ReplaceDirectory(servers, 0, time.Now())
	placed := node.place(node.ownedZones(node.catalog.Current(), 12), *node.Members.Load())
	must.MapEmpty(t, placed.owners)
	large := 0
	for i := range servers {
		first := node.rankOwners(servers[i].ID, placed).first
		if first == "large0" || first == "large1" {
			large++
		}
	}
	// Their fair share is 0.48.
	must.Between(t, 430, large, 530)
}
