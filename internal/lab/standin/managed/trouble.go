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
)

// The bounds of random troubles.
const (
	mostLostAnswers  = 4
	longestApply     = 1500 // ms
	longestStoreWait = 400  // ms
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
