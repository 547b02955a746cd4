package failover

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/position"
)

var epoch = time.Unix(1_000_000, 0)

func at(milliseconds int) time.Time { return epoch.Add(time.Duration(milliseconds) * time.Millisecond) }

func healthy() Observation {
	return Observation{Leader: "a", Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
}

func down() Observation {
	seen := healthy()
	seen.LeaderDown = true
	return seen
}

func reports(b, c uint64) Surveyed {
	return Surveyed{Reports: []Report{
		{ID: "b", Term: 1, Received: position.Position{Term: 1, Offset: b}},
		{ID: "c", Term: 1, Received: position.Position{Term: 1, Offset: c}},
	}}
}

// seenDown observes a primary that this node does not reach, and lets other
// nodes confirm it.
func seenDown(t *testing.T, machine *Machine, when time.Time, seen Observation) []Effect {
	t.Helper()
	must.Eq(t, []Effect{Corroborate{Server: seen.Leader, Superiors: machine.superiors()}}, machine.Step(when, Observed{seen}))
	return renewed(t, machine, when, machine.Step(when, Corroborated{Answers: 3}))
}

// renewed lets the lease be renewed, if that is what a machine asks for.
func renewed(t *testing.T, machine *Machine, when time.Time, effects []Effect) []Effect {
	t.Helper()
	if len(effects) != 1 {
		return effects
	}
	write, ok := effects[0].(WriteLease)
	if !ok || !machine.renewed {
		return effects
	}
	must.Eq(t, WriteLease{Revision: machine.revision, Lease: Lease{Holder: machine.node, Epoch: machine.epoch, Life: machine.life}}, write)
	return machine.Step(when, LeaseWritten{Result: Written, Revision: write.Revision + 1})
}

// holder returns a machine that holds the lease at epoch 1.
func holder(t *testing.T) *Machine {
	t.Helper()
	machine := New(Config{Node: "n1", Life: "life"})
	effects := machine.Step(at(0), LeaseKnown{Missing: true})
	must.Eq(t, []Effect{WriteLease{Create: true, Lease: Lease{Holder: "n1", Epoch: 1, Life: "life"}}}, effects)
	must.SliceEmpty(t, machine.Step(at(1), LeaseWritten{Result: Written, Revision: 7}))
	must.True(t, machine.Holding())
	return machine
}

func TestHealthyPrimaryStays(t *testing.T) {
	machine := holder(t)
	for i := range 100 {
		must.SliceEmpty(t, machine.Step(at(100*i), Observed{healthy()}))
	}
}

func TestHolderPromotesTheServerThatReceivedMost(t *testing.T) {
	machine := holder(t)
	must.Eq(t, []Effect{Survey{Except: "a"}}, seenDown(t, machine, at(100), down()))
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 1}}, machine.Step(at(150), reports(10, 11)))
	must.SliceEmpty(t, machine.Step(at(160), Ordered{Accepted}))
	must.SliceEmpty(t, machine.Step(at(200), Observed{down()}))
	settled := healthy()
	settled.Leader = "c"
	must.SliceEmpty(t, machine.Step(at(1200), Observed{settled}))
	must.Eq(t, Watching, machine.Phase())
}

// unanswered lets an order and all its repeats go without an answer, from a moment
// on, within 800 ms.
func unanswered(t *testing.T, machine *Machine, since int, seen Observation, given Order) {
	t.Helper()
	must.SliceEmpty(t, machine.Step(at(since), Ordered{Unanswered}))
	for i := range maxRepeats {
		must.SliceEmpty(t, machine.Step(at(since+200*i+50), Observed{seen}))
		must.Eq(t, []Effect{given}, machine.Step(at(since+200*i+150), Observed{seen}))
		must.SliceEmpty(t, machine.Step(at(since+200*i+200), Ordered{Unanswered}))
	}
}

// TestUnansweredOrderIsGivenAgain: under the same token, until it is answered, the
// target leads or the need has passed.
func TestUnansweredOrderIsGivenAgain(t *testing.T) {
	given := Order{Target: "c", Token: tokensPerEpoch + 1}
	ordered := func() *Machine {
		machine := holder(t)
		seenDown(t, machine, at(100), down())
		must.Eq(t, []Effect{given}, machine.Step(at(150), reports(10, 11)))
		machine.Step(at(750), Ordered{Unanswered})
		must.Eq(t, []Effect{given}, machine.Step(at(850), Observed{down()}))
		return machine
	}
	accepted := ordered()
	must.SliceEmpty(t, accepted.Step(at(900), Ordered{Accepted}))
	must.SliceEmpty(t, accepted.Step(at(2000), Observed{down()}))
	must.Eq(t, Settling, accepted.Phase())

	changed := ordered()
	changed.Step(at(1450), Ordered{Unanswered})
	settled := healthy()
	settled.Leader = "c"
	must.SliceEmpty(t, changed.Step(at(1600), Observed{settled}))
	must.Eq(t, Watching, changed.Phase())

	back := ordered()
	back.Step(at(1450), Ordered{Unanswered})
	must.SliceEmpty(t, back.Step(at(1600), Observed{healthy()}))
	must.Eq(t, Watching, back.Phase())
}

func TestUnansweredOrderIsFollowedByAHigherToken(t *testing.T) {
	machine := holder(t)
	seenDown(t, machine, at(100), down())
	machine.Step(at(150), reports(10, 11))
	unanswered(t, machine, 350, down(), Order{Target: "c", Token: tokensPerEpoch + 1})
	must.SliceEmpty(t, machine.Step(at(1200), Observed{down()}))
	must.Eq(t, []Effect{Survey{Except: "a"}}, seenDown(t, machine, at(2400), down()))
	must.Eq(t, []Effect{Order{Target: "b", Token: tokensPerEpoch + 2}}, machine.Step(at(2450), reports(12, 11)))
}

func TestRejectedTargetIsAvoidedAndTheLeaseReadAgain(t *testing.T) {
	machine := holder(t)
	seenDown(t, machine, at(100), down())
	machine.Step(at(150), reports(10, 11))
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(160), Ordered{Rejected}))
	// A deputy may have used a higher token of the epoch, so the next one begins.
	must.Eq(t, []Effect{WriteLease{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 2, Life: "life"}}},
		machine.Step(at(170), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 1, Life: "life"}}))
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(180), LeaseWritten{Result: Written, Revision: 8}))
	must.Eq(t, []Effect{Order{Target: "b", Token: 2*tokensPerEpoch + 2}}, machine.Step(at(200), reports(10, 11)))
}

func TestHolderThatWasReplacedDoesNotAct(t *testing.T) {
	machine := holder(t)
	seenDown(t, machine, at(100), down())
	machine.Step(at(150), reports(10, 11))
	machine.Step(at(160), Ordered{Rejected})
	must.SliceEmpty(t, machine.Step(at(170), LeaseKnown{Revision: 9, Lease: Lease{Holder: "n2", Epoch: 2}}))
	must.False(t, machine.Holding())
	must.SliceEmpty(t, machine.Step(at(200), Observed{down()}))
}

// other returns a machine of a node that does not hold the lease.
func other(rank time.Duration) *Machine {
	machine := New(Config{Node: "n2", Life: "life", Rank: rank})
	machine.Step(at(0), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 3}})
	return machine
}

func TestOtherNodeTakesOverFromAHolderThatDoesNotAct(t *testing.T) {
	machine := other(400 * time.Millisecond)
	must.SliceEmpty(t, machine.Step(at(100), Observed{down()}))
	must.SliceEmpty(t, machine.Step(at(500), Observed{down()}))
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(600), Observed{down()}))
	// The holder lives: the matter is left to it.
	must.SliceEmpty(t, machine.Step(at(650), Corroborated{Answers: 3, HolderAnswered: true}))
	must.SliceEmpty(t, machine.Step(at(2900), Observed{down()}))
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(3000), Observed{down()}))
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(3050), Corroborated{Answers: 3, HolderAnswered: true}))
	must.Eq(t, []Effect{WriteLease{Revision: 7, Lease: Lease{Holder: "n2", Epoch: 4, Life: "life"}}},
		machine.Step(at(3060), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 3}}))
	// The others' word is 20 ms old: it is not asked for again.
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(3070), LeaseWritten{Result: Written, Revision: 9}))
	must.Eq(t, []Effect{Order{Target: "b", Token: 4*tokensPerEpoch + 1}}, machine.Step(at(3100), reports(5, 4)))
	// It holds for this survey only.
	unanswered(t, machine, 3150, down(), Order{Target: "b", Token: 4*tokensPerEpoch + 1})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(5200), Observed{down()}))
}

// TestOthersWordDoesNotOutliveASlowStore: the lease took long to take over, so
// the other nodes are asked again whether they reach the primary.
func TestOthersWordDoesNotOutliveASlowStore(t *testing.T) {
	machine := other(0)
	machine.Step(at(100), Observed{down()})
	machine.Step(at(500), Observed{down()})
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(520), Corroborated{Answers: 2}))
	machine.Step(at(800), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 3}})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(1120), LeaseWritten{Result: Written, Revision: 9}))
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(1130), Corroborated{Answers: 3}))
}

func TestOtherNodeTakesOverAtOnceFromAHolderThatIsGone(t *testing.T) {
	machine := other(0)
	machine.Step(at(100), Observed{down()})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(500), Observed{down()}))
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(520), Corroborated{Answers: 2}))
}

func TestPrimaryThatOtherNodesReachStays(t *testing.T) {
	machine := holder(t)
	must.Eq(t, []Effect{Corroborate{Server: "a"}}, machine.Step(at(100), Observed{down()}))
	must.Eq(t, []Effect{Detour{Server: "a"}}, machine.Step(at(150), Corroborated{Answers: 5, Reached: 3}))
	must.SliceEmpty(t, machine.Step(at(300), Observed{down()}))
	// The way through another node does not help, and half of them do not reach
	// the primary either: it is replaced.
	must.Eq(t, []Effect{Corroborate{Server: "a"}}, machine.Step(at(1300), Observed{down()}))
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(1350), Corroborated{Answers: 4, Reached: 2}))
}

// TestNodeOfAFleetOfOneGoesByItsOwnEvidence: there is nobody to ask.
func TestNodeOfAFleetOfOneGoesByItsOwnEvidence(t *testing.T) {
	machine := holder(t)
	machine.Step(at(100), Observed{down()})
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(500), Corroborated{}))
}

// TestSilenceOfOthersIsNoEvidence: a primary is replaced only if enough of the nodes
// that were asked say that it is down, one of another zone among them, or if the
// directory or the primary itself says so.
func TestSilenceOfOthersIsNoEvidence(t *testing.T) {
	gone, draining := down(), down()
	gone.LeaderGone = true
	draining.LeaderDraining = true
	for _, c := range []struct {
		name  string
		seen  Observation
		word  Corroborated
		acted bool
	}{
		{"nobody answers", down(), Corroborated{Asked: 5, AskedElsewhere: 4}, false},
		{"one confirms", down(), Corroborated{Asked: 5, Answers: 1, AskedElsewhere: 4, ConfirmedElsewhere: 1}, false},
		{"two confirm", down(), Corroborated{Asked: 5, Answers: 2, AskedElsewhere: 4, ConfirmedElsewhere: 1}, true},
		{"two of the own zone confirm", down(), Corroborated{Asked: 5, Answers: 2, AskedElsewhere: 3}, false},
		{"two of a fleet in one zone confirm", down(), Corroborated{Asked: 5, Answers: 2}, true},
		{"the other node of two confirms", down(), Corroborated{Asked: 1, Answers: 1, AskedElsewhere: 1, ConfirmedElsewhere: 1}, true},
		{"the other node of two is silent", down(), Corroborated{Asked: 1, AskedElsewhere: 1}, false},
		{"nobody answers, the directory has lost it", gone, Corroborated{Asked: 5, AskedElsewhere: 4}, true},
		{"nobody answers, it announced its end", draining, Corroborated{Asked: 5, AskedElsewhere: 4}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			machine := holder(t)
			must.Eq(t, []Effect{Corroborate{Server: "a"}}, machine.Step(at(100), Observed{c.seen}))
			effects := machine.Step(at(150), c.word)
			if c.acted {
				must.Eq(t, []Effect{Survey{Except: "a"}}, effects)
				return
			}
			must.SliceEmpty(t, effects)
			must.Eq(t, Watching, machine.Phase())
			// Others are asked again soon.
			again := at(150).Add(pauseAfterFailure)
			must.Eq(t, []Effect{Corroborate{Server: "a"}}, machine.Step(again, Observed{c.seen}))
		})
	}
}

// TestDegradedNodeSuspectsNobody: not even after others have confirmed.
func TestDegradedNodeSuspectsNobody(t *testing.T) {
	machine := holder(t)
	seen := down()
	seen.Degraded = true
	must.SliceEmpty(t, machine.Step(at(100), Observed{seen}))
	machine.Step(at(200), Observed{down()})
	machine.Step(at(300), Observed{seen})
	must.SliceEmpty(t, machine.Step(at(350), Corroborated{Asked: 5, Answers: 5, AskedElsewhere: 4, ConfirmedElsewhere: 4}))
}

func TestPrimaryThatComesBackMeanwhileStays(t *testing.T) {
	machine := holder(t)
	machine.Step(at(100), Observed{down()})
	machine.Step(at(120), Observed{healthy()})
	must.SliceEmpty(t, machine.Step(at(150), Corroborated{Answers: 3}))
	must.Eq(t, Watching, machine.Phase())
}

func TestLeaseTakenLatelyByAnotherNodeIsRespected(t *testing.T) {
	machine := other(0)
	machine.Step(at(100), Observed{down()})
	machine.Step(at(500), Observed{down()})
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(520), Corroborated{Answers: 2}))
	must.SliceEmpty(t, machine.Step(at(530), LeaseKnown{Revision: 8, Lease: Lease{Holder: "n3", Epoch: 4}}))
	must.SliceEmpty(t, machine.Step(at(2800), Observed{down()}))
}

func TestLeaseOfAnEarlierLifeIsTakenAgainUnderANewEpoch(t *testing.T) {
	machine := New(Config{Node: "n1", Life: "second"})
	must.Eq(t, []Effect{WriteLease{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 2, Life: "second"}}},
		machine.Step(at(0), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 1, Life: "first"}}))
}

func TestDrainingPrimaryIsHandedOverAtOnce(t *testing.T) {
	machine := holder(t)
	seen := healthy()
	seen.LeaderDraining = true
	must.Eq(t, []Effect{Survey{}}, machine.Step(at(100), Observed{seen}))
}

func TestPrimaryWithoutAnotherServerStays(t *testing.T) {
	machine := holder(t)
	seen := Observation{Leader: "a", LeaderDown: true, Servers: []Server{{ID: "a"}, {ID: "b", Leaving: true}}}
	must.SliceEmpty(t, machine.Step(at(100), Observed{seen}))
}

func TestPrimaryFoundByASurveyIsNotReplaced(t *testing.T) {
	machine := holder(t)
	seenDown(t, machine, at(100), down())
	found := Surveyed{Reports: []Report{{ID: "b", Primary: true, Term: 2}}}
	must.Eq(t, []Effect{LeaderFound{ID: "b"}}, machine.Step(at(150), found))
}

func synchronous(leaderDown bool) Observation {
	seen := healthy()
	seen.LeaderDown, seen.LeaderDraining, seen.SynchronousReplicas = leaderDown, !leaderDown, 1
	return seen
}

func TestSynchronousServiceNeedsEnoughReports(t *testing.T) {
	machine := holder(t)
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, seenDown(t, machine, at(100), synchronous(true)))
	only := Surveyed{Reports: []Report{{ID: "b", Received: position.Position{Term: 1, Offset: 10}}}}
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(150), only), must.Sprint("c may hold more"))
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, seenDown(t, machine, at(500), synchronous(true)))
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 1}}, machine.Step(at(550), reports(10, 11)))
}

func TestSynchronousHandOverToAServerThatHoldsWhatThePrimaryHolds(t *testing.T) {
	machine := holder(t)
	must.Eq(t, []Effect{Survey{Hold: true}}, renewed(t, machine, at(100), machine.Step(at(100), Observed{synchronous(false)})))
	behind := Surveyed{Reports: []Report{
		{ID: "a", Primary: true, Received: position.Position{Term: 1, Offset: 12}},
		{ID: "b", Received: position.Position{Term: 1, Offset: 11}},
	}}
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(150), behind))
	renewed(t, machine, at(500), machine.Step(at(500), Observed{synchronous(false)}))
	behind.Reports[1].Received.Offset = 12
	must.Eq(t, []Effect{Order{Target: "b", Token: tokensPerEpoch + 1}}, machine.Step(at(550), behind))
}

func TestReplicasAreLetGoAfterTheChange(t *testing.T) {
	machine := holder(t)
	seenDown(t, machine, at(100), synchronous(true))
	machine.Step(at(150), reports(10, 11))
	machine.Step(at(160), Ordered{Accepted})
	settled := synchronous(true)
	settled.Leader, settled.LeaderDown = "c", false
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(1200), Observed{settled}))
}

// TestUnansweredOrderIsFencedOffBeforeReplicasAreLetGo: the primary has come
// back, but an order to replace it may still be carried out.
func TestUnansweredOrderIsFencedOffBeforeReplicasAreLetGo(t *testing.T) {
	machine := holder(t)
	seenDown(t, machine, at(100), synchronous(true))
	machine.Step(at(150), reports(10, 11))
	unanswered(t, machine, 350, synchronous(true), Order{Target: "c", Token: tokensPerEpoch + 1})
	back := healthy()
	back.SynchronousReplicas = 1
	must.Eq(t, []Effect{Order{Target: "a", Token: tokensPerEpoch + 2}}, machine.Step(at(2400), Observed{back}))
	must.SliceEmpty(t, machine.Step(at(2500), Observed{back}))
	must.SliceEmpty(t, machine.Step(at(3400), Ordered{Unanswered}))
	must.Eq(t, []Effect{Order{Target: "a", Token: tokensPerEpoch + 3}}, machine.Step(at(3800), Observed{back}))
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(3810), Ordered{Accepted}))
	must.SliceEmpty(t, machine.Step(at(3900), Observed{back}))
}

// TestUnansweredOrderBindsTheNext: the order for one replica may have been accepted,
// so ordering the other would lose what the first acknowledges as the primary.
func TestUnansweredOrderBindsTheNext(t *testing.T) {
	machine := holder(t)
	seenDown(t, machine, at(100), synchronous(true))
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 1}}, machine.Step(at(150), reports(10, 11)))
	unanswered(t, machine, 350, synchronous(true), Order{Target: "c", Token: tokensPerEpoch + 1})
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, seenDown(t, machine, at(2400), synchronous(true)))
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 2}}, machine.Step(at(2450), reports(11, 11)))
	unanswered(t, machine, 2600, synchronous(true), Order{Target: "c", Token: tokensPerEpoch + 2})
	seenDown(t, machine, at(4700), synchronous(true))
	only := Surveyed{Reports: []Report{{ID: "b", Term: 1, Received: position.Position{Term: 1, Offset: 11}}}}
	must.SliceEmpty(t, machine.Step(at(4750), only), must.Sprint("the first target is silent, but may lead"))
	gone := synchronous(true)
	gone.Servers = gone.Servers[:2]
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, seenDown(t, machine, at(6000), gone))
	must.Eq(t, []Effect{Order{Target: "b", Token: tokensPerEpoch + 3}}, machine.Step(at(6050), only))
}

func TestTakeoverDoesNotLetReplicasGoWhileItSurveysThem(t *testing.T) {
	machine := other(0)
	machine.Step(at(100), Observed{synchronous(true)})
	machine.Step(at(500), Observed{synchronous(true)})
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(510), Corroborated{Answers: 2}))
	machine.Step(at(520), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 3}})
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, renewed(t, machine, at(530), machine.Step(at(530), LeaseWritten{Result: Written, Revision: 9})))
}

// TestWayThroughTheOnlyNodeThatReachesThePrimary: most nodes are cut off, and the
// holder of the lease is not. Nothing is lost by going through it.
func TestWayThroughTheOnlyNodeThatReachesThePrimary(t *testing.T) {
	machine := other(0)
	machine.Step(at(100), Observed{down()})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(500), Observed{down()}))
	must.Eq(t, []Effect{Detour{Server: "a"}}, machine.Step(at(550), Corroborated{Answers: 5, Reached: 1, HolderAnswered: true}))
	must.SliceEmpty(t, machine.Step(at(800), Observed{healthy()}))
}

// TestHolderThatWasReplacedUnawaresDoesNotHoldReplicas: another node has taken
// the lease of a service with synchronous replicas.
func TestHolderThatWasReplacedUnawaresDoesNotHoldReplicas(t *testing.T) {
	machine := holder(t)
	machine.Step(at(100), Observed{synchronous(true)})
	must.Eq(t, []Effect{WriteLease{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 1, Life: "life"}}}, machine.Step(at(110), Corroborated{Answers: 2}))
	must.SliceEmpty(t, machine.Step(at(120), LeaseWritten{Result: Superseded}))
	must.False(t, machine.Holding())
	must.SliceEmpty(t, machine.Step(at(200), Observed{synchronous(true)}))
}
