package proxy_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/lab/judge"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/failover"
)

// lossAtStep makes the first node that reaches a step of a change of the primary lost for good.
type lossAtStep struct {
	fleet *simulatedFleet
	// effect is the name of the effect that the node is about to carry out, occurrence how often
	// it was carried out before.
	effect     string
	occurrence int

	mutex   sync.Mutex
	armed   bool
	reached int
	lost    string
	// target is the server that was ordered last.
	target string
}

// watch ends the node as soon as it reaches the step. The effects are carried out, but their results
// find no process.
func (l *lossAtStep) watch(node string, effects []failover.Effect) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, effect := range effects {
		if order, ordered := effect.(failover.Order); ordered && l.lost == "" {
			l.target = order.Target
		}
		if !l.armed || l.lost != "" || strings.TrimPrefix(fmt.Sprintf("%T", effect), "failover.") != l.effect {
			continue
		}
		l.reached++
		if l.reached > l.occurrence {
			l.lost = node
			go l.fleet.lose(node)
		}
	}
}

// lose ends a node for good shortly after what it has just decided was sent.
func (f *simulatedFleet) lose(name string) {
	time.Sleep(8 * time.Millisecond)
	for i := range f.listeners {
		if f.name(i) == name {
			f.sendNoCallers(i)
			f.killNode(i)
		}
	}
}

// recoveryBound is how long after the last fault writes may fail.
const recoveryBound = 12 * time.Second

// interruptedChange is a change of the primary in which the node that acts is lost. The primary, which
// has crashed, returns meanwhile.
type interruptedChange struct {
	unfenced bool
	// asynchronous is set for a service without synchronous replicas.
	asynchronous bool
	// effect and occurrence are the step at which the node is lost; no node is if effect is "".
	effect     string
	occurrence int
	// restarts is set if the node starts again under its name, otherwise a node with another name
	// takes its place.
	restarts bool
	// silent is set if the platform ignores promotions meanwhile. Otherwise it executes them
	// orderDelay after their call, without an answer unless that is 0.
	silent     bool
	orderDelay time.Duration
	// away is how long the primary is down.
	away time.Duration
	// lags is set if the ordered server receives nothing from then on.
	lags bool
}

// interruptedResult is the outcome of an interrupted change.
type interruptedResult struct {
	lost string
	// served and failed count the writes after the recovery bound.
	served, failed   int
	acknowledgedLost int
	violations       []string
}

// play plays the change in a fleet.
func (c *interruptedChange) play() interruptedResult {
	cfg := fleetConfig{nodes: fleetOfSeven, synchronousReplicas: 1, unfenced: c.unfenced}
	if c.asynchronous {
		cfg.synchronousReplicas = 0
	}
	fleet := prepareFleet(cfg)
	loss := &lossAtStep{fleet: fleet, effect: c.effect, occurrence: c.occurrence}
	fleet.onEffects = loss.watch
	fleet.startNodes()
	time.Sleep(10 * time.Second)
	loss.arm(true)
	var writers sync.WaitGroup
	for i := range 4 {
		writers.Go(func() { fleet.writeOften(fmt.Sprintf("writer-%d", i), uint64(i), c.away+10*time.Second) })
	}
	time.Sleep(time.Second)
	fleet.promoter.SetSilent(c.silent)
	fleet.promoter.SetOrderDelay(c.orderDelay)
	primary := fleet.group.Primary()
	primary.Crash()
	time.Sleep(c.away)
	if c.lags {
		fleet.blockReceiving(loss.ordered(), true)
	}
	primary.Restart()
	time.Sleep(time.Second)
	fleet.promoter.SetSilent(false)
	fleet.promoter.SetOrderDelay(0)
	result := interruptedResult{lost: loss.arm(false)}
	if result.lost != "" && c.restarts {
		fleet.restartNode(result.lost)
	} else if result.lost != "" {
		fleet.addNode()
	}
	writers.Wait()
	if c.lags {
		fleet.blockReceiving(loss.ordered(), false)
	}
	time.Sleep(recoveryBound)
	result.served, result.failed = fleet.writeOften("last", 9, 2*time.Second)
	fleet.end()
	result.acknowledgedLost, result.violations = fleet.check.AcknowledgedLost(), fleet.check.Violations
	return result
}

// writeOften sends writes for a duration, each on a new session, and returns how many were
// acknowledged and how many failed. Nothing else is sent that could find the primary at fault.
func (f *simulatedFleet) writeOften(name string, seed uint64, duration time.Duration) (served, failed int) {
	random := rand.New(rand.NewPCG(5, seed))
	route := testRoutes[databases[0]]
	for i, until := 0, time.Now().Add(duration); time.Now().Before(until); i++ {
		time.Sleep(10 * time.Millisecond)
		session, _ := f.connect(random, testTenants["amber"][0])
		if session == nil {
			continue
		}
		id := fmt.Sprintf("%s-%d", name, i)
		f.check.RecordRequest(judge.Request{
			ID: id, Session: id, Tenant: "amber", Route: &route, Began: time.Now(),
			Statement: command.Statement{RequestID: id, Writes: true, Text: "WRITE 1 x"},
		})
		answer, open := session.Ask(command.Command{Kind: command.Write, RequestID: id, Text: "WRITE 1 x"})
		switch {
		case !open:
		case answer.Failed:
			failed++
		default:
			served++
			f.check.RecordAcknowledged([]string{id})
		}
		session.Close()
	}
	return served, failed
}

// arm starts or ends the wait for the step, and returns the node that is lost so far.
func (l *lossAtStep) arm(armed bool) string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.armed = armed
	return l.lost
}

// ordered returns the server that was ordered last.
func (l *lossAtStep) ordered() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.target
}

// blockReceiving stops replication to a server, or lets it receive again.
func (f *simulatedFleet) blockReceiving(id string, blocked bool) {
	for i := range f.zones {
		if server := f.group.Server(i); server.ID() == id {
			server.SetReceiveBlocked(blocked)
		}
	}
}

// restartNode starts a lost node again under its name.
func (f *simulatedFleet) restartNode(name string) {
	for i := range f.listeners {
		if f.name(i) == name {
			f.startNode(i)
		}
	}
	f.mutex.Lock()
	f.withoutCallers = nil
	f.mutex.Unlock()
}

// changeSteps returns the effects in which the node that changes a primary may be lost.
func changeSteps(unfenced bool) []string {
	if unfenced {
		return []string{"WriteLease", "Survey", "StepDown", "Choose", "AwaitClear", "Order", "AwaitLead", "Open", "Resume"}
	}
	return []string{"WriteLease", "Survey", "Order", "Resume"}
}

// playsAllChanges reports whether all interrupted changes are played, not only a part of them. The
// environment variable DEWKNOT_ALL_CHANGES=1 asks for it.
func playsAllChanges() bool { return os.Getenv("DEWKNOT_ALL_CHANGES") != "" }

func (c *interruptedChange) check(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		result := c.play()
		t.Logf("%+v: lost %q, served %d, failed %d", *c, result.lost, result.served, result.failed)
		must.Positive(t, result.served)
		must.Zero(t, result.failed)
		must.True(t, c.asynchronous || result.acknowledgedLost == 0, must.Sprintf("%d acknowledged commits are lost", result.acknowledgedLost))
		must.SliceEmpty(t, result.violations)
	})
}

// TestReplicasPausedByALostNodeResume guards against synchronous replicas that stay paused: the node
// that has paused them in a change of the primary is lost for good at a step of it, the primary
// returns, and no write is acknowledged any more.
func TestReplicasPausedByALostNodeResume(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		for _, step := range changeSteps(unfenced) {
			for occurrence := range 2 {
				for _, silent := range []bool{true, false} {
					if unfenced && (occurrence > 0 || !silent) && !playsAllChanges() {
						continue
					}
					c := &interruptedChange{unfenced: unfenced, effect: step, occurrence: occurrence, silent: silent, away: 1800 * time.Millisecond}
					t.Run(fmt.Sprintf("unfenced %v, %s %d, silent %v", unfenced, step, occurrence, silent), c.check)
				}
			}
		}
	}
}

// TestChangeWithoutFencesSurvivesALostNode guards against two primaries, and against a service that stays
// without one, after the node that changes the primary was killed at a step of it.
func TestChangeWithoutFencesSurvivesALostNode(t *testing.T) {
	for _, step := range changeSteps(true) {
		for _, restarts := range []bool{false, true} {
			for _, orderDelay := range []time.Duration{0, 4 * time.Second} {
				if restarts != (orderDelay > 0) && !playsAllChanges() {
					continue
				}
				c := &interruptedChange{
					unfenced: true, asynchronous: true, effect: step, restarts: restarts, orderDelay: orderDelay, away: 1800 * time.Millisecond,
				}
				t.Run(fmt.Sprintf("%s, restarts %v, orders %s late", step, restarts, orderDelay), c.check)
			}
		}
	}
}

// TestOrdersOfALostNodeAreFencedOff guards against lost commits: the node that has ordered another
// primary is lost, or starts again. Its order is carried out after the replicas have resumed and have
// acknowledged commits.
func TestOrdersOfALostNodeAreFencedOff(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		for occurrence := range 2 {
			for _, orderDelay := range []time.Duration{2, 3, 4, 5} {
				if (orderDelay == 2 || orderDelay == 5) && !playsAllChanges() {
					continue
				}
				c := &interruptedChange{
					effect: "Order", occurrence: occurrence, restarts: restarts, orderDelay: orderDelay * time.Second, away: 1800 * time.Millisecond,
					lags: true,
				}
				t.Run(fmt.Sprintf("restarts %v, order %d, %d s late", restarts, occurrence, orderDelay), c.check)
			}
		}
	}
}

// TestReplicasResumeAfterAnAcceptedOrder guards against lost commits: an order without an answer is
// carried out just before the node that gave it fences it off, and takes effect after that.
func TestReplicasResumeAfterAnAcceptedOrder(t *testing.T) {
	for milliseconds := 1800; milliseconds <= 3000; milliseconds += 100 {
		if milliseconds%300 > 0 && !playsAllChanges() {
			continue
		}
		c := &interruptedChange{orderDelay: time.Duration(milliseconds) * time.Millisecond, away: 1800 * time.Millisecond, lags: true}
		t.Run(fmt.Sprintf("%d ms late", milliseconds), c.check)
	}
}

// TestStallIsFoundWhileCommitsFillThePrimary guards against a stall that is not found for long: the
// replicas stay paused while nobody writes, and the commits of many callers that wait for them then
// leave no slot for questions to the primary.
func TestStallIsFoundWhileCommitsFillThePrimary(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		fleet := prepareFleet(fleetConfig{nodes: fleetOfSeven, synchronousReplicas: 1})
		loss := &lossAtStep{fleet: fleet, effect: "Order"}
		fleet.onEffects = loss.watch
		fleet.startNodes()
		time.Sleep(10 * time.Second)
		fleet.writeOften("first", 8, time.Second)
		loss.arm(true)
		fleet.promoter.SetSilent(true)
		primary := fleet.group.Primary()
		primary.Crash()
		time.Sleep(1800 * time.Millisecond)
		primary.Restart()
		time.Sleep(time.Second)
		fleet.promoter.SetSilent(false)
		must.NotEq(t, "", loss.arm(false))
		time.Sleep(recoveryBound)
		before := fleet.check.WritesAcknowledged()
		began := time.Now()
		var writers sync.WaitGroup
		for i := range 36 {
			writers.Go(func() { fleet.runCaller(fmt.Sprintf("caller-%d", i), uint64(i), recoveryBound) })
		}
		for fleet.check.WritesAcknowledged() == before && time.Since(began) < recoveryBound {
			time.Sleep(10 * time.Millisecond)
		}
		stalled := time.Since(began)
		writers.Wait()
		fleet.end()
		t.Logf("writes stalled for %s", stalled)
		must.Less(t, recoveryBound, stalled)
		must.SliceEmpty(t, fleet.check.Violations)
	})
}
