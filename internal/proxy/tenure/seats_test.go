package tenure

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

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
