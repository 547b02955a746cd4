package quorum

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// Lease is the expiry of a voter's last grant, in nanoseconds on the monotonic clock since the
// member's base time. Requests read it concurrently.
type Lease struct{ until atomic.Int64 }

// View is what a member knows about a service's tenure. It is immutable, but the leases that
// it refers to are renewed in place.
type View struct {
	Tenure Tenure
	// Open is set if a majority of voters grants leases for the tenure.
	Open bool
	// Highest is the highest ballot that any voter has promised.
	Highest uint64
	leases  []*Lease
	needed  int
	base    time.Time
	// partialSince is the time since which some voters, but no majority, grant leases for a
	// tenure; zero if there are none.
	partialSince time.Time
}

// Partial reports whether, for at least the duration, some voters but no majority have granted
// leases for a tenure. Voters that were not asked may then complete the majority.
func (v *View) Partial(now time.Time, duration time.Duration) bool {
	return !v.partialSince.IsZero() && now.Sub(v.partialSince) >= duration
}

// Covers reports whether the tenure was certainly the newest at a time: a majority of voters
// has granted leases that expire later.
func (v *View) Covers(at time.Time) bool {
	covering, needed := v.Leases(at)
	return v.Open && covering >= needed
}

// Leases returns how many leases of the open tenure expire after a time, and how many are
// needed to use its primary.
func (v *View) Leases(at time.Time) (covering, needed int) {
	offset := int64(at.Sub(v.base))
	for _, lease := range v.leases {
		if lease.until.Load() > offset {
			covering++
		}
	}
	return covering, v.needed
}

// renewalsKept is the maximum number of unanswered renewals remembered per voter.
const renewalsKept = 8

// renewal is a request to a voter, with the incarnation and revision of the voter's records
// that the member knew when it was sent.
type renewal struct {
	sequence         uint64
	sentAt           time.Time
	knownRevision    uint64
	knownIncarnation uint64
}

// peer is a member's state of one voter.
type peer struct {
	entry       VoterEntry
	incarnation uint64
	revision    uint64
	// completeAt is when the renewal was sent whose answer completed the voter's records; zero
	// if they are not complete.
	completeAt time.Time
	records    map[string]Record
	lease      *Lease
	sent       []renewal
	pacer
	// lastAnswerAt is initially the time the table was set.
	lastAnswerAt time.Time
	contacted    bool
	// recoveringAge is the reported process age of a voter without state, zero if it has state.
	recoveringAge time.Duration
	// unable is set while the voter's last answer was that it does not take part.
	unable bool
}

// Member maintains a node's leases. It is a state machine and not safe for concurrent use; the
// views that it returns are.
type Member struct {
	name        string
	incarnation uint64
	base        time.Time
	table       *Table
	peers       []*peer
	sequence    uint64
	views       map[string]*View
	// distances are the distances to voters by name; nil if unknown.
	distances map[string]int
}

// NewMember returns a member without a table. base must be earlier than all other times;
// lease expiries are stored relative to it.
func NewMember(name string, incarnation uint64, base time.Time) *Member {
	return &Member{name: name, incarnation: incarnation, base: base, sequence: FirstSequence(incarnation), views: map[string]*View{}}
}

// sequenceShift reserves the lower bits for the requests of one process.
const sequenceShift = 24

// FirstSequence returns the sequence number before a process's first request. Answers to
// requests of the node's previous incarnation may still arrive and must not match.
func FirstSequence(incarnation uint64) uint64 { return incarnation << sequenceShift }

// Table returns the newest known table, or nil.
func (n *Member) Table() *Table { return n.table }

// SetTable installs a newer table and drops the leases of the previous generation. It returns
// the services whose views have changed.
func (n *Member) SetTable(now time.Time, table *Table) []string {
	if n.table != nil && table.Generation <= n.table.Generation {
		return nil
	}
	// Round-trip times remain valid in the new generation.
	estimators := map[string]rttEstimator{}
	for _, p := range n.peers {
		estimators[p.entry.Name] = p.rtt
	}
	n.table = table
	n.peers = nil
	for _, entry := range table.Entries {
		p := &peer{entry: entry, records: map[string]Record{}, lease: &Lease{}, lastAnswerAt: now}
		p.rtt = estimators[entry.Name]
		n.peers = append(n.peers, p)
	}
	var changed []string
	for service := range n.views {
		n.updateView(now, service)
		changed = append(changed, service)
	}
	return changed
}

// View returns the view of a service, or nil if nothing is known about it.
func (n *Member) View(service string) *View { return n.views[service] }

// Due returns the renewals to send now and the time at which the next one is due.
func (n *Member) Due(now time.Time, mode RenewalMode) ([]Envelope, time.Time) {
	var out []Envelope
	next := now.Add(RenewInterval)
	spares, idle := n.spares(now, mode), n.idle(mode)
	for _, p := range n.peers {
		if slices.Contains(idle, p) {
			continue
		}
		pause := time.Duration(0)
		if slices.Contains(spares, p) {
			pause = spareInterval - RenewInterval
		}
		due := p.due(mode).Add(pause)
		if !due.After(now) {
			out = append(out, n.renewal(now, p))
			due = p.due(mode).Add(pause)
		}
		if due.Before(next) {
			next = due
		}
	}
	return out, next
}

// spares returns the voters whose leases need not be renewed now, because a majority of faster
// voters has answered in time. A voter's own member renews all leases, since it monitors the
// other voters.
func (n *Member) spares(now time.Time, mode RenewalMode) []*peer {
	if mode != RenewNormal || n.table == nil || n.table.VoterEntry(n.name) != nil {
		return nil
	}
	var healthy, late []*peer
	for _, p := range n.peers {
		switch {
		case p.completeAt.IsZero():
		case p.misses > 0 || (p.waiting && !p.due(mode).After(now)):
			late = append(late, p)
		default:
			healthy = append(healthy, p)
		}
	}
	if len(healthy) < n.table.Majority() {
		return nil
	}
	slices.SortStableFunc(healthy, func(a, b *peer) int { return cmp.Compare(a.rtt.smoothed, b.rtt.smoothed) })
	return append(late, healthy[n.table.Majority():]...)
}

func (n *Member) renewal(now time.Time, p *peer) Envelope {
	n.sequence++
	p.requestSent(now)
	p.sent = append(p.sent, renewal{n.sequence, now, p.revision, p.incarnation})
	if len(p.sent) > renewalsKept {
		p.sent = p.sent[1:]
	}
	return Envelope{p.entry.Address, Message{
		Kind: Renew, From: n.name, Incarnation: n.incarnation, Generation: n.table.Generation, Sequence: n.sequence, KnownRevision: p.revision, KnownIncarnation: p.incarnation,
	}}
}

func (n *Member) peer(name string) *peer {
	for _, p := range n.peers {
		if p.entry.Name == name {
			return p
		}
	}
	return nil
}

// Step processes a message from a voter. It returns the messages to send and the services
// whose views have changed.
func (n *Member) Step(now time.Time, from string, m *Message) ([]Envelope, []string) {
	p := n.peer(m.From)
	if p == nil || n.table.Generation != m.Generation {
		return nil, nil
	}
	switch m.Kind {
	case Granted:
		return n.handleGrant(now, from, p, m)
	case Push:
		return n.handlePush(now, from, p, m)
	case Unable:
		p.lastAnswerAt, p.contacted = now, true
		if request := p.renewalFor(m.Sequence); request != nil {
			p.answerReceived(now, request.sentAt, false)
		}
		if !m.Normal {
			p.recoveringAge = m.Age
		}
		p.completeAt, p.unable = time.Time{}, true
	default:
	}
	return nil, nil
}

// resetIfRestarted discards the voter's records if its process has changed.
func (p *peer) resetIfRestarted(incarnation uint64) {
	if p.incarnation != incarnation {
		p.incarnation, p.revision, p.completeAt = incarnation, 0, time.Time{}
		p.records = map[string]Record{}
	}
	p.recoveringAge = 0
}

func (n *Member) handleGrant(now time.Time, from string, p *peer, m *Message) ([]Envelope, []string) {
	p.lastAnswerAt, p.contacted, p.unable = now, true, false
	request := p.renewalFor(m.Sequence)
	if request == nil {
		return nil, nil
	}
	// The answer was useful if it brought records or replaced an expired lease.
	expired := p.lease.until.Load() <= int64(now.Sub(n.base))
	p.answerReceived(now, request.sentAt, expired || len(m.Records) > 0)
	p.resetIfRestarted(m.Incarnation)
	if request.knownIncarnation == m.Incarnation && request.knownRevision > p.revision {
		// The answer omits records that were known at the time of the request but discarded since.
		return nil, nil
	}
	changed := n.applyRecords(now, p, m.Records)
	p.revision = max(p.revision, m.Revision)
	if m.More {
		return []Envelope{n.renewal(now, p)}, changed
	}
	p.completeAt = request.sentAt
	until := int64(request.sentAt.Add(LeaseDuration - clockMargin).Sub(n.base))
	p.lease.until.Store(max(p.lease.until.Load(), until))
	if m.Recall {
		return []Envelope{{from, n.releaseMessage(p, m, 0)}}, changed
	}
	return nil, changed
}

// releaseMessage reports the revision up to which a voter's records are known. The member no
// longer uses tenures that these records close.
func (n *Member) releaseMessage(p *peer, m *Message, sequence uint64) Message {
	return Message{
		Kind: Released, From: n.name, Incarnation: n.incarnation, Generation: m.Generation, Sequence: sequence, Service: m.Service, Ballot: m.Ballot,
		Revision: p.revision, KnownIncarnation: p.incarnation,
	}
}

// renewalFor returns the renewal that an answer belongs to, or nil if it was sent by another
// process or is no longer remembered.
func (p *peer) renewalFor(sequence uint64) *renewal {
	for i := range p.sent {
		if p.sent[i].sequence == sequence {
			return &p.sent[i]
		}
	}
	return nil
}

// handlePush applies changed records: all that have changed after the known revision that the
// message names. If the member lacks that revision, it may have missed earlier changes, and its
// own revision must not advance. The answer reports the member's revision.
func (n *Member) handlePush(now time.Time, from string, p *peer, m *Message) ([]Envelope, []string) {
	p.resetIfRestarted(m.Incarnation)
	changed := n.applyRecords(now, p, m.Records)
	if m.KnownRevision <= p.revision {
		p.revision = max(p.revision, m.Revision)
	}
	if !m.Recall {
		return nil, changed
	}
	return []Envelope{{from, n.releaseMessage(p, m, m.Sequence)}}, changed
}

// applyRecords stores a voter's records and returns the services whose views have changed.
func (n *Member) applyRecords(now time.Time, p *peer, records []Record) []string {
	var changed []string
	for _, record := range records {
		if current, found := p.records[record.Service]; found && current.Revision >= record.Revision {
			continue
		}
		p.records[record.Service] = record
		n.updateView(now, record.Service)
		changed = append(changed, record.Service)
	}
	return changed
}

// updateView rebuilds a service's view. A tenure that is no longer open stays in it.
func (n *Member) updateView(now time.Time, service string) {
	previous := n.views[service]
	view := &View{needed: n.table.Majority(), base: n.base}
	if previous != nil {
		view.Tenure, view.Highest = previous.Tenure, previous.Highest
	}
	open := map[Tenure][]*Lease{}
	for _, p := range n.peers {
		record, found := p.records[service]
		if !found {
			continue
		}
		view.Highest = max(view.Highest, record.Promised)
		if record.Open {
			open[record.Chosen] = append(open[record.Chosen], p.lease)
		}
	}
	for tenure, leases := range open {
		if len(leases) >= view.needed {
			view.Tenure, view.Open, view.leases = tenure, true, leases
		}
	}
	if !view.Open && len(open) > 0 {
		view.partialSince = now
		if previous != nil && !previous.partialSince.IsZero() {
			view.partialSince = previous.partialSince
		}
	}
	n.views[service] = view
}

// Delay returns the longest smoothed round-trip time and the highest number of consecutive
// unanswered requests of any voter.
func (n *Member) Delay() (rtt time.Duration, misses int) {
	for _, p := range n.peers {
		rtt, misses = max(rtt, p.rtt.smoothed), max(misses, p.misses)
	}
	return rtt, misses
}

// AllComplete reports whether the records of all voters in use are complete.
func (n *Member) AllComplete() bool {
	return n.CompleteVoters()+len(n.idle(RenewNormal)) >= len(n.peers)
}

// CompleteVoters returns the number of voters whose records are complete.
func (n *Member) CompleteVoters() int {
	count := 0
	for _, p := range n.peers {
		if !p.completeAt.IsZero() {
			count++
		}
	}
	return count
}

// RecordSets returns the complete records of each other voter, as of a request sent no earlier
// than after. A recovering voter uses them.
func (n *Member) RecordSets(after time.Time) [][]Record {
	var recordSets [][]Record
	for _, p := range n.peers {
		if p.entry.Name == n.name || p.completeAt.IsZero() || p.completeAt.Before(after) {
			continue
		}
		set := make([]Record, 0, len(p.records))
		for _, record := range p.records {
			set = append(set, record)
		}
		recordSets = append(recordSets, set)
	}
	return recordSets
}

// SilentVoters returns the voters without an answer for the timeout, or without any answer for
// firstWait since the table was set. The measured delay of a voter's answers is added, so that a
// congested link does not count as a failure.
func (n *Member) SilentVoters(now time.Time, timeout, firstWait time.Duration) []string {
	var silent []string
	for _, p := range n.peers {
		elapsed := now.Sub(p.lastAnswerAt) - p.rtt.excessDelay()
		if p.entry.Name != n.name && (elapsed >= timeout || (!p.contacted && elapsed >= firstWait)) {
			silent = append(silent, p.entry.Name)
		}
	}
	return silent
}

// ReachableVoters returns the number of voters whose last answer is within the window plus their
// measured delay. For a voter that has not answered yet, the window begins when the table was set.
// The member's own voter always counts.
func (n *Member) ReachableVoters(now time.Time, window time.Duration) int {
	count := 0
	for _, p := range n.peers {
		if p.entry.Name == n.name || now.Sub(p.lastAnswerAt)-p.rtt.excessDelay() < window {
			count++
		}
	}
	return count
}

// OperableVoters returns the number of other voters that have their state and whose last answer is
// within the window plus their measured delay, as in ReachableVoters.
func (n *Member) OperableVoters(now time.Time, window time.Duration) int {
	count := 0
	for _, p := range n.peers {
		if p.entry.Name != n.name && p.recoveringAge == 0 && now.Sub(p.lastAnswerAt)-p.rtt.excessDelay() < window {
			count++
		}
	}
	return count
}

// VotersWithoutState returns the number of other voters that have no state and answered within the
// window.
func (n *Member) VotersWithoutState(now time.Time, window time.Duration) int {
	count := 0
	for _, p := range n.peers {
		if p.entry.Name != n.name && p.recoveringAge > 0 && now.Sub(p.lastAnswerAt) < window {
			count++
		}
	}
	return count
}
