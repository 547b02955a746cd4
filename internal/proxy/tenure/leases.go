package tenure

import (
	"time"

	"dewknot/internal/proxy/quorum"
)

// View returns the view of a service's tenure, or nil if none is known.
func (k *Keeper) View(service string) *quorum.View {
	if found, ok := k.views.Load(service); ok {
		return found.(*quorum.View)
	}
	return nil
}

// Confirm reports whether the tenure under which a request was sent was certainly the newest when
// its answer arrived. If the leases had expired, it waits for the voters until the deadline.
func (k *Keeper) Confirm(service string, tenure quorum.Tenure, answeredAt, deadline time.Time) bool {
	if view := k.View(service); view != nil && view.Tenure == tenure && view.Covers(answeredAt) {
		// In the usual case there is no wait, and no lock is taken.
		return true
	}
	covered := false
	k.waitWhile(func() time.Duration {
		view := k.View(service)
		superseded := view == nil || view.Tenure != tenure
		covered = !superseded && view.Covers(answeredAt)
		remaining := time.Until(deadline)
		if superseded || covered || remaining <= 0 {
			return 0
		}
		k.RenewFor(service, time.Now())
		return min(remaining, confirmRetryInterval)
	})
	return covered
}

// AwaitFirstTenure waits until this process first learns a tenure of a service, or until the
// deadline.
func (k *Keeper) AwaitFirstTenure(service string, deadline time.Time) {
	k.waitWhile(func() time.Duration {
		if view := k.View(service); view != nil && view.Tenure.Ballot > 0 {
			return 0
		}
		return time.Until(deadline)
	})
}

// waitWhile calls check and then waits for progress, for at most the duration that check returned.
// It repeats this until that duration is not positive.
func (k *Keeper) waitWhile(check func() time.Duration) {
	for {
		// Register before the check, so that no progress after it is missed.
		progress := k.addWaiters(1)
		pause := check()
		if pause > 0 {
			waitFor(progress, pause)
		}
		k.addWaiters(-1)
		if pause <= 0 {
			return
		}
	}
}

// waitFor waits until done is closed or a timeout ends.
func waitFor(done <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// confirmRetryInterval is the pause before a renewal without answers is repeated.
const confirmRetryInterval = 60 * time.Millisecond

// addWaiters changes the number of waiters, and returns the channel that is closed at the next
// progress.
func (k *Keeper) addWaiters(count int) chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiters += count
	return k.progress
}

// isolationTimeout is how long a majority of voters has to be silent before a node counts as
// isolated. By then its leases have expired, and a restart of the voters would be over.
const isolationTimeout = quorum.LeaseDuration + 600*time.Millisecond

// Isolated reports whether this node has not heard from a majority of voters for isolationTimeout.
// It cannot use any primary then, while other nodes probably can.
func (k *Keeper) Isolated(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.member.Table()
	return table != nil && k.member.ReachableVoters(now, isolationTimeout) < table.Majority()
}

// VoterStatus returns the lowest ballot of the table's generation, and whether this node lacks the
// complete records of a majority of voters. Candidates probably get no majority then.
func (k *Keeper) VoterStatus() (leastBallot uint64, noMajority bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if table := k.member.Table(); table != nil {
		leastBallot = table.LeastBallot()
	}
	return leastBallot, !k.hasVoterMajority()
}

// hasVoterMajority reports whether this node has the complete records of a majority of voters.
// k.mu must be held.
func (k *Keeper) hasVoterMajority() bool {
	table := k.member.Table()
	return table != nil && k.member.CompleteVoters() >= table.Majority()
}

// LeaseStatus describes a node's leases for a service, for logs.
type LeaseStatus struct {
	// Ballot is the ballot of the last known tenure, Highest the highest one that a voter promised.
	Ballot  uint64 `json:"ballot"`
	Highest uint64 `json:"highest"`
	Open    bool   `json:"open"`
	// Covering is the number of voters whose leases are valid, Needed how many have to be.
	Covering int `json:"covering"`
	Needed   int `json:"needed"`
	// Voters is the size of the table. CompleteVoters names the voters whose records are complete.
	Voters         int      `json:"voters"`
	CompleteVoters []string `json:"known"`
	// RTT is the longest smoothed round-trip time to a voter. MissedRequests is the largest number
	// of consecutive requests that a voter did not answer in time.
	RTT            time.Duration `json:"trip"`
	MissedRequests int           `json:"misses"`
}

// LeaseStatus describes this node's leases for a service at a time.
func (k *Keeper) LeaseStatus(service string, at time.Time) LeaseStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	var status LeaseStatus
	if table := k.member.Table(); table != nil {
		status.Voters, status.CompleteVoters = len(table.Entries), k.member.CompleteVoterNames()
	}
	status.RTT, status.MissedRequests = k.member.Delay()
	if view := k.View(service); view != nil {
		status.Ballot, status.Highest, status.Open = view.Tenure.Ballot, view.Highest, view.Open
		status.Covering, status.Needed = view.Leases(at)
	}
	return status
}

// Renew requests leases as soon as the voters may be asked again.
func (k *Keeper) Renew(now time.Time) {
	k.mu.Lock()
	k.leasesRequestedAt = now
	out, _ := k.dueRequests(now)
	k.mu.Unlock()
	k.send(out)
}

// RenewFor requests leases for a request of a service. It asks all voters if the nearest ones
// disagree for too long.
func (k *Keeper) RenewFor(service string, now time.Time) {
	if view := k.View(service); view != nil && view.Partial(now, partialTimeout) {
		k.mu.Lock()
		k.allVotersRequestedAt = now
		k.mu.Unlock()
	}
	k.Renew(now)
}
