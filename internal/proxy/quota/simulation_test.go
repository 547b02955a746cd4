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

// The simulation runs one tenant's callers on a fleet of three regions without faults: arrivals
// at each node, waiting times and delays of datagrams.

// workload is a kind of operations in a simulation.
type workload struct {
	level urgency.Level
	// perSecond is the rate of arrival over all nodes, maxWait how long each operation waits.
	perSecond float64
	maxWait   time.Duration
}

// outcome counts the operations of a workload.
type outcome struct {
	arrived, served int
	// totalWait is the sum of the waiting times of served operations.
	totalWait time.Duration
}

func (o outcome) servedFraction() float64 { return float64(o.served) / float64(o.arrived) }

// waiter is an operation that waits for a token.
type waiter struct {
	workload int
	arrived  time.Time
	deadline time.Time
}

type simulation struct {
	random    *rand.Rand
	now       time.Time
	limit     Limit
	workloads []workload
	nodes     []*modelNode
	region    map[string]int
	regions   []Region
	network   datagrams
	sent      int
	// ignoreLevels gives all operations the same level, so that the order of arrival counts.
	ignoreLevels bool
	waiting      map[*modelNode][]waiter
	outcomes     []outcome
	// restartTime is when the first node, which is an allocator, restarts; zero if it does not.
	restartTime time.Time
	// previousVersion holds the nodes that run the version without levels. The outcomes count the
	// operations of the others.
	previousVersion map[string]bool
}

const (
	simulatedRegions = 3
	simulatedNodes   = 9
	simulationStep   = time.Millisecond
	// simulationWarmup is the time in which allocators get their shares.
	simulationWarmup   = 2 * time.Second
	simulationDuration = 12 * time.Second
	// homeDelay and farDelay are the one-way delays of datagrams within and between regions.
	homeDelay = 2 * time.Millisecond
	farDelay  = 12 * time.Millisecond
)

func newSimulation(seed uint64, limit Limit, workloads ...workload) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 9)), now: testStart, limit: limit, workloads: workloads,
		region: map[string]int{}, waiting: map[*modelNode][]waiter{}, outcomes: make([]outcome, len(workloads)),
	}
	s.regions = make([]Region, simulatedRegions)
	for i := range s.regions {
		s.regions[i].Allocators = make([][]string, 1)
	}
	for i := range simulatedNodes {
		address := fmt.Sprintf("n%d", i)
		s.region[address] = i % simulatedRegions
		allocators := &s.regions[i%simulatedRegions].Allocators[0]
		*allocators = append(*allocators, address)
	}
	for i := range simulatedNodes {
		address := fmt.Sprintf("n%d", i)
		s.nodes = append(s.nodes, &modelNode{address: address, machine: s.startNode(address, i)})
	}
	return s
}

// startNode returns the machine of a node that starts.
func (s *simulation) startNode(address string, number int) *Machine {
	m := NewMachine(Config{
		Node: address, Address: address, Incarnation: s.random.Uint64(), Started: s.now,
		Limits: func(string) (Limit, bool) { return s.limit, true },
	})
	m.SetShare(s.now)
	region := func(i int) Region { return s.regions[i%simulatedRegions] }
	m.SetFleet(Fleet{Nodes: simulatedNodes, Home: region(number), Far: []Region{region(number + 1), region(number + 2)}})
	return m
}

// run simulates the run and returns the outcome of each workload.
func (s *simulation) run() []outcome {
	for end := s.now.Add(simulationDuration); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		if s.now.Equal(s.restartTime) {
			s.nodes[0].machine, s.waiting[s.nodes[0]] = s.startNode(s.nodes[0].address, 0), nil
		}
		for len(s.network) > 0 && !s.network[0].arrival.After(s.now) {
			due := heap.Pop(&s.network).(*datagram)
			to := s.nodes[0]
			for _, node := range s.nodes {
				if node.address == due.to {
					to = node
				}
			}
			to.machine.Receive(s.now, due.from, &due.message)
			s.sendPending(to)
		}
		for _, node := range s.nodes {
			if s.now.Sub(testStart)%(50*time.Millisecond) == 0 {
				node.machine.Tick(s.now)
			}
			s.retryWaiting(node)
			s.generateArrivals(node)
			s.sendPending(node)
		}
	}
	return s.outcomes
}

func (s *simulation) level(node *modelNode, workload int) urgency.Level {
	if s.ignoreLevels || s.previousVersion[node.address] {
		return 0
	}
	return s.workloads[workload].level
}

// generateArrivals starts new operations at a node.
func (s *simulation) generateArrivals(node *modelNode) {
	for i, workload := range s.workloads {
		if s.random.Float64() < workload.perSecond*simulationStep.Seconds()/simulatedNodes {
			if s.isCounted(node, s.now) {
				s.outcomes[i].arrived++
			}
			s.take(node, waiter{workload: i, arrived: s.now, deadline: s.now.Add(workload.maxWait)}, false)
		}
	}
}

func (s *simulation) isCounted(node *modelNode, arrived time.Time) bool {
	return arrived.Sub(testStart) >= simulationWarmup && !s.previousVersion[node.address]
}

// retryWaiting retries the waiting operations that are ready and ends those that timed out.
func (s *simulation) retryWaiting(node *modelNode) {
	waiting := s.waiting[node]
	s.waiting[node] = nil
	for _, w := range waiting {
		switch {
		case node.machine.Ready(s.now, modelTenant, s.level(node, w.workload)):
			s.take(node, w, true)
		case s.now.After(w.deadline):
			node.machine.Abandon(modelTenant, s.level(node, w.workload))
		default:
			s.waiting[node] = append(s.waiting[node], w)
		}
	}
}

func (s *simulation) take(node *modelNode, w waiter, alreadyWaiting bool) {
	verdict := node.machine.Take(s.now, modelTenant, s.level(node, w.workload), alreadyWaiting)
	switch {
	case verdict.Pending:
		s.waiting[node] = append(s.waiting[node], w)
	case verdict.Granted && verdict.ValidFrom.After(w.deadline):
		node.machine.Refund(s.now, modelTenant, s.level(node, w.workload), verdict.ValidFrom, verdict.ValidUntil)
	case verdict.Granted && s.isCounted(node, w.arrived):
		s.outcomes[w.workload].served++
		s.outcomes[w.workload].totalWait += max(s.now.Sub(w.arrived), verdict.ValidFrom.Sub(w.arrived))
	}
}

func (s *simulation) sendPending(node *modelNode) {
	for out := node.machine.Drain(); len(out) > 0; out = node.machine.Drain() {
		for _, envelope := range out {
			if envelope.To == node.address {
				node.machine.Receive(s.now, node.address, &envelope.Message)
				continue
			}
			if s.previousVersion[node.address] || s.previousVersion[envelope.To] {
				stripLevels(&envelope.Message)
			}
			delay := farDelay
			if s.region[envelope.To] == s.region[node.address] {
				delay = homeDelay
			}
			s.sent++
			heap.Push(&s.network, &datagram{arrival: s.now.Add(delay), number: s.sent, from: node.address, to: envelope.To, message: envelope.Message})
		}
	}
}

// overload returns the workloads of a tenant that sends four times its rate, an eighth of it
// urgent.
func overload(limit Limit) []workload {
	return []workload{
		{level: 0, perSecond: limit.Rate * 4 / 8, maxWait: 300 * time.Millisecond},
		{level: 1, perSecond: limit.Rate * 4 / 4, maxWait: 900 * time.Millisecond},
		{level: 2, perSecond: limit.Rate * 4 * 5 / 8, maxWait: 1200 * time.Millisecond},
	}
}

var simulatedLimits = []Limit{
	{Rate: 12, MaxBalance: 10, TTL: 800 * time.Millisecond},
	{Rate: 90, MaxBalance: 30, TTL: 500 * time.Millisecond},
	{Rate: 600, MaxBalance: 100, TTL: 300 * time.Millisecond},
}

// TestUrgentWorkIsServedUnderOverload checks that at four times the rate urgent work is served
// although it has the shortest timeout, that each less urgent level gets its guaranteed minimum
// and that hardly any token is lost.
func TestUrgentWorkIsServedUnderOverload(t *testing.T) {
	const minUrgentServed, minShare, minUsed = 0.95, 0.9 * guaranteedShare, 0.85
	for _, limit := range simulatedLimits {
		for seed := range uint64(2) {
			label := must.Sprintf("rate %v, seed %d", limit.Rate, seed)
			s := newSimulation(seed, limit, overload(limit)...)
			outcomes := s.run()
			must.GreaterEq(t, minUrgentServed, outcomes[0].servedFraction(), label)
			sum := 0.0
			for _, o := range outcomes {
				must.GreaterEq(t, minShare, s.fractionOfRate(o), label)
				sum += s.fractionOfRate(o)
			}
			must.GreaterEq(t, minUsed, sum, label)

			s = newSimulation(seed, limit, overload(limit)...)
			s.ignoreLevels = true
			must.Less(t, 0.4, s.run()[0].servedFraction(), must.Sprintf("without levels, rate %v, seed %d", limit.Rate, seed))
		}
	}
}

// TestLessUrgentWorkKeepsGuaranteedMinimum checks that urgent work beyond the whole rate leaves
// less urgent work its guaranteed minimum.
func TestLessUrgentWorkKeepsGuaranteedMinimum(t *testing.T) {
	for _, limit := range simulatedLimits {
		s := newSimulation(3, limit,
			workload{level: 0, perSecond: 2 * limit.Rate, maxWait: 300 * time.Millisecond},
			workload{level: 2, perSecond: limit.Rate, maxWait: 1200 * time.Millisecond})
		outcomes := s.run()
		must.GreaterEq(t, 0.9*guaranteedShare, s.fractionOfRate(outcomes[1]), must.Sprintf("rate %v", limit.Rate))
		must.GreaterEq(t, 0.6, s.fractionOfRate(outcomes[0]), must.Sprintf("rate %v", limit.Rate))
	}
}

// TestLevelsHaveNoEffectBelowTheRate checks that at half of the rate no operation is rejected,
// and less urgent work waits no longer than in the order of arrival.
func TestLevelsHaveNoEffectBelowTheRate(t *testing.T) {
	for _, limit := range simulatedLimits {
		workloads := overload(limit)
		for i := range workloads {
			workloads[i].perSecond /= 8
		}
		withLevels, withoutLevels := newSimulation(4, limit, workloads...), newSimulation(4, limit, workloads...)
		withoutLevels.ignoreLevels = true
		expected := withoutLevels.run()
		for i, o := range withLevels.run() {
			label := must.Sprintf("rate %v, workload %d", limit.Rate, i)
			must.Eq(t, o.arrived, o.served, label)
			must.LessEq(t, expected[i].totalWait+time.Duration(o.arrived)*time.Millisecond, o.totalWait, label)
		}
	}
}

// fractionOfRate returns the served operations of an outcome as a fraction of the tenant's rate.
func (s *simulation) fractionOfRate(o outcome) float64 {
	return float64(o.served) / s.limit.Rate / (simulationDuration - simulationWarmup).Seconds()
}

// TestAllocatorRestartLosesLittleUrgentWork checks that under overload little urgent work is lost
// when an allocator restarts without its state.
func TestAllocatorRestartLosesLittleUrgentWork(t *testing.T) {
	for _, limit := range simulatedLimits {
		s := newSimulation(5, limit, overload(limit)...)
		s.restartTime = testStart.Add(6 * time.Second)
		outcomes := s.run()
		must.GreaterEq(t, 0.95, outcomes[0].servedFraction(), must.Sprintf("rate %v", limit.Rate))
		must.GreaterEq(t, 0.9*guaranteedShare, s.fractionOfRate(outcomes[2]), must.Sprintf("rate %v", limit.Rate))
	}
}

// TestMixedVersionsServeUrgentWork checks that urgent work is served while some nodes run the
// version without levels: as usual if all allocators know levels, and most of it if one of the
// three does not.
func TestMixedVersionsServeUrgentWork(t *testing.T) {
	for _, limit := range simulatedLimits {
		label := must.Sprintf("rate %v", limit.Rate)
		s := newSimulation(6, limit, overload(limit)...)
		s.previousVersion = map[string]bool{"n3": true, "n5": true, "n7": true, "n8": true}
		must.GreaterEq(t, 0.95, s.run()[0].servedFraction(), label)
		s = newSimulation(6, limit, overload(limit)...)
		s.previousVersion = map[string]bool{"n1": true, "n3": true, "n5": true, "n7": true}
		must.GreaterEq(t, 0.75, s.run()[0].servedFraction(), label)
	}
}

// stripLevels removes from a message what the version without levels does not know.
func stripLevels(m *Message) {
	if m.Request != nil {
		for i := range m.Request.Wants {
			m.Request.Wants[i].Levels = nil
		}
	}
	if m.Reply != nil {
		for i := range m.Reply.Grants {
			m.Reply.Grants[i].Levels, m.Reply.Grants[i].LevelsRetryAfter = nil, nil
		}
	}
}
