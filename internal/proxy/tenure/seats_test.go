package tenure

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy/quorum"
)

// thirds places nodes k0, k1, ... in three regions of two zones each by turns.
func thirds(name string) (zone, region string) {
	var number int
	_, _ = fmt.Sscanf(name, "k%d", &number)
	return fmt.Sprintf("z%d", number%6), fmt.Sprintf("r%d", number%3)
}

// inRegions counts a table's voters by region.
func inRegions(table *quorum.Table) map[string]int {
	count := map[string]int{}
	for _, seat := range table.Seats {
		_, region := thirds(seat.Name)
		count[region]++
	}
	return count
}

// TestFirstTableOfABusyFleet guards against a first table of one voter: nodes that are busy with
// their start answer the first inquiries too late.
func TestFirstTableOfABusyFleet(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		n.placeOf = thirds
		// Each answer comes between two inquiries.
		n.way = 100 * time.Millisecond
		for i := range 12 {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(3 * time.Second)
		n.setWay(12 * time.Millisecond)
		time.Sleep(3 * time.Second)
		table := n.keepers["k0"].table()
		must.NotNil(t, table)
		must.Len(t, quorum.MaxVoters, table.Seats)
		for region, voters := range inRegions(table) {
			must.Less(t, table.Majority(), voters, must.Sprint(region))
		}
		n.end()
	})
}

// TestCrowdedTableIsSpread guards against voters of which one region has a majority: the loss or
// the cut of that region leaves no majority. Nodes of other regions that come later get seats.
func TestCrowdedTableIsSpread(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		n.placeOf = thirds
		for i := 0; i < 30; i += 3 {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(6 * time.Second)
		must.Len(t, quorum.MaxVoters, n.keepers["k0"].table().Seats)
		opened(t, n.keepers["k0"], n.keepers["k0"].table().LeastBallot()+1, "a")
		for i := range 30 {
			if i%3 != 0 {
				n.start(fmt.Sprintf("k%d", i))
			}
		}
		time.Sleep(2*growInterval + changeLimit)
		table := n.keepers["k0"].table()
		must.Len(t, quorum.MaxVoters, table.Seats)
		for region, voters := range inRegions(table) {
			must.Less(t, table.Majority(), voters, must.Sprint(region))
		}
		must.True(t, n.keepers["k1"].View("s").Covers(time.Now()))
		// It stays as it is then.
		time.Sleep(3 * growInterval)
		must.Eq(t, table.Era, n.keepers["k0"].table().Era)
		n.end()
	})
}

// TestLostVoterWhileStoreIsDown guards against an era that is ended while no table can be written:
// no node had leases then until the store was back, though a majority of voters was there.
func TestLostVoterWhileStoreIsDown(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(8)
		time.Sleep(6 * time.Second)
		n.kill(n.keepers["k0"].table().Seats[0].Name)
		time.Sleep(silentSpan + changeLimit)
		// The voter in charge has written the table, and so knows its revision.
		inCharge := n.keepers[n.anyKeeper().table().Seats[0].Name]
		table := inCharge.table()
		opened(t, inCharge, table.LeastBallot()+1, "a")
		n.store.SetDown(true)
		n.kill(table.Seats[4].Name)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for name, k := range n.keepers {
				must.True(t, k.View("s").Covers(time.Now()), must.Sprint(name))
			}
		}
		n.store.SetDown(false)
		time.Sleep(changeLimit)
		for name, k := range n.keepers {
			must.Eq(t, table.Era+1, k.table().Era, must.Sprint(name))
			must.True(t, k.View("s").Covers(time.Now()), must.Sprint(name))
		}
		n.end()
	})
}

// TestVotersBearALoss: whatever nodes live where, the voters are as many as their number asks
// for, and no zone or region has more of them than it must.
func TestVotersBearALoss(t *testing.T) {
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
				before.Seats = append(before.Seats, quorum.Seat{Name: peers[i].Name})
			}
		}
		seats := k.seats(before, peers[:len(peers)-1])
		must.Len(t, seatsFor(len(peers)), seats)
		room := 0
		for _, nodes := range count {
			room += min(nodes, (len(seats)-1)/2)
		}
		if room >= len(seats) {
			inRegion := map[string]int{}
			for _, seat := range seats {
				peer := k.places(peers)[seat.Name]
				inRegion[peer.Region]++
				must.LessEq(t, max(1, (len(seats)-1)/2), inRegion[peer.Region])
			}
			must.False(t, k.crowded(seats) && fits(k, peers, len(seats)))
		}
	})
}

// fits reports whether the bounds of zones and regions can be met at the same time by taking one
// node after the other, which is how the voters are chosen.
func fits(k *Keeper, peers []Peer, wanted int) bool {
	c := newChoice(k.places(peers), wanted)
	for len(c.chosen) < wanted {
		name := c.best()
		if !c.fits(name) {
			return false
		}
		c.choose(name)
	}
	return true
}
