package tenure

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/proxy/quorum"
)

// TestRecordsComeFromTheNearestMajority guards against members that learn the records from all
// voters instead of a majority, and against members that fail when one of these voters is lost.
func TestRecordsComeFromTheNearestMajority(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const services = 200
		n := newNetwork(0)
		n.locationOf = threeRegions
		n.latency = 12 * time.Millisecond
		for i := range 24 {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(6 * time.Second)
		table := n.anyKeeper().table()
		must.Len(t, quorum.MaxVoters, table.Entries)
		openServices(t, n.keepers["k0"], services)
		time.Sleep(3 * time.Second)
		complete, members := 0, 0
		for name, k := range n.keepers {
			must.Zero(t, uncovered(k, services), must.Sprint(name))
			if table.VoterEntry(name) == nil {
				complete += len(k.completeVoters())
				members++
			}
		}
		// A member may have replaced a voter that answered late, and know one voter more.
		must.Between(t, table.Majority()*members, complete, (table.Majority()*members)+members/4)
		// The members that learned from a lost voter ask another one in time.
		lostVoter := table.Entries[0].Name
		n.setSilent(lostVoter, true)
		time.Sleep(quorum.LeaseDuration)
		for name, k := range n.keepers {
			if name != lostVoter {
				must.Zero(t, uncovered(k, services), must.Sprint(name))
			}
		}
		n.setSilent(lostVoter, false)
		n.stop()
	})
}

// TestTenureThatNearVotersMissedIsFound guards against a member that never learns a tenure of which
// two of its nearest voters missed the opening. A waiting request makes it ask the other voters.
func TestTenureThatNearVotersMissedIsFound(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(0)
		n.locationOf = threeRegions
		for i := range 24 {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(6 * time.Second)
		table := n.anyKeeper().table()
		var member *Keeper
		nearVoters := map[string]bool{}
		for name, k := range n.keepers {
			if table.VoterEntry(name) != nil {
				continue
			}
			member = k
			for _, voter := range k.completeVoters() {
				if len(nearVoters) < 2 {
					nearVoters[voter] = true
				}
			}
			break
		}
		candidate := n.keepers[table.Entries[0].Name]
		for _, entry := range table.Entries {
			if !nearVoters[entry.Name] {
				candidate = n.keepers[entry.Name]
			}
		}
		tenure := quorum.Tenure{Ballot: table.LeastBallot() + 1, Primary: "a"}
		must.True(t, candidate.Prepare("s", tenure.Ballot).Agreed)
		for name := range nearVoters {
			n.setSilent(name, true)
		}
		must.True(t, candidate.Open("s", tenure, 1, false).Agreed)
		time.Sleep(50 * time.Millisecond)
		for name := range nearVoters {
			n.setSilent(name, false)
		}
		time.Sleep(time.Second)
		for deadline := time.Now().Add(time.Second); time.Now().Before(deadline) && !member.View("s").Covers(time.Now()); {
			member.RenewFor("s", time.Now())
			time.Sleep(20 * time.Millisecond)
		}
		must.Eq(t, tenure, member.View("s").Tenure)
		must.True(t, member.View("s").Covers(time.Now()))
		n.stop()
	})
}

// completeVoters returns the voters whose records this node has completely.
func (k *Keeper) completeVoters() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.member.CompleteVoterNames()
}
