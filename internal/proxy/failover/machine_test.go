package failover

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/position"
)

var startTime = time.Unix(1_000_000, 0)

func at(milliseconds int) time.Time {
	return startTime.Add(time.Duration(milliseconds) * time.Millisecond)
}

func healthyObservation() Observation {
	return Observation{Leader: "a", Servers: []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}}
}

func downObservation() Observation {
	observation := healthyObservation()
	observation.LeaderDown = true
	return observation
}

func surveyedOffsets(b, c uint64) Surveyed {
	return Surveyed{Reports: []Report{
		{ID: "b", Term: 1, Received: position.Position{Term: 1, Offset: b}},
		{ID: "c", Term: 1, Received: position.Position{Term: 1, Offset: c}},
	}}
}

// observeDown lets a machine observe a primary that this node does not reach, and other nodes
// confirm it.
func observeDown(t *testing.T, machine *Machine, when time.Time, observation Observation) []Effect {
	t.Helper()
	must.Eq(t, []Effect{Corroborate{Server: observation.Leader, Superiors: machine.superiors()}}, machine.Step(when, Observed{observation}))
	return completeRenewal(t, machine, when, machine.Step(when, Corroborated{Answers: 3}))
}

// completeRenewal answers the renewal of the lease if the effects ask for one.
func completeRenewal(t *testing.T, machine *Machine, when time.Time, effects []Effect) []Effect {
	t.Helper()
	if len(effects) != 1 {
		return effects
	}
	write, ok := effects[0].(WriteLease)
	if !ok || !machine.leaseRenewed {
		return effects
	}
	must.Eq(t, WriteLease{Revision: machine.revision, Lease: Lease{Holder: machine.node, Epoch: machine.epoch, Incarnation: machine.incarnation}}, write)
	return machine.Step(when, LeaseWritten{Result: Written, Revision: write.Revision + 1})
}

// newHolder returns a machine that holds the lease at epoch 1.
func newHolder(t *testing.T) *Machine {
	t.Helper()
	machine := New(Config{Node: "n1", Incarnation: "life"})
	effects := machine.Step(at(0), LeaseKnown{Missing: true})
	must.Eq(t, []Effect{WriteLease{Create: true, Lease: Lease{Holder: "n1", Epoch: 1, Incarnation: "life"}}}, effects)
	must.SliceEmpty(t, machine.Step(at(1), LeaseWritten{Result: Written, Revision: 7}))
	must.True(t, machine.HoldsLease())
	return machine
}

func TestHealthyPrimaryStays(t *testing.T) {
	machine := newHolder(t)
	for i := range 100 {
		must.SliceEmpty(t, machine.Step(at(100*i), Observed{healthyObservation()}))
	}
}

func TestHolderPromotesTheServerThatReceivedMost(t *testing.T) {
	machine := newHolder(t)
	must.Eq(t, []Effect{Survey{Except: "a"}}, observeDown(t, machine, at(100), downObservation()))
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 1}}, machine.Step(at(150), surveyedOffsets(10, 11)))
	must.SliceEmpty(t, machine.Step(at(160), Ordered{Accepted}))
	must.SliceEmpty(t, machine.Step(at(200), Observed{downObservation()}))
	settled := healthyObservation()
	settled.Leader = "c"
	must.SliceEmpty(t, machine.Step(at(1200), Observed{settled}))
	must.Eq(t, Watching, machine.Phase())
}

// leaveUnanswered leaves an order and its resends without an answer, beginning at a time in
// milliseconds. It takes 800 ms.
func leaveUnanswered(t *testing.T, machine *Machine, since int, observation Observation, order Order) {
	t.Helper()
	must.SliceEmpty(t, machine.Step(at(since), Ordered{Unanswered}))
	for i := range maxResends {
		must.SliceEmpty(t, machine.Step(at(since+200*i+50), Observed{observation}))
		must.Eq(t, []Effect{order}, machine.Step(at(since+200*i+150), Observed{observation}))
		must.SliceEmpty(t, machine.Step(at(since+200*i+200), Ordered{Unanswered}))
	}
}

// TestUnansweredOrderIsSentAgain guards against a lost order. It is sent again under the same
// token until it is answered, the target is the primary, or no change is needed.
func TestUnansweredOrderIsSentAgain(t *testing.T) {
	order := Order{Target: "c", Token: tokensPerEpoch + 1}
	newOrdered := func() *Machine {
		machine := newHolder(t)
		observeDown(t, machine, at(100), downObservation())
		must.Eq(t, []Effect{order}, machine.Step(at(150), surveyedOffsets(10, 11)))
		machine.Step(at(750), Ordered{Unanswered})
		must.Eq(t, []Effect{order}, machine.Step(at(850), Observed{downObservation()}))
		return machine
	}
	accepted := newOrdered()
	must.SliceEmpty(t, accepted.Step(at(900), Ordered{Accepted}))
	must.SliceEmpty(t, accepted.Step(at(2000), Observed{downObservation()}))
	must.Eq(t, Settling, accepted.Phase())

	changed := newOrdered()
	changed.Step(at(1450), Ordered{Unanswered})
	settled := healthyObservation()
	settled.Leader = "c"
	must.SliceEmpty(t, changed.Step(at(1600), Observed{settled}))
	must.Eq(t, Watching, changed.Phase())

	recovered := newOrdered()
	recovered.Step(at(1450), Ordered{Unanswered})
	must.SliceEmpty(t, recovered.Step(at(1600), Observed{healthyObservation()}))
	must.Eq(t, Watching, recovered.Phase())
}

func TestUnansweredOrderIsFollowedByAHigherToken(t *testing.T) {
	machine := newHolder(t)
	observeDown(t, machine, at(100), downObservation())
	machine.Step(at(150), surveyedOffsets(10, 11))
	leaveUnanswered(t, machine, 350, downObservation(), Order{Target: "c", Token: tokensPerEpoch + 1})
	must.SliceEmpty(t, machine.Step(at(1200), Observed{downObservation()}))
	must.Eq(t, []Effect{Survey{Except: "a"}}, observeDown(t, machine, at(2400), downObservation()))
	must.Eq(t, []Effect{Order{Target: "b", Token: tokensPerEpoch + 2}}, machine.Step(at(2450), surveyedOffsets(12, 11)))
}

func TestRejectedTargetIsAvoidedAndTheLeaseReadAgain(t *testing.T) {
	machine := newHolder(t)
	observeDown(t, machine, at(100), downObservation())
	machine.Step(at(150), surveyedOffsets(10, 11))
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(160), Ordered{Rejected}))
	// A deputy may have used a higher token of the epoch, so the next epoch begins.
	must.Eq(t, []Effect{WriteLease{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 2, Incarnation: "life"}}},
		machine.Step(at(170), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 1, Incarnation: "life"}}))
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(180), LeaseWritten{Result: Written, Revision: 8}))
	must.Eq(t, []Effect{Order{Target: "b", Token: 2*tokensPerEpoch + 2}}, machine.Step(at(200), surveyedOffsets(10, 11)))
}

func TestHolderThatWasReplacedDoesNotAct(t *testing.T) {
	machine := newHolder(t)
	observeDown(t, machine, at(100), downObservation())
	machine.Step(at(150), surveyedOffsets(10, 11))
	machine.Step(at(160), Ordered{Rejected})
	must.SliceEmpty(t, machine.Step(at(170), LeaseKnown{Revision: 9, Lease: Lease{Holder: "n2", Epoch: 2}}))
	must.False(t, machine.HoldsLease())
	must.SliceEmpty(t, machine.Step(at(200), Observed{downObservation()}))
}

// newNonHolder returns a machine of a node that does not hold the lease.
func newNonHolder(rankDelay time.Duration) *Machine {
	machine := New(Config{Node: "n2", Incarnation: "life", RankDelay: rankDelay})
	machine.Step(at(0), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 3}})
	return machine
}

func TestOtherNodeTakesOverFromAHolderThatDoesNotAct(t *testing.T) {
	machine := newNonHolder(400 * time.Millisecond)
	must.SliceEmpty(t, machine.Step(at(100), Observed{downObservation()}))
	must.SliceEmpty(t, machine.Step(at(500), Observed{downObservation()}))
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(600), Observed{downObservation()}))
	// The holder is alive, so the change is left to it.
	must.SliceEmpty(t, machine.Step(at(650), Corroborated{Answers: 3, HolderAnswered: true}))
	must.SliceEmpty(t, machine.Step(at(2900), Observed{downObservation()}))
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(3000), Observed{downObservation()}))
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(3050), Corroborated{Answers: 3, HolderAnswered: true}))
	must.Eq(t, []Effect{WriteLease{Revision: 7, Lease: Lease{Holder: "n2", Epoch: 4, Incarnation: "life"}}},
		machine.Step(at(3060), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 3}}))
	// The confirmation is 20 ms old, so the nodes are not asked again.
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(3070), LeaseWritten{Result: Written, Revision: 9}))
	must.Eq(t, []Effect{Order{Target: "b", Token: 4*tokensPerEpoch + 1}}, machine.Step(at(3100), surveyedOffsets(5, 4)))
	// The confirmation is valid for this survey only.
	leaveUnanswered(t, machine, 3150, downObservation(), Order{Target: "b", Token: 4*tokensPerEpoch + 1})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(5200), Observed{downObservation()}))
}

// TestConfirmationExpiresDuringASlowTakeover guards against replacing a primary on an old
// confirmation after taking over the lease took long.
func TestConfirmationExpiresDuringASlowTakeover(t *testing.T) {
	machine := newNonHolder(0)
	machine.Step(at(100), Observed{downObservation()})
	machine.Step(at(500), Observed{downObservation()})
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(520), Corroborated{Answers: 2}))
	machine.Step(at(800), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 3}})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(1120), LeaseWritten{Result: Written, Revision: 9}))
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(1130), Corroborated{Answers: 3}))
}

func TestOtherNodeTakesOverAtOnceFromAHolderThatIsGone(t *testing.T) {
	machine := newNonHolder(0)
	machine.Step(at(100), Observed{downObservation()})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(500), Observed{downObservation()}))
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(520), Corroborated{Answers: 2}))
}

func TestPrimaryThatOtherNodesReachStays(t *testing.T) {
	machine := newHolder(t)
	must.Eq(t, []Effect{Corroborate{Server: "a"}}, machine.Step(at(100), Observed{downObservation()}))
	must.Eq(t, []Effect{Detour{Server: "a"}}, machine.Step(at(150), Corroborated{Answers: 5, Reached: 3}))
	must.SliceEmpty(t, machine.Step(at(300), Observed{downObservation()}))
	// The indirect path does not help, and half of the other nodes do not reach the primary
	// either: it is replaced.
	must.Eq(t, []Effect{Corroborate{Server: "a"}}, machine.Step(at(1300), Observed{downObservation()}))
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(1350), Corroborated{Answers: 4, Reached: 2}))
}

// TestSingleNodeReliesOnItsOwnEvidence guards against a node without peers that waits for their
// confirmation.
func TestSingleNodeReliesOnItsOwnEvidence(t *testing.T) {
	machine := newHolder(t)
	machine.Step(at(100), Observed{downObservation()})
	must.Eq(t, []Effect{Survey{Except: "a"}}, machine.Step(at(500), Corroborated{}))
}

// TestMissingAnswersAreNoEvidence guards against replacing a primary that only a degraded link
// hides. Enough of the asked nodes have to confirm that it is down, one of another zone among
// them, or the directory or the primary itself has to show it.
func TestMissingAnswersAreNoEvidence(t *testing.T) {
	gone, draining := downObservation(), downObservation()
	gone.LeaderGone = true
	draining.LeaderDraining = true
	for _, test := range []struct {
		name        string
		observation Observation
		answers     Corroborated
		wantAction  bool
	}{
		{"nobody answers", downObservation(), Corroborated{Asked: 5, AskedElsewhere: 4}, false},
		{"one confirms", downObservation(), Corroborated{Asked: 5, Answers: 1, AskedElsewhere: 4, ConfirmedElsewhere: 1}, false},
		{"two confirm", downObservation(), Corroborated{Asked: 5, Answers: 2, AskedElsewhere: 4, ConfirmedElsewhere: 1}, true},
		{"two of the own zone confirm", downObservation(), Corroborated{Asked: 5, Answers: 2, AskedElsewhere: 3}, false},
		{"two of a fleet in one zone confirm", downObservation(), Corroborated{Asked: 5, Answers: 2}, true},
		{"the other node of two confirms", downObservation(), Corroborated{Asked: 1, Answers: 1, AskedElsewhere: 1, ConfirmedElsewhere: 1}, true},
		{"the other node of two does not answer", downObservation(), Corroborated{Asked: 1, AskedElsewhere: 1}, false},
		{"nobody answers, it is gone from the directory", gone, Corroborated{Asked: 5, AskedElsewhere: 4}, true},
		{"nobody answers, it has announced that it is leaving", draining, Corroborated{Asked: 5, AskedElsewhere: 4}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			machine := newHolder(t)
			must.Eq(t, []Effect{Corroborate{Server: "a"}}, machine.Step(at(100), Observed{test.observation}))
			effects := machine.Step(at(150), test.answers)
			if test.wantAction {
				must.Eq(t, []Effect{Survey{Except: "a"}}, effects)
				return
			}
			must.SliceEmpty(t, effects)
			must.Eq(t, Watching, machine.Phase())
			// The nodes are asked again soon.
			again := at(150).Add(pauseAfterFailure)
			must.Eq(t, []Effect{Corroborate{Server: "a"}}, machine.Step(again, Observed{test.observation}))
		})
	}
}

// TestDegradedNodeDoesNotReplaceThePrimary guards against a degraded node that replaces a healthy
// primary, even after other nodes have confirmed.
func TestDegradedNodeDoesNotReplaceThePrimary(t *testing.T) {
	machine := newHolder(t)
	degraded := downObservation()
	degraded.Degraded = true
	must.SliceEmpty(t, machine.Step(at(100), Observed{degraded}))
	machine.Step(at(200), Observed{downObservation()})
	machine.Step(at(300), Observed{degraded})
	must.SliceEmpty(t, machine.Step(at(350), Corroborated{Asked: 5, Answers: 5, AskedElsewhere: 4, ConfirmedElsewhere: 4}))
}

func TestPrimaryThatRecoversDuringCorroborationStays(t *testing.T) {
	machine := newHolder(t)
	machine.Step(at(100), Observed{downObservation()})
	machine.Step(at(120), Observed{healthyObservation()})
	must.SliceEmpty(t, machine.Step(at(150), Corroborated{Answers: 3}))
	must.Eq(t, Watching, machine.Phase())
}

func TestLeaseRecentlyTakenByAnotherNodeIsRespected(t *testing.T) {
	machine := newNonHolder(0)
	machine.Step(at(100), Observed{downObservation()})
	machine.Step(at(500), Observed{downObservation()})
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(520), Corroborated{Answers: 2}))
	must.SliceEmpty(t, machine.Step(at(530), LeaseKnown{Revision: 8, Lease: Lease{Holder: "n3", Epoch: 4}}))
	must.SliceEmpty(t, machine.Step(at(2800), Observed{downObservation()}))
}

func TestLeaseOfAnEarlierIncarnationGetsANewEpoch(t *testing.T) {
	machine := New(Config{Node: "n1", Incarnation: "second"})
	must.Eq(t, []Effect{WriteLease{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 2, Incarnation: "second"}}},
		machine.Step(at(0), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 1, Incarnation: "first"}}))
}

func TestDrainingPrimaryIsHandedOverAtOnce(t *testing.T) {
	machine := newHolder(t)
	observation := healthyObservation()
	observation.LeaderDraining = true
	must.Eq(t, []Effect{Survey{}}, machine.Step(at(100), Observed{observation}))
}

func TestPrimaryWithoutAnotherServerStays(t *testing.T) {
	machine := newHolder(t)
	observation := Observation{Leader: "a", LeaderDown: true, Servers: []Server{{ID: "a"}, {ID: "b", Leaving: true}}}
	must.SliceEmpty(t, machine.Step(at(100), Observed{observation}))
}

func TestPrimaryFoundByASurveyIsNotReplaced(t *testing.T) {
	machine := newHolder(t)
	observeDown(t, machine, at(100), downObservation())
	found := Surveyed{Reports: []Report{{ID: "b", Primary: true, Term: 2}}}
	must.Eq(t, []Effect{LeaderFound{ID: "b"}}, machine.Step(at(150), found))
}

func synchronousObservation(primaryDown bool) Observation {
	observation := healthyObservation()
	observation.LeaderDown, observation.LeaderDraining, observation.SynchronousReplicas = primaryDown, !primaryDown, 1
	return observation
}

func TestSynchronousServiceNeedsEnoughReports(t *testing.T) {
	machine := newHolder(t)
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, observeDown(t, machine, at(100), synchronousObservation(true)))
	only := Surveyed{Reports: []Report{{ID: "b", Received: position.Position{Term: 1, Offset: 10}}}}
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(150), only), must.Sprint("c may hold more"))
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, observeDown(t, machine, at(500), synchronousObservation(true)))
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 1}}, machine.Step(at(550), surveyedOffsets(10, 11)))
}

func TestReplicasResumeAfterTheChange(t *testing.T) {
	machine := newHolder(t)
	observeDown(t, machine, at(100), synchronousObservation(true))
	machine.Step(at(150), surveyedOffsets(10, 11))
	machine.Step(at(160), Ordered{Accepted})
	settled := synchronousObservation(true)
	settled.Leader, settled.LeaderDown = "c", false
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(1200), Observed{settled}))
}

// TestUnansweredOrderIsFencedOffBeforeReplicasResume guards against lost commits: the primary is
// back, but an order to replace it may still be carried out.
func TestUnansweredOrderIsFencedOffBeforeReplicasResume(t *testing.T) {
	machine := newHolder(t)
	observeDown(t, machine, at(100), synchronousObservation(true))
	machine.Step(at(150), surveyedOffsets(10, 11))
	leaveUnanswered(t, machine, 350, synchronousObservation(true), Order{Target: "c", Token: tokensPerEpoch + 1})
	recovered := healthyObservation()
	recovered.SynchronousReplicas = 1
	must.Eq(t, []Effect{Order{Target: "a", Token: tokensPerEpoch + 2}}, machine.Step(at(2400), Observed{recovered}))
	must.SliceEmpty(t, machine.Step(at(2500), Observed{recovered}))
	must.SliceEmpty(t, machine.Step(at(3400), Ordered{Unanswered}))
	must.Eq(t, []Effect{Order{Target: "a", Token: tokensPerEpoch + 3}}, machine.Step(at(3800), Observed{recovered}))
	// An order that was accepted just before takes effect first.
	must.SliceEmpty(t, machine.Step(at(3810), Ordered{Accepted}))
	must.SliceEmpty(t, machine.Step(at(3900), Observed{recovered}))
	must.SliceEmpty(t, machine.Step(at(3810).Add(fenceSettleTime-1), Observed{recovered}))
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(3810).Add(fenceSettleTime), Observed{recovered}))
	must.SliceEmpty(t, machine.Step(at(4900), Observed{recovered}))
}

// TestUnansweredOrderBindsTheNext guards against lost commits: the order for one replica may have
// been accepted, so ordering the other would lose what the first acknowledges as the primary.
func TestUnansweredOrderBindsTheNext(t *testing.T) {
	machine := newHolder(t)
	observeDown(t, machine, at(100), synchronousObservation(true))
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 1}}, machine.Step(at(150), surveyedOffsets(10, 11)))
	leaveUnanswered(t, machine, 350, synchronousObservation(true), Order{Target: "c", Token: tokensPerEpoch + 1})
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, observeDown(t, machine, at(2400), synchronousObservation(true)))
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 2}}, machine.Step(at(2450), surveyedOffsets(11, 11)))
	leaveUnanswered(t, machine, 2600, synchronousObservation(true), Order{Target: "c", Token: tokensPerEpoch + 2})
	observeDown(t, machine, at(4700), synchronousObservation(true))
	only := Surveyed{Reports: []Report{{ID: "b", Term: 1, Received: position.Position{Term: 1, Offset: 11}}}}
	must.SliceEmpty(t, machine.Step(at(4750), only), must.Sprint("the first target does not answer, but may be the primary"))
	gone := synchronousObservation(true)
	gone.Servers = gone.Servers[:2]
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, observeDown(t, machine, at(6000), gone))
	must.Eq(t, []Effect{Order{Target: "b", Token: tokensPerEpoch + 3}}, machine.Step(at(6050), only))
}

func TestTakeoverKeepsReplicasHeldDuringItsSurvey(t *testing.T) {
	machine := newNonHolder(0)
	machine.Step(at(100), Observed{synchronousObservation(true)})
	machine.Step(at(500), Observed{synchronousObservation(true)})
	must.Eq(t, []Effect{ReadLease{}}, machine.Step(at(510), Corroborated{Answers: 2}))
	machine.Step(at(520), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 3}})
	must.Eq(t, []Effect{Survey{Except: "a", Hold: true}}, completeRenewal(t, machine, at(530), machine.Step(at(530), LeaseWritten{Result: Written, Revision: 9})))
}

// TestIndirectPathThroughTheOnlyNodeThatReachesThePrimary guards against replacing a primary that
// only the lease holder still reaches.
func TestIndirectPathThroughTheOnlyNodeThatReachesThePrimary(t *testing.T) {
	machine := newNonHolder(0)
	machine.Step(at(100), Observed{downObservation()})
	must.Eq(t, []Effect{Corroborate{Server: "a", Superiors: []string{"n1"}}}, machine.Step(at(500), Observed{downObservation()}))
	must.Eq(t, []Effect{Detour{Server: "a"}}, machine.Step(at(550), Corroborated{Answers: 5, Reached: 1, HolderAnswered: true}))
	must.SliceEmpty(t, machine.Step(at(800), Observed{healthyObservation()}))
}

// TestSupersededHolderDoesNotHoldReplicas guards against a node that holds the synchronous
// replicas without knowing that another node has taken the lease.
func TestSupersededHolderDoesNotHoldReplicas(t *testing.T) {
	machine := newHolder(t)
	machine.Step(at(100), Observed{synchronousObservation(true)})
	must.Eq(t, []Effect{WriteLease{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 1, Incarnation: "life"}}}, machine.Step(at(110), Corroborated{Answers: 2}))
	must.SliceEmpty(t, machine.Step(at(120), LeaseWritten{Result: Superseded}))
	must.False(t, machine.HoldsLease())
	must.SliceEmpty(t, machine.Step(at(200), Observed{synchronousObservation(true)}))
}
