package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/proxy/catalog"
)

var testStart = time.Unix(1_000_000, 0)

func at(span time.Duration) time.Time { return testStart.Add(span) }

func unitLimits(string) (Limit, bool) { return Limit{Rate: 10, Stock: 20, Life: time.Second}, true }

// TestLimitKeepsThePromise: whatever the quota, tokens that are used in a window are no
// more than it allows, and a limit that cannot be kept is refused by none.
func TestLimitKeepsThePromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{
			Window:  time.Duration(rapid.IntRange(1, 60).Draw(t, "window")) * time.Second,
			Overage: rapid.Float64Range(0, 1).Draw(t, "overage"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		quota := catalog.Quota{PerSecond: rapid.Float64Range(0, 5000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 5000).Draw(t, "burst")}
		limit := bounds.Limit(quota)
		most := limit.Stock + limit.Rate*(bounds.Window+limit.Life).Seconds()
		if most > bounds.Most(quota)/(1+shareError)*(1+1e-9) {
			t.Fatalf("%+v allows %v in a window, %v are promised", limit, most, bounds.Most(quota))
		}
		if limit.Stock < 0 || limit.Rate < 0 || limit.Life < leastLife-time.Microsecond || limit.Life > mostLife {
			t.Fatalf("limit %+v", limit)
		}
	})
}

// TestLateDelegationIsNotTaken: a datagram that was on its way for longer than a
// delegation holds, or that an earlier one has overtaken, delegates nothing; nor does one
// that echoes another process.
func TestLateDelegationIsNotTaken(t *testing.T) {
	allocator := NewAllocator(7, testStart, unitLimits)
	part := PartOf("t", 1)
	delegate := func(now, echo time.Duration, life uint64, share float64) {
		allocator.Handle(at(now), &Request{Node: "n", Echo: Echo{Life: life, Clock: echo}, Delegations: []Delegation{{Part: part, Share: share}}})
	}
	share := func() float64 { return allocator.partition(at(0), part).share }
	delegate(time.Second, 900*time.Millisecond, 8, 0.5)
	must.Zero(t, share(), must.Sprint("it echoes another process"))
	delegate(2*time.Second, time.Second, 7, 0.5)
	must.Zero(t, share(), must.Sprint("it has run out"))
	delegate(2*time.Second, 3*time.Second, 7, 0.5)
	must.Zero(t, share(), must.Sprint("it echoes a moment that has not come"))
	delegate(2*time.Second, 1900*time.Millisecond, 7, 0.5)
	must.Eq(t, 0.5, share())
	delegate(2100*time.Millisecond, 1800*time.Millisecond, 7, 0.9)
	must.Eq(t, 0.5, share(), must.Sprint("it was overtaken"))
	delegate(1900*time.Millisecond+delegationSpan, 0, 0, 0)
	must.Zero(t, share(), must.Sprint("it has run out"))
}

// TestLateAnswerBringsNothing: tokens are good from when they were asked for, and the
// answer to a request that was given up is dropped.
func TestLateAnswerBringsNothing(t *testing.T) {
	m := NewMachine(Config{Node: "n", Address: "n", Life: 1, Started: testStart, Limits: unitLimits})
	m.SetFleet(Fleet{Nodes: 2, Home: Region{Allocators: [][]string{{"allocator"}}}})
	must.True(t, m.Take(at(0), "t", 0, false).Pending)
	asked := m.Drain()[0].Message.Request
	must.Eq(t, []Want{{Tenant: "t", Need: 1, Levels: []uint32{1}}}, asked.Wants)
	answer := func(life time.Duration) *Message {
		return &Message{Reply: &Reply{Sequence: asked.Sequence, Grants: []Grant{{Tenant: "t", Count: 5, Life: life}}}}
	}
	m.Tick(at(answerLimit))
	m.Receive(at(answerLimit+time.Millisecond), "allocator", answer(time.Second))
	must.Zero(t, m.balances["t"].held(at(answerLimit+time.Millisecond)), must.Sprint("the request was given up"))

	asked = m.Drain()[0].Message.Request
	m.Receive(at(answerLimit+60*time.Millisecond), "allocator", answer(50*time.Millisecond))
	must.Zero(t, m.balances["t"].held(at(answerLimit+60*time.Millisecond)), must.Sprint("the tokens had run out"))
}

// TestAllocatorsAreAskedInTurn: home first, then other regions, and once all have none the
// operation is refused with the time at which the first will have one.
func TestAllocatorsAreAskedInTurn(t *testing.T) {
	m := NewMachine(Config{Node: "n", Address: "n", Life: 1, Started: testStart, Limits: unitLimits})
	m.SetFleet(Fleet{Nodes: 3, Home: Region{Allocators: [][]string{{"home"}}}, Far: []Region{{Allocators: [][]string{{"far"}}}}})
	must.True(t, m.Take(at(0), "t", 0, false).Pending)
	for i, allocator := range []string{"home", "far"} {
		sent := slices.DeleteFunc(m.Drain(), func(e Envelope) bool { return len(e.Message.Request.Wants) == 0 })
		must.Len(t, 1, sent)
		must.Eq(t, allocator, sent[0].To)
		dry := []time.Duration{300 * time.Millisecond, 200 * time.Millisecond}[i]
		m.Receive(at(0), allocator, &Message{Reply: &Reply{
			Sequence: sent[0].Message.Request.Sequence, Grants: []Grant{{Tenant: "t", Dry: dry}},
		}})
	}
	must.True(t, m.Ready(at(0), "t", 0))
	verdict := m.Take(at(0), "t", 0, true)
	must.False(t, verdict.Pending)
	must.Eq(t, 200*time.Millisecond, verdict.After)
	must.Eq(t, Needs{}, m.balances["t"].waiting)
	must.True(t, m.Take(at(250*time.Millisecond), "t", 0, false).Pending, must.Sprint("the far allocator has one again"))
}

// TestSilentAllocatorIsReplacedAndComesBack: after two answers that did not come, the next allocator
// is asked and the share is delegated to it once the old delegation has run out; the first
// one is taken again once it answers.
func TestSilentAllocatorIsReplacedAndComesBack(t *testing.T) {
	nodes := map[string]*Machine{}
	for i, name := range []string{"n", "a", "b"} {
		nodes[name] = NewMachine(Config{Node: name, Address: name, Life: uint64(i + 1), Started: testStart, Limits: unitLimits})
	}
	n := nodes["n"]
	n.SetShare(testStart)
	n.SetFleet(Fleet{Nodes: 1, Home: Region{Allocators: [][]string{{"a", "b"}}}})
	dark := map[string]bool{}
	share := func(name string) float64 { return nodes[name].allocator.partition(testStart, PartOf("t", 1)).share }
	run := func(from, to time.Duration) {
		for now := from; now < to; now += 100 * time.Millisecond {
			n.Tick(at(now))
			for out := n.Drain(); len(out) > 0; out = n.Drain() {
				for _, sent := range out {
					allocator := nodes[sent.To]
					if dark[sent.To] {
						continue
					}
					allocator.Receive(at(now), "n", &sent.Message)
					for _, reply := range allocator.Drain() {
						n.Receive(at(now), sent.To, &reply.Message)
					}
				}
			}
			for _, allocator := range nodes {
				allocator.allocator.expire(at(now))
			}
			must.LessEq(t, 1.0, share("a")+share("b"))
		}
	}
	run(0, delegationSpan)
	must.Zero(t, share("a"), must.Sprint("an earlier life may have delegated the share"))
	run(delegationSpan, 2*time.Second)
	must.Eq(t, 1.0, share("a"))
	dark["a"] = true
	run(2*time.Second, 5*time.Second)
	must.Eq(t, 1.0, share("b"))
	dark["a"] = false
	run(5*time.Second, 12*time.Second)
	must.Eq(t, 1.0, share("a"))
	nodes["a"].Leave()
	run(12*time.Second, 15*time.Second)
	must.Eq(t, 1.0, share("b"), must.Sprint("the first allocator is about to stop"))
}

// BenchmarkTake takes a token that is held: 250 ns and no allocation, which an operation
// costs besides since there are quotas.
func BenchmarkTake(b *testing.B) {
	k := NewKeeper(Config{Node: "n", Address: "n", Life: 1, Started: testStart, Limits: unitLimits}, nil)
	w := &balance{lots: []lot{{count: 1 << 31, until: time.Now().Add(time.Hour)}}}
	for i := range 1000 {
		k.machine.balances[fmt.Sprint(i)] = w
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, granted := k.Take("500", 0, time.Time{}); !granted {
			b.Fatal("not granted")
		}
	}
}
