package failover

import (
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/quorum"
)

// Where the platform checks no fences, a replaced primary goes on accepting work. Then
// the nodes agree on each tenure (package quorum), and a change of the primary goes
//
//	prepare a ballot -> survey, step down -> choose the target -> wait for leases ->
//	order -> wait for the lead -> open the tenure
//
// with the ballot as the order's token. A candidate that fails leaves the tenure closed
// and the target chosen: the next one learns of both when it prepares.

const (
	// closedDelay is how long a tenure may be closed before the holder of the lease
	// opens one: a change of the voters' table closes all for a round trip or two.
	closedDelay = 300 * time.Millisecond
	// boundSpan is how long a target is held to whose order may be on its way.
	boundSpan = quorum.LooseSpan
	// orderSpan is within which time of the voters' word an order is sent.
	orderSpan = quorum.OrderWindow
	// busyPause is the pause after another candidate was found at work.
	busyPause = 700 * time.Millisecond
	// plannedWait bounds the wait for a primary that steps down as planned.
	plannedWait = 600 * time.Millisecond
	// catchUpWait bounds the wait, from its beginning, of a planned change for the target
	// to receive the rest of the log.
	catchUpWait = 1200 * time.Millisecond
	// learnSpan is how long the node that has opened a tenure leaves the voters time to tell
	// it so. Opening it again would close it for all nodes; after a start of 300 nodes with
	// hundreds of services, the records of all of them take seconds to pass.
	learnSpan = 10 * time.Second
	// unreportedDelay is how long a service may be without a tenure before a server is
	// ordered to lead though others have not reported.
	unreportedDelay = 1500 * time.Millisecond
)

// campaign is a change of the primary under way by agreement.
type campaign struct {
	ballot uint64
	// replacing is the primary that is replaced; "" if a tenure is only opened.
	replacing string
	planned   bool
	// bound is a server whose order may be on its way, settled the primary of the last
	// tenure that the voters remember.
	bound   string
	settled string
	// boundLeast is the lowest term in which bound leads by the order that may be on its way.
	boundLeast uint64
	// term is the highest term in which a primary is known to have led.
	term uint64
	// steppedDown is set once the primary has given up the lead.
	steppedDown bool
	received    position.Position
	// looseUntil is until when an order for the server loose may be carried out.
	loose      string
	looseUntil time.Time
	// ledTerm is the term in which the target leads.
	ledTerm uint64
	// agreedAt is a time before the voters' last word.
	agreedAt time.Time
	reports  []Report
	surveyed bool
	// recording is set while the target is being written to the lease, clear once no
	// lease of the closed tenure is left.
	recording bool
	clear     bool
	// asked is set while a planned step down has not been answered.
	asked bool
}

// prepare begins a campaign.
func (m *Machine) prepare(now time.Time) []Effect {
	m.highest = max(m.highest, m.observation.Highest)
	m.campaign = campaign{ballot: m.nextToken(), agreedAt: now}
	m.confirmedDown = ""
	m.phase = Preparing
	return []Effect{Prepare{Ballot: m.campaign.ballot}}
}

func (m *Machine) prepared(now time.Time, event Prepared) []Effect {
	if m.phase != Preparing {
		return nil
	}
	m.highest = max(m.highest, event.Highest)
	if !event.Agreed {
		pause := pauseAfterFailure
		if event.Busy {
			pause = busyPause
		}
		m.rest(now, pause)
		return nil
	}
	c := &m.campaign
	c.bound, c.settled, c.term = m.boundTo(now, event), event.Settled, event.Term
	c.boundLeast = event.Term + 1
	c.loose, c.looseUntil = event.Loose, now.Add(event.LooseFor)
	if c.bound == "" && c.settled == "" {
		// The voters have lost their memory. The target that was last ordered leads, or
		// its order may be on its way.
		c.bound = m.boundTo(now, Prepared{Bound: m.lease.Target, BoundBallot: m.lease.Ballot})
		// The term that the voters remember may be the target's own.
		c.boundLeast = max(m.lease.Term+1, event.Term)
		c.term = max(c.term, m.lease.Term)
	}
	c.replacing, c.planned = m.replaced(), !m.observation.LeaderDown
	m.phase = Surveying
	effects := []Effect{m.survey()}
	if c.replacing != "" {
		c.asked = true
		effects = append(effects, StepDown{Server: c.replacing})
	}
	return effects
}

// boundTo returns the server to which this campaign is bound. A candidate that saw its
// own order rejected, and nothing else of it, is free; all are after boundSpan.
func (m *Machine) boundTo(now time.Time, event Prepared) string {
	if event.Bound == "" || event.BoundBallot == m.refusedBallot {
		m.boundTarget = ""
		return ""
	}
	if m.boundTarget != event.Bound {
		m.boundTarget, m.boundSince = event.Bound, now
	}
	if now.Sub(m.boundSince) > boundSpan || event.Bound == m.replaced() || !m.serves(event.Bound) {
		return ""
	}
	return event.Bound
}

// replaced returns the primary that has to be replaced, "" if there is none.
func (m *Machine) replaced() string {
	seen := &m.observation
	if seen.LeaderDown || seen.LeaderDraining || seen.LeaderGone {
		return seen.Leader
	}
	return ""
}

// serves reports whether a server is in the directory.
func (m *Machine) serves(id string) bool {
	for _, server := range m.observation.Servers {
		if server.ID == id {
			return true
		}
	}
	return false
}

// steppedDown takes the end of the primary's lead.
func (m *Machine) steppedDown(now time.Time, event SteppedDown) []Effect {
	c := &m.campaign
	if event.Server != c.replacing || c.replacing == "" {
		return nil
	}
	c.asked = false
	if event.Done {
		c.steppedDown, c.received = true, event.Received
	}
	switch {
	case m.phase == Surveying && c.surveyed:
		return m.decide(now)
	case m.phase == Clearing && c.steppedDown:
		c.clear = true
		return m.orderIfReady(now)
	default:
		return nil
	}
}

// decide chooses a campaign's target once the servers have reported, and a planned step
// down is over.
func (m *Machine) decide(now time.Time) []Effect {
	c := &m.campaign
	switch {
	case c.planned && c.asked && now.Sub(c.agreedAt) < plannedWait:
		return nil
	case c.bound != "":
		return m.choose(c.bound, !m.claims(c.bound))
	case c.replacing == "":
		return m.decideOpening(now)
	}
	best := m.furthest(now, c.reports)
	if best != nil && m.lacksTheRest(best, now) {
		c.surveyed = false
		return []Effect{m.survey()}
	}
	switch {
	case best != nil && m.holdsAllCommits(best, c.reports):
		return m.choose(best.ID, true)
	case c.steppedDown:
		// Nobody else can take over: the server that stepped down leads again.
		return m.choose(c.replacing, true)
	default:
		// It may serve nodes that reach it.
		return m.choose(c.replacing, false)
	}
}

// lacksTheRest reports whether the target of a planned change has yet to receive what
// the primary's log ends with, and may still be waited for.
func (m *Machine) lacksTheRest(target *Report, now time.Time) bool {
	c := &m.campaign
	return c.planned && c.steppedDown && target.Received.Less(c.received) && now.Sub(c.agreedAt) < catchUpWait
}

// decideOpening opens a tenure for the server that leads. A server's own word is enough
// if the voters remember that it was the last one chosen, or if all servers have
// reported, none in a newer term: a replaced primary may say that it leads. Otherwise
// the server that has received most is ordered, which changes nothing if it leads.
func (m *Machine) decideOpening(now time.Time) []Effect {
	c := &m.campaign
	reported := m.allReported()
	for i := range c.reports {
		id := c.reports[i].ID
		if m.claims(id) && (id == c.settled || reported) {
			return m.choose(id, false)
		}
	}
	best := m.furthest(now, c.reports)
	if best == nil || (!reported && now.Sub(m.needSince) < unreportedDelay) || !m.holdsAllCommits(best, c.reports) {
		return m.giveUp(now)
	}
	return m.choose(best.ID, true)
}

// openingOnly reports whether a campaign replaces nobody, so that the last primary may be
// chosen as well.
func (m *Machine) openingOnly() bool { return m.agreed && m.campaign.replacing == "" }

func (m *Machine) choose(target string, ordering bool) []Effect {
	m.target = target
	if !ordering {
		if report := m.reportOf(target); report != nil {
			m.campaign.ledTerm = report.Term
		}
		return m.open()
	}
	m.phase = Choosing
	return []Effect{Choose{Ballot: m.campaign.ballot, Target: target, Ordering: ordering}}
}

func (m *Machine) held(now time.Time, event Held) []Effect {
	if m.phase != Choosing {
		return nil
	}
	c := &m.campaign
	switch {
	case !event.Agreed:
		return m.giveUp(now)
	case c.clear && m.token == c.ballot:
		// An order that is given again needs no second look at the leases.
		return m.orderChosen(now)
	}
	m.phase = Clearing
	c.clear = c.clear || c.steppedDown
	var effects []Effect
	if !c.clear {
		effects = append(effects, AwaitClear{Ballot: c.ballot})
	}
	if m.holding {
		c.recording = true
		m.noteTarget()
		return append(effects, WriteLease{Revision: m.revision, Lease: m.newLease(), Brief: true})
	}
	return append(effects, m.orderIfReady(now)...)
}

// noteTarget puts the target into the lease, with the newest term before its order. That
// of a server which may lead already by an earlier order stays. If none was ever ordered, a
// server that claims to lead is the present primary as far as is known: its order changes
// nothing, and it goes on in its own term.
func (m *Machine) noteTarget() {
	c := &m.campaign
	report := m.reportOf(m.target)
	leads := report != nil && report.Primary && report.Term == m.newestTerm()
	switch {
	case m.lease.Target == "" && m.claims(m.target):
		m.lease.Term = max(report.Term, 1) - 1
	case m.lease.Target != m.target || !leads:
		m.lease.Term = max(c.term, m.newestTerm())
	}
	m.lease.Target, m.lease.Ballot = m.target, c.ballot
}

// recorded goes on once the target stands in the lease. If the store does not answer,
// the voters alone remember it.
func (m *Machine) recorded(now time.Time, event LeaseWritten) []Effect {
	m.campaign.recording = false
	if event.Result == Written {
		m.revision = event.Revision
	} else {
		m.holding = false
	}
	return m.orderIfReady(now)
}

// orderIfReady orders the chosen target once no lease is left and the target is recorded.
func (m *Machine) orderIfReady(now time.Time) []Effect {
	c := &m.campaign
	if m.phase != Clearing || !c.clear || c.recording {
		return nil
	}
	if m.target != c.loose && now.Before(c.looseUntil) {
		// It is looked at again with each observation.
		return nil
	}
	return m.orderChosen(now)
}

func (m *Machine) cleared(now time.Time, event Cleared) []Effect {
	if m.phase != Clearing {
		return nil
	}
	if !event.Agreed {
		return m.giveUp(now)
	}
	m.campaign.agreedAt, m.campaign.clear = now, true
	return m.orderIfReady(now)
}

// orderChosen orders the target that the voters hold. Its token is the ballot.
func (m *Machine) orderChosen(now time.Time) []Effect {
	c := &m.campaign
	if m.token != c.ballot {
		m.token, m.repeats = c.ballot, maxRepeats
	}
	if now.Sub(c.agreedAt) > orderSpan {
		// Another candidate may have been heard since: the voters are asked again.
		c.agreedAt = now
		return m.choose(m.target, true)
	}
	m.phase = Promoting
	return []Effect{Order{Target: m.target, Token: m.token, Within: orderSpan - now.Sub(c.agreedAt)}}
}

// orderAnswered takes the platform's answer to an order given by agreement.
func (m *Machine) orderAnswered(now time.Time, event Ordered) []Effect {
	switch event.Outcome {
	case Accepted:
		m.repeats = 0
		m.phase = Settling
		return []Effect{m.awaitLead(settleLimit)}
	case Unanswered:
		m.unanswered = true
		limit := repeatPause
		if m.repeats == 0 {
			limit = unansweredLimit
		}
		m.phase = Settling
		return []Effect{m.awaitLead(limit)}
	case NotSent:
		return m.giveUp(now)
	default:
		m.rejected[m.target] = now
		if !m.unanswered {
			m.refusedBallot = m.campaign.ballot
		}
		m.rest(now, 0)
		m.needSince = now.Add(-takeoverDelay)
		return m.resume()
	}
}

// awaitLead waits for the ordered server. One that had said that it leads, in a term that
// does not show whether it still does, has to lead in a later one.
func (m *Machine) awaitLead(limit time.Duration) AwaitLead {
	least := max(m.leastTerm(m.target), m.newestTerm())
	if report := m.reportOf(m.target); report != nil && report.Primary && !m.claims(m.target) {
		least = max(least, report.Term+1)
	}
	return AwaitLead{Target: m.target, Least: least, Limit: limit}
}

func (m *Machine) led(now time.Time, event Led) []Effect {
	if m.phase != Settling {
		return nil
	}
	if event.Leads {
		m.campaign.ledTerm = event.Term
		return m.open()
	}
	if m.repeats > 0 {
		m.repeats--
		m.campaign.agreedAt = now
		return m.choose(m.target, true)
	}
	return m.giveUp(now)
}

func (m *Machine) open() []Effect {
	m.phase = Opening
	c := &m.campaign
	// Whether an earlier candidate's order was answered is not known.
	return []Effect{Open{Ballot: c.ballot, Primary: m.target, Term: c.ledTerm, Loose: m.unanswered || c.bound == m.target}}
}

func (m *Machine) opened(now time.Time, event Opened) []Effect {
	if m.phase != Opening {
		return nil
	}
	if !event.Agreed {
		return m.giveUp(now)
	}
	m.rest(now, 0)
	m.needSince = time.Time{}
	m.unanswered = false
	m.boundTarget = ""
	m.openedAt, m.openedBallot = now, m.campaign.ballot
	return m.resume()
}

// learning reports whether the tenure that this node has just opened may seem closed only
// because the voters' word of it has not come. A higher ballot or a new era closes it.
func (m *Machine) learning(now time.Time) bool {
	seen := &m.observation
	down := seen.LeaderDown && seen.Leader == m.target
	return !down && now.Sub(m.openedAt) < learnSpan && seen.Highest <= m.openedBallot && seen.LeastBallot <= m.openedBallot
}

// giveUp ends a campaign that has failed; the next one learns what it left.
func (m *Machine) giveUp(now time.Time) []Effect {
	m.rest(now, pauseAfterFailure)
	if m.unanswered {
		return nil
	}
	return m.resume()
}
