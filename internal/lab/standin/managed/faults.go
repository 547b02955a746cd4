package managed

import (
	"math/rand/v2"
	"time"
)

// Fault is a kind of fault of servers, the store or promotions.
type Fault uint8

// The kinds of faults.
const (
	// PrimaryCrash ends the primary and restarts it with its log.
	PrimaryCrash Fault = iota
	// PrimaryUnreachable makes the primary unreachable for all nodes.
	PrimaryUnreachable
	// ReplicaNotReceiving stops a server from receiving replication.
	ReplicaNotReceiving
	// ReplicaLagging increases a server's apply delay.
	ReplicaLagging
	// AnswersLost drops the next answers of the primary and of a random server.
	AnswersLost
	// StoreDown makes the store reject all calls.
	StoreDown
	// StoreSlow increases the latency of the store.
	StoreSlow
	// PrimaryNotReplicating stops replication from the primary.
	PrimaryNotReplicating
	// PromotionsDelayed makes the platform execute promotion orders late and without an answer.
	PromotionsDelayed
	// ServerSlow multiplies the duration of a server's statements.
	ServerSlow
	// ServerDegraded makes some statements of a server fail while the rest succeed.
	ServerDegraded
	// ServerFlapping repeatedly ends and restarts a server.
	ServerFlapping
	// AnswersRepeated makes all servers send some answers again, see Server.RepeatOneOf.
	AnswersRepeated
)

// Limits of random faults.
const (
	maxLostAnswers  = 4
	maxApplyDelayMs = 1500
	maxStoreDelayMs = 400
	maxSlowdown     = 10
	maxFailOneOf    = 4 // at least one of this many statements fails
	maxRepeatOneOf  = 12
	flapInterval    = 400 * time.Millisecond
)

// FaultTargets are the targets of faults.
type FaultTargets struct {
	Group    *Group
	Store    *Store
	Promoter *Promoter
}

// Inject injects a fault and blocks until it has ended. All faults but AnswersLost last for
// duration.
func (t *FaultTargets) Inject(fault Fault, random *rand.Rand, duration time.Duration) {
	switch fault {
	case PrimaryCrash:
		crashed := t.Group.Primary()
		crashed.Crash()
		time.Sleep(duration)
		crashed.Restart()
	case PrimaryUnreachable:
		primary := t.Group.Primary()
		during(duration, func(on bool) { primary.SetReachable(!on) })
	case ReplicaNotReceiving:
		during(duration, t.anyServer(random).SetReceiveBlocked)
	case ReplicaLagging:
		lagging := t.anyServer(random)
		lagging.SetApplyDelay(randomDelay(random, maxApplyDelayMs))
		time.Sleep(duration)
		lagging.SetApplyDelay(t.Group.settings.ApplyDelay)
	case AnswersLost:
		t.Group.Primary().LoseAnswers(1 + random.IntN(maxLostAnswers))
		t.anyServer(random).LoseAnswers(1 + random.IntN(maxLostAnswers))
	case StoreDown:
		during(duration, t.Store.SetDown)
	case StoreSlow:
		t.Store.SetDelay(randomDelay(random, maxStoreDelayMs))
		time.Sleep(duration)
		t.Store.SetDelay(storeLatency)
	case PrimaryNotReplicating:
		during(duration, t.Group.Primary().SetSendBlocked)
	case PromotionsDelayed:
		t.Promoter.SetOrderDelay(duration)
		time.Sleep(duration)
		t.Promoter.SetOrderDelay(0)
	case ServerSlow:
		slow := t.anyServer(random)
		slow.SetSlowdown(2 + random.IntN(maxSlowdown-1))
		time.Sleep(duration)
		slow.SetSlowdown(1)
	case ServerDegraded:
		degraded := t.anyServer(random)
		degraded.FailOneOf(1 + random.IntN(maxFailOneOf))
		time.Sleep(duration)
		degraded.FailOneOf(0)
	case ServerFlapping:
		t.flap(t.anyServer(random), duration)
	case AnswersRepeated:
		oneOf, seed := 1+random.IntN(maxRepeatOneOf), random.Uint64()
		during(duration, func(on bool) {
			if !on {
				oneOf = 0
			}
			for i := range t.Group.settings.Zones {
				t.Group.Server(i).RepeatOneOf(oneOf, seed)
			}
		})
	}
}

// flap repeatedly ends and restarts a server.
func (t *FaultTargets) flap(flapping *Server, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		flapping.Crash()
		time.Sleep(flapInterval)
		flapping.Restart()
		time.Sleep(flapInterval)
	}
}

func (t *FaultTargets) anyServer(random *rand.Rand) *Server {
	return t.Group.Server(random.IntN(len(t.Group.settings.Zones)))
}

// during calls set with true and, after a duration, with false.
func during(duration time.Duration, set func(on bool)) {
	set(true)
	time.Sleep(duration)
	set(false)
}

func randomDelay(random *rand.Rand, limit int) time.Duration {
	return time.Duration(random.IntN(limit)) * time.Millisecond
}
