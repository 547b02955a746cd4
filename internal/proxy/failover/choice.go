package failover

import (
	"time"

	"dewknot/internal/base/position"
)

// Report is one server's answer to a survey.
type Report struct {
	ID       string
	Primary  bool
	Term     uint64
	Received position.Position
	// Assumed is set if the server has not reported, and Received is what it was known
	// to have applied.
	Assumed bool `json:",omitempty"`
	// Lost is set if the server has started again and its log lacks what was known to be in it
	// before: that it leads, or what it holds, proves nothing of acknowledged commits.
	Lost bool `json:",omitempty"`
}

// surveyed chooses the target: the server that has received most.
func (m *Machine) surveyed(now time.Time, event Surveyed) []Effect {
	if m.phase != Surveying {
		return nil
	}
	if m.agreed {
		m.campaign.reports, m.campaign.surveyed = event.Reports, true
		return m.decide(now)
	}
	for _, report := range event.Reports {
		if report.Primary && !report.Lost && report.ID != m.observation.Leader {
			m.rest(now, pauseAfterFailure)
			return append(m.resume(), LeaderFound{ID: report.ID})
		}
	}
	needed, _ := m.need(now)
	best := m.furthest(now, event.Reports)
	if !needed || best == nil || !m.leadIsFree(event.Reports) || !m.holdsAllCommits(best, event.Reports) {
		m.rest(now, pauseAfterFailure)
		if m.unanswered {
			return nil
		}
		return m.resume()
	}
	m.phase = Promoting
	return m.order(best.ID)
}

// leadIsFree reports whether no server can have the lead, where this node knows no
// primary. The one that it knew may have been replaced by a server that it does not reach,
// as on one side of a split; to promote what is left on this side, perhaps the replaced
// primary itself, would roll back all that the new one has acknowledged. So all servers of
// the directory have to report, none of them leading. Servers that are gone leave the
// directory, so the wait ends.
func (m *Machine) leadIsFree(reports []Report) bool {
	if m.observation.Leader != "" {
		return true
	}
	reported := map[string]bool{}
	for i := range reports {
		if reports[i].Assumed {
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

// resume ends what a survey that held the replicas began.
func (m *Machine) resume() []Effect {
	if m.observation.SynchronousReplicas == 0 {
		return nil
	}
	return []Effect{Resume{}}
}

// furthest returns the report of the eligible server that has received most,
// nil if there is none. Of equal ones every holder chooses the same. One that has lost its log
// is chosen only if all have.
func (m *Machine) furthest(now time.Time, reports []Report) *Report {
	if best := m.furthestOf(now, reports, false); best != nil {
		return best
	}
	return m.furthestOf(now, reports, true)
}

func (m *Machine) furthestOf(now time.Time, reports []Report, lost bool) *Report {
	var best *Report
	for i := range reports {
		report := &reports[i]
		if report.Lost != lost {
			continue
		}
		if !m.eligible(report.ID, now) || (m.bound() && report.ID != m.target) || (m.agreed && m.replacedBefore(report)) {
			continue
		}
		if best == nil || best.Received.Less(report.Received) || (best.Received == report.Received && m.preferred(report.ID, best.ID)) {
			best = report
		}
	}
	return best
}

// bound reports whether only the last target may be ordered again. Its order was
// not answered: it may have been accepted, so that the target leads in a moment
// and acknowledges commits that no other replica of the survey would have. Once
// the target has left the directory it cannot.
func (m *Machine) bound() bool {
	if m.agreed || !m.unanswered || m.observation.SynchronousReplicas == 0 || m.target == m.observation.Leader {
		return false
	}
	for _, server := range m.observation.Servers {
		if server.ID == m.target {
			return true
		}
	}
	return false
}

// holdsAllCommits reports whether the best server surely holds every
// acknowledged commit of a service with synchronous replicas. Either it holds
// all that the primary itself holds, or so many replicas have reported, none
// with more, that each commit's synchronous replicas are among them.
func (m *Machine) holdsAllCommits(best *Report, reports []Report) bool {
	if m.observation.SynchronousReplicas == 0 {
		return true
	}
	leader := m.lastPrimary(reports)
	replicas := 0
	for _, server := range m.observation.Servers {
		if server.ID != leader {
			replicas++
		}
	}
	reported := 0
	for _, report := range reports {
		if report.Lost {
			continue
		}
		if report.ID == leader {
			if best.Received.Covers(report.Received) {
				return true
			}
			continue
		}
		if best.Received.Less(report.Received) {
			return false
		}
		reported++
	}
	return reported >= replicas-m.observation.SynchronousReplicas+1
}

// lastPrimary returns the server that led last, as far as it is known: the one that this node
// believes in, or one that leads without the log that it had.
func (m *Machine) lastPrimary(reports []Report) string {
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

func (m *Machine) eligible(id string, now time.Time) bool {
	if id == m.observation.Leader && !m.openingOnly() {
		return false
	}
	if at, found := m.rejected[id]; found && now.Sub(at) < rejectedLife {
		return false
	}
	for _, server := range m.observation.Servers {
		if server.ID == id {
			return !server.Leaving && !(server.Away && m.movesHome())
		}
	}
	return false
}

// preferred reports whether one of two servers that have received as much is chosen: the one
// to whose region all work may go, else the first by name.
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
