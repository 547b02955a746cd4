package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/proxy/urgency"
)

// The replay plays one tenant's callers on a calm fleet of three regions: each node's
// arrivals, how long their operations wait, and the ways of datagrams.

// kind is a kind of operations of the replay.
type kind struct {
	level urgency.Level
	// perSecond is how many arrive over all nodes, patience how long each waits.
	perSecond float64
	patience  time.Duration
}

// outcome counts what became of the operations of a kind.
type outcome struct {
	arrived, served int
	// waited is the time that those that were served have waited, together.
	waited time.Duration
}

func (o outcome) share() float64 { return float64(o.served) / float64(o.arrived) }

// waiter is an operation that waits for a token.
type waiter struct {
	kind     int
	arrived  time.Time
	deadline time.Time
}

type replay struct {
	random  *rand.Rand
	now     time.Time
	limit   Limit
	kinds   []kind
	nodes   []*modelNode
	region  map[string]int
	regions []Region
	wire    datagrams
	sent    int
	// unlevelled makes all operations ask at one level: the order of arrival.
	unlevelled bool
	waiting    map[*modelNode][]waiter
	outcomes   []outcome
	// restartAt is when the first node's process, an allocator, starts anew, if it does.
	restartAt time.Time
	// earlier holds the nodes that run the version before levels; the outcomes are those of
	// the others' callers.
	earlier map[string]bool
}

const (
	replayRegions = 3
	replayNodes   = 9
	replayStep    = time.Millisecond
	// replayWarm is the time in which allocators get their shares.
	replayWarm   = 2 * time.Second
	replayLength = 12 * time.Second
	// homeDelay and farDelay are the ways of datagrams.
	homeDelay = 2 * time.Millisecond
	farDelay  = 12 * time.Millisecond
)

func newReplay(seed uint64, limit Limit, kinds ...kind) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 9)), now: testStart, limit: limit, kinds: kinds,
		region: map[string]int{}, waiting: map[*modelNode][]waiter{}, outcomes: make([]outcome, len(kinds)),
	}
	r.regions = make([]Region, replayRegions)
	for i := range r.regions {
		r.regions[i].Allocators = make([][]string, 1)
	}
	for i := range replayNodes {
		address := fmt.Sprintf("n%d", i)
		r.region[address] = i % replayRegions
		of := &r.regions[i%replayRegions].Allocators[0]
		*of = append(*of, address)
	}
	for i := range replayNodes {
		address := fmt.Sprintf("n%d", i)
		r.nodes = append(r.nodes, &modelNode{address: address, machine: r.start(address, i)})
	}
	return r
}

// start starts the process of a node.
func (r *replay) start(address string, number int) *Machine {
	m := NewMachine(Config{
		Node: address, Address: address, Life: r.random.Uint64(), Started: r.now,
		Limits: func(string) (Limit, bool) { return r.limit, true },
	})
	m.SetShare(r.now)
	region := func(i int) Region { return r.regions[i%replayRegions] }
	m.SetFleet(Fleet{Nodes: replayNodes, Home: region(number), Far: []Region{region(number + 1), region(number + 2)}})
	return m
}

// play plays to the end.
func (r *replay) play() []outcome {
	for end := r.now.Add(replayLength); r.now.Before(end); r.now = r.now.Add(replayStep) {
		if r.now.Equal(r.restartAt) {
			r.nodes[0].machine, r.waiting[r.nodes[0]] = r.start(r.nodes[0].address, 0), nil
		}
		for len(r.wire) > 0 && !r.wire[0].at.After(r.now) {
			due := heap.Pop(&r.wire).(*datagram)
			to := r.nodes[0]
			for _, node := range r.nodes {
				if node.address == due.to {
					to = node
				}
			}
			to.machine.Receive(r.now, due.from, &due.message)
			r.drain(to)
		}
		for _, node := range r.nodes {
			if r.now.Sub(testStart)%(50*time.Millisecond) == 0 {
				node.machine.Tick(r.now)
			}
			r.wake(node)
			r.arrive(node)
			r.drain(node)
		}
	}
	return r.outcomes
}

func (r *replay) level(node *modelNode, kind int) urgency.Level {
	if r.unlevelled || r.earlier[node.address] {
		return 0
	}
	return r.kinds[kind].level
}

// arrive lets new operations ask.
func (r *replay) arrive(node *modelNode) {
	for i, kind := range r.kinds {
		if r.random.Float64() < kind.perSecond*replayStep.Seconds()/replayNodes {
			if r.counts(node, r.now) {
				r.outcomes[i].arrived++
			}
			r.ask(node, waiter{kind: i, arrived: r.now, deadline: r.now.Add(kind.patience)}, false)
		}
	}
}

func (r *replay) counts(node *modelNode, arrived time.Time) bool {
	return arrived.Sub(testStart) >= replayWarm && !r.earlier[node.address]
}

// wake lets those ask again for whom something has come, and ends the wait of others.
func (r *replay) wake(node *modelNode) {
	waiting := r.waiting[node]
	r.waiting[node] = nil
	for _, w := range waiting {
		switch {
		case node.machine.Ready(r.now, modelTenant, r.level(node, w.kind)):
			r.ask(node, w, true)
		case r.now.After(w.deadline):
			node.machine.Abandon(modelTenant, r.level(node, w.kind))
		default:
			r.waiting[node] = append(r.waiting[node], w)
		}
	}
}

func (r *replay) ask(node *modelNode, w waiter, waits bool) {
	verdict := node.machine.Take(r.now, modelTenant, r.level(node, w.kind), waits)
	switch {
	case verdict.Pending:
		r.waiting[node] = append(r.waiting[node], w)
	case verdict.Granted && verdict.From.After(w.deadline):
		node.machine.PutBack(r.now, modelTenant, r.level(node, w.kind), verdict.From, verdict.Until)
	case verdict.Granted && r.counts(node, w.arrived):
		r.outcomes[w.kind].served++
		r.outcomes[w.kind].waited += max(r.now.Sub(w.arrived), verdict.From.Sub(w.arrived))
	}
}

func (r *replay) drain(node *modelNode) {
	for out := node.machine.Drain(); len(out) > 0; out = node.machine.Drain() {
		for _, envelope := range out {
			if envelope.To == node.address {
				node.machine.Receive(r.now, node.address, &envelope.Message)
				continue
			}
			if r.earlier[node.address] || r.earlier[envelope.To] {
				withoutLevels(&envelope.Message)
			}
			delay := farDelay
			if r.region[envelope.To] == r.region[node.address] {
				delay = homeDelay
			}
			r.sent++
			heap.Push(&r.wire, &datagram{at: r.now.Add(delay), number: r.sent, from: node.address, to: envelope.To, message: envelope.Message})
		}
	}
}

// crowded is the load of a tenant that sends four times its rate, an eighth of it urgent.
func crowded(limit Limit) []kind {
	return []kind{
		{level: 0, perSecond: limit.Rate * 4 / 8, patience: 300 * time.Millisecond},
		{level: 1, perSecond: limit.Rate * 4 / 4, patience: 900 * time.Millisecond},
		{level: 2, perSecond: limit.Rate * 4 * 5 / 8, patience: 1200 * time.Millisecond},
	}
}

var replayLimits = []Limit{
	{Rate: 12, Stock: 10, Life: 800 * time.Millisecond},
	{Rate: 90, Stock: 30, Life: 500 * time.Millisecond},
	{Rate: 600, Stock: 100, Life: 300 * time.Millisecond},
}

// TestUrgentWorkGetsATenantsTokens: of a tenant that sends four times its rate, what is most
// urgent is served though it is the least patient, each less urgent level keeps its floor,
// and hardly a token is lost. In the order of arrival it is served least of all.
func TestUrgentWorkGetsATenantsTokens(t *testing.T) {
	const most, floor, used = 0.95, 0.9 * floorShare, 0.85
	for _, limit := range replayLimits {
		for seed := range uint64(2) {
			about := must.Sprintf("rate %v, seed %d", limit.Rate, seed)
			r := newReplay(seed, limit, crowded(limit)...)
			outcomes := r.play()
			must.GreaterEq(t, most, outcomes[0].share(), about)
			sum := 0.0
			for _, o := range outcomes {
				must.GreaterEq(t, floor, r.ofRate(o), about)
				sum += r.ofRate(o)
			}
			must.GreaterEq(t, used, sum, about)

			r = newReplay(seed, limit, crowded(limit)...)
			r.unlevelled = true
			must.Less(t, 0.4, r.play()[0].share(), must.Sprintf("without levels, rate %v, seed %d", limit.Rate, seed))
		}
	}
}

// TestLessUrgentWorkKeepsItsFloor: urgent work that asks for more than the whole rate leaves
// the floor.
func TestLessUrgentWorkKeepsItsFloor(t *testing.T) {
	for _, limit := range replayLimits {
		r := newReplay(3, limit,
			kind{level: 0, perSecond: 2 * limit.Rate, patience: 300 * time.Millisecond},
			kind{level: 2, perSecond: limit.Rate, patience: 1200 * time.Millisecond})
		outcomes := r.play()
		must.GreaterEq(t, 0.9*floorShare, r.ofRate(outcomes[1]), must.Sprintf("rate %v", limit.Rate))
		must.GreaterEq(t, 0.6, r.ofRate(outcomes[0]), must.Sprintf("rate %v", limit.Rate))
	}
}

// TestBelowTheRateLevelsCostNothing: of a tenant that sends half of its rate nobody is
// refused, and less urgent work waits no longer than in the order of arrival.
func TestBelowTheRateLevelsCostNothing(t *testing.T) {
	for _, limit := range replayLimits {
		kinds := crowded(limit)
		for i := range kinds {
			kinds[i].perSecond /= 8
		}
		levelled, unlevelled := newReplay(4, limit, kinds...), newReplay(4, limit, kinds...)
		unlevelled.unlevelled = true
		expected := unlevelled.play()
		for i, o := range levelled.play() {
			about := must.Sprintf("rate %v, kind %d", limit.Rate, i)
			must.Eq(t, o.arrived, o.served, about)
			must.LessEq(t, expected[i].waited+time.Duration(o.arrived)*time.Millisecond, o.waited, about)
		}
	}
}

// ofRate is what an outcome has of the tenant's rate.
func (r *replay) ofRate(o outcome) float64 {
	return float64(o.served) / r.limit.Rate / (replayLength - replayWarm).Seconds()
}

// TestLostAllocatorCostsUrgentWorkLittle: an allocator that starts anew amid a crowd has
// forgotten what was asked, its delegators' shares rest for a moment, and what waited at its
// node is lost; of the urgent operations of the whole play, little is.
func TestLostAllocatorCostsUrgentWorkLittle(t *testing.T) {
	for _, limit := range replayLimits {
		r := newReplay(5, limit, crowded(limit)...)
		r.restartAt = testStart.Add(6 * time.Second)
		outcomes := r.play()
		must.GreaterEq(t, 0.95, outcomes[0].share(), must.Sprintf("rate %v", limit.Rate))
		must.GreaterEq(t, 0.9*floorShare, r.ofRate(outcomes[2]), must.Sprintf("rate %v", limit.Rate))
	}
}

// TestHalfOfTheFleetIsEarlier: while some nodes run the version before levels, the urgent
// operations of the others are served as if all knew them where all allocators do. An
// earlier allocator, one of three, hands out in the order of arrival; most of what it
// refuses, others have.
func TestHalfOfTheFleetIsEarlier(t *testing.T) {
	for _, limit := range replayLimits {
		about := must.Sprintf("rate %v", limit.Rate)
		r := newReplay(6, limit, crowded(limit)...)
		r.earlier = map[string]bool{"n3": true, "n5": true, "n7": true, "n8": true}
		must.GreaterEq(t, 0.95, r.play()[0].share(), about)
		r = newReplay(6, limit, crowded(limit)...)
		r.earlier = map[string]bool{"n1": true, "n3": true, "n5": true, "n7": true}
		must.GreaterEq(t, 0.75, r.play()[0].share(), about)
	}
}

// withoutLevels leaves of a message what the version before reads and writes.
func withoutLevels(m *Message) {
	if m.Request != nil {
		for i := range m.Request.Wants {
			m.Request.Wants[i].Levels = nil
		}
	}
	if m.Reply != nil {
		for i := range m.Reply.Grants {
			m.Reply.Grants[i].Levels, m.Reply.Grants[i].LevelsDry = nil, nil
		}
	}
}
