package quota

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/codec"
	"dewknot/internal/proxy/urgency"
)

// newTestAllocator returns an allocator to which the whole of every quota is delegated, and a
// function that renews the delegation.
func newTestAllocator(limit Limit) (*Allocator, func(now time.Time)) {
	allocator := NewAllocator(7, testStart, func(string) (Limit, bool) { return limit, true })
	return allocator, func(now time.Time) {
		allocator.Handle(now, &Request{
			Node: "n", Echo: Echo{Incarnation: 7, Clock: now.Sub(testStart)}, Delegations: []Delegation{{Part: PartOf("t", 1), Share: 1}},
		})
	}
}

func drawLimit(t *rapid.T) Limit {
	return Limit{
		Rate: rapid.Float64Range(0, 500).Draw(t, "rate"), MaxBalance: rapid.Float64Range(0, 100).Draw(t, "max balance"), TTL: time.Second,
	}
}

func drawWant(t *rapid.T) Want {
	return Want{
		Tenant: "t", Need: rapid.Uint32Range(0, 60).Draw(t, "need"), Prefetch: rapid.Uint32Range(0, 20).Draw(t, "prefetch"),
		Levels: rapid.SliceOfN(rapid.Uint32Range(0, 40), 0, 6).Draw(t, "levels"),
	}
}

// TestGrantsAreDeducted checks for random wants that the balance decreases by exactly the granted
// tokens, and that no more are granted than assured, requested or needed.
func TestGrantsAreDeducted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allocator, delegate := newTestAllocator(drawLimit(t))
		now := testStart
		for range rapid.IntRange(1, 40).Draw(t, "wants") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			delegate(now)
			want := drawWant(t)
			acc := allocator.accounts["t"]
			if acc == nil {
				acc = &account{limit: allocator.limit("t")}
				allocator.accounts["t"] = acc
			}
			allocator.settle(now, "t", acc)
			balanceBefore := acc.balance
			grant := allocator.handleWant(now, &want)
			total := grant.Count + grant.Future
			if math.Abs(balanceBefore-acc.balance-float64(total)) > 1e-6 {
				t.Fatalf("balance %v before and %v after grant %+v for want %+v", balanceBefore, acc.balance, grant, want)
			}
			if assured := acc.balance + acc.limit.Rate*allocator.futureShareSeconds(now, "t"); assured < -1e-6 {
				t.Fatalf("%v tokens are assured after grant %+v for want %+v", assured, grant, want)
			}
			levels := decodeLevels(grant.Levels)
			if total > want.Need+want.Prefetch || grant.Future > want.Need || levels.sum() > min(want.Need, total) {
				t.Fatalf("grant %+v exceeds want %+v", grant, want)
			}
		}
	})
}

func (a *Allocator) limit(tenant string) Limit {
	limit, _ := a.limits(tenant)
	return limit
}

// TestLevelsHaveNoEffectWithoutScarcity checks that while demand is below the rate,
// wants with levels get the same grants as wants without.
func TestLevelsHaveNoEffectWithoutScarcity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate: rapid.Float64Range(10, 500).Draw(t, "rate"), MaxBalance: rapid.Float64Range(0, 100).Draw(t, "max balance"), TTL: time.Second,
		}
		withLevels, delegate := newTestAllocator(limit)
		withoutLevels, delegateWithout := newTestAllocator(limit)
		now := testStart
		for range rapid.IntRange(1, 40).Draw(t, "wants") {
			// The need is what is issued in half of the time since the last want.
			need := rapid.Uint32Range(1, uint32(limit.Rate/2)).Draw(t, "need")
			for remaining := time.Duration(float64(need) / limit.Rate * 2 * float64(time.Second)); remaining > 0; remaining -= 100 * time.Millisecond {
				now = now.Add(min(remaining, 100*time.Millisecond))
				delegate(now)
				delegateWithout(now)
			}
			level := rapid.IntRange(0, int(urgency.Least)).Draw(t, "level")
			want := Want{Tenant: "t", Need: need, Prefetch: rapid.Uint32Range(0, 20).Draw(t, "prefetch")}
			expected := withoutLevels.handleWant(now, &want)
			want.Levels = make([]uint32, level+1)
			want.Levels[level] = need
			grant := withLevels.handleWant(now, &want)
			grant.Levels, grant.LevelsRetryAfter = nil, nil
			must.Eq(t, expected, grant)
		}
	})
}

// TestMoreUrgentNeedsAreServedFirst checks that a level of a want gets no tokens that a more
// urgent one still needs.
func TestMoreUrgentNeedsAreServedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allocator, delegate := newTestAllocator(drawLimit(t))
		delegate(testStart)
		now := testStart.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
		urgent, other := rapid.Uint32Range(1, 50).Draw(t, "urgent"), rapid.Uint32Range(1, 50).Draw(t, "other")
		grant := allocator.handleWant(now, &Want{Tenant: "t", Need: urgent + other, Levels: []uint32{urgent, 0, other}})
		levels := decodeLevels(grant.Levels)
		if levels[2] > 0 && levels[0] < urgent {
			t.Fatalf("grant %+v for %d urgent and %d other needs", grant, urgent, other)
		}
	})
}

// TestWantsWithoutLevelsAreLeastUrgent checks that wants of the previous version are throttled
// like the least urgent known level, and not throttled while no level is known.
func TestWantsWithoutLevelsAreLeastUrgent(t *testing.T) {
	allocator, delegate := newTestAllocator(Limit{Rate: 10, MaxBalance: 10, TTL: time.Second})
	now := testStart
	advance := func(duration time.Duration) {
		for ; duration > 0; duration -= 100 * time.Millisecond {
			now = now.Add(100 * time.Millisecond)
			delegate(now)
		}
	}
	advance(2 * time.Second)
	must.Eq(t, 10, allocator.handleWant(now, &Want{Tenant: "t", Need: 10}).Count, must.Sprint("no level is known"))
	advance(time.Second)
	must.Eq(t, 10, allocator.handleWant(now, &Want{Tenant: "t", Need: 30, Levels: []uint32{20, 0, 10}}).Count)
	advance(400 * time.Millisecond)
	grantedTokens := func(want Want) uint32 {
		grant := allocator.handleWant(now, &want)
		return grant.Count + grant.Future
	}
	must.Zero(t, grantedTokens(Want{Tenant: "t", Need: 2}), must.Sprint("assured tokens are kept for urgent work"))
	must.Eq(t, 2, grantedTokens(Want{Tenant: "t", Need: 2, Levels: []uint32{2}}))
}

// previousMessage is a Message of the version without levels.
type previousMessage struct {
	Request *previousRequest
	Reply   *previousReply
}

type previousRequest struct {
	Node        string
	Sequence    uint64
	Echo        Echo
	Delegations []Delegation
	Wants       []struct {
		Tenant         string
		Need, Prefetch uint32
	}
}

type previousReply struct {
	Sequence uint64
	Clock    Echo
	Grants   []struct {
		Tenant               string
		Count, Future        uint32
		FirstDelay, Interval time.Duration
		TTL, RetryAfter      time.Duration
		Starting             bool
	}
	Leaving bool
}

// TestPreviousVersionReadsMessages checks that this version and the one without levels read each
// other's messages.
func TestPreviousVersionReadsMessages(t *testing.T) {
	request := Message{Request: &Request{Node: "n", Wants: []Want{{Tenant: "t", Need: 3, Levels: []uint32{1, 2}}, {Tenant: "u", Need: 1}}}}
	reply := Message{Reply: &Reply{Sequence: 4, Leaving: true, Grants: []Grant{
		{Tenant: "t", Count: 2, RetryAfter: 5, Levels: []uint32{1, 1}, LevelsRetryAfter: []time.Duration{0, 5}}, {Tenant: "u"},
	}}}
	for _, sent := range []Message{request, reply} {
		data, err := codec.Append(nil, &sent)
		must.NoError(t, err)
		var received Message
		must.NoError(t, codec.Decode(data, &received))
		must.Eq(t, sent, received)

		var previous previousMessage
		must.NoError(t, codec.Decode(data, &previous))
		if sent.Request != nil {
			must.Eq(t, 3, previous.Request.Wants[0].Need)
		} else {
			must.True(t, previous.Reply.Leaving)
			must.Eq(t, 2, previous.Reply.Grants[0].Count)
		}
		data, err = codec.Append(nil, &previous)
		must.NoError(t, err)
		received = Message{}
		must.NoError(t, codec.Decode(data, &received))
		if sent.Request != nil {
			must.Eq(t, []Want{{Tenant: "t", Need: 3}, {Tenant: "u", Need: 1}}, received.Request.Wants)
		} else {
			must.Eq(t, []Grant{{Tenant: "t", Count: 2, RetryAfter: 5}, {Tenant: "u"}}, received.Reply.Grants)
		}
		must.Error(t, codec.Decode(append(data, 0xdd, 0xff, 0xff, 0xff, 0xff), &received), must.Sprint("the data is shorter than the encoded length"))
	}
}

// TestUrgentWaiterTakesFirst checks that tokens go to the level for which they were granted, and
// those without a level to the most urgent waiting operation.
func TestUrgentWaiterTakesFirst(t *testing.T) {
	for _, withLevels := range []bool{true, false} {
		m := NewMachine(Config{Node: "n", Address: "n", Incarnation: 1, Started: testStart, Limits: unitLimits})
		m.SetFleet(Fleet{Nodes: 2, Home: Region{Allocators: [][]string{{"allocator"}}}})
		must.True(t, m.Take(testTime(0), "t", 2, false).Pending)
		must.True(t, m.Take(testTime(0), "t", 0, false).Pending)
		grant := Grant{Tenant: "t", Count: 1, TTL: time.Second, RetryAfter: 500 * time.Millisecond}
		if withLevels {
			grant.Levels, grant.LevelsRetryAfter = []uint32{0, 0, 1}, []time.Duration{400 * time.Millisecond, 0, 0, 0}
		}
		sent := slices.DeleteFunc(m.Drain(), func(e Envelope) bool { return len(e.Message.Request.Wants) == 0 })
		m.Receive(testTime(0), "allocator", &Message{Reply: &Reply{Sequence: sent[0].Message.Request.Sequence, Grants: []Grant{grant}}})
		urgent, other := m.Take(testTime(0), "t", 0, true), m.Take(testTime(0), "t", 2, true)
		must.Eq(t, !withLevels, urgent.Granted)
		must.Eq(t, withLevels, other.Granted)
	}
}

// TestThrottlingIsReportedOnce checks that throttling is reported once at its start and once at
// its end.
func TestThrottlingIsReportedOnce(t *testing.T) {
	m := NewMachine(Config{Node: "n", Address: "n", Incarnation: 7, Started: testStart, Limits: unitLimits})
	allocator := m.allocator
	var events []ThrottleEvent
	for now := testTime(0); now.Before(testTime(12 * time.Second)); now = now.Add(50 * time.Millisecond) {
		allocator.Handle(now, &Request{
			Node: "n", Echo: Echo{Incarnation: 7, Clock: now.Sub(testStart)}, Delegations: []Delegation{{Part: PartOf("t", 1), Share: 1}},
		})
		if now.Before(testTime(5 * time.Second)) {
			allocator.handleWant(now, &Want{Tenant: "t", Need: 3, Levels: []uint32{1, 0, 2}})
		}
		m.Tick(now)
		events = append(events, m.ThrottleEvents()...)
	}
	must.Len(t, 2, events)
	must.True(t, events[0].Began)
	must.Eq(t, 2, events[0].Level)
	must.False(t, events[1].Began)
	must.Positive(t, events[1].Refused)
	must.MapEmpty(t, allocator.throttled)
}
