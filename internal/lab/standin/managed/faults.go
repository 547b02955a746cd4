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
)

// Limits of random faults.
const (
	maxLostAnswers  = 4
	maxApplyDelayMs = 1500
	maxStoreDelayMs = 400
	maxSlowdown     = 10
	maxFailOneOf    = 4 // at least one of this many statements fails
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
func (v *FaultTargets) Inject(trouble Fault, random *rand.Rand, duration time.Duration) {
	switch trouble {
	case PrimaryCrash:
		crashed := v.Group.Primary()
		crashed.Crash()
		time.Sleep(duration)
		crashed.Restart()
	case PrimaryUnreachable:
		primary := v.Group.Primary()
		during(duration, func(on bool) { primary.SetReachable(!on) })
	case ReplicaNotReceiving:
		during(duration, v.anyServer(random).SetReceiveBlocked)
	case ReplicaLagging:
		late := v.anyServer(random)
		late.SetApplyDelay(randomDelay(random, maxApplyDelayMs))
		time.Sleep(duration)
		late.SetApplyDelay(v.Group.settings.ApplyDelay)
	case AnswersLost:
		v.Group.Primary().LoseAnswers(1 + random.IntN(maxLostAnswers))
		v.anyServer(random).LoseAnswers(1 + random.IntN(maxLostAnswers))
	case StoreDown:
		during(duration, v.Store.SetDown)
	case StoreSlow:
		v.Store.SetDelay(randomDelay(random, maxStoreDelayMs))
		time.Sleep(duration)
		v.Store.SetDelay(storeLatency)
	case PrimaryNotReplicating:
		during(duration, v.Group.Primary().SetSendBlocked)
	case PromotionsDelayed:
		v.Promoter.SetOrderDelay(duration)
		time.Sleep(duration)
		v.Promoter.SetOrderDelay(0)
	case ServerSlow:
		slow := v.anyServer(random)
		slow.SetSlowdown(2 + random.IntN(maxSlowdown-1))
		time.Sleep(duration)
		slow.SetSlowdown(1)
	case ServerDegraded:
		degraded := v.anyServer(random)
		degraded.FailOneOf(1 + random.IntN(maxFailOneOf))
		time.Sleep(duration)
		degraded.FailOneOf(0)
	case ServerFlapping:
		v.flap(v.anyServer(random), duration)
	}
}

// flap repeatedly ends and restarts a server.
func (v *FaultTargets) flap(flapping *Server, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		flapping.Crash()
		time.Sleep(flapInterval)
		flapping.Restart()
		time.Sleep(flapInterval)
	}
}

func (v *FaultTargets) anyServer(random *rand.Rand) *Server {
	return v.Group.Server(random.IntN(len(v.Group.settings.Zones)))
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
