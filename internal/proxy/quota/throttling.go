package quota

import (
	"maps"
	"slices"
	"time"

	"dewknot/internal/proxy/urgency"
)

// throttlingQuietPeriod is how long a tenant must not have been throttled before the throttling
// counts as over. It is longer than the time after which callers retry, so that throttling does
// not end and begin with each retry.
const throttlingQuietPeriod = 2 * maxRetryAfter

// minReportedRefusals is the number of refused tokens from which throttling is reported. Fewer are
// refused if a tenant below its quota briefly exhausts one allocator; its callers then get their
// tokens from another one.
const minReportedRefusals = 10

// ThrottleEvent is the start or the end of an allocator's throttling of a tenant's less urgent work
// in favor of more urgent work.
type ThrottleEvent struct {
	Tenant string
	// Level is the first level that was throttled.
	Level urgency.Level
	Began bool
	// Requested is the demand of each level in tokens per second.
	Requested [urgency.Levels]float64
	// IssueRate is the number of tokens that the allocator issues per second.
	IssueRate float64
	// Refused counts the tokens that were not granted. It is set at the end only.
	Refused uint64
	// ThrottledFor is how long the throttling took. It is set at the end only.
	ThrottledFor time.Duration
}

// throttling is the state of a tenant whose less urgent work is throttled.
type throttling struct {
	level       urgency.Level
	since, last time.Time
	refused     uint64
	reported    bool
}

// recordThrottling records that a level was refused tokens because more urgent work has demand.
func (a *Allocator) recordThrottling(now time.Time, tenant string, acc *account, level int, refused uint32, s supply) {
	t := a.throttled[tenant]
	if t == nil {
		t = &throttling{level: urgency.Level(level), since: now}
		a.throttled[tenant] = t
	}
	t.last = now
	t.refused += uint64(refused)
	if t.reported || t.refused < minReportedRefusals {
		return
	}
	t.reported = true
	event := ThrottleEvent{Tenant: tenant, Level: t.level, Began: true, IssueRate: s.rate}
	for l := range event.Requested {
		event.Requested[l] = acc.claims.levelDemand[l].current(now)
	}
	a.events = append(a.events, event)
}

// endThrottling ends the throttling of tenants after throttlingQuietPeriod.
func (a *Allocator) endThrottling(now time.Time) {
	if len(a.throttled) == 0 {
		return
	}
	for _, tenant := range slices.Sorted(maps.Keys(a.throttled)) {
		t := a.throttled[tenant]
		if now.Sub(t.last) < throttlingQuietPeriod {
			continue
		}
		delete(a.throttled, tenant)
		if !t.reported {
			continue
		}
		a.events = append(a.events, ThrottleEvent{Tenant: tenant, Level: t.level, Refused: t.refused, ThrottledFor: t.last.Sub(t.since)})
	}
}

// ThrottleEvents returns and clears the starts and ends of throttling at the node's allocator.
func (m *Machine) ThrottleEvents() []ThrottleEvent {
	events := m.allocator.events
	m.allocator.events = nil
	return events
}
