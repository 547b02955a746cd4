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

// TestNothingIsRefusedForWantOfKnowledge: work of a node that knows nothing recent, and
// statements of open transactions, always reach the owner; what fits always does.
func TestNothingIsRefusedForWantOfKnowledge(t *testing.T) {
	now := time.Unix(1_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		milliseconds := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		work := workAt(now)
		known := Known{Wait: milliseconds("wait", 5_000), Waiting: rapid.IntRange(0, 50).Draw(t, "waiting"), Sent: rapid.IntRange(0, 50).Draw(t, "sent")}
		allowed, draw := milliseconds("allowed", 600)-200*time.Millisecond, rapid.Float64Range(0, 0.999).Draw(t, "draw")
		must.Eq(t, Ask, Early(&work, now, allowed, known, draw))
		known.Recent = true
		verdict := Early(&work, now, allowed, known, draw)
		must.False(t, Overfull(0, allowed), must.Sprint("there is a free place"))
		if known.wait() <= max(allowed, 0) {
			must.Eq(t, Ask, verdict)
		}
		if known.wait() > work.Deadline.Sub(now) {
			must.Eq(t, Refuse, verdict)
		}
		// More waiting work never makes it more likely that the work is sent.
		longer := known
		longer.Wait += milliseconds("more", 1_000)
		if Early(&work, now, allowed, longer, draw) == Ask {
			must.Eq(t, Ask, verdict)
		}
		work.Open = true
		must.Eq(t, Ask, Early(&work, now, allowed, known, draw))
	})
}

// overload is how a server of four places fares that 60 nodes send two and a half times what
// it runs, through its owner.
type overload struct {
	// idle is the part of the time in which a place was free.
	idle float64
	// refused counts the work that did not run, held is for how long its node and the owner
	// had it on average.
	refused int
	held    time.Duration
}

// playOverload plays 20 s of it, a millisecond a step: an owner lets work wait for 100 ms, and
// each answer tells its node what waits. ask decides at a node, by what it was told last;
// enter at the owner.
func playOverload(ask func(known Known) bool, enter func(wait time.Duration) bool) overload {
	const (
		nodes, places = 60, 4
		work          = 20  // that a statement holds a place
		way           = 20  // to the owner, and back
		patience      = 100 // that work waits for a place
		load          = 0.5 // statements a millisecond
		steps         = 20_000
	)
	// due is when a statement that waits is refused, and when one that runs ends.
	type statement struct{ node, asked, due int }
	type answer struct {
		node, at int
		Known
	}
	random := rand.New(rand.NewPCG(1, 2))
	var known [nodes]answer
	arriving, answers := map[int][]statement{}, map[int][]answer{}
	var queue []statement
	var running []statement
	var result overload
	held := 0
	wait := func() time.Duration { return time.Duration(len(queue)*work/places) * time.Millisecond }
	tell := func(node, now int) {
		answers[now+way] = append(answers[now+way], answer{node, now, Known{Recent: true, Wait: wait(), Waiting: len(queue)}})
	}
	refuse := func(s statement, now int) {
		result.refused++
		held += now + way - s.asked
		tell(s.node, now)
	}
	for now := range steps {
		for _, a := range answers[now] {
			known[a.node] = a
		}
		if random.Float64() < load {
			node := random.IntN(nodes)
			k := known[node].Known
			k.Recent = k.Recent && now-known[node].at < 400
			if ask(k) {
				arriving[now+way] = append(arriving[now+way], statement{node, now, now + way + patience})
			} else {
				result.refused++
			}
		}
		for _, s := range arriving[now] {
			if enter(wait()) {
				queue = append(queue, s)
			} else {
				refuse(s, now)
			}
		}
		for len(queue) > 0 && queue[0].due <= now {
			refuse(queue[0], now)
			queue = queue[1:]
		}
		running = slices.DeleteFunc(running, func(s statement) bool {
			if ended := s.due <= now; !ended {
				return false
			}
			tell(s.node, now)
			return true
		})
		for len(running) < places && len(queue) > 0 {
			queue[0].due = now + work
			queue, running = queue[1:], append(running, queue[0])
		}
		if len(running) < places {
			result.idle += 1.0 / steps
		}
	}
	result.held = time.Duration(held/max(1, result.refused)) * time.Millisecond
	return result
}

// TestRefusedWorkIsToldSoonWhileTheServerIsFull replays reads that reach a primary from 60
// nodes while its replicas are behind: what is refused is told in a fraction of the time for
// which it would have waited, and the server has work all the time, though all nodes act
// on the same reports.
func TestRefusedWorkIsToldSoonWhileTheServerIsFull(t *testing.T) {
	const patience = 100 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1_000, 0)
	work := workAt(now)
	always := func(Known) bool { return true }
	late := playOverload(always, func(time.Duration) bool { return true })
	early := playOverload(
		func(known Known) bool { return Early(&work, now, patience, known, random.Float64()) == Ask },
		func(wait time.Duration) bool { return !Overfull(wait, patience) },
	)
	t.Logf("refused late: %+v; early: %+v", late, early)
	must.Less(t, 0.01, early.idle)
	must.Less(t, late.held*2/3, early.held)
	must.LessEq(t, late.refused*21/20, early.refused)
	// A bound that all nodes apply alike leaves the server empty until their knowledge ends.
	alike := playOverload(func(known Known) bool { return !known.Recent || known.Wait <= patience/4 }, func(time.Duration) bool { return true })
	t.Logf("one bound for all: %+v", alike)
	must.Greater(t, early.idle, alike.idle)
}
