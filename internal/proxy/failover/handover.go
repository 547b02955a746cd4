package failover

import (
	"time"

	"dewknot/internal/base/position"
)

// On a platform that checks fencing tokens, a primary that still runs is replaced in these steps if its
// service has synchronous replicas:
//
//	survey until a target has received what the primary had -> order the present primary -> step down ->
//	wait until the target has received the rest of the log -> order
//
// The first order changes nothing, but shows that the platform carries out orders now. A primary that
// has stepped down acknowledges no more commits, whichever replicas receive them: those that do not
// answer, that have just started or that have left the directory. If it does not confirm that, the
// replicas are held, and enough of them have to report.

// handoverStep is what a handover is waiting for.
type handoverStep uint8

const (
	// checkingTarget: the primary is in use until a target has received what it had.
	checkingTarget handoverStep = iota
	// checkingPlatform: the present primary has been ordered.
	checkingPlatform
	steppingDown
	// catchingUp: the target receives the rest of the log of the primary that has stepped down.
	catchingUp
	// concluding: the reports of all servers decide.
	concluding
)

// handover is the state of a change of a primary that still runs.
type handover struct {
	// from is the primary to replace, or "" if there is no handover.
	from  string
	began time.Time
	step  handoverStep
	// surveyed is set after the first survey. surveyDue is set until the next one is started.
	surveyed  bool
	surveyDue bool
	// ended are the servers that had ended before primaryAt was reported.
	ended []string
	// primaryAt is the end of the primary's log in a survey; primaryReported is set if it is known.
	primaryAt       position.Position
	primaryReported bool
	target          string
	// reports are those of the survey in which the target was chosen.
	reports []Report
	// steppedDown is set once the primary has given up its role, at steppedDownAt. finalPosition is the
	// end of its log.
	steppedDown   bool
	steppedDownAt time.Time
	finalPosition position.Position
}

// isHandover reports whether a change replaces a primary that still runs, of a service with synchronous
// replicas. Where the nodes agree on tenures, a campaign does that; see tenure.go.
func (m *Machine) isHandover(now time.Time) bool {
	obs := &m.observation
	needed, _ := m.needsOtherPrimary(now)
	return needed && !m.usesTenures && obs.SynchronousReplicas > 0 && obs.Leader != "" && !obs.LeaderDown
}

// beginHandover starts a handover. Orders that may still be carried out are fenced off first, unless they
// were given after the primary had stepped down.
func (m *Machine) beginHandover(now time.Time) []Effect {
	primary := m.observation.Leader
	steppedDown := m.handover.steppedDown && m.handover.from == primary
	if (m.orderUnanswered || m.earlierHolderActed) && !steppedDown {
		return m.withdraw()
	}
	m.phase, m.handover = Surveying, handover{from: primary, began: now}
	return []Effect{m.survey(now)}
}

// handleHandoverSurvey continues a handover with the reports of a survey.
func (m *Machine) handleHandoverSurvey(now time.Time, reports []Report) []Effect {
	h := &m.handover
	if needed, _ := m.needsOtherPrimary(now); !needed && !h.steppedDown {
		return m.giveUpChange(now)
	}
	switch h.step {
	case checkingTarget:
		return m.checkTarget(now, reports)
	case catchingUp:
		return m.awaitTarget(now, reports)
	case concluding:
		return m.concludeHandover(now, reports)
	default:
		return nil
	}
}

// checkTarget goes on once a target has received what the primary had in an earlier survey, so that
// callers wait for little more than the promotion.
func (m *Machine) checkTarget(now time.Time, reports []Report) []Effect {
	h := &m.handover
	best := m.mostAdvanced(now, reports)
	if best == nil || best.Assumed {
		return m.giveUpChange(now)
	}
	primary := findReport(reports, h.from)
	switch {
	case !h.surveyed && len(m.observation.Departed) > 0:
		h.ended = endedServers(reports)
	case !h.primaryReported && primary != nil:
		h.primaryAt, h.primaryReported = primary.Received, true
	case !h.primaryReported, best.Received.Covers(h.primaryAt):
		h.step, h.target, h.reports = checkingPlatform, best.ID, reports
		return m.orderPromotion(h.from)
	case now.Sub(h.began) >= catchUpTimeout:
		return m.giveUpChange(now)
	}
	h.surveyed, h.surveyDue = true, true
	return nil
}

// continueHandover starts the survey that is due.
func (m *Machine) continueHandover(now time.Time) []Effect {
	if !m.handover.surveyDue {
		return nil
	}
	m.handover.surveyDue = false
	if m.handover.step == catchingUp {
		return []Effect{Survey{Only: m.handover.target}}
	}
	return []Effect{m.survey(now)}
}

// handlePlatformChecked asks the primary to step down if the platform has accepted an order.
func (m *Machine) handlePlatformChecked(now time.Time, outcome PromotionOutcome) []Effect {
	h := &m.handover
	switch outcome {
	case Accepted:
		h.step = steppingDown
		return []Effect{StepDown{Server: h.from}}
	case Rejected:
		return m.handleRejected(now)
	default:
		return m.giveUpChange(now)
	}
}

// handlePrimarySteppedDown processes the primary's answer to StepDown. If it may still commit, the
// replicas are held, but only if enough of them answer: holding them delays all commits.
func (m *Machine) handlePrimarySteppedDown(now time.Time, event SteppedDown) []Effect {
	h := &m.handover
	if m.phase != Surveying || h.step != steppingDown || event.Server != h.from {
		return nil
	}
	if event.Done {
		h.step, h.steppedDown, h.steppedDownAt, h.finalPosition = catchingUp, true, now, event.Received
		return []Effect{Survey{Only: h.target}}
	}
	if len(m.unreportedReplicas(h.from, h.reports)) >= m.observation.SynchronousReplicas {
		return m.giveUpChange(now)
	}
	h.step = concluding
	return []Effect{m.surveyWith(true)}
}

// awaitTarget orders the target once it has received the whole log. If that takes too long, all servers
// are asked.
func (m *Machine) awaitTarget(now time.Time, reports []Report) []Effect {
	h := &m.handover
	target := findReport(reports, h.target)
	switch {
	case target != nil && !target.Lost && target.Received.Covers(h.finalPosition):
		m.phase = Promoting
		return m.orderPromotion(h.target)
	case now.Sub(h.steppedDownAt) >= catchUpTimeout:
		h.step = concluding
		return []Effect{m.surveyWith(false)}
	case target == nil:
		// A survey that fails at once is repeated with the next observation.
		h.surveyDue = true
		return nil
	default:
		return []Effect{Survey{Only: h.target}}
	}
}

// concludeHandover orders the best server if it holds all commits. If none does, a primary that has
// stepped down takes the role again.
func (m *Machine) concludeHandover(now time.Time, reports []Report) []Effect {
	h := &m.handover
	best := m.mostAdvanced(now, reports)
	switch {
	case best != nil && m.holdsAllCommits(best, reports) && (h.steppedDown || best.Received.Covers(h.primaryAt)):
		m.phase = Promoting
		return m.orderPromotion(best.ID)
	case h.steppedDown:
		m.phase = Promoting
		return m.orderPromotion(h.from)
	default:
		return m.giveUpChange(now)
	}
}

// findReport returns a server's own report, or nil if it has not reported.
func findReport(reports []Report, id string) *Report {
	for i := range reports {
		if report := &reports[i]; report.ID == id && !report.Assumed && !report.Ended {
			return report
		}
	}
	return nil
}

// endedServers returns the servers whose process has ended.
func endedServers(reports []Report) []string {
	var ended []string
	for _, report := range reports {
		if report.Ended {
			ended = append(ended, report.ID)
		}
	}
	return ended
}
