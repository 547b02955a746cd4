package failover

import "time"

// PromotionOutcome is the platform's answer to an order.
type PromotionOutcome uint8

// The outcomes of an order.
const (
	// Accepted: the server takes the lead shortly.
	Accepted PromotionOutcome = iota
	// Rejected: a newer token was seen, or the server does not run.
	Rejected
	// Unanswered: the order may be carried out, now or later.
	Unanswered
	// NotSent: the order came too late to be sent.
	NotSent
)

var outcomeNames = [...]string{"accepted", "rejected", "unanswered", "not_sent"}

// String returns the outcome's name in logs.
func (o PromotionOutcome) String() string { return outcomeNames[o] }

const (
	// maxRepeats is how often an order that was not answered is given again, under the
	// same token and for the same target: whichever of them is carried out first makes
	// the change, and the others change nothing.
	maxRepeats = 4
	// repeatPause is the pause before an order is given again.
	repeatPause = 100 * time.Millisecond
)

// order orders the promotion of a server under a new token.
func (m *Machine) order(target string) []Effect {
	m.target = target
	m.token = m.nextToken()
	m.repeats = maxRepeats
	return []Effect{Order{Target: m.target, Token: m.token}}
}

// repeat gives the last order again, if it was not answered and is still needed.
func (m *Machine) repeat(now time.Time) []Effect {
	needed, _ := m.need(now)
	if m.repeats == 0 || !needed {
		return nil
	}
	m.repeats--
	m.phase = Promoting
	return []Effect{Order{Target: m.target, Token: m.token}}
}

// withdraw fences off an order that was not answered and is no longer needed,
// by ordering the present primary under a higher token. Only services with
// synchronous replicas need it: their replicas are held until then, since an
// order carried out late would lose what they acknowledge afterwards. If the
// late order is carried out first, the present primary has become the only
// replica that is not held, so it holds all that was acknowledged since.
func (m *Machine) withdraw() []Effect {
	if m.agreed || !m.unanswered || !m.holding || m.observation.SynchronousReplicas == 0 {
		return nil
	}
	m.phase = Withdrawing
	return m.order(m.observation.Leader)
}

func (m *Machine) ordered(now time.Time, event Ordered) []Effect {
	if m.phase == Withdrawing {
		return m.withdrawn(now, event)
	}
	if m.phase != Promoting {
		return nil
	}
	if m.agreed {
		return m.orderAnswered(now, event)
	}
	switch event.Outcome {
	case Accepted:
		m.repeats = 0
		m.phase, m.settleUntil = Settling, now.Add(settleLimit)
	case Unanswered:
		m.unanswered = true
		m.phase, m.settleUntil = Settling, now.Add(repeatPause)
		if m.repeats == 0 {
			m.settleUntil = now.Add(unansweredLimit)
		}
	case Rejected:
		// Either the target does not run, or another node holds a newer token.
		m.rejected[m.target] = now
		if m.deputizing {
			m.rest(now, deputyPause)
			return nil
		}
		m.holding, m.fenced = false, true
		m.phase = ReadingLease
		return []Effect{ReadLease{}}
	}
	return nil
}

func (m *Machine) withdrawn(now time.Time, event Ordered) []Effect {
	m.rest(now, pauseAfterFailure)
	if event.Outcome == Unanswered {
		return nil
	}
	// A rejection shows a newer token, which fences the order off as well.
	m.unanswered = false
	return m.resume()
}
