package failover

import (
	"testing"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/position"
)

// handoverReports are the reports of the primary a, at an offset, and its replicas. A replica at offset 0
// has not reported.
func handoverReports(a, b, c uint64) Surveyed {
	event := Surveyed{Reports: []Report{{ID: "a", Primary: true, Term: 1, Received: position.Position{Term: 1, Offset: a}}}}
	for i, offset := range []uint64{b, c} {
		if offset > 0 {
			event.Reports = append(event.Reports, Report{ID: []string{"b", "c"}[i], Term: 1, Received: position.Position{Term: 1, Offset: offset}})
		}
	}
	return event
}

// beginHandover brings a holder to the survey after which the primary a, at offset 12, may step down.
func beginHandover(t *testing.T, machine *Machine, observation Observation) {
	t.Helper()
	must.Eq(t, []Effect{Survey{}}, completeRenewal(t, machine, at(100), machine.Step(at(100), Observed{observation})),
		must.Sprint("held replicas would delay the commits of a primary that goes on"))
	must.SliceEmpty(t, machine.Step(at(110), handoverReports(12, 0, 11)))
	must.Eq(t, []Effect{Survey{}}, machine.Step(at(200), Observed{observation}))
}

// requestStepDown brings a holder to the request that the primary steps down, for the target c.
func requestStepDown(t *testing.T, machine *Machine, reports Surveyed) {
	t.Helper()
	must.Eq(t, []Effect{Order{Target: "a", Token: tokensPerEpoch + 1}}, machine.Step(at(210), reports))
	must.Eq(t, []Effect{StepDown{Server: "a"}}, machine.Step(at(220), Ordered{Accepted}))
}

// TestHandOverWaitsForTheEndOfThePrimarysLog guards against lost commits: a position that the primary has
// reported while it runs does not include the commits that it acknowledges afterwards.
func TestHandOverWaitsForTheEndOfThePrimarysLog(t *testing.T) {
	machine := newHolder(t)
	beginHandover(t, machine, synchronousObservation(false))
	requestStepDown(t, machine, handoverReports(13, 0, 12))
	stepped := SteppedDown{Server: "a", Done: true, Received: position.Position{Term: 1, Offset: 15}}
	must.Eq(t, []Effect{Survey{Only: "c"}}, machine.Step(at(230), stepped))
	must.Eq(t, []Effect{Survey{Only: "c"}}, machine.Step(at(240), handoverReports(15, 0, 14)))
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 2}}, machine.Step(at(250), handoverReports(15, 0, 15)))
}

// TestTargetThatDoesNotCatchUpIsNotOrdered guards against a primary that steps down although no replica
// receives its commits.
func TestTargetThatDoesNotCatchUpIsNotOrdered(t *testing.T) {
	machine := newHolder(t)
	beginHandover(t, machine, synchronousObservation(false))
	must.SliceEmpty(t, machine.Step(at(210), handoverReports(13, 0, 11)))
	must.Eq(t, []Effect{Survey{}}, machine.Step(at(1400), Observed{synchronousObservation(false)}))
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(1410), handoverReports(13, 0, 11)))
	must.Eq(t, Watching, machine.Phase())
}

// TestPrimaryThatDoesNotStepDownNeedsEnoughHeldReplicas guards against lost commits: the primary goes on,
// and a replica that has not reported acknowledges what the target does not receive any more.
func TestPrimaryThatDoesNotStepDownNeedsEnoughHeldReplicas(t *testing.T) {
	machine := newHolder(t)
	beginHandover(t, machine, synchronousObservation(false))
	requestStepDown(t, machine, handoverReports(13, 0, 12))
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(230), SteppedDown{Server: "a"}), must.Sprint("b may acknowledge commits"))

	machine = newHolder(t)
	beginHandover(t, machine, synchronousObservation(false))
	requestStepDown(t, machine, handoverReports(13, 12, 12))
	must.Eq(t, []Effect{Survey{Hold: true}}, machine.Step(at(230), SteppedDown{Server: "a"}))
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(240), handoverReports(14, 0, 14)), must.Sprint("b was not held"))

	machine = newHolder(t)
	beginHandover(t, machine, synchronousObservation(false))
	requestStepDown(t, machine, handoverReports(13, 12, 12))
	machine.Step(at(230), SteppedDown{Server: "a"})
	must.Eq(t, []Effect{Order{Target: "c", Token: tokensPerEpoch + 2}}, machine.Step(at(240), handoverReports(14, 13, 14)))
}

// TestServerThatLeftTheDirectoryCounts guards against lost commits: a replica whose entry is gone may run
// on and acknowledge commits.
func TestServerThatLeftTheDirectoryCounts(t *testing.T) {
	observation := synchronousObservation(false)
	observation.Departed = []string{"d"}
	machine := newHolder(t)
	completeRenewal(t, machine, at(100), machine.Step(at(100), Observed{observation}))
	for step := range 2 {
		must.SliceEmpty(t, machine.Step(at(110+100*step), handoverReports(12, 11, 11)))
		must.Eq(t, []Effect{Survey{}}, machine.Step(at(200+100*step), Observed{observation}))
	}
	must.Eq(t, []Effect{Order{Target: "a", Token: tokensPerEpoch + 1}}, machine.Step(at(310), handoverReports(13, 12, 12)))
	machine.Step(at(320), Ordered{Accepted})
	must.Eq(t, []Effect{Resume{}}, machine.Step(at(330), SteppedDown{Server: "a"}), must.Sprint("d may acknowledge commits"))
}

// TestLeavingServerWithAllCommitsIsPromoted guards against lost commits after a failure of the primary:
// only a server that is leaving has received them.
func TestLeavingServerWithAllCommitsIsPromoted(t *testing.T) {
	observation := synchronousObservation(true)
	observation.Departed = []string{"d"}
	machine := newHolder(t)
	observeDown(t, machine, at(100), observation)
	reports := surveyedOffsets(10, 11)
	reports.Reports = append(reports.Reports, Report{ID: "d", Received: position.Position{Term: 1, Offset: 12}})
	must.Eq(t, []Effect{Order{Target: "d", Token: tokensPerEpoch + 1}}, machine.Step(at(150), reports))
}

// TestHandOverFencesOffEarlierOrders guards against lost commits: an earlier holder of the lease may have
// held the replicas and ordered one of them.
func TestHandOverFencesOffEarlierOrders(t *testing.T) {
	machine := New(Config{Node: "n1", Incarnation: "second"})
	machine.Step(at(0), LeaseKnown{Revision: 7, Lease: Lease{Holder: "n1", Epoch: 3, Incarnation: "first"}})
	machine.Step(at(20), LeaseWritten{Result: Written, Revision: 8})
	observation := synchronousObservation(false)
	must.Eq(t, []Effect{Order{Target: "a", Token: 4*tokensPerEpoch + 1}}, completeRenewal(t, machine, at(100), machine.Step(at(100), Observed{observation})))
	must.SliceEmpty(t, machine.Step(at(110), Ordered{Accepted}))
	effects := machine.Step(at(1200), Observed{observation})
	must.SliceContains(t, effects, Effect(Resume{}), must.Sprint("the primary goes on to commit"))
	must.Eq(t, []Effect{Survey{}}, completeRenewal(t, machine, at(1210), effects[1:]))
}

// TestEndedServerDoesNotStallTheReplication guards against needless orders: a server that has ended receives
// nothing, which says nothing about the replicas.
func TestEndedServerDoesNotStallTheReplication(t *testing.T) {
	machine := newHolder(t)
	beginRepair(t, machine, 100)
	reports := surveyedReplicas(0, 0)
	reports.Reports = append(reports.Reports[2:], Report{ID: "d", Ended: true})
	must.SliceEmpty(t, machine.Step(at(150), reports))
	must.Eq(t, Watching, machine.Phase())
}
