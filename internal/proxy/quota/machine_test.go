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

func testTime(offset time.Duration) time.Time { return testStart.Add(offset) }

func unitLimits(string) (Limit, bool) { return Limit{Rate: 10, MaxBalance: 20, TTL: time.Second}, true }

// TestLimitKeepsBounds checks that tokens used in a window stay within the bounds for any quota.
func TestLimitKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{
			Window:  time.Duration(rapid.IntRange(1, 60).Draw(t, "window")) * time.Second,
			Overage: rapid.Float64Range(0, 1).Draw(t, "overage"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		quota := catalog.Quota{PerSecond: rapid.Float64Range(0, 5000).Draw(t, "rate"), Burst: rapid.Float64Range(0, 5000).Draw(t, "burst")}
		limit := bounds.Limit(quota)
		maxTokens := limit.MaxBalance + limit.Rate*(bounds.Window+limit.TTL).Seconds()
		if maxTokens > bounds.MaxOperations(quota)/(1+shareErrorMargin)*(1+1e-9) {
			t.Fatalf("%+v allows %v tokens in a window, want at most %v", limit, maxTokens, bounds.MaxOperations(quota))
		}
		if limit.MaxBalance < 0 || limit.Rate < 0 || limit.TTL < minTokenTTL-time.Microsecond || limit.TTL > maxTokenTTL {
			t.Fatalf("limit out of range: %+v", limit)
		}
	})
}

// TestStaleDelegationIsIgnored checks that an allocator ignores delegations that arrive late or
// out of order, or that echo the clock of another process.
func TestStaleDelegationIsIgnored(t *testing.T) {
	allocator := NewAllocator(7, testStart, unitLimits)
	part := PartOf("t", 1)
	delegate := func(now, echo time.Duration, incarnation uint64, share float64) {
		allocator.Handle(testTime(now), &Request{Node: "n", Echo: Echo{Incarnation: incarnation, Clock: echo}, Delegations: []Delegation{{Part: part, Share: share}}})
	}
	share := func() float64 { return allocator.partShare(testTime(0), part).share }
	delegate(time.Second, 900*time.Millisecond, 8, 0.5)
	must.Zero(t, share(), must.Sprint("the echo is of another process"))
	delegate(2*time.Second, time.Second, 7, 0.5)
	must.Zero(t, share(), must.Sprint("the delegation has expired"))
	delegate(2*time.Second, 3*time.Second, 7, 0.5)
	must.Zero(t, share(), must.Sprint("the echo is in the future"))
	delegate(2*time.Second, 1900*time.Millisecond, 7, 0.5)
	must.Eq(t, 0.5, share())
	delegate(2100*time.Millisecond, 1800*time.Millisecond, 7, 0.9)
	must.Eq(t, 0.5, share(), must.Sprint("a later request was handled before"))
	delegate(1900*time.Millisecond+delegationDuration, 0, 0, 0)
	must.Zero(t, share(), must.Sprint("the delegation has expired"))
}

// TestLateReplyGrantsNothing checks that the lifetime of tokens starts with the request, and that
// replies to requests that timed out are ignored.
func TestLateReplyGrantsNothing(t *testing.T) {
	m := NewMachine(Config{Node: "n", Address: "n", Incarnation: 1, Started: testStart, Limits: unitLimits})
	m.SetFleet(Fleet{Nodes: 2, Home: Region{Allocators: [][]string{{"allocator"}}}})
	must.True(t, m.Take(testTime(0), "t", 0, false).Pending)
	request := m.Drain()[0].Message.Request
	must.Eq(t, []Want{{Tenant: "t", Need: 1, Levels: []uint32{1}}}, request.Wants)
	reply := func(ttl time.Duration) *Message {
		return &Message{Reply: &Reply{Sequence: request.Sequence, Grants: []Grant{{Tenant: "t", Count: 5, TTL: ttl}}}}
	}
	m.Tick(testTime(replyTimeout))
	m.Receive(testTime(replyTimeout+time.Millisecond), "allocator", reply(time.Second))
	must.Zero(t, m.tenants["t"].total(testTime(replyTimeout+time.Millisecond)), must.Sprint("the request timed out"))

	request = m.Drain()[0].Message.Request
	m.Receive(testTime(replyTimeout+60*time.Millisecond), "allocator", reply(50*time.Millisecond))
	must.Zero(t, m.tenants["t"].total(testTime(replyTimeout+60*time.Millisecond)), must.Sprint("the tokens have expired"))
}

// TestAllocatorsAreTriedInOrder checks that the home region is asked before the others, and that
// the retry time of a rejected operation is the earliest of all allocators.
func TestAllocatorsAreTriedInOrder(t *testing.T) {
	m := NewMachine(Config{Node: "n", Address: "n", Incarnation: 1, Started: testStart, Limits: unitLimits})
	m.SetFleet(Fleet{Nodes: 3, Home: Region{Allocators: [][]string{{"home"}}}, Far: []Region{{Allocators: [][]string{{"far"}}}}})
	must.True(t, m.Take(testTime(0), "t", 0, false).Pending)
	for i, allocator := range []string{"home", "far"} {
		sent := slices.DeleteFunc(m.Drain(), func(e Envelope) bool { return len(e.Message.Request.Wants) == 0 })
		must.Len(t, 1, sent)
		must.Eq(t, allocator, sent[0].To)
		retryAfter := []time.Duration{300 * time.Millisecond, 200 * time.Millisecond}[i]
		m.Receive(testTime(0), allocator, &Message{Reply: &Reply{
			Sequence: sent[0].Message.Request.Sequence, Grants: []Grant{{Tenant: "t", RetryAfter: retryAfter}},
		}})
	}
	must.True(t, m.Ready(testTime(0), "t", 0))
	verdict := m.Take(testTime(0), "t", 0, true)
	must.False(t, verdict.Pending)
	must.Eq(t, 200*time.Millisecond, verdict.RetryAfter)
	must.Eq(t, LevelCounts{}, m.tenants["t"].waiting)
	must.True(t, m.Take(testTime(250*time.Millisecond), "t", 0, false).Pending, must.Sprint("the far allocator has tokens again"))
}

// TestUnavailableAllocatorIsReplacedUntilItAnswers checks that after missed replies the share is
// delegated to the next allocator, but not before the old delegation has expired, and that the
// first one is used again once it replies.
func TestUnavailableAllocatorIsReplacedUntilItAnswers(t *testing.T) {
	nodes := map[string]*Machine{}
	for i, name := range []string{"n", "a", "b"} {
		nodes[name] = NewMachine(Config{Node: name, Address: name, Incarnation: uint64(i + 1), Started: testStart, Limits: unitLimits})
	}
	n := nodes["n"]
	n.SetShare(testStart)
	n.SetFleet(Fleet{Nodes: 1, Home: Region{Allocators: [][]string{{"a", "b"}}}})
	unreachable := map[string]bool{}
	share := func(name string) float64 { return nodes[name].allocator.partShare(testStart, PartOf("t", 1)).share }
	run := func(from, to time.Duration) {
		for now := from; now < to; now += 100 * time.Millisecond {
			n.Tick(testTime(now))
			for out := n.Drain(); len(out) > 0; out = n.Drain() {
				for _, sent := range out {
					allocator := nodes[sent.To]
					if unreachable[sent.To] {
						continue
					}
					allocator.Receive(testTime(now), "n", &sent.Message)
					for _, reply := range allocator.Drain() {
						n.Receive(testTime(now), sent.To, &reply.Message)
					}
				}
			}
			for _, allocator := range nodes {
				allocator.allocator.expire(testTime(now))
			}
			must.LessEq(t, 1.0, share("a")+share("b"))
		}
	}
	run(0, delegationDuration)
	must.Zero(t, share("a"), must.Sprint("an earlier incarnation may have delegated the share"))
	run(delegationDuration, 2*time.Second)
	must.Eq(t, 1.0, share("a"))
	unreachable["a"] = true
	run(2*time.Second, 5*time.Second)
	must.Eq(t, 1.0, share("b"))
	unreachable["a"] = false
	run(5*time.Second, 12*time.Second)
	must.Eq(t, 1.0, share("a"))
	nodes["a"].Leave()
	run(12*time.Second, 15*time.Second)
	must.Eq(t, 1.0, share("b"), must.Sprint("the first allocator is about to stop"))
}

// BenchmarkTake takes a token that the node already has.
func BenchmarkTake(b *testing.B) {
	k := NewKeeper(Config{Node: "n", Address: "n", Incarnation: 1, Started: testStart, Limits: unitLimits}, nil)
	tokens := &tenantTokens{batches: []tokenBatch{{count: 1 << 31, validUntil: time.Now().Add(time.Hour)}}}
	for i := range 1000 {
		k.machine.tenants[fmt.Sprint(i)] = tokens
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, granted := k.Take("500", 0, time.Time{}); !granted {
			b.Fatal("no token was granted")
		}
	}
}
