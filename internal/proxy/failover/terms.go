package failover

// What the servers report of themselves, against what is known of earlier primaries.

// claims reports whether a server says that it leads, in a term in which no other one is
// known to have led, and none has reported a newer term.
func (m *Machine) claims(id string) bool {
	report := m.reportOf(id)
	return report != nil && report.Primary && !report.Lost && report.Term == m.newestTerm() && report.Term >= m.leastTerm(id)
}

// reportOf returns a server's own report, nil if it has not reported.
func (m *Machine) reportOf(id string) *Report {
	for i := range m.campaign.reports {
		if report := &m.campaign.reports[i]; report.ID == id && !report.Assumed {
			return report
		}
	}
	return nil
}

// newestTerm returns the newest term that a server has reported.
func (m *Machine) newestTerm() uint64 {
	newest := uint64(0)
	for _, report := range m.campaign.reports {
		if !report.Assumed {
			newest = max(newest, report.Term)
		}
	}
	return newest
}

// leastTerm returns the lowest term in which a server may be the primary now: the
// newest one known for the primary of the last tenure, a later one for others. If the
// voters do not remember who that was, it may be any server but one that was ordered.
func (m *Machine) leastTerm(id string) uint64 {
	c := &m.campaign
	switch {
	case id == c.bound:
		return c.boundLeast
	case id == c.settled, c.settled == "":
		return c.term
	default:
		return c.term + 1
	}
}

// replacedBefore reports whether a server says that it leads though another one has led
// since: it goes on with a log of its own.
func (m *Machine) replacedBefore(report *Report) bool {
	return report.Primary && (report.Term < m.newestTerm() || report.Term < m.leastTerm(report.ID))
}

// allReported reports whether each server of the service has reported itself.
func (m *Machine) allReported() bool {
	for _, server := range m.observation.Servers {
		if m.reportOf(server.ID) == nil {
			return false
		}
	}
	return true
}
