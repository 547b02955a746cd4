package group

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/postgres/fairqueue"
	"dewknot/internal/postgres/policy"
	"dewknot/internal/postgres/replication"
)

// harness drives a machine, records its effects and checks its limits at each step.
type harness struct {
	t           must.T
	machine     *Machine
	now         time.Duration
	lastSession uint64
	running     map[RequestID]Run
	runs        map[RequestID]int
	replies     map[RequestID]Reply
	queries     map[int]uint64
	runningOn   map[int]int
}

func newHarness(t must.T, change func(*Settings)) *harness {
	settings := DefaultSettings()
	settings.Slots, settings.Connections, settings.QueueLimit = 2, 4, 8
	if change != nil {
		change(&settings)
	}
	created := &harness{
		t: t, machine: New(settings), running: map[RequestID]Run{}, runs: map[RequestID]int{},
		replies: map[RequestID]Reply{}, queries: map[int]uint64{}, runningOn: map[int]int{},
	}
	created.step(Tick{})
	return created
}

func (h *harness) step(event Event) {
	for _, effect := range h.machine.Step(h.now, event) {
		switch typed := effect.(type) {
		case Run:
			_, twice := h.running[typed.ID]
			must.False(h.t, twice, must.Sprint("request is already running"))
			h.running[typed.ID] = typed
			h.runs[typed.ID]++
			h.runningOn[typed.Server]++
			must.LessEq(h.t, h.machine.settings.Slots, h.runningOn[typed.Server])
		case Reply:
			_, twice := h.replies[typed.ID]
			must.False(h.t, twice, must.Sprint("request was already answered"))
			h.replies[typed.ID] = typed
		case Ask:
			h.queries[typed.Server] = typed.Number
		}
	}
	for _, server := range h.machine.Servers() {
		must.LessEq(h.t, h.machine.settings.Connections, server.InUse)
		must.GreaterEq(h.t, 0, server.InUse)
		must.GreaterEq(h.t, 0, server.Running)
	}
}

func (h *harness) advance(duration time.Duration) {
	h.now += duration
	h.step(Tick{})
}

// answerStatus answers the outstanding status query to a server.
func (h *harness) answerStatus(server int, role replication.Role, term uint64, applied, received position.Position) {
	number, pending := h.queries[server]
	if !pending {
		return
	}
	delete(h.queries, server)
	h.step(StatusAnswer{Server: server, Ask: number, Report: Report{Role: role, Term: term, Applied: applied, Received: received}})
}

// answerHealthy answers all outstanding status queries: server 0 is the primary of term 1.
func (h *harness) answerHealthy(offset uint64) {
	at := position.Position{Term: 1, Offset: offset}
	for server := range 3 {
		role := replication.Replica
		if server == 0 {
			role = replication.Primary
		}
		h.answerStatus(server, role, 1, at, at)
	}
}

func (h *harness) request(change func(*Request)) RequestID {
	h.lastSession++
	request := Request{
		ID: RequestID{Session: SessionID{Listener: 1, Session: h.lastSession}, Number: 1}, Caller: "c", Weight: 1, MayCommit: true,
		Rule: policy.Rule{Freshness: policy.Any, Wait: time.Second, ReplicaWait: 100 * time.Millisecond},
	}
	if change != nil {
		change(&request)
	}
	h.step(Arrive{Request: request})
	return request.ID
}

func makeRead(request *Request) { request.ReadOnly, request.MayCommit = true, false }

func (h *harness) finish(id RequestID, result RunResult) {
	run, ok := h.running[id]
	must.True(h.t, ok, must.Sprint("request is not running"))
	delete(h.running, id)
	h.runningOn[run.Server]--
	h.step(Finish{ID: id, Server: run.Server, Result: result})
}

func (h *harness) failureKind(id RequestID) failure.Kind {
	reply, ok := h.replies[id]
	must.True(h.t, ok, must.Sprint("request was not answered"))
	return reply.Kind
}

// Guards against acknowledging a commit by answers that precede the commit's response.
func TestCommitWaitsForMajorityQueriedAfterwards(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	id := h.request(nil)
	committed := position.Position{Term: 1, Offset: 6}
	h.advance(600 * time.Millisecond) // queries are outstanding when the commit arrives
	h.finish(id, RunResult{Wrote: true, Position: committed})
	h.answerHealthy(6) // answers to queries sent before the commit's response
	must.MapNotContainsKey(t, h.replies, id)
	h.advance(5 * time.Millisecond)
	h.answerStatus(0, replication.Primary, 1, committed, committed)
	must.MapNotContainsKey(t, h.replies, id)
	h.answerStatus(1, replication.Replica, 1, position.Position{}, committed)
	must.Eq(t, failure.None, h.failureKind(id))
	must.Eq(t, committed, h.replies[id].Position)
}

// Guards against acknowledging a commit of a primary that was replaced.
func TestCommitOfReplacedPrimaryIsUnknown(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	id := h.request(nil)
	h.finish(id, RunResult{Wrote: true, Position: position.Position{Term: 1, Offset: 6}})
	h.advance(5 * time.Millisecond)
	next := position.Position{Term: 2, Offset: 6}
	h.answerStatus(1, replication.Primary, 2, next, next)
	must.Eq(t, failure.OutcomeUnknown, h.failureKind(id))
}

// Guards against a commit that waits for its confirmation without a timeout.
func TestUnconfirmedCommitBecomesUnknown(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	id := h.request(nil)
	h.finish(id, RunResult{Wrote: true, Position: position.Position{Term: 1, Offset: 6}})
	h.advance(h.machine.settings.ConfirmLimit)
	must.Eq(t, failure.OutcomeUnknown, h.failureKind(id))
}

// Guards against rejections that are late or lack a retry delay.
func TestRejectionsCarryRetryAfter(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	var last RequestID
	for range 12 {
		last = h.request(nil)
	}
	must.Eq(t, failure.Overloaded, h.failureKind(last))
	must.Positive(t, h.replies[last].RetryAfter)
	rejected := h.request(func(request *Request) { request.Rule.Refuse, request.Rule.RetryAfter = true, time.Hour })
	must.Eq(t, failure.RefusedByPolicy, h.failureKind(rejected))
	must.Eq(t, time.Hour, h.replies[rejected].RetryAfter)
}

// Guards against writes that fail immediately, or wait forever, while there is no primary.
func TestWritesWaitForPrimaryUntilDeadline(t *testing.T) {
	h := newHarness(t, nil)
	at := position.Position{Term: 1, Offset: 5}
	for server := range 3 {
		h.answerStatus(server, replication.Replica, 1, at, at)
	}
	id := h.request(nil)
	h.advance(500 * time.Millisecond)
	must.MapNotContainsKey(t, h.replies, id)
	h.advance(600 * time.Millisecond)
	must.Eq(t, failure.NoPrimary, h.failureKind(id))
}

// Guards against reads at servers behind the minimum position, and against reads that
// wait for lagging replicas longer than the replica wait.
func TestReadFallsBackToPrimary(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	id := h.request(func(request *Request) {
		makeRead(request)
		request.Floor = position.Position{Term: 1, Offset: 9}
		request.Rule.Freshness = policy.Session
	})
	must.MapNotContainsKey(t, h.running, id)
	ahead, behind := position.Position{Term: 1, Offset: 9}, position.Position{Term: 1, Offset: 5}
	h.advance(50 * time.Millisecond)
	h.answerStatus(0, replication.Primary, 1, ahead, ahead)
	h.answerStatus(1, replication.Replica, 1, behind, ahead)
	must.MapNotContainsKey(t, h.running, id)
	h.advance(60 * time.Millisecond)
	must.Eq(t, 0, h.running[id].Server)
	must.True(t, h.running[id].Confirm)
}

// Guards against running a request twice when its message is delivered twice.
func TestDuplicateRequestsAreIgnored(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	id := h.request(nil)
	h.step(Arrive{Request: Request{ID: id, MayCommit: true, Rule: policy.Rule{Wait: time.Second}}})
	h.finish(id, RunResult{})
	h.step(Arrive{Request: Request{ID: id, MayCommit: true, Rule: policy.Rule{Wait: time.Second}}})
	must.Eq(t, 1, h.runs[id])
}

// Guards against failing a statement that was classified as a read but writes.
func TestReadThatWritesMovesToPrimary(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	id := h.request(makeRead)
	must.NotEq(t, 0, h.running[id].Server)
	h.finish(id, RunResult{Outcome: MustWrite})
	must.Eq(t, 0, h.running[id].Server)
}

// Guards against repeating a write, or a read with a partly delivered answer, after its
// connection was lost.
func TestLostRuns(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	write := h.request(nil)
	h.finish(write, RunResult{Outcome: Lost})
	must.Eq(t, failure.OutcomeUnknown, h.failureKind(write))
	again := h.request(makeRead)
	h.finish(again, RunResult{Outcome: Lost})
	must.MapNotContainsKey(t, h.replies, again)
	must.Eq(t, 2, h.runs[again])
	h.finish(again, RunResult{Outcome: LostPartway})
	must.Eq(t, failure.OutcomeUnknown, h.failureKind(again))
}

// Guards against transactions that are aborted before the grace period ends, or that
// continue after it.
func TestLeavingServerEndsTransactionsAfterGrace(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	begin := h.request(func(request *Request) {
		request.Begins, request.MayCommit, request.Floor = true, false, position.Position{Term: 1, Offset: 1}
	})
	h.finish(begin, RunResult{TransactionOpen: true})
	must.Eq(t, 1, h.machine.OpenTransactions())
	h.step(Leaving{Server: 0, On: true})
	inside := begin
	inside.Number++
	h.step(Arrive{Request: Request{ID: inside, InTransaction: true, Rule: policy.Rule{Wait: time.Second}}})
	h.finish(inside, RunResult{TransactionOpen: true})
	must.Eq(t, failure.None, h.failureKind(inside))
	h.advance(h.machine.settings.LeavingGrace)
	must.Eq(t, 0, h.machine.OpenTransactions())
	late := inside
	late.Number++
	h.step(Arrive{Request: Request{ID: late, InTransaction: true, Rule: policy.Rule{Wait: time.Second}}})
	must.Eq(t, failure.TransactionLost, h.failureKind(late))
}

// Guards against servers that change between fit and unfit on single answers or failures.
func TestFitnessHasHysteresis(t *testing.T) {
	h := newHarness(t, nil)
	h.answerHealthy(5)
	fail := func() {
		h.advance(h.machine.settings.PollInterval)
		h.step(StatusFailure{Server: 1, Ask: h.queries[1]})
	}
	fail()
	must.True(t, h.machine.Servers()[1].Fit)
	fail()
	must.False(t, h.machine.Servers()[1].Fit)
	for range answersToFit {
		must.False(t, h.machine.Servers()[1].Fit)
		h.advance(h.machine.settings.ChangePoll)
		h.answerHealthy(5)
	}
	must.True(t, h.machine.Servers()[1].Fit)
}

// Guards against lost, repeated and late answers under random orders of events. The
// harness also checks the limits of slots and connections at each step.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, func(settings *Settings) {
			settings.Discipline = fairqueue.Discipline(rapid.IntRange(0, 2).Draw(t, "discipline"))
		})
		var ids []RequestID
		offset, term := uint64(1), uint64(1)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 80).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 8).Draw(t, "action") {
			case 0, 1:
				ids = append(ids, h.request(func(request *Request) {
					request.Caller = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller")
					request.Rule.Freshness = policy.Freshness(rapid.IntRange(0, 3).Draw(t, "freshness"))
					request.Rule.MaxLag = 50 * time.Millisecond
					if rapid.Bool().Draw(t, "read") {
						makeRead(request)
					}
				}))
			case 2, 3:
				h.finishFirst(t, offset, term)
			case 4:
				offset++
				h.answerHealthy(offset)
			case 5:
				server := rapid.IntRange(0, 2).Draw(t, "server")
				term += uint64(rapid.IntRange(0, 1).Draw(t, "newer"))
				at := position.Position{Term: term, Offset: offset}
				h.answerStatus(server, replication.Role(rapid.IntRange(0, 1).Draw(t, "role")), term, at, at)
			case 6:
				server := rapid.IntRange(0, 2).Draw(t, "server")
				h.step(StatusFailure{Server: server, Ask: h.queries[server]})
			case 7:
				h.step(Leaving{Server: rapid.IntRange(0, 2).Draw(t, "server"), On: rapid.Bool().Draw(t, "on")})
			case 8:
				if len(ids) > 0 {
					h.step(Cancel{ID: ids[rapid.IntRange(0, len(ids)-1).Draw(t, "id")]})
				}
			}
		}
		for len(h.running) > 0 {
			h.finishFirst(t, offset, term)
		}
		h.advance(5 * time.Second)
		for len(h.running) > 0 {
			h.finishFirst(t, offset, term)
		}
		h.advance(5 * time.Second)
		for _, id := range ids {
			_, answered := h.replies[id]
			stuck := pending{}
			if target := h.machine.requests[id]; target != nil {
				stuck = *target
			}
			must.True(t, answered, must.Sprintf("%s was not answered: %+v, waiting requests: %d", id, stuck, len(h.machine.waiting)))
		}
		must.Eq(t, 0, h.machine.InProgress())
		must.Eq(t, 0, h.machine.Queued())
	})
}

// finishFirst ends the running request with the lowest session with a random outcome.
func (h *harness) finishFirst(t *rapid.T, offset, term uint64) {
	var lowest *RequestID
	for id := range h.running {
		if lowest == nil || lessSession(id.Session, lowest.Session) {
			lowest = &id
		}
	}
	if lowest == nil {
		return
	}
	outcome := RunOutcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
	h.finish(*lowest, RunResult{Outcome: outcome, Wrote: outcome == Completed, Position: position.Position{Term: term, Offset: offset}})
}
