package quorum

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// status is a voter's participation in its generation.
type status uint8

const (
	// absent: the node is not a voter.
	absent status = iota
	// recovering: the voter has lost its state.
	recovering
	normal
	// sealed: the voter no longer takes part in the generation.
	sealed
)

// serviceState is a voter's record of a service with its local state.
type serviceState struct {
	Record
	// reservedUntil is the time until which other candidates are denied.
	reservedUntil time.Time
	// candidateAddress is where the candidate is notified that the leases have ended.
	candidateAddress string
	// closedBy is the ballot that closed the last open tenure, closedRevision the record's
	// revision at that time. leaseHolders are the members that may still hold leases of that
	// tenure, with their expiry.
	closedBy       uint64
	closedRevision uint64
	leaseHolders   map[string]time.Time
	clearSent      bool
	// unconfirmedUntil is the time until which an unconfirmed order may be carried out.
	unconfirmedUntil time.Time
}

// change is a service's revision after a change.
type change struct {
	revision uint64
	state    *serviceState
}

// Voter keeps a node's records and grants leases. It is a state machine and not safe for
// concurrent use.
type Voter struct {
	name        string
	incarnation uint64
	started     time.Time

	status   status
	table    *Table
	services map[string]*serviceState
	revision uint64
	// changes are the services in the order of their changes. It may contain outdated entries of
	// services that have changed again.
	changes []change
	grants  map[string]*grant
	outbox  outbox
	support support
	// unknownLeasesUntil is the time until which leases may be held that this voter does not
	// know of.
	unknownLeasesUntil time.Time
}

// NewVoter returns a voter without a table. incarnation must be unique to the process.
func NewVoter(name string, incarnation uint64, started time.Time) *Voter {
	return &Voter{name: name, incarnation: incarnation, started: started, services: map[string]*serviceState{}, grants: map[string]*grant{}}
}

// Table returns the newest known table, or nil.
func (v *Voter) Table() *Table { return v.table }

// Recovering reports whether the voter needs the records of other voters.
func (v *Voter) Recovering() bool { return v.status == recovering }

// Sealed reports whether the voter waits for the next generation.
func (v *Voter) Sealed() bool { return v.status == sealed }

// Normal reports whether the voter takes part in decisions.
func (v *Voter) Normal() bool { return v.status == normal }

// Backlog returns the bytes of records in flight to members and the number of queued members.
func (v *Voter) Backlog() (bytes, waiting int) { return v.outbox.inFlight, len(v.outbox.queue) }

// Age returns how long the voter's process has run.
func (v *Voter) Age(now time.Time) time.Duration { return now.Sub(v.started) }

// Install replaces the table with a newer one. A table without records may only be given to nodes
// that do not start the generation with them.
func (v *Voter) Install(now time.Time, table *Table) {
	if v.table != nil && table.Generation <= v.table.Generation {
		return
	}
	v.table = table
	v.resetSupport()
	v.changes = nil
	v.services, v.grants, v.outbox = map[string]*serviceState{}, map[string]*grant{}, outbox{rtt: v.outbox.rtt}
	entry := table.VoterEntry(v.name)
	switch {
	case entry == nil:
		v.status = absent
	case entry.Incarnation == v.incarnation:
		v.begin(now, table.Records)
	default:
		v.status = recovering
	}
}

// begin starts to take part with records that contain everything that was decided.
func (v *Voter) begin(now time.Time, records []Record) {
	v.status = normal
	v.unknownLeasesUntil = now.Add(LeaseDuration)
	for _, record := range records {
		state := &serviceState{Record: record, unconfirmedUntil: now.Add(UnconfirmedWindow)}
		v.services[record.Service] = state
		v.markChanged(state)
	}
}

// RecoversAfter returns the time from which records of other voters may be used to recover.
func (v *Voter) RecoversAfter() time.Time { return v.started.Add(AnswerWindow) }

// Recover installs the records of other voters of the generation. Each set must be complete and
// answer a request sent after RecoversAfter. A majority without this voter is needed: it shares a
// voter with the majority of any earlier decision in which this voter took part.
func (v *Voter) Recover(now time.Time, generation uint64, recordSets [][]Record) bool {
	if v.status != recovering || generation != v.table.Generation || len(recordSets) < v.table.Majority() {
		return false
	}
	v.begin(now, MergeAll(recordSets))
	return true
}

// Step processes a message from the node at an address.
func (v *Voter) Step(now time.Time, from string, m *Message) []Envelope {
	if v.table == nil || m.Generation != v.table.Generation {
		return v.replyUnable(now, from, m)
	}
	if m.Kind == Seal {
		return v.seal(now, from, m)
	}
	if m.Kind == Supported {
		v.handleSupported(m)
		return nil
	}
	if v.status != normal || (m.Kind != Released && !v.Supported(now)) {
		return v.replyUnable(now, from, m)
	}
	switch m.Kind {
	case Renew:
		return v.renew(now, from, m)
	case Released:
		return v.handleReleased(now, m)
	case Prepare:
		return v.prepare(now, from, m)
	case Choose:
		return v.choose(now, from, m)
	case Open:
		return v.open(now, from, m)
	default:
		return nil
	}
}

func (v *Voter) newMessage(kind Kind, m *Message) Message {
	reply := Message{Kind: kind, From: v.name, Incarnation: v.incarnation, Sequence: m.Sequence, Service: m.Service, Ballot: m.Ballot}
	if v.table != nil {
		reply.Generation = v.table.Generation
	}
	return reply
}

func (v *Voter) replyUnable(now time.Time, from string, m *Message) []Envelope {
	if m.Kind == Released || m.Kind == Supported {
		return nil
	}
	reply := v.newMessage(Unable, m)
	reply.Age, reply.Normal = v.Age(now), v.status == normal
	if v.table != nil && v.table.Generation > m.Generation {
		reply.Table = v.table.ForNode(m.From)
	}
	return []Envelope{{from, reply}}
}

// renew grants leases of all open tenures once the member knows the current records. An answer
// with records is queued; other voters may need the records to recover and get it immediately.
func (v *Voter) renew(now time.Time, from string, m *Message) []Envelope {
	g, out := v.recordRequest(now, from, m)
	if g.requestRevision < v.revision && v.table.VoterEntry(m.From) == nil {
		v.enqueue(m.From, g)
		return append(out, v.sendQueued(now)...)
	}
	return append([]Envelope{v.grant(now, m.From, g)}, out...)
}

// pageAfter returns the oldest records that have changed after a revision, the revision that a
// reader of the page then knows, and whether more records follow.
func (v *Voter) pageAfter(after uint64, limit int) ([]Record, uint64, bool) {
	first, _ := slices.BinarySearchFunc(v.changes, after+1, func(c change, revision uint64) int { return cmp.Compare(c.revision, revision) })
	var records []Record
	for _, c := range v.changes[first:] {
		switch {
		case c.state.Revision != c.revision:
		case len(records) == limit:
			return records, records[limit-1].Revision, true
		default:
			records = append(records, c.state.Record)
		}
	}
	return records, v.revision, false
}

// serviceState returns the state of a service and creates it if needed.
func (v *Voter) serviceState(service string) *serviceState {
	state := v.services[service]
	if state == nil {
		state = &serviceState{Record: Record{Service: service}}
		v.services[service] = state
	}
	return state
}

func (v *Voter) markChanged(state *serviceState) {
	v.revision++
	state.Revision = v.revision
	if len(v.changes) > 2*len(v.services) {
		v.changes = slices.DeleteFunc(v.changes, func(c change) bool { return c.state.Revision != c.revision })
	}
	v.changes = append(v.changes, change{v.revision, state})
}

func (v *Voter) replyDenied(from string, m *Message, state *serviceState) []Envelope {
	reply := v.newMessage(Denied, m)
	reply.Ballot = state.Promised
	return []Envelope{{from, reply}}
}

// prepare promises a ballot and closes the previous tenure.
func (v *Voter) prepare(now time.Time, from string, m *Message) []Envelope {
	state := v.serviceState(m.Service)
	repeated := m.Ballot == state.Promised && m.candidate() == state.Candidate
	reserved := state.Candidate.Name != m.From && now.Before(state.reservedUntil)
	if (m.Ballot <= state.Promised && !repeated) || reserved {
		return v.replyDenied(from, m, state)
	}
	if !repeated {
		closesTenure := state.Open
		state.Promised, state.Candidate, state.Open = m.Ballot, m.candidate(), false
		state.clearSent = false
		v.markChanged(state)
		if closesTenure {
			state.closedBy, state.closedRevision, state.leaseHolders = m.Ballot, state.Revision, v.active(now)
			v.queuePush(now, true)
		}
	}
	state.reservedUntil, state.candidateAddress = now.Add(CandidateWindow), from
	reply := v.newMessage(Promised, m)
	reply.Records = []Record{state.Record}
	reply.Clear = v.clear(now, state)
	if state.Unconfirmed != "" {
		reply.UnconfirmedFor = max(0, state.unconfirmedUntil.Sub(now))
	}
	// Answer first: the candidate waits, and counts answers for a short time only.
	return append([]Envelope{{from, reply}}, v.sendQueued(now)...)
}

// active returns the lease expiry of each member that may still hold a lease.
func (v *Voter) active(now time.Time) map[string]time.Time {
	active := map[string]time.Time{}
	for name, g := range v.grants {
		if g.active(now) {
			active[name] = g.until
		}
	}
	return active
}

// clear reports whether no lease of a closed tenure is outstanding.
func (v *Voter) clear(now time.Time, state *serviceState) bool {
	if now.Before(v.unknownLeasesUntil) {
		return false
	}
	maps.DeleteFunc(state.leaseHolders, func(_ string, until time.Time) bool { return !now.Before(until) })
	return len(state.leaseHolders) == 0
}

// handleReleased processes a member's report that it no longer uses tenures below a ballot, and
// of the revision up to which it knows the records.
func (v *Voter) handleReleased(now time.Time, m *Message) []Envelope {
	var out []Envelope
	if state := v.services[m.Service]; state != nil && m.Ballot >= state.closedBy {
		delete(state.leaseHolders, m.From)
		out = v.notifyCleared(now, state)
	}
	return append(out, v.handleAck(now, m)...)
}

// notifyCleared notifies the candidate once that no lease is outstanding.
func (v *Voter) notifyCleared(now time.Time, state *serviceState) []Envelope {
	if state.clearSent || state.Open || state.candidateAddress == "" || !v.Supported(now) || !v.clear(now, state) {
		return nil
	}
	state.clearSent = true
	return []Envelope{{state.candidateAddress, v.newMessage(Cleared, &Message{Service: state.Service, Ballot: state.Promised})}}
}

// Tick resends unanswered messages and notifies candidates of expired leases. It reports whether
// it must be called again soon.
func (v *Voter) Tick(now time.Time) ([]Envelope, bool) {
	if v.status != normal {
		return nil, false
	}
	out := append(v.supportQuestions(now), v.resends(now)...)
	waiting := v.outbox.busy() || !v.Supported(now)
	for _, service := range slices.Sorted(maps.Keys(v.services)) {
		state := v.services[service]
		if state.Open || state.clearSent || state.candidateAddress == "" {
			continue
		}
		waiting = true
		out = append(out, v.notifyCleared(now, state)...)
	}
	return out, waiting
}

// choose records the target of a ballot.
func (v *Voter) choose(now time.Time, from string, m *Message) []Envelope {
	state := v.serviceState(m.Service)
	if m.Ballot != state.Promised || m.candidate() != state.Candidate || state.Open {
		return v.replyDenied(from, m, state)
	}
	chosen := Tenure{m.Ballot, m.Primary}
	if state.Chosen != chosen || state.Ordering != m.Ordering {
		state.Chosen, state.Ordering = chosen, m.Ordering
		v.markChanged(state)
	}
	state.reservedUntil = now.Add(CandidateWindow)
	reply := v.newMessage(Chosen, m)
	reply.Clear = v.clear(now, state)
	return []Envelope{{from, reply}}
}

// open starts to grant leases for a tenure. A tenure that needs no order need not have been chosen
// before: a ballot has one candidate, which names one primary.
func (v *Voter) open(now time.Time, from string, m *Message) []Envelope {
	state := v.serviceState(m.Service)
	tenure := Tenure{m.Ballot, m.Primary}
	conflicting := state.Chosen.Ballot == m.Ballot && state.Chosen != tenure
	if m.Ballot != state.Promised || m.candidate() != state.Candidate || conflicting {
		return v.replyDenied(from, m, state)
	}
	// Prevents candidates from alternating at short intervals, also after a success.
	state.reservedUntil = now.Add(CandidateWindow)
	if !state.Open {
		state.Chosen, state.Open, state.Ordering = tenure, true, false
		state.Term = max(state.Term, m.Term)
		if m.Unconfirmed {
			state.Unconfirmed, state.unconfirmedUntil = m.Primary, now.Add(UnconfirmedWindow)
		}
		v.markChanged(state)
		v.queuePush(now, false)
	}
	return append([]Envelope{{from, v.newMessage(Opened, m)}}, v.sendQueued(now)...)
}

// seal ends the voter's participation in the generation.
func (v *Voter) seal(now time.Time, from string, m *Message) []Envelope {
	reply := v.newMessage(Sealed, m)
	reply.Age = v.Age(now)
	if v.status == normal {
		v.status = sealed
	}
	if v.status != sealed {
		return []Envelope{{from, reply}}
	}
	reply.Normal = true
	after := m.KnownRevision
	if m.KnownIncarnation != v.incarnation {
		after = 0
	}
	pages := 1
	if m.More {
		pages = pagesPerSealRequest
	}
	var out []Envelope
	for more := true; more && len(out) < pages; after = reply.Revision {
		reply.KnownRevision = after
		reply.Records, reply.Revision, reply.More = v.pageAfter(after, pageRecords)
		out = append(out, Envelope{from, reply})
		more = reply.More
	}
	return out
}
