package tenure

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/quorum"
)

// threeRegions places nodes k0, k1, ... in three regions with two zones each, round-robin.
func threeRegions(name string) (zone, region string) {
	var number int
	_, _ = fmt.Sscanf(name, "k%d", &number)
	return fmt.Sprintf("z%d", number%6), fmt.Sprintf("r%d", number%3)
}

// votersByRegion counts a table's voters by region.
func votersByRegion(table *quorum.Table) map[string]int {
	count := map[string]int{}
	for _, entry := range table.Entries {
		_, region := threeRegions(entry.Name)
		count[region]++
	}
	return count
}

// TestFirstTableOfABusyFleet guards against a first table with one voter, made because the other
// nodes were busy and answered the first inquiries too late.
func TestFirstTableOfABusyFleet(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		n.locationOf = threeRegions
		// Each answer arrives between two inquiries.
		n.latency = 100 * time.Millisecond
		for i := range 12 {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(3 * time.Second)
		n.setLatency(12 * time.Millisecond)
		time.Sleep(3 * time.Second)
		table := n.keepers["k0"].table()
		must.NotNil(t, table)
		must.Len(t, quorum.MaxVoters, table.Entries)
		for region, voters := range votersByRegion(table) {
			must.Less(t, table.Majority(), voters, must.Sprint(region))
		}
		n.stop()
	})
}

// TestVotersAreRebalancedAcrossRegions guards against a table that leaves one region with a
// majority of voters after nodes of other regions have joined.
func TestVotersAreRebalancedAcrossRegions(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		n.locationOf = threeRegions
		for i := 0; i < 30; i += 3 {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(6 * time.Second)
		must.Len(t, quorum.MaxVoters, n.keepers["k0"].table().Entries)
		openTenure(t, n.keepers["k0"], n.keepers["k0"].table().LeastBallot()+1, "a")
		for i := range 30 {
			if i%3 != 0 {
				n.start(fmt.Sprintf("k%d", i))
			}
		}
		time.Sleep(2*growInterval + changeTimeout)
		table := n.keepers["k0"].table()
		must.Len(t, quorum.MaxVoters, table.Entries)
		for region, voters := range votersByRegion(table) {
			must.Less(t, table.Majority(), voters, must.Sprint(region))
		}
		must.True(t, n.keepers["k1"].View("s").Covers(time.Now()))
		// The table doesn't change again.
		time.Sleep(3 * growInterval)
		must.Eq(t, table.Generation, n.keepers["k0"].table().Generation)
		n.stop()
	})
}

// TestLostVoterWhileStoreIsDown guards against sealing a generation while no new table can be
// written: no node would have leases until the store is back, though a majority of voters is left.
func TestLostVoterWhileStoreIsDown(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(8)
		time.Sleep(6 * time.Second)
		n.kill(n.keepers["k0"].table().Entries[0].Name)
		time.Sleep(silenceTimeout + changeTimeout)
		// The maintainer has written the table and so knows its revision.
		maintainer := n.keepers[n.anyKeeper().table().Entries[0].Name]
		table := maintainer.table()
		openTenure(t, maintainer, table.LeastBallot()+1, "a")
		n.store.SetDown(true)
		n.kill(table.Entries[4].Name)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for name, k := range n.keepers {
				must.True(t, k.View("s").Covers(time.Now()), must.Sprint(name))
			}
		}
		n.store.SetDown(false)
		time.Sleep(changeTimeout)
		for name, k := range n.keepers {
			must.Eq(t, table.Generation+1, k.table().Generation, must.Sprint(name))
			must.True(t, k.View("s").Covers(time.Now()), must.Sprint(name))
		}
		n.stop()
	})
}

// TestStartingVoterKeepsNumberOfVoters guards against a table with one voter, made after the loss of
// all nodes by the first voter to return, which had no list of the other nodes yet. The loss of that
// node for good would leave no node with leases ever again.
func TestStartingVoterKeepsNumberOfVoters(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(8)
		time.Sleep(6 * time.Second)
		names := slices.Sorted(maps.Keys(n.keepers))
		before := n.anyKeeper().table()
		for _, name := range names {
			n.kill(name)
			n.setUnlisted(name, true)
		}
		for _, name := range names {
			n.start(name)
		}
		time.Sleep(2 * time.Second)
		var unlisted, listed []*quorum.Table
		for _, name := range names {
			unlisted = append(unlisted, n.keepers[name].table())
			n.setUnlisted(name, false)
		}
		time.Sleep(2 * time.Second)
		withoutMajority := 0
		for _, name := range names {
			listed = append(listed, n.keepers[name].table())
			if _, noMajority := n.keepers[name].VoterStatus(); noMajority {
				withoutMajority++
			}
		}
		n.stop()
		for i, name := range names {
			must.Len(t, quorum.MaxVoters, unlisted[i].Entries, must.Sprint(name))
			must.Len(t, quorum.MaxVoters, listed[i].Entries, must.Sprint(name))
			must.Greater(t, before.Generation, listed[i].Generation, must.Sprint(name))
		}
		must.Zero(t, withoutMajority)
	})
}

// TestFirstTableNeedsListOfNodes guards against a first table with one voter, made by a node that has
// no list of the other nodes long after its start.
func TestFirstTableNeedsListOfNodes(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		for i := range 6 {
			name := fmt.Sprintf("k%d", i)
			n.setUnlisted(name, true)
			n.start(name)
		}
		time.Sleep(2 * fallbackCreateDelay)
		early := n.store.Count(managed.VoterKind)
		for i := range 6 {
			n.setUnlisted(fmt.Sprintf("k%d", i), false)
		}
		time.Sleep(time.Second)
		table := n.anyKeeper().table()
		n.stop()
		must.Zero(t, early)
		must.NotNil(t, table)
		must.Len(t, quorum.MaxVoters, table.Entries)
	})
}

// TestVotersJoinSoon guards against a table with one voter that stays for long after other nodes have
// joined: the loss of that node would stop all work.
func TestVotersJoinSoon(t *testing.T) {
	const joinBound = 4 * time.Second
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(1)
		time.Sleep(fallbackCreateDelay + time.Second)
		first := n.anyKeeper().table()
		for i := 1; i < 9; i++ {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(joinBound)
		table := n.keepers["k8"].table()
		n.stop()
		must.NotNil(t, first)
		must.Len(t, 1, first.Entries)
		must.Len(t, quorum.MaxVoters, table.Entries)
	})
}

// TestStoppingVotersHandOver guards against the loss of a majority of voters by planned stops: machines that
// are stopped for good at the same time would leave the others without leases for ever.
func TestStoppingVotersHandOver(t *testing.T) {
	const graceBeforeExit = 2 * time.Second
	for name, tc := range map[string]struct{ stopping, pause int }{
		"a majority at once":             {3, 0},
		"a majority one after the other": {4, 300},
		"all but two":                    {7, 50},
	} {
		bubbletest.Test(t, func(t *testing.T) {
			n := newNetwork(9)
			time.Sleep(6 * time.Second)
			names := slices.Sorted(maps.Keys(n.keepers))
			before := n.anyKeeper().table()
			openTenure(t, n.anyKeeper(), before.LeastBallot()+1, "a")
			// The voters stop first.
			slices.SortStableFunc(names, func(a, b string) int {
				return cmp.Compare(slices.IndexFunc(before.Entries, func(e quorum.VoterEntry) bool { return e.Name == b }),
					slices.IndexFunc(before.Entries, func(e quorum.VoterEntry) bool { return e.Name == a }))
			})
			stopping := names[:tc.stopping]
			var exits sync.WaitGroup
			for _, name := range stopping {
				n.keepers[name].Leave()
				exits.Go(func() {
					time.Sleep(graceBeforeExit)
					n.kill(name)
				})
				time.Sleep(time.Duration(tc.pause) * time.Millisecond)
			}
			exits.Wait()
			time.Sleep(time.Second)
			uncovered, kept := 0, 0
			for _, k := range n.keepers {
				if view := k.View("s"); view == nil || !view.Covers(time.Now()) {
					uncovered++
				}
				for _, entry := range k.table().Entries {
					if slices.Contains(stopping, entry.Name) {
						kept++
					}
				}
			}
			n.stop()
			must.Zero(t, uncovered, must.Sprint(name, ": nodes without leases"))
			must.Zero(t, kept, must.Sprint(name, ": voters that have stopped"))
		})
	}
}

// TestStoppingNodesWithoutStoreAreReplaced guards against voters that stop for good and can't hand over their
// places, because they don't reach the store, and against supporters that stop unnoticed.
func TestStoppingNodesWithoutStoreAreReplaced(t *testing.T) {
	const graceBeforeExit = 2400 * time.Millisecond
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		time.Sleep(6 * time.Second)
		openTenure(t, n.anyKeeper(), n.anyKeeper().table().LeastBallot()+1, "a")
		stopping := n.votersFirst()[1:7]
		for _, name := range stopping {
			n.store.SetIsolated(name, true)
			n.keepers[name].Leave()
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(graceBeforeExit)
		for _, name := range stopping {
			n.kill(name)
		}
		time.Sleep(3 * time.Second)
		table, covered := n.anyKeeper().table(), len(n.covered())
		n.stop()
		must.Eq(t, 3, covered, must.Sprint("nodes with leases"))
		for _, entry := range table.Entries {
			must.SliceNotContains(t, stopping, entry.Name)
		}
		for _, supporter := range table.Supporters {
			must.SliceNotContains(t, stopping, supporter.Name)
		}
	})
}

// TestSupportersAreAlive guards against a table whose supporters are mostly nodes that are gone: its generation
// could not be abandoned if a voter is lost as well.
func TestSupportersAreAlive(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		time.Sleep(6 * time.Second)
		openTenure(t, n.anyKeeper(), n.anyKeeper().table().LeastBallot()+1, "a")
		names := n.votersFirst()
		// The nodes that are gone are still listed.
		for _, name := range names[5:] {
			n.cutOff([]string{name})
		}
		n.cutOff(names[:1])
		time.Sleep(12 * time.Second)
		few := n.keepers[names[1]].table()
		n.cutOff(names[1:2])
		time.Sleep(fleetRecovery)
		covered := 0
		for _, name := range names[2:5] {
			if _, found := n.covered()[name]; found {
				covered++
			}
		}
		n.stop()
		must.Eq(t, 3, covered, must.Sprint("nodes with leases"))
		must.SliceNotContains(t, names[5:], few.Supporters[0].Name)
		must.Less(t, 5, len(few.Supporters))
	})
}

// TestVotersSurviveLossOfRegion guards against too few voters, and against a zone or region with
// more of them than necessary.
func TestVotersSurviveLossOfRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 4).Draw(t, "regions")
		var peers []Peer
		count := map[string]int{}
		for i := range rapid.IntRange(1, 30).Draw(t, "nodes") {
			region := fmt.Sprintf("r%d", rapid.IntRange(1, regions).Draw(t, "region"))
			zone := region + fmt.Sprintf("z%d", rapid.IntRange(1, 3).Draw(t, "zone"))
			peers = append(peers, Peer{Name: fmt.Sprintf("n%02d", i), Zone: zone, Region: region})
			count[region]++
		}
		own := peers[len(peers)-1]
		k := New(Config{Name: own.Name, Zone: own.Zone, Region: own.Region, Peers: func() []Peer { return peers[:len(peers)-1] }})
		before := &quorum.Table{}
		for i := range rapid.IntRange(0, 5).Draw(t, "before") {
			if i < len(peers) {
				before.Entries = append(before.Entries, quorum.VoterEntry{Name: peers[i].Name})
			}
		}
		voters := k.selectVoters(before, peers[:len(peers)-1])
		must.Len(t, voterCountFor(len(peers)), voters)
		total := 0
		for _, nodes := range count {
			total += min(nodes, (len(voters)-1)/2)
		}
		if total >= len(voters) {
			inRegion := map[string]int{}
			for _, entry := range voters {
				peer := k.locations(peers)[entry.Name]
				inRegion[peer.Region]++
				must.LessEq(t, max(1, (len(voters)-1)/2), inRegion[peer.Region])
			}
			must.False(t, k.unbalanced(voters) && fits(k, peers, len(voters)))
		}
	})
}

// fits reports whether choosing one node after the other, as selectVoters does, can keep the limits
// of zones and regions at the same time.
func fits(k *Keeper, peers []Peer, size int) bool {
	c := newSelection(k.locations(peers), size)
	for len(c.chosen) < size {
		name := c.next()
		if !c.fits(name) {
			return false
		}
		c.choose(name)
	}
	return true
}
