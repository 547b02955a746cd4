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

// troubleKinds is how many kinds of trouble a simulated day draws from. Seeds that
// once failed are played again, so a kind keeps its number.
const troubleKinds = 13

// troublesWithoutFences is how many kinds there are besides where no fences are checked:
// nodes that no other reaches, a loss of all nodes, a primary alone with a node.
const troublesWithoutFences = 3

// troublesOfServers holds the stand-in's own troubles by their numbers.
var troublesOfServers = map[int]managed.Trouble{
	0: managed.PrimaryCrash, 1: managed.PrimaryDark, 2: managed.ReplicaDeaf, 3: managed.ReplicaLate, 4: managed.AnswersLost,
	5: managed.StoreDown, 6: managed.StoreSlow, 8: managed.PrimarySevered, 9: managed.OrdersLate,
}

// serverSicknesses are the troubles of servers that still answer.
var serverSicknesses = []managed.Trouble{managed.ServerSlow, managed.ServerGrey, managed.ServerFlaps}

// trouble strikes the fleet once; it returns when the trouble has passed.
func (f *simulatedFleet) trouble(random *rand.Rand) {
	span := time.Duration(500+random.IntN(4000)) * time.Millisecond
	if f.sickServers && random.IntN(3) == 0 {
		victims := managed.Victims{Group: f.group, Store: f.store, Promoter: f.promoter}
		victims.Strike(serverSicknesses[random.IntN(len(serverSicknesses))], random, span)
		return
	}
	kinds := troubleKinds
	if f.moreTroubles {
		kinds += troublesWithoutFences
	}
	kind := random.IntN(kinds)
	f.log.Write("trouble", zap.Int("kind", kind), zap.Duration("span", span), zap.String("primary", f.group.Primary().ID()))
	if trouble, found := troublesOfServers[kind]; found {
		victims := managed.Victims{Group: f.group, Store: f.store, Promoter: f.promoter}
		victims.Strike(trouble, random, span)
		return
	}
	f.troubleOfNodes(kind, random, span)
}

// troubleOfNodes strikes a node.
func (f *simulatedFleet) troubleOfNodes(kind int, random *rand.Rand, span time.Duration) {
	node := random.IntN(len(f.listeners))
	switch kind {
	case 7:
		server := f.group.Primary().ID()
		f.setCut(node, server, true)
		time.Sleep(span)
		f.setCut(node, server, false)
	case 10:
		if !f.stopNode(node) {
			return
		}
		time.Sleep(7 * time.Second)
		f.startNode(node)
	case 11:
		f.store.Forget()
		f.store.LoseAnswers(2)
		f.store.SetCut(f.name(node), true)
		time.Sleep(span)
		f.store.SetCut(f.name(node), false)
	case 12:
		f.setMuted(f.name(node), true)
		time.Sleep(span)
		f.setMuted(f.name(node), false)
	case 13:
		f.setApart(f.name(node), true)
		time.Sleep(span)
		f.setApart(f.name(node), false)
	case 14:
		f.restartAll()
	case 15:
		f.aloneWithPrimary(node, span)
	}
}

// restartAll ends all nodes at the same moment and starts them again.
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

// aloneWithPrimary leaves a node alone with the primary, which its replicas do not reach
// either; all others lose it.
func (f *simulatedFleet) aloneWithPrimary(node int, span time.Duration) {
	primary := f.group.Primary()
	set := func(on bool) {
		f.setApart(f.name(node), on)
		primary.SetSevered(on)
		for i := range f.listeners {
			if i != node {
				f.setCut(i, primary.ID(), on)
			}
		}
	}
	set(true)
	time.Sleep(span)
	set(false)
}

// outcome is what a simulated day came to.
type outcome struct {
	violations               []string
	served, refused, unknown int
	reads, writes            int
	acknowledgedLost         int
}

// simulate plays a day with random troubles, two at a time.
func simulate(seed uint64, nodes, synchronousReplicas int, length time.Duration, broken brokenMechanism) outcome {
	return simulateOn(newFleet(nodes, synchronousReplicas, broken), seed, length)
}

// simulateOn plays a day on a fleet that has just started, and stops it.
func simulateOn(fleet *simulatedFleet, seed uint64, length time.Duration) outcome {
	time.Sleep(2 * time.Second)
	until := time.Now().Add(length)
	var callers []*judge.Caller
	var working sync.WaitGroup
	for i := range 9 {
		driver := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(seed, uint64(i))))
		callers = append(callers, driver)
		working.Go(func() { driver.Run(until) })
	}
	for stream := range 2 {
		random := rand.New(rand.NewPCG(seed, uint64(1000+stream)))
		working.Go(func() {
			for time.Now().Before(until.Add(-6 * time.Second)) {
				time.Sleep(time.Duration(random.IntN(2500)) * time.Millisecond)
				fleet.trouble(random)
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
	for _, driver := range callers {
		result.served += driver.Served
		result.refused += driver.Refused
		result.unknown += driver.Unknown
	}
	return result
}

// simulatedDays is how many days a run of the tests plays; the environment
// variable DEWKNOT_SIMULATED_DAYS plays more.
func simulatedDays(t *testing.T) int {
	t.Helper()
	const usual = 12
	return int(propertytest.Plays(t, "DEWKNOT_SIMULATED_DAYS", usual))
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

const (
	// fewNodes have connections of their own to every server, manyNodes go
	// through owners.
	fewNodes  = 3
	manyNodes = 9
)

func TestPromisesHoldUnderRandomTroubles(t *testing.T) { playDays(t, fewNodes) }

// TestPromisesHoldWithoutFences and TestPromisesHoldWithoutFencesThroughOwners: the
// platform checks no tokens, and replaced primaries go on.
func TestPromisesHoldWithoutFences(t *testing.T) { playUnfencedDays(t, fewNodes) }

func TestPromisesHoldWithoutFencesThroughOwners(t *testing.T) { playUnfencedDays(t, manyNodes) }

func playUnfencedDays(t *testing.T, nodes int) {
	for day := range simulatedDays(t) {
		seed := firstSeed(t) + uint64(day)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				fleet := newUnfencedFleet(nodes, int(seed%2))
				fleet.moreTroubles = true
				time.Sleep(4 * time.Second)
				played := simulateOn(fleet, seed, 40*time.Second)
				for i, violation := range played.violations {
					if i < 5 {
						t.Error(violation)
					}
				}
				t.Logf("%d violations, served %d, refused %d, unknown %d, reads %d, writes %d, orders %d", len(played.violations),
					played.served, played.refused, played.unknown, played.reads, played.writes, len(fleet.promoter.Orders()))
				must.Greater(t, 400, played.served)
				must.Eq(t, 0, fleet.group.LoweredTokens(), must.Sprint("orders with a lower token than one before"))
			})
		})
	}
}

func TestPromisesHoldThroughOwners(t *testing.T) { playDays(t, manyNodes) }

func playDays(t *testing.T, nodes int) {
	for day := range simulatedDays(t) {
		seed := firstSeed(t) + uint64(day)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			bubbletest.Test(t, func(t *testing.T) {
				played := simulate(seed, nodes, int(seed%2), 40*time.Second, nothingBroken)
				for i, violation := range played.violations {
					if i < 5 {
						t.Error(violation)
					}
				}
				t.Logf("%d violations, served %d, refused %d, unknown %d, reads %d, writes %d, acknowledged and lost %d", len(played.violations),
					played.served, played.refused, played.unknown, played.reads, played.writes, played.acknowledgedLost)
				must.Greater(t, 500, played.served)
				if seed%2 == 1 {
					must.Eq(t, 0, played.acknowledgedLost, must.Sprint("acknowledged commits of a service with synchronous replicas"))
				}
			})
		})
	}
}

// TestFleetThatStartsKnowsItself: nodes that start together know each other, and
// the lease of a service is made about once.
func TestFleetThatStartsKnowsItself(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(5, 0, nothingBroken)
		time.Sleep(8 * time.Second)
		for name, node := range fleet.nodes {
			must.Eq(t, 4, node.KnownMembers(), must.Sprint(name))
		}
		must.LessEq(t, 2, fleet.store.Creations(managed.LeaseKind))
		must.Eq(t, 1, fleet.store.Count(managed.LeaseKind))
		fleet.end()
	})
}

// TestMembersThatAreGoneAreRemoved: a node leaves for good. Its entry goes, so that it
// is not chosen as an owner or a reader for ever; when it returns it enters again.
func TestMembersThatAreGoneAreRemoved(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(5, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		must.Eq(t, 5, fleet.store.Count(managed.MemberKind))
		fleet.stopNode(2)
		time.Sleep(5 * time.Minute)
		must.Eq(t, 4, fleet.store.Count(managed.MemberKind))
		for name, node := range fleet.nodes {
			must.Eq(t, 3, node.KnownMembers(), must.Sprint(name))
		}
		fleet.startNode(2)
		time.Sleep(2 * time.Minute)
		must.Eq(t, 5, fleet.store.Count(managed.MemberKind))
		for name, node := range fleet.nodes {
			must.Eq(t, 4, node.KnownMembers(), must.Sprint(name))
		}
		fleet.end()
	})
}

// TestServerWithAFullQueueIsNotLeftOutOfTheChoice: a replica that has received
// nothing for a while answers the survey at once, the other one is busy. The
// busy one has received all and must be promoted.
func TestServerWithAFullQueueIsNotLeftOutOfTheChoice(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(3, 0, nothingBroken)
		time.Sleep(8 * time.Second)
		fleet.group.Server(2).SetDeaf(true)
		driver := fleet.caller("c", rand.New(rand.NewPCG(1, 1)))
		driver.Run(time.Now().Add(3 * time.Second))
		busy := fleet.group.Server(1)
		busy.SetBusy(time.Now().Add(2500 * time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		lost := fleet.group.Primary()
		lost.Crash()
		driver.Run(time.Now().Add(4 * time.Second))
		must.Eq(t, busy.ID(), fleet.group.Primary().ID())
		must.Eq(t, 0, fleet.check.AcknowledgedLost())
		fleet.end()
	})
}

// TestFullServerIsNotTakenForADeadOne: all connections of the primary are in
// use by others, so no node can ask it anything.
func TestFullServerIsNotTakenForADeadOne(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := newFleet(3, 0, nothingBroken)
		fleet.group.SetConnections(0)
		var working sync.WaitGroup
		until := time.Now().Add(10 * time.Second)
		for i := range 6 {
			driver := fleet.caller(fmt.Sprintf("c%d", i), rand.New(rand.NewPCG(1, uint64(i))))
			working.Go(func() { driver.Run(until) })
		}
		working.Wait()
		must.SliceEmpty(t, fleet.promoter.Orders())
		fleet.group.SetConnections(24)
		driver := fleet.caller("last", rand.New(rand.NewPCG(1, 99)))
		driver.Run(time.Now().Add(5 * time.Second))
		must.Positive(t, driver.Served)
		fleet.end()
	})
}

// TestNodesThatAreCutOffGoThroughAnother: one node of five, or all but one, do not
// reach the primary. The primary stays, and the callers of a node that is cut off
// are served.
func TestNodesThatAreCutOffGoThroughAnother(t *testing.T) {
	for _, cut := range [][]int{{4}, {1, 2, 3, 4}} {
		bubbletest.Test(t, func(t *testing.T) {
			fleet := newFleet(5, 0, nothingBroken)
			time.Sleep(8 * time.Second)
			drive := func(span time.Duration) *judge.Caller {
				now := time.Now().UnixNano()
				total := fleet.caller(fmt.Sprintf("c%d", now), rand.New(rand.NewPCG(1, uint64(now))))
				total.Run(time.Now().Add(span))
				return total
			}
			drive(3 * time.Second)
			for _, node := range cut {
				fleet.setCut(node, fleet.group.Primary().ID(), true)
			}
			for i := range 4 {
				fleet.stopListening(i)
			}
			drive(4 * time.Second)
			driver := drive(4 * time.Second)
			must.SliceEmpty(t, fleet.promoter.Orders())
			must.Greater(t, 10, driver.Served)
			must.LessEq(t, 2, driver.Refused, must.Sprintf("cut off: %v", cut))
			must.SliceEmpty(t, fleet.check.Violations)
			fleet.end()
		})
	}
}
