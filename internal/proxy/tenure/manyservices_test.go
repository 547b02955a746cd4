package tenure

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy/quorum"
)

// changeLimit is how long a change of the primary may take; the end of an era closes all tenures
// for its time.
const changeLimit = 6 * time.Second

// openServices opens a tenure of each of many services through one keeper.
func openServices(t *testing.T, k *Keeper, services int) {
	t.Helper()
	least, _ := k.Standing()
	var opening sync.WaitGroup
	for i := range services {
		opening.Go(func() {
			service := fmt.Sprintf("service-%d", i)
			must.True(t, k.Prepare(service, least+1).Agreed)
			must.True(t, k.Open(service, quorum.Tenure{Ballot: least + 1, Primary: "a"}, 1, false).Agreed)
		})
		if i%20 == 19 {
			opening.Wait()
		}
	}
	opening.Wait()
}

// uncovered counts the services whose primary a keeper may not use.
func uncovered(k *Keeper, services int) int {
	missing := 0
	for i := range services {
		if view := k.View(fmt.Sprintf("service-%d", i)); view == nil || !view.Covers(time.Now()) {
			missing++
		}
	}
	return missing
}

// TestEraOfManyServicesEnds guards against an era whose records are too many to be told within
// one attempt to end it: its voters stayed sealed, and no service had a primary any more.
func TestEraOfManyServicesEnds(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const services = 820
		n := newNetwork(0)
		// Links of 10 Mbit/s, and the way between two regions.
		n.links = &links{rate: 1_250_000, queue: 64 << 10, busy: map[string]time.Time{}, passed: map[string]int{}}
		n.way = 12 * time.Millisecond
		for i := range 7 {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(6 * time.Second)
		table := n.keepers["k0"].table()
		must.Len(t, quorum.MaxVoters, table.Seats)
		openServices(t, n.keepers["k0"], services)
		time.Sleep(3 * time.Second)
		for name, k := range n.keepers {
			must.Zero(t, uncovered(k, services), must.Sprint(name))
		}
		n.kill(table.Seats[0].Name)
		time.Sleep(silentSpan + changeLimit)
		for name, k := range n.keepers {
			must.Eq(t, table.Era+1, k.table().Era, must.Sprint(name))
			must.Zero(t, uncovered(k, services), must.Sprint(name))
		}
		n.end()
	})
}
