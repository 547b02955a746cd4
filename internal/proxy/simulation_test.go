package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/propertytest"
	"dewknot/internal/lab/judge"
	"dewknot/internal/lab/standin/managed"
)

// faultKinds is the number of kinds of faults. A kind's number must not change, because tests
// replay seeds.
const faultKinds = 13

// unfencedFaultKinds is the number of additional kinds on platforms without fencing: nodes that are
// cut off, a restart of all nodes, and a primary that is alone with a node.
const unfencedFaultKinds = 3

// standinFaults are the faults that the stand-in platform injects, by number.
var standinFaults = map[int]managed.Fault{
	0: managed.PrimaryCrash, 1: managed.PrimaryUnreachable, 2: managed.ReplicaNotReceiving, 3: managed.ReplicaLagging,
	4: managed.AnswersLost, 5: managed.StoreDown, 6: managed.StoreSlow, 8: managed.PrimaryNotReplicating, 9: managed.PromotionsDelayed,
}

// serverDegradations are faults of servers that still answer.
var serverDegradations = []managed.Fault{managed.ServerSlow, managed.ServerDegraded, managed.ServerFlapping}

// injectFault injects one fault and returns when it is over.
func (f *simulatedFleet) injectFault(random *rand.Rand) {
	duration := time.Duration(500+random.IntN(4000)) * time.Millisecond
	if f.degradedServers && random.IntN(3) == 0 {
		targets := managed.FaultTargets{Group: f.group, Store: f.store, Promoter: f.promoter}
		targets.Inject(serverDegradations[random.IntN(len(serverDegradations))], random, duration)
		return
	}
	if f.repeatedAnswers && random.IntN(2) == 0 {
		targets := managed.FaultTargets{Group: f.group, Store: f.store, Promoter: f.promoter}
		targets.Inject(managed.AnswersRepeated, random, duration)
		return
	}
	kinds := faultKinds
	if f.unfencedFaults {
		kinds += unfencedFaultKinds
	}
	kind := random.IntN(kinds)
	f.log.Write("trouble", zap.Int("kind", kind), zap.Duration("span", duration),
		zap.String("primary", f.group.Primary().ID()))
	if fault, found := standinFaults[kind]; found {
		targets := managed.FaultTargets{Group: f.group, Store: f.store, Promoter: f.promoter}
		targets.Inject(fault, random, duration)
		return
	}
	f.injectNodeFault(kind, random, duration)
}

// injectNodeFault injects a fault of a node.
func (f *simulatedFleet) injectNodeFault(kind int, random *rand.Rand, duration time.Duration) {
	node := random.IntN(len(f.listeners))
	switch kind {
	case 7:
		server := f.group.Primary().ID()
		f.setCut(node, server, true)
		time.Sleep(duration)
		f.setCut(node, server, false)
	case 10:
		if !f.stopNode(node) {
			return
		}
		time.Sleep(7 * time.Second)
		f.startNode(node)
	case 11:
		f.store.CompactHistory()
		f.store.LoseAnswers(2)
		f.store.SetIsolated(f.name(node), true)
		time.Sleep(duration)
		f.store.SetIsolated(f.name(node), false)
	case 12:
		f.setPaused(f.name(node), true)
		time.Sleep(duration)
		f.setPaused(f.name(node), false)
	case 13:
		f.setCutOff(f.name(node), true)
		time.Sleep(duration)
		f.setCutOff(f.name(node), false)
	case 14:
		f.restartAll()
	case 15:
		f.aloneWithPrimary(node, duration)
	}
}

// restartAll stops all nodes at the same moment and starts them again.
func (f *simulatedFleet) restartAll() {
	if !f.restarting.TryLock() {
		return
	}
	defer f.restarting.Unlock()
	var killed []int
	for i := range f.listeners {
		if f.stopNode(i) {
			killed = append(killed, i)
		}
	}
	time.Sleep(700 * time.Millisecond)
	for _, i := range killed {
		f.startNode(i)
	}
}

// aloneWithPrimary makes the primary unreachable for its replicas and for all nodes but one, which
// is cut off from the other nodes.
func (f *simulatedFleet) aloneWithPrimary(node int, duration time.Duration) {
	primary := f.group.Primary()
	set := func(on bool) {
		f.setCutOff(f.name(node), on)
		primary.SetSendBlocked(on)
		for i := range f.listeners {
			if i != node {
				f.setCut(i, primary.ID(), on)
			}
		}
	}
	set(true)
	time.Sleep(duration)
	set(false)
}

// outcome is the result of a simulated run.
type outcome struct {
	violations               []string
	served, refused, unknown int
	reads, writes            int
	acknowledgedLost         int
}

// simulate runs a new fleet under random faults, two at a time.
func simulate(
	seed uint64, nodes, synchronousReplicas int, length time.Duration, broken brokenMechanism,
) outcome {
	return simulateOn(newFleet(nodes, synchronousReplicas, broken), seed, length)
}

// simulateOn runs a started fleet under random faults, and stops it.
func simulateOn(fleet *simulatedFleet, seed uint64, length time.Duration) outcome {
	time.Sleep(2 * time.Second)
	until := time.Now().Add(length)
	var callers []*judge.Caller
	var working sync.WaitGroup
	for i := range 9 {
		caller := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(seed, uint64(i))))
		caller.Texts = rand.New(rand.NewPCG(seed, uint64(2000+i)))
		callers = append(callers, caller)
		working.Go(func() { caller.Run(until) })
	}
	for stream := range 2 {
		random := rand.New(rand.NewPCG(seed, uint64(1000+stream)))
		working.Go(func() {
			for time.Now().Before(until.Add(-6 * time.Second)) {
				time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
				fleet.injectFault(random)
			}
		})
	}
	working.Wait()
	fleet.end()
	if fleet.written != nil {
		_, _ = fleet.written.WriteTo(os.Stderr)
	}
	result := outcome{violations: fleet.check.Violations, reads: fleet.check.Reads, writes: fleet.check.Writes}
	result.acknowledgedLost = fleet.check.AcknowledgedLost()
	for _, caller := range callers {
		result.served += caller.Served
		result.refused += caller.Refused
		result.unknown += caller.Unknown
	}
	return result
}

// simulatedRuns is the number of runs of each test. The environment variable DEWKNOT_SIMULATED_DAYS
// raises it.
func simulatedRuns(t *testing.T) int {
	t.Helper()
	const usual = 12
	return int(propertytest.Runs(t, "DEWKNOT_SIMULATED_DAYS", usual))
}

func firstSeed(t *testing.T) uint64 {
	t.Helper()
	text, set := os.LookupEnv("DEWKNOT_SIMULATED_SEED")
	if !set {
		return 1
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	must.NoError(t, err)
	return seed
}

// fewNodes connect to every server directly, manyNodes go through owners.
const (
	fewNodes  = 3
	manyNodes = 9
)

// TestPromisesHoldUnderRandomFaults guards against broken consistency promises under faults.
func TestPromisesHoldUnderRandomFaults(t *testing.T) { testPromises(t, fewNodes) }

// TestPromisesHoldWithoutFences guards against broken consistency promises on a platform that
// checks no fencing tokens, where replaced primaries continue.
func TestPromisesHoldWithoutFences(t *testing.T) { testUnfencedPromises(t, fewNodes) }

// TestPromisesHoldWithoutFencesThroughOwners is the same for nodes that go through owners.
func TestPromisesHoldWithoutFencesThroughOwners(t *testing.T) { testUnfencedPromises(t, manyNodes) }

func testUnfencedPromises(t *testing.T, nodes int) {
	for run := range simulatedRuns(t) {
		seed := firstSeed(t) + uint64(run)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				fleet := newUnfencedFleet(nodes, int(seed%2))
				fleet.unfencedFaults = true
				time.Sleep(4 * time.Second)
				result := simulateOn(fleet, seed, 40*time.Second)
				for i, violation := range result.violations {
					if i < 5 {
						t.Error(violation)
					}
				}
				t.Logf("%d violations, served %d, refused %d, unknown %d, reads %d, writes %d, orders %d",
					len(result.violations), result.served, result.refused, result.unknown, result.reads, result.writes,
					len(fleet.promoter.Orders()))
				must.Greater(t, 400, result.served)
				must.Eq(t, 0, fleet.group.LoweredTokens(),
					must.Sprint("orders with a lower token than one before"))
			})
		})
	}
}

// TestPromisesHoldThroughOwners is TestPromisesHoldUnderRandomFaults for nodes that go through
// owners.
func TestPromisesHoldThroughOwners(t *testing.T) { testPromises(t, manyNodes) }

func testPromises(t *testing.T, nodes int) {
	for run := range simulatedRuns(t) {
		seed := firstSeed(t) + uint64(run)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				result := simulate(seed, nodes, int(seed%2), 40*time.Second, nothingBroken)
				for i, violation := range result.violations {
					if i < 5 {
						t.Error(violation)
					}
				}
				t.Logf("%d violations, served %d, refused %d, unknown %d, reads %d, writes %d, acknowledged and lost %d",
					len(result.violations), result.served, result.refused, result.unknown, result.reads, result.writes,
					result.acknowledgedLost)
				must.Greater(t, 500, result.served)
				if seed%2 == 1 {
					must.Eq(t, 0, result.acknowledgedLost,
						must.Sprint("lost acknowledged commits of a service with synchronous replicas"))
				}
			})
		})
	}
}

// TestNodesThatStartTogetherKnowEachOther guards against nodes that start together and miss each
// other, or all create the service's lease.
func TestNodesThatStartTogetherKnowEachOther(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(5, 0, nothingBroken)
		time.Sleep(8 * time.Second)
		for name, node := range fleet.nodes {
			must.Eq(t, 4, node.KnownMemberCount(), must.Sprint(name))
		}
		must.LessEq(t, 2, fleet.store.CreateAttempts(managed.LeaseKind))
		must.Eq(t, 1, fleet.store.Count(managed.LeaseKind))
		fleet.end()
	})
}

// TestMembersThatAreGoneAreRemoved guards against entries of removed nodes that stay, so that these
// are chosen as owners or readers. A node that returns must be listed again.
func TestMembersThatAreGoneAreRemoved(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(5, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		must.Eq(t, 5, fleet.store.Count(managed.MemberKind))
		fleet.stopNode(2)
		time.Sleep(5 * time.Minute)
		must.Eq(t, 4, fleet.store.Count(managed.MemberKind))
		for name, node := range fleet.nodes {
			must.Eq(t, 3, node.KnownMemberCount(), must.Sprint(name))
		}
		fleet.startNode(2)
		time.Sleep(2 * time.Minute)
		must.Eq(t, 5, fleet.store.Count(managed.MemberKind))
		for name, node := range fleet.nodes {
			must.Eq(t, 4, node.KnownMemberCount(), must.Sprint(name))
		}
		fleet.end()
	})
}

// TestBusyServerIsPromotionCandidate guards against the promotion of a replica that lags but
// answers the survey at once, while the busy replica has all commits.
func TestBusyServerIsPromotionCandidate(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(3, 0, nothingBroken)
		time.Sleep(8 * time.Second)
		fleet.group.Server(2).SetReceiveBlocked(true)
		caller := fleet.caller("c", rand.New(rand.NewPCG(1, 1)))
		caller.Run(time.Now().Add(3 * time.Second))
		busy := fleet.group.Server(1)
		busy.SetBusy(time.Now().Add(2500 * time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		lost := fleet.group.Primary()
		lost.Crash()
		caller.Run(time.Now().Add(4 * time.Second))
		must.Eq(t, busy.ID(), fleet.group.Primary().ID())
		must.Eq(t, 0, fleet.check.AcknowledgedLost())
		fleet.end()
	})
}

// TestServerWithoutFreeConnectionsIsNotReplaced guards against the failover of a primary
// that nodes can't ask because all its connections are in use.
func TestServerWithoutFreeConnectionsIsNotReplaced(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(3, 0, nothingBroken)
		fleet.group.SetConnections(0)
		var working sync.WaitGroup
		until := time.Now().Add(10 * time.Second)
		for i := range 6 {
			caller := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(1, uint64(i))))
			working.Go(func() { caller.Run(until) })
		}
		working.Wait()
		must.SliceEmpty(t, fleet.promoter.Orders())
		fleet.group.SetConnections(24)
		caller := fleet.caller("last", rand.New(rand.NewPCG(1, 99)))
		caller.Run(time.Now().Add(5 * time.Second))
		must.Positive(t, caller.Served)
		fleet.end()
	})
}

// TestCutOffNodesUseIndirectPath guards against a failover, or rejected callers, when one
// node of five or all but one don't reach the primary.
func TestCutOffNodesUseIndirectPath(t *testing.T) {
	for _, cut := range [][]int{{4}, {1, 2, 3, 4}} {
		bubbletest.Test(t, func(t *testing.T) {
			fleet := newFleet(5, 0, nothingBroken)
			time.Sleep(8 * time.Second)
			drive := func(duration time.Duration) *judge.Caller {
				now := time.Now().UnixNano()
				total := fleet.caller(fmt.Sprintf("c%d", now), rand.New(rand.NewPCG(1, uint64(now))))
				total.Run(time.Now().Add(duration))
				return total
			}
			drive(3 * time.Second)
			for _, node := range cut {
				fleet.setCut(node, fleet.group.Primary().ID(), true)
			}
			for i := range 4 {
				fleet.sendNoCallers(i)
			}
			drive(4 * time.Second)
			caller := drive(4 * time.Second)
			must.SliceEmpty(t, fleet.promoter.Orders())
			must.Greater(t, 10, caller.Served)
			must.LessEq(t, 2, caller.Refused, must.Sprintf("cut off: %v", cut))
			must.SliceEmpty(t, fleet.check.Violations)
			fleet.end()
		})
	}
}

// TestIndirectPathEndsWithTheCut guards against a node that keeps using a server through another node after
// it reaches the server again, and against one that leaves the indirect path while it does not.
func TestIndirectPathEndsWithTheCut(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(5, 0, nothingBroken)
		time.Sleep(8 * time.Second)
		primary := fleet.group.Primary().ID()
		drive := func(duration time.Duration) {
			fleet.runCaller("c", uint64(time.Now().UnixNano()), duration)
		}
		drive(3 * time.Second)
		for i := range 4 {
			fleet.sendNoCallers(i)
		}
		indirect := func() bool {
			fleet.mutex.Lock()
			node := fleet.nodes[fleet.name(4)]
			fleet.mutex.Unlock()
			_, found := node.IndirectPathTo(primary)
			return found
		}
		fleet.setCut(4, primary, true)
		drive(4 * time.Second)
		early := indirect()
		drive(15 * time.Second)
		late := indirect()
		fleet.setCut(4, primary, false)
		drive(5 * time.Second)
		after, open := indirect(), fleet.indirectConnections.Load()
		fleet.end()
		must.True(t, early)
		must.True(t, late)
		must.False(t, after)
		must.Zero(t, open, must.Sprint("connections through other nodes"))
	})
}
