package failover

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/position"
)

// leaseOf is a lease of n1 with two deputies.
func leaseOf(epoch uint64) Lease {
	return Lease{Holder: "n1", Epoch: epoch, Life: "x", Deputies: []string{"n2", "n3"}}
}

// deputy returns a machine of a node that knows a lease of another one.
func deputy(node, life string, lease Lease) *Machine {
	machine := New(Config{Node: node, Life: life})
	machine.Step(at(0), LeaseKnown{Revision: 7, Lease: lease})
	return machine
}

// storeSilent lets a machine find the primary down, hear of nobody that reaches it
// and get no answer from the store.
func storeSilent(machine *Machine, since int) []Effect {
	machine.Step(at(since), Observed{down()})
	machine.Step(at(since+500), Observed{down()})
	machine.Step(at(since+700), Corroborated{Answers: 3})
	return machine.Step(at(since+1200), LeaseKnown{Failed: true})
}

// orderedBy returns the token of the order that follows a deputy's survey.
func orderedBy(t *testing.T, machine *Machine, when int) uint64 {
	t.Helper()
	effects := machine.Step(at(when), reports(10, 11))
	must.Len(t, 1, effects)
	order, ok := effects[0].(Order)
	must.True(t, ok)
	must.Eq(t, "c", order.Target)
	return order.Token
}

// TestDeputyActsWhileTheStoreIsSilent: with the holder lost and the store silent a
// deputy replaces the primary, under a token above the holder's.
func TestDeputyActsWhileTheStoreIsSilent(t *testing.T) {
	machine := deputy("n2", "l", leaseOf(3))
	must.Eq(t, []Effect{Survey{Except: "a"}}, storeSilent(machine, 100))
	token := orderedBy(t, machine, 1400)
	must.Greater(t, 3*tokensPerEpoch+ownTokens, token)
	must.Less(t, 3*tokensPerEpoch+2*ownTokens, token)
	must.SliceEmpty(t, machine.Step(at(1410), Ordered{Accepted}))
	settled := healthy()
	settled.Leader = "c"
	machine.Step(at(1500), Observed{settled})
	must.Eq(t, Watching, machine.Phase())
	must.False(t, machine.Holding())
}

// TestOnlyDeputiesAct: not a node that the lease does not name, nor one that others
// have not confirmed, nor for replicas that must be held.
func TestOnlyDeputiesAct(t *testing.T) {
	must.SliceEmpty(t, storeSilent(deputy("n4", "l", leaseOf(3)), 100))

	reached := deputy("n2", "l", leaseOf(3))
	reached.Step(at(100), Observed{down()})
	reached.Step(at(600), Observed{down()})
	must.Eq(t, []Effect{Detour{Server: "a"}}, reached.Step(at(700), Corroborated{Answers: 3, Reached: 1}))
	must.SliceEmpty(t, reached.Step(at(900), LeaseKnown{Failed: true}))

	synchronous := deputy("n2", "l", leaseOf(3))
	seen := down()
	seen.SynchronousReplicas = 1
	synchronous.Step(at(100), Observed{seen})
	synchronous.Step(at(600), Observed{seen})
	synchronous.Step(at(700), Corroborated{Answers: 3})
	must.SliceEmpty(t, synchronous.Step(at(1200), LeaseKnown{Failed: true}))

	late := deputy("n2", "l", leaseOf(3))
	late.Step(at(100), Observed{down()})
	late.Step(at(600), Observed{down()})
	late.Step(at(700), Corroborated{Answers: 3})
	must.SliceEmpty(t, late.Step(at(700).Add(deputyConfirmation), LeaseKnown{Failed: true}))
}

// TestLaterDeputyAsksTheEarlier: the second deputy leaves the matter to the holder and
// the first one, and has higher tokens than either.
func TestLaterDeputyAsksTheEarlier(t *testing.T) {
	first, second := deputy("n2", "l", leaseOf(3)), deputy("n3", "l", leaseOf(3))
	second.Step(at(100), Observed{down()})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1", "n2"}}}, second.Step(at(500), Observed{down()}))
	must.SliceEmpty(t, second.Step(at(700), Corroborated{Answers: 3, HolderAnswered: true}))
	must.SliceEmpty(t, second.Step(at(800), Observed{down()}))
	second = deputy("n3", "l", leaseOf(3))
	storeSilent(first, 100)
	storeSilent(second, 100)
	must.Greater(t, orderedBy(t, first, 1400), orderedBy(t, second, 1400))
}

// TestLivesOfADeputyUseOtherTokens: a deputy that is started again does not know
// which tokens it has used.
func TestLivesOfADeputyUseOtherTokens(t *testing.T) {
	used := map[uint64]bool{}
	for _, life := range []string{"one", "two", "three", "four"} {
		machine := deputy("n2", life, leaseOf(3))
		storeSilent(machine, 100)
		token := orderedBy(t, machine, 1400)
		must.False(t, used[token])
		used[token] = true
	}
}

// TestRejectedDeputyPauses: the platform has seen a higher token, so a newer holder
// or deputy acts.
func TestRejectedDeputyPauses(t *testing.T) {
	machine := deputy("n2", "l", leaseOf(3))
	storeSilent(machine, 100)
	orderedBy(t, machine, 1400)
	must.SliceEmpty(t, machine.Step(at(1410), Ordered{Rejected}))
	must.Eq(t, Watching, machine.Phase())
	must.SliceEmpty(t, machine.Step(at(1500), Observed{down()}))
	must.SliceNotEmpty(t, machine.Step(at(1410).Add(deputyPause+10*time.Millisecond), Observed{down()}))
}

// TestDeputyKeepsItsTokens: the store tells a newer lease, of which this node is no
// deputy, while the deputy surveys. Its order stays among its own tokens: those of the
// new lease belong to others.
func TestDeputyKeepsItsTokens(t *testing.T) {
	machine := deputy("n2", "l", leaseOf(3))
	must.Eq(t, []Effect{Survey{Except: "a"}}, storeSilent(machine, 100))
	must.SliceEmpty(t, machine.Step(at(1350), LeaseKnown{Revision: 9, Lease: Lease{Holder: "n4", Epoch: 4, Life: "y", Deputies: []string{"n5"}}}))
	token := orderedBy(t, machine, 1400)
	must.Greater(t, 3*tokensPerEpoch+ownTokens, token)
	must.Less(t, 3*tokensPerEpoch+2*ownTokens, token)
}

// TestReplacedPrimaryIsNotPromotedAgain: on one side of a split a deputy reaches only the
// old primary, which says that it does not lead any more. Another server leads on the other
// side; to promote the old one would roll back what that has acknowledged.
func TestReplacedPrimaryIsNotPromotedAgain(t *testing.T) {
	unknown := healthy()
	unknown.Leader = ""
	survey := func(machine *Machine) {
		machine.Step(at(100), Observed{unknown})
		must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(4200), Observed{unknown}))
		must.Eq(t, []Effect{Survey{}}, machine.Step(at(4500), LeaseKnown{Failed: true}))
	}
	old := Report{ID: "a", Term: 1, Received: position.Position{Term: 1, Offset: 23}}
	some := reports(21, 21).Reports
	for name, reported := range map[string][]Report{
		"the old primary alone": {old}, "nobody": nil, "one is missing": {old, some[0]}, "the others": some,
		"one is only assumed": {old, some[0], {ID: "c", Term: 1, Received: some[1].Received, Assumed: true}},
	} {
		machine := deputy("n2", "l", leaseOf(3))
		survey(machine)
		must.SliceEmpty(t, machine.Step(at(4600), Surveyed{Reports: reported}), must.Sprint(name))
		must.Eq(t, Watching, machine.Phase())
	}
	machine := deputy("n2", "l", leaseOf(3))
	survey(machine)
	effects := machine.Step(at(4600), Surveyed{Reports: append([]Report{old}, some...)})
	must.Len(t, 1, effects)
	order, ok := effects[0].(Order)
	must.True(t, ok)
	must.Eq(t, "a", order.Target)
}
