package failover

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/position"
)

// leaseWithDeputies returns a lease of n1 with two deputies.
func leaseWithDeputies(epoch uint64) Lease {
	return Lease{Holder: "n1", Epoch: epoch, Incarnation: "x", Deputies: []string{"n2", "n3"}}
}

// newDeputy returns a machine of a node that knows the lease of another node.
func newDeputy(node, incarnation string, lease Lease) *Machine {
	machine := New(Config{Node: node, Incarnation: incarnation})
	machine.Step(at(0), LeaseKnown{Revision: 7, Lease: lease})
	return machine
}

// observeDownWithoutStore lets a machine find the primary down, learn that no other node reaches
// it, and get no answer from the store.
func observeDownWithoutStore(machine *Machine, since int) []Effect {
	machine.Step(at(since), Observed{downObservation()})
	machine.Step(at(since+500), Observed{downObservation()})
	machine.Step(at(since+700), Corroborated{Answers: 3})
	return machine.Step(at(since+1200), LeaseKnown{Failed: true})
}

// orderToken returns the token of the order that follows a deputy's survey.
func orderToken(t *testing.T, machine *Machine, when int) uint64 {
	t.Helper()
	effects := machine.Step(at(when), surveyedOffsets(10, 11))
	must.Len(t, 1, effects)
	order, ok := effects[0].(Order)
	must.True(t, ok)
	must.Eq(t, "c", order.Target)
	return order.Token
}

// TestDeputyActsWhileTheStoreDoesNotAnswer guards against an outage that lasts because both the
// lease holder and the store are lost. The deputy's token is above the holder's.
func TestDeputyActsWhileTheStoreDoesNotAnswer(t *testing.T) {
	machine := newDeputy("n2", "l", leaseWithDeputies(3))
	must.Eq(t, []Effect{Survey{Except: "a"}}, observeDownWithoutStore(machine, 100))
	token := orderToken(t, machine, 1400)
	must.Greater(t, 3*tokensPerEpoch+tokensPerRank, token)
	must.Less(t, 3*tokensPerEpoch+2*tokensPerRank, token)
	must.SliceEmpty(t, machine.Step(at(1410), Ordered{Accepted}))
	settled := healthyObservation()
	settled.Leader = "c"
	machine.Step(at(1500), Observed{settled})
	must.Eq(t, Watching, machine.Phase())
	must.False(t, machine.HoldsLease())
}

// TestOnlyDeputiesAct guards against orders without the lease from a node that is no deputy,
// without recent confirmation, or for a service with synchronous replicas.
func TestOnlyDeputiesAct(t *testing.T) {
	must.SliceEmpty(t, observeDownWithoutStore(newDeputy("n4", "l", leaseWithDeputies(3)), 100))

	reached := newDeputy("n2", "l", leaseWithDeputies(3))
	reached.Step(at(100), Observed{downObservation()})
	reached.Step(at(600), Observed{downObservation()})
	must.Eq(t, []Effect{Detour{Server: "a"}}, reached.Step(at(700), Corroborated{Answers: 3, Reached: 1}))
	must.SliceEmpty(t, reached.Step(at(900), LeaseKnown{Failed: true}))

	synchronous := newDeputy("n2", "l", leaseWithDeputies(3))
	observation := downObservation()
	observation.SynchronousReplicas = 1
	synchronous.Step(at(100), Observed{observation})
	synchronous.Step(at(600), Observed{observation})
	synchronous.Step(at(700), Corroborated{Answers: 3})
	must.SliceEmpty(t, synchronous.Step(at(1200), LeaseKnown{Failed: true}))

	late := newDeputy("n2", "l", leaseWithDeputies(3))
	late.Step(at(100), Observed{downObservation()})
	late.Step(at(600), Observed{downObservation()})
	late.Step(at(700), Corroborated{Answers: 3})
	must.SliceEmpty(t, late.Step(at(700).Add(deputyConfirmationTTL), LeaseKnown{Failed: true}))
}

// TestLaterDeputyDefersToEarlierOnes guards against two deputies acting at the same time, and
// against a second deputy whose tokens are not above the first one's.
func TestLaterDeputyDefersToEarlierOnes(t *testing.T) {
	first, second := newDeputy("n2", "l", leaseWithDeputies(3)), newDeputy("n3", "l", leaseWithDeputies(3))
	second.Step(at(100), Observed{downObservation()})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1", "n2"}}}, second.Step(at(500), Observed{downObservation()}))
	must.SliceEmpty(t, second.Step(at(700), Corroborated{Answers: 3, HolderAnswered: true}))
	must.SliceEmpty(t, second.Step(at(800), Observed{downObservation()}))
	second = newDeputy("n3", "l", leaseWithDeputies(3))
	observeDownWithoutStore(first, 100)
	observeDownWithoutStore(second, 100)
	must.Greater(t, orderToken(t, first, 1400), orderToken(t, second, 1400))
}

// TestDeputyIncarnationsUseDifferentTokens guards against reused tokens: a restarted deputy does
// not know which ones it has used.
func TestDeputyIncarnationsUseDifferentTokens(t *testing.T) {
	used := map[uint64]bool{}
	for _, incarnation := range []string{"one", "two", "three", "four"} {
		machine := newDeputy("n2", incarnation, leaseWithDeputies(3))
		observeDownWithoutStore(machine, 100)
		token := orderToken(t, machine, 1400)
		must.False(t, used[token])
		used[token] = true
	}
}

// TestRejectedDeputyPauses guards against a deputy that competes with a newer holder or deputy,
// whose higher token made the platform reject its order.
func TestRejectedDeputyPauses(t *testing.T) {
	machine := newDeputy("n2", "l", leaseWithDeputies(3))
	observeDownWithoutStore(machine, 100)
	orderToken(t, machine, 1400)
	must.SliceEmpty(t, machine.Step(at(1410), Ordered{Rejected}))
	must.Eq(t, Watching, machine.Phase())
	must.SliceEmpty(t, machine.Step(at(1500), Observed{downObservation()}))
	must.SliceNotEmpty(t, machine.Step(at(1410).Add(deputyRejectionPause+10*time.Millisecond), Observed{downObservation()}))
}

// TestDeputyKeepsItsTokens guards against a deputy that uses tokens of other nodes because it
// learned of a newer lease during its survey.
func TestDeputyKeepsItsTokens(t *testing.T) {
	machine := newDeputy("n2", "l", leaseWithDeputies(3))
	must.Eq(t, []Effect{Survey{Except: "a"}}, observeDownWithoutStore(machine, 100))
	must.SliceEmpty(t, machine.Step(at(1350), LeaseKnown{Revision: 9, Lease: Lease{Holder: "n4", Epoch: 4, Incarnation: "y", Deputies: []string{"n5"}}}))
	token := orderToken(t, machine, 1400)
	must.Greater(t, 3*tokensPerEpoch+tokensPerRank, token)
	must.Less(t, 3*tokensPerEpoch+2*tokensPerRank, token)
}

// TestReplacedPrimaryIsNotPromotedAgain guards against rolling back acknowledged commits in a
// network partition: a deputy reaches only the replaced primary, while another server is the
// primary on the other side.
func TestReplacedPrimaryIsNotPromotedAgain(t *testing.T) {
	noPrimary := healthyObservation()
	noPrimary.Leader = ""
	survey := func(machine *Machine) {
		machine.Step(at(100), Observed{noPrimary})
		must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(4200), Observed{noPrimary}))
		must.Eq(t, []Effect{Survey{}}, machine.Step(at(4500), LeaseKnown{Failed: true}))
	}
	oldPrimary := Report{ID: "a", Term: 1, Received: position.Position{Term: 1, Offset: 23}}
	others := surveyedOffsets(21, 21).Reports
	for name, reports := range map[string][]Report{
		"the old primary alone": {oldPrimary}, "nobody": nil, "one is missing": {oldPrimary, others[0]}, "the others": others,
		"one is only assumed": {oldPrimary, others[0], {ID: "c", Term: 1, Received: others[1].Received, Assumed: true}},
	} {
		machine := newDeputy("n2", "l", leaseWithDeputies(3))
		survey(machine)
		must.SliceEmpty(t, machine.Step(at(4600), Surveyed{Reports: reports}), must.Sprint(name))
		must.Eq(t, Watching, machine.Phase())
	}
	machine := newDeputy("n2", "l", leaseWithDeputies(3))
	survey(machine)
	effects := machine.Step(at(4600), Surveyed{Reports: append([]Report{oldPrimary}, others...)})
	must.Len(t, 1, effects)
	order, ok := effects[0].(Order)
	must.True(t, ok)
	must.Eq(t, "a", order.Target)
}
