package managed

import (
	"math/rand/v2"
	"time"
)

// Trouble is a kind of fault that strikes servers, the store or the promotions.
type Trouble uint8

// The kinds of trouble.
const (
	// PrimaryCrash ends the primary, which restarts with its log.
	PrimaryCrash Trouble = iota
	// PrimaryDark keeps all nodes from the primary.
	PrimaryDark
	// ReplicaDeaf keeps a server from receiving.
	ReplicaDeaf
	// ReplicaLate makes a server apply late.
	ReplicaLate
	// AnswersLost loses the next answers of the primary and another server.
	AnswersLost
	// StoreDown makes the store refuse everything.
	StoreDown
	// StoreSlow makes the store answer late.
	StoreSlow
	// PrimarySevered cuts the primary off from its replicas.
	PrimarySevered
	// OrdersLate makes orders to promote be carried out late and unanswered.
	OrdersLate
	// ServerSlow makes a server take several times as long for each statement.
	ServerSlow
	// ServerGrey makes a server fail part of the statements, and answer all else well.
	ServerGrey
	// ServerFlaps ends a server and starts it again, by turns.
	ServerFlaps
)

// The bounds of random troubles.
const (
	mostLostAnswers  = 4
	longestApply     = 1500 // ms
	longestStoreWait = 400  // ms
	mostSlowdown     = 10
	mostFailed       = 4 // one statement of so many fails, or more
	flap             = 400 * time.Millisecond
)

// Victims are what troubles strike.
type Victims struct {
	Group    *Group
	Store    *Store
	Promoter *Promoter
}

// Strike lets a trouble last for a span and returns when it has passed.
func (v *Victims) Strike(trouble Trouble, random *rand.Rand, span time.Duration) {
	switch trouble {
	case PrimaryCrash:
		crashed := v.Group.Primary()
		crashed.Crash()
		time.Sleep(span)
		crashed.Restart()
	case PrimaryDark:
		dark := v.Group.Primary()
		during(span, func(on bool) { dark.SetReachable(!on) })
	case ReplicaDeaf:
		during(span, v.anyServer(random).SetDeaf)
	case ReplicaLate:
		late := v.anyServer(random)
		late.SetApplyDelay(milliseconds(random, longestApply))
		time.Sleep(span)
		late.SetApplyDelay(v.Group.settings.ApplyDelay)
	case AnswersLost:
		v.Group.Primary().LoseAnswers(1 + random.IntN(mostLostAnswers))
		v.anyServer(random).LoseAnswers(1 + random.IntN(mostLostAnswers))
	case StoreDown:
		during(span, v.Store.SetDown)
	case StoreSlow:
		v.Store.SetDelay(milliseconds(random, longestStoreWait))
		time.Sleep(span)
		v.Store.SetDelay(storeDelay)
	case PrimarySevered:
		during(span, v.Group.Primary().SetSevered)
	case OrdersLate:
		v.Promoter.SetLate(span)
		time.Sleep(span)
		v.Promoter.SetLate(0)
	case ServerSlow:
		slow := v.anyServer(random)
		slow.SetSlowdown(2 + random.IntN(mostSlowdown-1))
		time.Sleep(span)
		slow.SetSlowdown(1)
	case ServerGrey:
		grey := v.anyServer(random)
		grey.FailOneOf(1 + random.IntN(mostFailed))
		time.Sleep(span)
		grey.FailOneOf(0)
	case ServerFlaps:
		v.flap(v.anyServer(random), span)
	}
}

// flap ends a server and starts it again, by turns.
func (v *Victims) flap(flapping *Server, span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); {
		flapping.Crash()
		time.Sleep(flap)
		flapping.Restart()
		time.Sleep(flap)
	}
}

func (v *Victims) anyServer(random *rand.Rand) *Server {
	return v.Group.Server(random.IntN(len(v.Group.settings.Zones)))
}

// during switches something on for a span.
func during(span time.Duration, set func(on bool)) {
	set(true)
	time.Sleep(span)
	set(false)
}

func milliseconds(random *rand.Rand, limit int) time.Duration {
	return time.Duration(random.IntN(limit)) * time.Millisecond
}
