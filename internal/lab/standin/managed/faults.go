package managed

import (
	"math/rand/v2"
	"time"
)

// Trouble is a kind of fault of servers, the store or promotions.
type Trouble uint8

// The kinds of faults.
const (
	// PrimaryCrash ends the primary and restarts it with its log.
	PrimaryCrash Trouble = iota
	// PrimaryDark makes the primary unreachable for all nodes.
	PrimaryDark
	// ReplicaDeaf stops a server from receiving replication.
	ReplicaDeaf
	// ReplicaLate increases a server's apply delay.
	ReplicaLate
	// AnswersLost drops the next answers of the primary and of a random server.
	AnswersLost
	// StoreDown makes the store reject all calls.
	StoreDown
	// StoreSlow increases the latency of the store.
	StoreSlow
	// PrimarySevered stops replication from the primary.
	PrimarySevered
	// OrdersLate makes the platform execute promotion orders late and without an answer.
	OrdersLate
	// ServerSlow multiplies the duration of a server's statements.
	ServerSlow
	// ServerGrey makes some statements of a server fail while the rest succeed.
	ServerGrey
	// ServerFlaps repeatedly ends and restarts a server.
	ServerFlaps
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

// Victims are the targets of faults.
type Victims struct {
	Group    *Group
	Store    *Store
	Promoter *Promoter
}

// Strike injects a fault and blocks until it has ended. All faults but AnswersLost last for
// duration.
func (v *Victims) Strike(trouble Trouble, random *rand.Rand, duration time.Duration) {
	switch trouble {
	case PrimaryCrash:
		crashed := v.Group.Primary()
		crashed.Crash()
		time.Sleep(duration)
		crashed.Restart()
	case PrimaryDark:
		primary := v.Group.Primary()
		during(duration, func(on bool) { primary.SetReachable(!on) })
	case ReplicaDeaf:
		during(duration, v.anyServer(random).SetDeaf)
	case ReplicaLate:
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
	case PrimarySevered:
		during(duration, v.Group.Primary().SetSevered)
	case OrdersLate:
		v.Promoter.SetLate(duration)
		time.Sleep(duration)
		v.Promoter.SetLate(0)
	case ServerSlow:
		slow := v.anyServer(random)
		slow.SetSlowdown(2 + random.IntN(maxSlowdown-1))
		time.Sleep(duration)
		slow.SetSlowdown(1)
	case ServerGrey:
		degraded := v.anyServer(random)
		degraded.FailOneOf(1 + random.IntN(maxFailOneOf))
		time.Sleep(duration)
		degraded.FailOneOf(0)
	case ServerFlaps:
		v.flap(v.anyServer(random), duration)
	}
}

// flap repeatedly ends and restarts a server.
func (v *Victims) flap(flapping *Server, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		flapping.Crash()
		time.Sleep(flapInterval)
		flapping.Restart()
		time.Sleep(flapInterval)
	}
}

func (v *Victims) anyServer(random *rand.Rand) *Server {
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
