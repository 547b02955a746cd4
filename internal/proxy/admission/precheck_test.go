package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/proxy/urgency"
)

func workAt(now time.Time) urgency.Work {
	return urgency.Work{Arrived: now, Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second)}
}

// TestUnknownLoadRejectsNothing guards against rejecting work early without a recent load
// report, for open transactions, or although it can run in time.
func TestUnknownLoadRejectsNothing(t *testing.T) {
	now := time.Unix(1_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		work := workAt(now)
		queue := QueueEstimate{Wait: milliseconds("wait", 5_000), Waiting: rapid.IntRange(0, 50).Draw(t, "waiting"), Sent: rapid.IntRange(0, 50).Draw(t, "sent")}
		allowed, draw := milliseconds("allowed", 600)-200*time.Millisecond, rapid.Float64Range(0, 0.999).Draw(t, "draw")
		must.Eq(t, Send, Precheck(&work, now, allowed, queue, draw))
		queue.Recent = true
		verdict := Precheck(&work, now, allowed, queue, draw)
		must.False(t, WaitTooLong(0, allowed), must.Sprint("there is a free slot"))
		if queue.wait() <= max(allowed, 0) {
			must.Eq(t, Send, verdict)
		}
		if queue.wait() > work.Deadline.Sub(now) {
			must.Eq(t, Reject, verdict)
		}
		// A longer wait must not make it more likely that the work is sent.
		longer := queue
		longer.Wait += milliseconds("more", 1_000)
		if Precheck(&work, now, allowed, longer, draw) == Send {
			must.Eq(t, Send, verdict)
		}
		work.Open = true
		must.Eq(t, Send, Precheck(&work, now, allowed, queue, draw))
	})
}

// overload is the result of a simulated server with four slots that 60 nodes send two and a half
// times its capacity, through its owner.
type overload struct {
	// idle is the fraction of the time in which a slot was free.
	idle float64
	// rejected counts the work that did not run. delay is the average time until its node knew
	// that.
	rejected int
	delay    time.Duration
}

// simulateOverload simulates 20 s in steps of a millisecond. The owner lets work wait for 100 ms,
// and each answer carries a load report. shouldSend decides at a node from its last report,
// shouldQueue at the owner.
func simulateOverload(shouldSend func(latest QueueEstimate) bool, shouldQueue func(wait time.Duration) bool) overload {
	const (
		nodes, slots = 60, 4
		work         = 20  // ms that a statement uses a slot
		oneWay       = 20  // ms to the owner, and the same back
		maxWait      = 100 // ms that work waits for a slot
		load         = 0.5 // statements per ms
		steps        = 20_000
	)
	// due is when a waiting statement is rejected, or when a running one ends.
	type statement struct{ node, sentAt, due int }
	type answer struct {
		node, at int
		QueueEstimate
	}
	random := rand.New(rand.NewPCG(1, 2))
	var latest [nodes]answer
	arriving, answers := map[int][]statement{}, map[int][]answer{}
	var queue []statement
	var running []statement
	var result overload
	delay := 0
	wait := func() time.Duration { return time.Duration(len(queue)*work/slots) * time.Millisecond }
	report := func(node, now int) {
		answers[now+oneWay] = append(answers[now+oneWay], answer{node, now, QueueEstimate{Recent: true, Wait: wait(), Waiting: len(queue)}})
	}
	reject := func(s statement, now int) {
		result.rejected++
		delay += now + oneWay - s.sentAt
		report(s.node, now)
	}
	for now := range steps {
		for _, a := range answers[now] {
			latest[a.node] = a
		}
		if random.Float64() < load {
			node := random.IntN(nodes)
			k := latest[node].QueueEstimate
			k.Recent = k.Recent && now-latest[node].at < 400
			if shouldSend(k) {
				arriving[now+oneWay] = append(arriving[now+oneWay], statement{node, now, now + oneWay + maxWait})
			} else {
				result.rejected++
			}
		}
		for _, s := range arriving[now] {
			if shouldQueue(wait()) {
				queue = append(queue, s)
			} else {
				reject(s, now)
			}
		}
		for len(queue) > 0 && queue[0].due <= now {
			reject(queue[0], now)
			queue = queue[1:]
		}
		running = slices.DeleteFunc(running, func(s statement) bool {
			if ended := s.due <= now; !ended {
				return false
			}
			report(s.node, now)
			return true
		})
		for len(running) < slots && len(queue) > 0 {
			queue[0].due = now + work
			queue, running = queue[1:], append(running, queue[0])
		}
		if len(running) < slots {
			result.idle += 1.0 / steps
		}
	}
	result.delay = time.Duration(delay/max(1, result.rejected)) * time.Millisecond
	return result
}

// TestOverloadIsRejectedEarlyAndServerStaysBusy guards against late rejections during overload, and
// against an idle server because all nodes act on the same reports.
func TestOverloadIsRejectedEarlyAndServerStaysBusy(t *testing.T) {
	const maxWait = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1_000, 0)
	work := workAt(now)
	always := func(QueueEstimate) bool { return true }
	late := simulateOverload(always, func(time.Duration) bool { return true })
	early := simulateOverload(
		func(queue QueueEstimate) bool { return Precheck(&work, now, maxWait, queue, random.Float64()) == Send },
		func(wait time.Duration) bool { return !WaitTooLong(wait, maxWait) },
	)
	t.Logf("rejected late: %+v; early: %+v", late, early)
	must.Less(t, 0.01, early.idle)
	must.Less(t, late.delay*2/3, early.delay)
	must.LessEq(t, late.rejected*21/20, early.rejected)
	// If all nodes use the same limit, the server runs idle until their reports expire.
	uniform := simulateOverload(func(queue QueueEstimate) bool { return !queue.Recent || queue.Wait <= maxWait/4 }, func(time.Duration) bool { return true })
	t.Logf("same limit for all nodes: %+v", uniform)
	must.Greater(t, early.idle, uniform.idle)
}
