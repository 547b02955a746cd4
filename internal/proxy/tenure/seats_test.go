package tenure

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

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
