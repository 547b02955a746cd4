package failover

import (
	"slices"
	"time"

	"dewknot/internal/base/position"
)

// Report is one server's answer to a survey.
type Report struct {
	ID       string
	Primary  bool
	Term     uint64
	Received position.Position
	// Assumed is set if the server has not reported; Received is then the position that it was
	// last known to have applied.
	Assumed bool `json:",omitempty"`
	// Lost is set if the server restarted and its log lacks entries that it was known to hold.
	// Neither its claim to be the primary nor its position then proves anything about
	// acknowledged commits.
	Lost bool `json:",omitempty"`
	// Ended is set if the server's process has ended: nothing or another server answers at its
	// address. The report holds nothing else then.
	Ended bool `json:",omitempty"`
}

// handleSurveyed chooses the target, the server that has received most.
func (m *Machine) handleSurveyed(now time.Time, event Surveyed) []Effect {
	if m.phase != Surveying {
		return nil
	}
	if m.usesTenures {
		m.campaign.reports, m.campaign.surveyed = event.Reports, true
		return m.decideTarget(now)
	}
	for _, report := range event.Reports {
		if report.Primary && !report.Lost && report.ID != m.observation.Leader {
			m.watchAgain(now, pauseAfterFailure)
			return append(m.resumeReplicas(), LeaderFound{ID: report.ID})
		}
	}
	if m.onlyRepairs(now) {
		return m.repair(now, event.Reports)
	}
	if m.handover.from != "" {
		return m.handleHandoverSurvey(now, event.Reports)
	}
	needed, _ := m.needsChange(now)
	best := m.chooseTarget(now, event.Reports)
	if !needed || best == nil || !m.primaryRoleIsFree(event.Reports) {
		return m.giveUpChange(now)
	}
	m.phase = Promoting
	return m.orderPromotion(best.ID)
}

// giveUpChange ends a change for which no target was found.
func (m *Machine) giveUpChange(now time.Time) []Effect {
	m.watchAgain(now, pauseAfterFailure)
	if m.orderUnanswered || m.earlierHolderActed {
		return nil
	}
	return m.resumeReplicas()
}

// primaryRoleIsFree reports whether no server can be the primary. It matters if this node knows
// no primary: the former one may have been replaced by a server that this node does not reach, as
// in a network partition. Promoting a server on this side, possibly the replaced primary itself,
// would roll back everything that the new primary has acknowledged. So all servers in the
// directory have to report, and none of them as the primary. Servers that are gone leave the
// directory, so the wait ends.
func (m *Machine) primaryRoleIsFree(reports []Report) bool {
	if m.observation.Leader != "" {
		return true
	}
	reported := map[string]bool{}
	for i := range reports {
		if reports[i].Assumed || reports[i].Ended {
			continue
		}
		reported[reports[i].ID] = true
	}
	for _, server := range m.observation.Servers {
		if !reported[server.ID] {
			return false
		}
	}
	return true
}

// resumeReplicas lets replicas that a survey has held receive again.
func (m *Machine) resumeReplicas() []Effect {
	m.replicasHeld = false
	if m.observation.SynchronousReplicas == 0 {
		return nil
	}
	return []Effect{Resume{}}
}

// chooseTarget returns the report of the server that replaces a failed primary, or nil if none certainly
// holds all commits. If only a server that is leaving does, it is promoted, and hands over once another
// server has received them.
func (m *Machine) chooseTarget(now time.Time, reports []Report) *Report {
	if best := m.mostAdvanced(now, reports); best != nil && m.holdsAllCommits(best, reports) {
		return best
	}
	if m.observation.SynchronousReplicas == 0 {
		return nil
	}
	if best := m.mostAdvancedOf(reports, false, func(id string) bool { return m.eligibleIfLeaving(id, now) }); best != nil && m.holdsAllCommits(best, reports) {
		return best
	}
	return nil
}

// mostAdvanced returns the report of the eligible server that has received most, or nil if there
// is none. Every holder breaks ties in the same way. A server that lost its log is chosen only if
// all eligible servers have lost theirs.
func (m *Machine) mostAdvanced(now time.Time, reports []Report) *Report {
	eligible := func(id string) bool { return m.eligible(id, now) }
	if best := m.mostAdvancedOf(reports, false, eligible); best != nil {
		return best
	}
	return m.mostAdvancedOf(reports, true, eligible)
}

func (m *Machine) mostAdvancedOf(reports []Report, lost bool, eligible func(id string) bool) *Report {
	var best *Report
	for i := range reports {
		report := &reports[i]
		if report.Lost != lost || report.Ended {
			continue
		}
		if !eligible(report.ID) || (m.mustReorderTarget() && report.ID != m.target) || (m.usesTenures && m.isReplacedPrimary(report)) {
			continue
		}
		if best == nil || best.Received.Less(report.Received) || (best.Received == report.Received && m.preferred(report.ID, best.ID)) {
			best = report
		}
	}
	return best
}

// mustReorderTarget reports whether only the last target may be ordered again. Its order was not
// answered and may have been accepted: the target may become the primary shortly and acknowledge
// commits that no other replica of the survey has. This ends once the target has left the
// directory.
func (m *Machine) mustReorderTarget() bool {
	if m.usesTenures || !m.orderUnanswered || m.observation.SynchronousReplicas == 0 || m.target == m.observation.Leader {
		return false
	}
	for _, server := range m.observation.Servers {
		if server.ID == m.target {
			return true
		}
	}
	return false
}

// holdsAllCommits reports whether the best server certainly holds every commit of a service with
// synchronous replicas that was acknowledged or will be until its promotion takes effect. Each of
// these needs enough replicas that have received it. So it holds them if the replicas that are
// neither held nor behind it are too few to acknowledge a commit alone. What the primary has reported
// proves nothing, unless it has stepped down: otherwise it goes on to commit.
func (m *Machine) holdsAllCommits(best *Report, reports []Report) bool {
	if m.observation.SynchronousReplicas == 0 {
		return true
	}
	primary := m.lastPrimary(reports)
	for i := range reports {
		report := &reports[i]
		if report.ID != primary && !report.Lost && !report.Ended && best.Received.Less(report.Received) {
			return false
		}
	}
	if m.hasWholeLog(best) {
		return true
	}
	return !m.campaign.inconclusive && len(m.unreportedReplicas(primary, reports)) < m.observation.SynchronousReplicas
}

// hasWholeLog reports whether the primary has stepped down and a server has received its whole log.
func (m *Machine) hasWholeLog(report *Report) bool {
	final, steppedDown := m.handover.finalPosition, m.handover.steppedDown
	if m.usesTenures {
		final, steppedDown = m.campaign.finalPosition, m.campaign.steppedDown
	}
	return report != nil && steppedDown && report.Received.Covers(final)
}

// unreportedReplicas returns the replicas that may acknowledge commits and have not reported which
// ones they have. A server that has left the directory and does not answer counts only while the
// primary runs: afterwards it is taken for one that has ended.
func (m *Machine) unreportedReplicas(primary string, reports []Report) []string {
	known := map[string]bool{primary: true}
	for _, report := range reports {
		if !report.Lost && !report.Assumed && !report.Ended {
			known[report.ID] = true
		}
	}
	var unreported []string
	for _, server := range m.observation.Servers {
		if !known[server.ID] {
			unreported = append(unreported, server.ID)
		}
	}
	if m.handover.from == "" && (m.observation.Leader == "" || m.observation.LeaderDown) {
		return unreported
	}
	for _, id := range m.observation.Departed {
		if !known[id] && !slices.Contains(m.handover.ended, id) {
			unreported = append(unreported, id)
		}
	}
	return unreported
}

// lastPrimary returns the last known primary, or "": the one that is handed over or is in this node's view,
// or a server that reports to be the primary but has lost its log.
func (m *Machine) lastPrimary(reports []Report) string {
	if m.handover.from != "" {
		return m.handover.from
	}
	if m.observation.Leader != "" {
		return m.observation.Leader
	}
	for i := range reports {
		if reports[i].Lost && reports[i].Primary {
			return reports[i].ID
		}
	}
	return ""
}

// eligible reports whether a server may be promoted.
func (m *Machine) eligible(id string, now time.Time) bool {
	for _, server := range m.observation.Servers {
		if server.ID == id {
			return !server.Leaving && !(server.Away && m.onlyRegionMove()) && m.mayBeOrdered(id, now)
		}
	}
	return false
}

// eligibleIfLeaving reports whether a server may be promoted although it is leaving or has left the
// directory.
func (m *Machine) eligibleIfLeaving(id string, now time.Time) bool {
	return (m.inDirectory(id) || slices.Contains(m.observation.Departed, id)) && m.mayBeOrdered(id, now)
}

// mayBeOrdered reports whether a server is not the primary to replace and has not rejected an order
// recently.
func (m *Machine) mayBeOrdered(id string, now time.Time) bool {
	if id == m.handover.from || (id == m.observation.Leader && !m.openingOnly()) {
		return false
	}
	at, found := m.rejectedAt[id]
	return !found || now.Sub(at) >= rejectionTTL
}

// preferred reports whether a server is chosen over another one with an equal position: the one
// in a region where all work may go, otherwise the first by name.
func (m *Machine) preferred(id, other string) bool {
	if away := m.away(id); away != m.away(other) {
		return !away
	}
	return id < other
}

func (m *Machine) away(id string) bool {
	for _, server := range m.observation.Servers {
		if server.ID == id {
			return server.Away
		}
	}
	return false
}
