package failover

import "time"

// PromotionOutcome is the platform's answer to an order.
type PromotionOutcome uint8

// The outcomes of an order.
const (
	// Accepted: the server becomes the primary shortly.
	Accepted PromotionOutcome = iota
	// Rejected: a newer token was seen, or the server does not run.
	Rejected
	// Unanswered: the order may be carried out, now or later.
	Unanswered
	// NotSent: the order could no longer be sent in time.
	NotSent
)

var outcomeNames = [...]string{"accepted", "rejected", "unanswered", "not_sent"}

// String returns the outcome's name for logs.
func (o PromotionOutcome) String() string { return outcomeNames[o] }

// Promotion is a call to the platform that promotes a server.
type Promotion struct {
	Service string
	Server  string
	// Holder is the node that sends the call, Token its fencing token.
	Holder string
	Token  uint64
	// SendBy, if not zero, is the time from which on the call must not be sent any more, not even
	// by a process that was suspended meanwhile.
	SendBy time.Time
}

const (
	// maxResends is how often an order that was not answered is sent again, under the same token
	// and for the same target. The first one carried out makes the change; the others have no
	// effect.
	maxResends = 4
	// resendPause is the pause before an order is sent again.
	resendPause = 100 * time.Millisecond
)

// orderPromotion orders the promotion of a server under a new token.
func (m *Machine) orderPromotion(target string) []Effect {
	m.target = target
	m.token = m.nextToken()
	m.resendsLeft = maxResends
	return []Effect{Order{Target: m.target, Token: m.token}}
}

// resend sends the last order again if it was not answered and is still needed.
func (m *Machine) resend(now time.Time) []Effect {
	needed, _ := m.needsChange(now)
	if m.resendsLeft == 0 || !needed {
		return nil
	}
	m.resendsLeft--
	m.phase = Promoting
	return []Effect{Order{Target: m.target, Token: m.token}}
}

func (m *Machine) handleOrdered(now time.Time, event Ordered) []Effect {
	if m.phase == Withdrawing {
		return m.handleWithdrawn(now, event)
	}
	if m.phase == Surveying && m.handover.step == checkingPlatform {
		return m.handlePlatformChecked(now, event.Outcome)
	}
	if m.phase != Promoting {
		return nil
	}
	if m.usesTenures {
		return m.handleOrderAnswered(now, event)
	}
	switch event.Outcome {
	case Accepted:
		m.resendsLeft = 0
		m.phase, m.settleUntil = Settling, now.Add(settleTimeout)
	case Unanswered:
		m.orderUnanswered = true
		m.phase, m.settleUntil = Settling, now.Add(resendPause)
		if m.resendsLeft == 0 {
			m.settleUntil = now.Add(unansweredTimeout)
		}
	case Rejected:
		return m.handleRejected(now)
	}
	return nil
}

// handleRejected processes the rejection of an order: either its target does not run, or another node
// holds a newer token.
func (m *Machine) handleRejected(now time.Time) []Effect {
	m.rejectedAt[m.target] = now
	if m.actingAsDeputy {
		m.watchAgain(now, deputyRejectionPause)
		return nil
	}
	m.holdsLease, m.needsNewEpoch = false, true
	m.phase = ReadingLease
	return []Effect{ReadLease{}}
}
