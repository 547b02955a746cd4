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

// newTestAllocator returns an allocator to which the whole of every quota is delegated, and
// what delegates it again.
func newTestAllocator(limit Limit) (*Allocator, func(now time.Time)) {
	a := NewAllocator(7, testStart, func(string) (Limit, bool) { return limit, true })
	return a, func(now time.Time) {
		a.Handle(now, &Request{
			Node: "n", Echo: Echo{Life: 7, Clock: now.Sub(testStart)}, Delegations: []Delegation{{Part: PartOf("t", 1), Share: 1}},
		})
	}
}

func drawLimit(t *rapid.T) Limit {
	return Limit{
		Rate: rapid.Float64Range(0, 500).Draw(t, "rate"), Stock: rapid.Float64Range(0, 100).Draw(t, "stock"), Life: time.Second,
	}
}

func drawWant(t *rapid.T) Want {
	return Want{
		Tenant: "t", Need: rapid.Uint32Range(0, 60).Draw(t, "need"), More: rapid.Uint32Range(0, 20).Draw(t, "more"),
		Levels: rapid.SliceOfN(rapid.Uint32Range(0, 40), 0, 6).Draw(t, "levels"),
	}
}

// TestGrantsAreTakenOff: whatever is asked at which levels, an allocator has less by exactly
// what it hands out, never hands out more than is sure, nor more than was asked for; nor does
// a level get more than it needs.
func TestGrantsAreTakenOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, delegate := newTestAllocator(drawLimit(t))
		now := testStart
		for range rapid.IntRange(1, 40).Draw(t, "wants") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			delegate(now)
			want := drawWant(t)
			known := b.accounts["t"]
			if known == nil {
				known = &account{limit: b.limit("t")}
				b.accounts["t"] = known
			}
			b.settle(now, "t", known)
			before := known.tokens
			granted := b.grant(now, &want)
			handed := granted.Count + granted.Later
			if math.Abs(before-known.tokens-float64(handed)) > 1e-6 {
				t.Fatalf("%v tokens before and %v after %+v for %+v", before, known.tokens, granted, want)
			}
			if sure := known.tokens + known.limit.Rate*b.ahead(now, "t"); sure < -1e-6 {
				t.Fatalf("%v tokens are sure after %+v for %+v", sure, granted, want)
			}
			levels := needsOf(granted.Levels)
			if handed > want.Need+want.More || granted.Later > want.Need || levels.sum() > min(want.Need, handed) {
				t.Fatalf("%+v for %+v", granted, want)
			}
		}
	})
}

// limit returns the limit of a tenant.
func (b *Allocator) limit(tenant string) Limit {
	limit, _ := b.limits(tenant)
	return limit
}

// TestTokensThatSufficeHaveNoLevels: while no more is asked for than is minted, every want
// gets what it would get if nobody told levels.
func TestTokensThatSufficeHaveNoLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate: rapid.Float64Range(10, 500).Draw(t, "rate"), Stock: rapid.Float64Range(0, 100).Draw(t, "stock"), Life: time.Second,
		}
		levelled, delegate := newTestAllocator(limit)
		plain, delegatePlain := newTestAllocator(limit)
		now := testStart
		for range rapid.IntRange(1, 40).Draw(t, "wants") {
			// A want as large as what is minted in half a second, twice the time after the last.
			need := rapid.Uint32Range(1, uint32(limit.Rate/2)).Draw(t, "need")
			for span := time.Duration(float64(need) / limit.Rate * 2 * float64(time.Second)); span > 0; span -= 100 * time.Millisecond {
				now = now.Add(min(span, 100*time.Millisecond))
				delegate(now)
				delegatePlain(now)
			}
			level := rapid.IntRange(0, int(urgency.Least)).Draw(t, "level")
			want := Want{Tenant: "t", Need: need, More: rapid.Uint32Range(0, 20).Draw(t, "more")}
			expected := plain.grant(now, &want)
			want.Levels = make([]uint32, level+1)
			want.Levels[level] = need
			granted := levelled.grant(now, &want)
			granted.Levels, granted.LevelsDry = nil, nil
			must.Eq(t, expected, granted)
		}
	})
}

// TestMoreUrgentWantsComeFirst: of two wants in one question, the less urgent one gets
// nothing that the more urgent one still needs.
func TestMoreUrgentWantsComeFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, delegate := newTestAllocator(drawLimit(t))
		delegate(testStart)
		now := testStart.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
		urgent, other := rapid.Uint32Range(1, 50).Draw(t, "urgent"), rapid.Uint32Range(1, 50).Draw(t, "other")
		granted := b.grant(now, &Want{Tenant: "t", Need: urgent + other, Levels: []uint32{urgent, 0, other}})
		levels := needsOf(granted.Levels)
		if levels[2] > 0 && levels[0] < urgent {
			t.Fatalf("%+v for %d urgent and %d others", granted, urgent, other)
		}
	})
}

// TestWantsWithoutLevelsCountAsTheLeastUrgent covers fleets of two versions: an earlier
// node's want is held back as the least urgent level that is known; while none is known,
// nothing is.
func TestWantsWithoutLevelsCountAsTheLeastUrgent(t *testing.T) {
	b, delegate := newTestAllocator(Limit{Rate: 10, Stock: 10, Life: time.Second})
	now := testStart
	pass := func(span time.Duration) {
		for ; span > 0; span -= 100 * time.Millisecond {
			now = now.Add(100 * time.Millisecond)
			delegate(now)
		}
	}
	pass(2 * time.Second)
	must.Eq(t, 10, b.grant(now, &Want{Tenant: "t", Need: 10}).Count, must.Sprint("no level is known"))
	pass(time.Second)
	must.Eq(t, 10, b.grant(now, &Want{Tenant: "t", Need: 30, Levels: []uint32{20, 0, 10}}).Count)
	pass(400 * time.Millisecond)
	handed := func(want Want) uint32 {
		granted := b.grant(now, &want)
		return granted.Count + granted.Later
	}
	must.Zero(t, handed(Want{Tenant: "t", Need: 2}), must.Sprint("what is sure is kept for the urgent"))
	must.Eq(t, 2, handed(Want{Tenant: "t", Need: 2, Levels: []uint32{2}}))
}

// earlierMessage is a message of the version before levels, as far as it differs.
type earlierMessage struct {
	Request *earlierRequest
	Reply   *earlierReply
}

type earlierRequest struct {
	Node        string
	Sequence    uint64
	Echo        Echo
	Delegations []Delegation
	Wants       []struct {
		Tenant     string
		Need, More uint32
	}
}

type earlierReply struct {
	Sequence uint64
	Clock    Echo
	Grants   []struct {
		Tenant       string
		Count, Later uint32
		First, Pace  time.Duration
		Life, Dry    time.Duration
		Young        bool
	}
	Leaving bool
}

// TestEarlierVersionReadsMessages: a message with levels is read by the version before, and
// one of that version by this one.
func TestEarlierVersionReadsMessages(t *testing.T) {
	told := Message{Request: &Request{Node: "n", Wants: []Want{{Tenant: "t", Need: 3, Levels: []uint32{1, 2}}, {Tenant: "u", Need: 1}}}}
	replied := Message{Reply: &Reply{Sequence: 4, Leaving: true, Grants: []Grant{
		{Tenant: "t", Count: 2, Dry: 5, Levels: []uint32{1, 1}, LevelsDry: []time.Duration{0, 5}}, {Tenant: "u"},
	}}}
	for _, sent := range []Message{told, replied} {
		data, err := codec.Append(nil, &sent)
		must.NoError(t, err)
		var received Message
		must.NoError(t, codec.Decode(data, &received))
		must.Eq(t, sent, received)

		var earlier earlierMessage
		must.NoError(t, codec.Decode(data, &earlier))
		if sent.Request != nil {
			must.Eq(t, 3, earlier.Request.Wants[0].Need)
		} else {
			must.True(t, earlier.Reply.Leaving)
			must.Eq(t, 2, earlier.Reply.Grants[0].Count)
		}
		data, err = codec.Append(nil, &earlier)
		must.NoError(t, err)
		received = Message{}
		must.NoError(t, codec.Decode(data, &received))
		if sent.Request != nil {
			must.Eq(t, []Want{{Tenant: "t", Need: 3}, {Tenant: "u", Need: 1}}, received.Request.Wants)
		} else {
			must.Eq(t, []Grant{{Tenant: "t", Count: 2, Dry: 5}, {Tenant: "u"}}, received.Reply.Grants)
		}
		must.Error(t, codec.Decode(append(data, 0xdd, 0xff, 0xff, 0xff, 0xff), &received), must.Sprint("a length that is not there"))
	}
}

// TestUrgentWaiterTakesFirst: a node gives tokens to the level for which they came, and what
// an allocator of an earlier version sends to the most urgent operation that waits.
func TestUrgentWaiterTakesFirst(t *testing.T) {
	for _, told := range []bool{true, false} {
		m := NewMachine(Config{Node: "n", Address: "n", Life: 1, Started: testStart, Limits: unitLimits})
		m.SetFleet(Fleet{Nodes: 2, Home: Region{Allocators: [][]string{{"allocator"}}}})
		must.True(t, m.Take(at(0), "t", 2, false).Pending)
		must.True(t, m.Take(at(0), "t", 0, false).Pending)
		granted := Grant{Tenant: "t", Count: 1, Life: time.Second, Dry: 500 * time.Millisecond}
		if told {
			granted.Levels, granted.LevelsDry = []uint32{0, 0, 1}, []time.Duration{400 * time.Millisecond, 0, 0, 0}
		}
		sent := slices.DeleteFunc(m.Drain(), func(e Envelope) bool { return len(e.Message.Request.Wants) == 0 })
		m.Receive(at(0), "allocator", &Message{Reply: &Reply{Sequence: sent[0].Message.Request.Sequence, Grants: []Grant{granted}}})
		urgent, other := m.Take(at(0), "t", 0, true), m.Take(at(0), "t", 2, true)
		must.Eq(t, !told, urgent.Granted)
		must.Eq(t, told, other.Granted)
	}
}

// TestHoldingBackIsToldOnce: one change when less urgent work begins to be held back, one
// when that is over, however much is asked.
func TestHoldingBackIsToldOnce(t *testing.T) {
	m := NewMachine(Config{Node: "n", Address: "n", Life: 7, Started: testStart, Limits: unitLimits})
	b := m.allocator
	var changes []HeldBack
	for now := at(0); now.Before(at(12 * time.Second)); now = now.Add(50 * time.Millisecond) {
		b.Handle(now, &Request{
			Node: "n", Echo: Echo{Life: 7, Clock: now.Sub(testStart)}, Delegations: []Delegation{{Part: PartOf("t", 1), Share: 1}},
		})
		if now.Before(at(5 * time.Second)) {
			b.grant(now, &Want{Tenant: "t", Need: 3, Levels: []uint32{1, 0, 2}})
		}
		m.Tick(now)
		changes = append(changes, m.Changes()...)
	}
	must.Len(t, 2, changes)
	must.True(t, changes[0].Began)
	must.Eq(t, 2, changes[0].Level)
	must.False(t, changes[1].Began)
	must.Positive(t, changes[1].Refused)
	must.MapEmpty(t, b.held)
}
