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

// changeTimeout bounds the time without open tenures while the table changes.
const changeTimeout = 6 * time.Second

// openServices opens a tenure of each of many services through one keeper.
func openServices(t *testing.T, k *Keeper, services int) {
	t.Helper()
	leastBallot, _ := k.VoterStatus()
	var opening sync.WaitGroup
	for i := range services {
		opening.Go(func() {
			service := fmt.Sprintf("service-%d", i)
			must.True(t, k.Prepare(service, leastBallot+1).Agreed)
			must.True(t, k.Open(service, quorum.Tenure{Ballot: leastBallot + 1, Primary: "a"}, 1, false).Agreed)
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

// TestGenerationChangeWithManyServices guards against a generation with more records than one
// attempt to seal it can collect: its voters would stay sealed and no service would have a primary.
func TestGenerationChangeWithManyServices(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const services = 820
		n := newNetwork(0)
		// Links of 10 Mbit/s, and the latency between two regions.
		n.links = &links{rate: 1_250_000, queue: 64 << 10, busyUntil: map[string]time.Time{}, sentBytes: map[string]int{}}
		n.latency = 12 * time.Millisecond
		for i := range 7 {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(6 * time.Second)
		table := n.keepers["k0"].table()
		must.Len(t, quorum.MaxVoters, table.Entries)
		openServices(t, n.keepers["k0"], services)
		time.Sleep(3 * time.Second)
		for name, k := range n.keepers {
			must.Zero(t, uncovered(k, services), must.Sprint(name))
		}
		n.kill(table.Entries[0].Name)
		time.Sleep(silenceTimeout + changeTimeout)
		for name, k := range n.keepers {
			must.Eq(t, table.Generation+1, k.table().Generation, must.Sprint(name))
			must.Zero(t, uncovered(k, services), must.Sprint(name))
		}
		n.stop()
	})
}
