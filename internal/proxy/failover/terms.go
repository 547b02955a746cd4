package failover

// Checks of the servers' reports against what is known of earlier primaries.

// claimsPrimaryRole reports whether a server claims to be the primary in the newest reported term,
// and no other server is known to have been the primary in that term or a later one.
func (m *Machine) claimsPrimaryRole(id string) bool {
	report := m.reportOf(id)
	return report != nil && report.Primary && !report.Lost && report.Term == m.newestTerm() && report.Term >= m.minTerm(id)
}

// reportOf returns a server's own report, or nil if it has not reported.
func (m *Machine) reportOf(id string) *Report { return findReport(m.campaign.reports, id) }

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

// minTerm returns the lowest term in which a server can be the primary now: the newest known term
// for the primary of the last tenure, a later one for other servers. If the voters do not
// remember the last primary, any server that was not ordered may have been it.
func (m *Machine) minTerm(id string) uint64 {
	c := &m.campaign
	switch {
	case id == c.boundTarget:
		return c.boundMinTerm
	case id == c.settledPrimary, c.settledPrimary == "":
		return c.highestTerm
	default:
		return c.highestTerm + 1
	}
}

// isReplacedPrimary reports whether a server claims to be the primary although another one has
// replaced it. Its log has diverged.
func (m *Machine) isReplacedPrimary(report *Report) bool {
	return report.Primary && (report.Term < m.newestTerm() || report.Term < m.minTerm(report.ID))
}

// allReported reports whether every server of the service has sent its own report.
func (m *Machine) allReported() bool {
	for _, server := range m.observation.Servers {
		if m.reportOf(server.ID) == nil {
			return false
		}
	}
	return true
}
