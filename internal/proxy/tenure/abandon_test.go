package tenure

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy/quorum"
)

// votersFirst returns the names of all keepers, those of the voters first.
func (n *network) votersFirst() []string {
	table := n.anyKeeper().table()
	names := slices.Sorted(maps.Keys(n.keepers))
	slices.SortStableFunc(names, func(a, b string) int {
		rank := func(name string) int {
			if table.VoterEntry(name) != nil {
				return 0
			}
			return 1
		}
		return rank(a) - rank(b)
	})
	return names
}

// covered returns which keepers may use the primary of a tenure.
func (n *network) covered() map[string]quorum.Tenure {
	covered := map[string]quorum.Tenure{}
	for name, k := range n.keepers {
		if view := k.View("s"); view != nil && view.Covers(time.Now()) {
			covered[name] = view.Tenure
		}
	}
	return covered
}

// stuckIn returns how many nodes have the generation of a table still, or no majority of voters.
func (n *network) stuckIn(table *quorum.Table) int {
	stuck := 0
	for _, k := range n.keepers {
		if _, noMajority := k.VoterStatus(); noMajority || k.table().Generation == table.Generation {
			stuck++
		}
	}
	return stuck
}

// fleetRecovery is the time after the loss of machines within which callers must be served again.
const fleetRecovery = 12 * time.Second

// TestMajorityOfVotersLostForGood guards against nodes that never have leases again once a majority of
// the voters is gone for good.
func TestMajorityOfVotersLostForGood(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		time.Sleep(6 * time.Second)
		before := n.anyKeeper().table()
		for _, entry := range before.Entries[:before.Majority()] {
			n.kill(entry.Name)
		}
		time.Sleep(fleetRecovery)
		stuck := n.stuckIn(before)
		n.stop()
		must.Zero(t, stuck, must.Sprint("nodes without a majority of voters"))
	})
}

// TestAnyNodeAbandonsGeneration guards against a generation that is not abandoned because the node that ranks
// first among those that are left does not reach the store.
func TestAnyNodeAbandonsGeneration(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		time.Sleep(6 * time.Second)
		before := n.anyKeeper().table()
		for _, entry := range before.Entries[:before.Majority()] {
			n.kill(entry.Name)
		}
		for name, k := range n.keepers {
			if k.createsTable(n.peersOf(name)) {
				n.store.SetIsolated(name, true)
			}
		}
		time.Sleep(fleetRecovery)
		stuck := n.stuckIn(before)
		n.stop()
		must.Zero(t, stuck, must.Sprint("nodes without a majority of voters"))
	})
}

// TestVotersLostAndRestarted guards against nodes that never have leases again after a voter is gone for good
// while others have restarted: those that are left are too few to tell the restarted ones what was decided, and
// the one that is gone might know.
func TestVotersLostAndRestarted(t *testing.T) {
	for name, tc := range map[string]struct{ lost, restarted int }{
		"one lost, two restarted": {1, 2}, "one lost, three restarted": {1, 3}, "two lost, one restarted": {2, 1},
	} {
		bubbletest.Test(t, func(t *testing.T) {
			n := newNetwork(9)
			time.Sleep(6 * time.Second)
			before := n.anyKeeper().table()
			names := n.votersFirst()
			for i, name := range names[:tc.lost+tc.restarted] {
				n.kill(name)
				if i >= tc.lost {
					n.start(name)
				}
			}
			time.Sleep(fleetRecovery)
			stuck := n.stuckIn(before)
			n.stop()
			must.Zero(t, stuck, must.Sprint(name, ": nodes without a majority of voters"))
		})
	}
}

// TestMajorityOfSupportersLostForGood guards against nodes that never have leases again once a majority of
// the voters and of the supporters is gone for good.
func TestMajorityOfSupportersLostForGood(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		time.Sleep(6 * time.Second)
		before := n.anyKeeper().table()
		for _, name := range n.votersFirst()[:5] {
			n.kill(name)
		}
		time.Sleep(fleetRecovery)
		stuck := n.stuckIn(before)
		n.stop()
		must.Zero(t, stuck, must.Sprint("nodes without a majority of voters"))
	})
}

// TestCutOffVotersStopFirst guards against two tenures in use: a majority of voters that is only cut off,
// with a node that it serves, must grant no leases any more once the others have the next generation.
func TestCutOffVotersStopFirst(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		time.Sleep(6 * time.Second)
		before := n.anyKeeper().table()
		openTenure(t, n.anyKeeper(), before.LeastBallot()+1, "a")
		names := n.votersFirst()
		far := append(slices.Clone(names[:3]), names[8])
		n.cutOff(far)
		stoppedAt, changedAt := time.Duration(0), time.Duration(0)
		overlaps := 0
		began := time.Now()
		for time.Since(began) < 20*time.Second {
			time.Sleep(20 * time.Millisecond)
			used := false
			covered := n.covered()
			for _, name := range far {
				_, uses := covered[name]
				used = used || uses
			}
			if used {
				stoppedAt = time.Since(began)
			}
			changed := n.keepers[names[5]].table().Generation > before.Generation
			if changed && changedAt == 0 {
				changedAt = time.Since(began)
				openTenure(t, n.keepers[names[5]], n.keepers[names[5]].table().LeastBallot()+1, "b")
			}
			if changed && used {
				overlaps++
			}
		}
		usable := len(n.covered())
		n.stop()
		must.Zero(t, overlaps)
		must.Positive(t, stoppedAt)
		must.Between(t, time.Second, changedAt, fleetRecovery)
		must.Eq(t, 5, usable, must.Sprint("nodes with leases of the next generation"))
	})
}

// TestVotersOutliveSupporters guards against voters that stop because most supporters are gone for good,
// though the store confirms their generation.
func TestVotersOutliveSupporters(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		time.Sleep(6 * time.Second)
		openTenure(t, n.anyKeeper(), n.anyKeeper().table().LeastBallot()+1, "a")
		names := n.votersFirst()
		for _, name := range append(slices.Clone(names[5:]), names[0]) {
			n.kill(name)
		}
		uncovered := 0
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			if len(n.covered()) < 4 {
				uncovered++
			}
		}
		n.stop()
		// The lost voter is replaced, or dropped from the table.
		must.LessEq(t, 5, uncovered)
	})
}

// TestSupportersReplaceStore guards against voters that stop while the store is away for long.
func TestSupportersReplaceStore(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(9)
		time.Sleep(6 * time.Second)
		openTenure(t, n.anyKeeper(), n.anyKeeper().table().LeastBallot()+1, "a")
		n.store.SetDown(true)
		uncovered := 0
		for range 300 {
			time.Sleep(200 * time.Millisecond)
			uncovered += 9 - len(n.covered())
		}
		n.stop()
		must.Zero(t, uncovered)
	})
}
