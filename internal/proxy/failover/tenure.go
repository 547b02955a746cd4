package failover

import (
	"time"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/quorum"
)

// If the platform does not check fencing tokens, a replaced primary continues to accept work. The
// nodes then agree on each tenure (package quorum), and the primary is changed in these steps:
//
//	prepare a ballot -> survey, step down -> choose the target -> wait for leases ->
//	order -> wait until the target is the primary -> open the tenure
//
// The ballot is the order's token. A candidate that fails leaves the tenure closed and the target
// chosen; the next candidate learns both when it prepares.

const (
	// closedDelay is how long a tenure may be closed before the lease holder opens one. A change
	// of the voter table closes all tenures for a round trip or two.
	closedDelay = 300 * time.Millisecond
	// boundTargetTimeout is how long campaigns stay bound to a target whose order may be pending.
	boundTargetTimeout = quorum.UnconfirmedWindow
	// orderWindow is the time after the voters' agreement in which an order is sent.
	orderWindow = quorum.OrderWindow
	// busyPause is the pause after another candidate was found to be active.
	busyPause = 700 * time.Millisecond
	// plannedStepDownTimeout bounds the wait for a primary to step down in a planned change.
	plannedStepDownTimeout = 600 * time.Millisecond
	// catchUpTimeout bounds the wait for the target of a planned change to receive the rest of
	// the log. It begins with the campaign.
	catchUpTimeout = 1200 * time.Millisecond
	// voterReportTimeout is how long the node that opened a tenure waits for the voters to report
	// it. Opening it again would close it for all nodes. When a large fleet starts, the records
	// of all services take seconds to arrive.
	voterReportTimeout = 10 * time.Second
	// missingReportsDelay is how long a service may be without a tenure before a server is
	// promoted although other servers have not reported.
	missingReportsDelay = 1500 * time.Millisecond
)

// campaign is the state of a change of the primary by agreement.
type campaign struct {
	ballot uint64
	// replacing is the primary to replace, or "" if a tenure is only opened.
	replacing string
	planned   bool
	// orderPending is set once an order of this campaign was not answered, orderAccepted once one was
	// accepted.
	orderPending  bool
	orderAccepted bool
	// boundTarget is a server whose order may be pending, settledPrimary the primary of the last
	// tenure that the voters remember.
	boundTarget    string
	settledPrimary string
	// boundMinTerm is the lowest term in which the pending order makes boundTarget the primary.
	boundMinTerm uint64
	// highestTerm is the highest term in which a server is known to have been the primary.
	highestTerm uint64
	// steppedDown is set once the primary has given up its role, finalPosition is the end of its
	// log.
	steppedDown   bool
	finalPosition position.Position
	// unconfirmedTarget is a server whose order was not answered and may be carried out until
	// unconfirmedUntil.
	unconfirmedTarget string
	unconfirmedUntil  time.Time
	// targetTerm is the term in which the target is the primary.
	targetTerm uint64
	// agreedAt is when the voters were last asked for their agreement. They have reserved the
	// service for this candidate since then.
	agreedAt time.Time
	reports  []Report
	surveyed bool
	// recordingTarget is set while the target is being written to the lease, leasesCleared once
	// no lease of the closed tenure is left.
	recordingTarget bool
	leasesCleared   bool
	// stepDownPending is set while StepDown has not been answered.
	stepDownPending bool
	// inconclusive is set if commits can be acknowledged that the reports do not show: the replicas were
	// not held, and the primary had not stepped down before.
	inconclusive bool
}

// prepare starts a campaign.
func (m *Machine) prepare(now time.Time) []Effect {
	m.highestBallot = max(m.highestBallot, m.observation.Highest)
	m.campaign = campaign{ballot: m.nextToken(), agreedAt: now}
	m.confirmedDown = ""
	m.phase = Preparing
	return []Effect{Prepare{Ballot: m.campaign.ballot}}
}

func (m *Machine) handlePrepared(now time.Time, event Prepared) []Effect {
	if m.phase != Preparing {
		return nil
	}
	m.highestBallot = max(m.highestBallot, event.Highest)
	if !event.Agreed {
		pause := pauseAfterFailure
		if event.Busy {
			pause = busyPause
		}
		m.watchAgain(now, pause)
		return nil
	}
	c := &m.campaign
	c.boundTarget, c.settledPrimary, c.highestTerm = m.bindTarget(now, event), event.Settled, event.Term
	c.boundMinTerm = event.Term + 1
	c.unconfirmedTarget, c.unconfirmedUntil = event.Loose, now.Add(event.LooseFor)
	if c.boundTarget == "" && c.settledPrimary == "" {
		// The voters have lost their state. The last ordered target is the primary, or its order
		// may be pending.
		c.boundTarget = m.bindLeaseTarget(now)
		// The term that the voters remember may be the target's own.
		c.boundMinTerm = max(m.lease.Term+1, event.Term)
		c.highestTerm = max(c.highestTerm, m.lease.Term)
	}
	c.replacing, c.planned = m.primaryToReplace(), !m.observation.LeaderDown
	m.phase = Surveying
	c.inconclusive = m.observation.SynchronousReplicas > 0 && m.awaitsStepDown()
	effects := []Effect{m.survey(now)}
	if c.replacing != "" {
		c.stepDownPending = true
		effects = append(effects, StepDown{Server: c.replacing})
	}
	return effects
}

// bindTarget returns the server to which this campaign is bound, or "": the target of an order that may
// still be carried out. It stays bound if the server has no entry in the directory, is the primary to
// replace, or has rejected an order of this node, since it may return before the pending order is
// carried out.
func (m *Machine) bindTarget(now time.Time, event Prepared) string {
	if event.Bound == "" || (event.Bound != m.boundTarget && event.BoundBallot == m.answeredBallot) {
		m.boundTarget = ""
		return ""
	}
	repeated := event.BoundBallot == m.unansweredBallot && event.BoundBallot != m.boundBallot
	if event.Bound != m.boundTarget || repeated {
		m.boundTarget, m.boundSince = event.Bound, now
	}
	m.boundBallot = event.BoundBallot
	if now.Sub(m.boundSince) > boundTargetTimeout {
		return ""
	}
	return event.Bound
}

// bindLeaseTarget is like bindTarget for the target in the lease, which may have been ordered long ago.
func (m *Machine) bindLeaseTarget(now time.Time) string {
	bound := m.bindTarget(now, Prepared{Bound: m.lease.Target, BoundBallot: m.lease.Ballot})
	if bound == m.primaryToReplace() || !m.inDirectory(bound) {
		return ""
	}
	return bound
}

// primaryToReplace returns the primary that has to be replaced, or "" if there is none.
func (m *Machine) primaryToReplace() string {
	obs := &m.observation
	if obs.LeaderDown || obs.LeaderDraining || obs.LeaderGone {
		return obs.Leader
	}
	return ""
}

func (m *Machine) inDirectory(id string) bool {
	for _, server := range m.observation.Servers {
		if server.ID == id {
			return true
		}
	}
	return false
}

// handleSteppedDown processes the primary's answer to StepDown.
func (m *Machine) handleSteppedDown(now time.Time, event SteppedDown) []Effect {
	if !m.usesTenures {
		return m.handlePrimarySteppedDown(now, event)
	}
	c := &m.campaign
	if event.Server != c.replacing || c.replacing == "" {
		return nil
	}
	c.stepDownPending = false
	if event.Done {
		c.steppedDown, c.finalPosition = true, event.Received
	}
	switch {
	case m.phase == Surveying && c.surveyed:
		return m.decideTarget(now)
	case m.phase == Clearing && c.steppedDown:
		c.leasesCleared = true
		return m.orderIfReady(now)
	default:
		return nil
	}
}

// decideTarget chooses a campaign's target once the servers have reported and a planned step-down
// has ended.
func (m *Machine) decideTarget(now time.Time) []Effect {
	c := &m.campaign
	switch {
	case c.planned && c.stepDownPending && now.Sub(c.agreedAt) < plannedStepDownTimeout:
		return nil
	case c.boundTarget != "":
		return m.choose(c.boundTarget, !m.claimsPrimaryRole(c.boundTarget))
	case c.replacing == "":
		return m.decideOpening(now)
	}
	best := m.mostAdvanced(now, c.reports)
	if best != nil && m.mustCatchUp(best, now) {
		return m.surveyAgain(false)
	}
	if c.inconclusive && !m.hasWholeLog(best) && m.enoughReplicasReported() {
		return m.surveyAgain(!c.steppedDown)
	}
	if !c.planned {
		best = m.chooseTarget(now, c.reports)
	}
	switch {
	case best != nil && m.holdsAllCommits(best, c.reports):
		return m.choose(best.ID, true)
	case c.steppedDown:
		// No other server can take over: the server that stepped down becomes the primary again.
		return m.choose(c.replacing, true)
	default:
		// The primary may still serve nodes that reach it.
		return m.choose(c.replacing, false)
	}
}

// awaitsStepDown reports whether the replicas need not be held yet, since the primary of a planned change
// is asked to step down.
func (m *Machine) awaitsStepDown() bool {
	return m.usesTenures && m.campaign.planned && m.campaign.replacing != ""
}

// surveyAgain asks the servers for newer reports once the primary has stepped down or the replicas have
// to be held.
func (m *Machine) surveyAgain(hold bool) []Effect {
	c := &m.campaign
	c.surveyed, c.inconclusive = false, false
	return []Effect{m.surveyWith(hold)}
}

// enoughReplicasReported reports whether the replicas that have not reported are too few to acknowledge
// a commit alone. Otherwise holding the others would only delay all commits.
func (m *Machine) enoughReplicasReported() bool {
	c := &m.campaign
	return len(m.unreportedReplicas(c.replacing, c.reports)) < m.observation.SynchronousReplicas
}

// mustCatchUp reports whether the target of a planned change has not received the end of the
// primary's log yet, and the wait for it has not timed out.
func (m *Machine) mustCatchUp(target *Report, now time.Time) bool {
	c := &m.campaign
	return c.planned && c.steppedDown && target.Received.Less(c.finalPosition) && now.Sub(c.agreedAt) < catchUpTimeout
}

// decideOpening opens a tenure for the present primary. A server's own claim is enough if the
// voters remember that it was the last one chosen, or if all servers have reported, none in a
// newer term: a replaced primary may still claim the role. Otherwise the server that has received
// most is ordered, which has no effect if it is the primary already.
func (m *Machine) decideOpening(now time.Time) []Effect {
	c := &m.campaign
	reported := m.allReported()
	for i := range c.reports {
		id := c.reports[i].ID
		if m.claimsPrimaryRole(id) && (id == c.settledPrimary || reported) {
			return m.choose(id, false)
		}
	}
	best := m.chooseTarget(now, c.reports)
	if best == nil || (!reported && now.Sub(m.needSince) < missingReportsDelay) {
		return m.giveUp(now)
	}
	return m.choose(best.ID, true)
}

// openingOnly reports whether a campaign replaces no primary, so that the last primary may be
// chosen as well.
func (m *Machine) openingOnly() bool { return m.usesTenures && m.campaign.replacing == "" }

func (m *Machine) choose(target string, ordering bool) []Effect {
	m.target = target
	if !ordering {
		if report := m.reportOf(target); report != nil {
			m.campaign.targetTerm = report.Term
		}
		return m.openTenure()
	}
	m.phase = Choosing
	return []Effect{Choose{Ballot: m.campaign.ballot, Target: target, Ordering: ordering}}
}

func (m *Machine) handleHeld(now time.Time, event Held) []Effect {
	if m.phase != Choosing {
		return nil
	}
	c := &m.campaign
	switch {
	case !event.Agreed:
		return m.giveUp(now)
	case c.leasesCleared && m.token == c.ballot:
		// Before an order is sent again, the leases need no second check.
		return m.orderChosen(now)
	}
	m.phase = Clearing
	c.leasesCleared = c.leasesCleared || c.steppedDown
	var effects []Effect
	if !c.leasesCleared {
		effects = append(effects, AwaitClear{Ballot: c.ballot})
	}
	if m.holdsLease {
		c.recordingTarget = true
		m.recordTarget()
		return append(effects, WriteLease{Revision: m.revision, Lease: m.newLease(), Brief: true})
	}
	return append(effects, m.orderIfReady(now)...)
}

// recordTarget sets the target in the lease, with the newest term before its order. The term
// stays if the server may already be the primary by an earlier order. If no server was ever
// ordered, one that claims to be the primary is the present primary as far as is known: its order
// has no effect, and it continues in its own term.
func (m *Machine) recordTarget() {
	c := &m.campaign
	report := m.reportOf(m.target)
	isPrimary := report != nil && report.Primary && report.Term == m.newestTerm()
	switch {
	case m.lease.Target == "" && m.claimsPrimaryRole(m.target):
		m.lease.Term = max(report.Term, 1) - 1
	case m.lease.Target != m.target || !isPrimary:
		m.lease.Term = max(c.highestTerm, m.newestTerm())
	}
	m.lease.Target, m.lease.Ballot = m.target, c.ballot
}

// handleTargetRecorded continues once the target is written to the lease. If the store does not
// answer, only the voters remember the target.
func (m *Machine) handleTargetRecorded(now time.Time, event LeaseWritten) []Effect {
	m.campaign.recordingTarget = false
	if event.Result == Written {
		m.revision = event.Revision
	} else {
		m.holdsLease = false
	}
	return m.orderIfReady(now)
}

// orderIfReady orders the chosen target once no lease is left and the target is recorded.
func (m *Machine) orderIfReady(now time.Time) []Effect {
	c := &m.campaign
	if m.phase != Clearing || !c.leasesCleared || c.recordingTarget {
		return nil
	}
	if m.target != c.unconfirmedTarget && now.Before(c.unconfirmedUntil) {
		// The next observation checks this again.
		return nil
	}
	return m.orderChosen(now)
}

func (m *Machine) handleCleared(now time.Time, event Cleared) []Effect {
	c := &m.campaign
	if m.phase != Clearing || (event.Ballot != 0 && event.Ballot != c.ballot) {
		return nil
	}
	if !event.Agreed {
		return m.giveUp(now)
	}
	if askedAt := now.Add(-event.Age); askedAt.After(c.agreedAt) {
		c.agreedAt = askedAt
	}
	c.leasesCleared = true
	return m.orderIfReady(now)
}

// orderChosen orders the target that the voters have chosen. Its token is the ballot.
func (m *Machine) orderChosen(now time.Time) []Effect {
	c := &m.campaign
	if m.token != c.ballot {
		m.token, m.resendsLeft = c.ballot, maxResends
	}
	if now.Sub(c.agreedAt) > orderWindow {
		// The voters may have promised another candidate since, so they are asked again.
		c.agreedAt = now
		return m.choose(m.target, true)
	}
	m.phase = Promoting
	return []Effect{Order{Target: m.target, Token: m.token, Within: orderWindow - now.Sub(c.agreedAt)}}
}

// handleOrderAnswered processes the platform's answer to an order by agreement.
func (m *Machine) handleOrderAnswered(now time.Time, event Ordered) []Effect {
	switch event.Outcome {
	case Accepted:
		m.resendsLeft = 0
		m.campaign.orderAccepted = true
		m.phase = Settling
		return []Effect{m.awaitPrimaryRole(settleTimeout)}
	case Unanswered:
		m.orderUnanswered, m.campaign.orderPending = true, true
		timeout := resendPause
		if m.resendsLeft == 0 {
			timeout = unansweredTimeout
		}
		m.phase = Settling
		return []Effect{m.awaitPrimaryRole(timeout)}
	case NotSent:
		return m.giveUp(now)
	default:
		m.rejectedAt[m.target] = now
		m.endOrders()
		m.watchAgain(now, 0)
		m.needSince = now.Add(-takeoverDelay)
		return m.resumeReplicas()
	}
}

// awaitPrimaryRole waits for the ordered server to become the primary. If the server has claimed
// the role in a term that does not prove it, only a later term counts.
func (m *Machine) awaitPrimaryRole(timeout time.Duration) AwaitLead {
	least := max(m.minTerm(m.target), m.newestTerm())
	if report := m.reportOf(m.target); report != nil && report.Primary && !m.claimsPrimaryRole(m.target) {
		least = max(least, report.Term+1)
	}
	return AwaitLead{Target: m.target, Least: least, Limit: timeout}
}

func (m *Machine) handleLed(now time.Time, event Led) []Effect {
	if m.phase != Settling {
		return nil
	}
	if event.Leads {
		m.campaign.targetTerm = event.Term
		return m.openTenure()
	}
	if m.resendsLeft > 0 {
		m.resendsLeft--
		m.campaign.agreedAt = now
		return m.choose(m.target, true)
	}
	return m.giveUp(now)
}

func (m *Machine) openTenure() []Effect {
	m.phase = Opening
	c := &m.campaign
	// It is unknown whether an earlier candidate's order was answered.
	return []Effect{Open{Ballot: c.ballot, Primary: m.target, Term: c.targetTerm, Loose: m.orderUnanswered || c.boundTarget == m.target}}
}

func (m *Machine) handleOpened(now time.Time, event Opened) []Effect {
	if m.phase != Opening {
		return nil
	}
	if !event.Agreed {
		return m.giveUp(now)
	}
	m.watchAgain(now, 0)
	m.needSince = time.Time{}
	m.repairNotBefore = now.Add(repairPause)
	m.orderUnanswered = false
	m.boundTarget = ""
	m.openedAt, m.openedBallot = now, m.campaign.ballot
	return m.resumeReplicas()
}

// awaitingVoterReports reports whether the tenure that this node has just opened may appear
// closed only because the voters have not reported it yet. A higher ballot or a new generation of
// the voter table does close it.
func (m *Machine) awaitingVoterReports(now time.Time) bool {
	obs := &m.observation
	down := obs.LeaderDown && obs.Leader == m.target
	return !down && now.Sub(m.openedAt) < voterReportTimeout && obs.Highest <= m.openedBallot && obs.LeastBallot <= m.openedBallot
}

// endOrders notes whether an order under the campaign's ballot may be pending.
func (m *Machine) endOrders() {
	c := &m.campaign
	switch {
	case c.orderPending:
		m.unansweredBallot = c.ballot
	case !c.orderAccepted:
		m.answeredBallot = c.ballot
	}
}

// giveUp ends a failed campaign; the next one learns its state from the voters.
func (m *Machine) giveUp(now time.Time) []Effect {
	m.endOrders()
	m.watchAgain(now, pauseAfterFailure)
	if m.orderUnanswered {
		return nil
	}
	return m.resumeReplicas()
}
