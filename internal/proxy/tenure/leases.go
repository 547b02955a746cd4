package tenure

import (
	"time"

	"dewknot/internal/proxy/quorum"
)

// View returns what is known of a service's tenure, nil if nothing is.
func (k *Keeper) View(service string) *quorum.View {
	if found, ok := k.views.Load(service); ok {
		return found.(*quorum.View)
	}
	return nil
}

// Confirm reports whether a tenure, under which an answer was asked for, was surely the
// newest when the answer arrived. Where the leases had run out it waits for the voters'
// word, but not past a deadline.
func (k *Keeper) Confirm(service string, tenure quorum.Tenure, arrived, deadline time.Time) bool {
	if view := k.View(service); view != nil && view.Tenure == tenure && view.Covers(arrived) {
		// The usual case: nothing is waited for, no lock is taken.
		return true
	}
	covered := false
	k.waitWhile(func() time.Duration {
		view := k.View(service)
		settled := view == nil || view.Tenure != tenure
		covered = !settled && view.Covers(arrived)
		left := time.Until(deadline)
		if settled || covered || left <= 0 {
			return 0
		}
		k.RenewFor(service, time.Now())
		return min(left, confirmInterval)
	})
	return covered
}

// AwaitFirst waits, but not past a deadline, until a service has had a tenure in this
// process's life.
func (k *Keeper) AwaitFirst(service string, deadline time.Time) {
	k.waitWhile(func() time.Duration {
		if view := k.View(service); view != nil && view.Tenure.Ballot > 0 {
			return 0
		}
		return time.Until(deadline)
	})
}

// waitWhile waits for grants as long as look, which is called before each wait, returns
// a time to wait for the next one.
func (k *Keeper) waitWhile(look func() time.Duration) {
	for {
		// Whoever waits is counted before the look, so that no grant after it is missed.
		granted := k.awaiting(1)
		pause := look()
		if pause > 0 {
			waitFor(granted, pause)
		}
		k.awaiting(-1)
		if pause <= 0 {
			return
		}
	}
}

// waitFor waits until done is closed, but not longer than a limit.
func waitFor(done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// confirmInterval is the pause until a renewal whose answers have not come is repeated.
const confirmInterval = 60 * time.Millisecond

// awaiting counts those who wait for grants, and returns what is closed at the next one.
func (k *Keeper) awaiting(count int) chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting += count
	return k.granted
}

// isolatedSpan is how long a majority of voters has to be silent until a node counts as
// isolated: its leases have run out by then, and a restart of voters is over.
const isolatedSpan = quorum.LeaseSpan + 600*time.Millisecond

// Isolated reports whether this node has not heard of a majority of voters for long: it
// cannot use any primary, and other nodes probably can.
func (k *Keeper) Isolated(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	table := k.member.Table()
	return table != nil && k.member.Heard(now, isolatedSpan) < table.Majority()
}

// Standing returns the lowest ballot of the voters' era, and whether too few voters are
// known to take part for a candidate to be heard.
func (k *Keeper) Standing() (leastBallot uint64, voiceless bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if table := k.member.Table(); table != nil {
		leastBallot = table.LeastBallot()
	}
	return leastBallot, !k.votable()
}

// votable reports whether a majority of voters is known to take part; the lock is held.
func (k *Keeper) votable() bool {
	table := k.member.Table()
	return table != nil && k.member.Whole() >= table.Majority()
}

// Account is what a node knows of its leases for a service, for logs.
type Account struct {
	// Ballot is that of the last tenure known, Highest the highest that a voter has promised.
	Ballot  uint64 `json:"ballot"`
	Highest uint64 `json:"highest"`
	Open    bool   `json:"open"`
	// Covering is how many voters' leases run, of Needed.
	Covering int `json:"covering"`
	Needed   int `json:"needed"`
	// Voters is the size of the table, Known the voters that have told all records.
	Voters int      `json:"voters"`
	Known  []string `json:"known"`
	// Trip is the longest smoothed time until a voter's answer, Misses the questions in a row
	// without an answer in time of the voter with most of them.
	Trip   time.Duration `json:"trip"`
	Misses int           `json:"misses"`
}

// Account returns what is known of this node's leases for a service at a time.
func (k *Keeper) Account(service string, at time.Time) Account {
	k.mu.Lock()
	defer k.mu.Unlock()
	var a Account
	if table := k.member.Table(); table != nil {
		a.Voters, a.Known = len(table.Seats), k.member.KnownVoters()
	}
	a.Trip, a.Misses = k.member.Delay()
	if view := k.View(service); view != nil {
		a.Ballot, a.Highest, a.Open = view.Tenure.Ballot, view.Highest, view.Open
		a.Covering, a.Needed = view.Leases(at)
	}
	return a
}

// Renew asks for leases as soon as voters may be asked again.
func (k *Keeper) Renew(now time.Time) {
	k.mu.Lock()
	k.wantedAt = now
	out, _ := k.due(now)
	k.mu.Unlock()
	k.send(out)
}

// RenewFor is Renew for a request that needs leases for a service.
func (k *Keeper) RenewFor(service string, now time.Time) {
	if view := k.View(service); view != nil && view.Partial(now, partialSpan) {
		k.mu.Lock()
		k.widelyAt = now
		k.mu.Unlock()
	}
	k.Renew(now)
}
