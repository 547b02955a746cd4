package upstream

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/bubbletest"
)

// TestConnectionsBelongToOnePrincipal guards against running a principal's work on another's
// connection. At the limit another's idle connection is replaced; Own accepts any.
func TestConnectionsBelongToOnePrincipal(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		dialer := &limitedDialer{limit: 2}
		pool := newTestPool(dialer, 2)
		get := func(principal Principal) *Lease {
			lease, err := pool.Get(principal, time.Now().Add(time.Second))
			must.NoError(t, err)
			return lease
		}
		amber, birch := get("amber"), get("birch")
		amber.Return()
		time.Sleep(time.Millisecond)
		birch.Return()
		must.True(t, get("amber") == amber)
		must.Eq(t, birch, get(Own), must.Sprint("Own should get any idle connection"))
		birch.Return()
		cedar := get("cedar")
		must.Eq(t, Principal("cedar"), cedar.principal)
		must.Eq(t, 2, pool.Open(), must.Sprint("birch's idle connection should have been replaced"))
		must.Eq(t, 2, dialer.open)
		amber.Return()
		cedar.Return()
		pool.Close()
	})
}

// TestNoPrincipalStarves guards against a principal that never gets a connection while others
// compete for a few.
func TestNoPrincipalStarves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const (
			work = 20 * time.Millisecond
			dial = 10 * time.Millisecond
		)
		principals := rapid.IntRange(1, 40).Draw(rt, "principals")
		connections := rapid.IntRange(1, 6).Draw(rt, "connections")
		// greedy users of the first principal request a connection again at once.
		greedy := rapid.IntRange(0, 12).Draw(rt, "greedy")
		seed := rapid.Uint64().Draw(rt, "seed")
		bubbletest.Test(t, func(*testing.T) {
			dialer := &limitedDialer{limit: connections}
			pool := newTestPool(dialer, connections)
			users := greedy + principals
			// In the worst case all other users go first on the same connection, each after a dial
			// and some overtaking. The limit rises in steps from its initial value.
			bound := time.Duration(users)*(work+dial+maxOvertakeTime) + time.Second
			var working sync.WaitGroup
			use := func(principal Principal, random *rand.Rand, pause time.Duration) {
				for range 10 {
					lease, err := pool.Get(principal, time.Now().Add(bound))
					if err != nil {
						rt.Errorf("%s got no connection within %v: %v", principal, bound, err)
						return
					}
					if lease.principal != principal {
						rt.Errorf("%s got a connection of %s", principal, lease.principal)
					}
					time.Sleep(time.Duration(random.Int64N(int64(work))))
					if random.IntN(20) == 0 {
						lease.Discard()
					} else {
						lease.Return()
					}
					time.Sleep(pause)
				}
			}
			for i := range greedy {
				working.Go(func() { use("p0", rand.New(rand.NewPCG(seed, uint64(i))), 0) })
			}
			for i := range principals {
				working.Go(func() { use(Principal(fmt.Sprintf("p%d", i)), rand.New(rand.NewPCG(seed, uint64(100+i))), work) })
			}
			working.Wait()
			synctest.Wait()
			pool.Close()
			synctest.Wait()
			if pool.Open() != 0 || dialer.open != 0 {
				rt.Errorf("%d connections are still open, the pool counts %d", dialer.open, pool.Open())
			}
		})
	})
}
