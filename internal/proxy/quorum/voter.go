package quorum

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// standing is a voter's part in its era.
type standing uint8

const (
	// absent: the node is not among the voters.
	absent standing = iota
	// recovering: the voter has lost its memory.
	recovering
	normal
	// sealed: the voter's part in the era has ended.
	sealed
)

// matter is a voter's record of a service and what it knows besides.
type matter struct {
	Record
	// busyUntil is until when no other candidate is heard.
	busyUntil time.Time
	// candidateAddress is where the candidate is told that leases have ended.
	candidateAddress string
	// closing is the ballot that closed the last open tenure, closedAt the revision of the
	// record then; owing are the members that may still hold leases of it, and until when.
	closing  uint64
	closedAt uint64
	owing    map[string]time.Time
	told     bool
	// looseUntil is until when an order that was not answered may be carried out.
	looseUntil time.Time
}

// change is a matter's revision after a change.
type change struct {
	revision uint64
	held     *matter
}

// Voter is one node's part in the agreement. It is a reducer, not safe for
// concurrent use.
type Voter struct {
	name    string
	life    uint64
	started time.Time

	standing standing
	table    *Table
	matters  map[string]*matter
	revision uint64
	// changes are the matters in the order of their last changes, with some that have
	// changed again later.
	changes []change
	grants  map[string]*grant
	spread  spread
	// unknownUntil is until when leases may run that this voter does not know of.
	unknownUntil time.Time
}

// NewVoter returns a voter that is in no table yet. life is unique to the process.
func NewVoter(name string, life uint64, started time.Time) *Voter {
	return &Voter{name: name, life: life, started: started, matters: map[string]*matter{}, grants: map[string]*grant{}}
}

// Table returns the newest table known, nil if there is none.
func (v *Voter) Table() *Table { return v.table }

// Recovering reports whether the voter needs the records of others.
func (v *Voter) Recovering() bool { return v.standing == recovering }

// Sealed reports whether the voter waits for the next era.
func (v *Voter) Sealed() bool { return v.standing == sealed }

// Normal reports whether the voter takes part.
func (v *Voter) Normal() bool { return v.standing == normal }

// Backlog returns the bytes of records that are under way to members, and how many members
// wait for theirs.
func (v *Voter) Backlog() (bytes, waiting int) { return v.spread.flying, len(v.spread.queue) }

// Age is how long the voter's process has run.
func (v *Voter) Age(now time.Time) time.Duration { return now.Sub(v.started) }

// Install takes a newer table. A table without records serves only nodes that do
// not begin the era with them.
func (v *Voter) Install(now time.Time, table *Table) {
	if v.table != nil && table.Era <= v.table.Era {
		return
	}
	v.table = table
	v.changes = nil
	v.matters, v.grants, v.spread = map[string]*matter{}, map[string]*grant{}, spread{trip: v.spread.trip}
	seat := table.Seat(v.name)
	switch {
	case seat == nil:
		v.standing = absent
	case seat.Life == v.life:
		v.begin(now, table.Records)
	default:
		v.standing = recovering
	}
}

// begin takes part with records that hold all that was decided.
func (v *Voter) begin(now time.Time, records []Record) {
	v.standing = normal
	v.unknownUntil = now.Add(LeaseSpan)
	for _, record := range records {
		held := &matter{Record: record, looseUntil: now.Add(LooseSpan)}
		v.matters[record.Service] = held
		v.changed(held)
	}
}

// RecoversAfter is the time from which others' records serve to recover.
func (v *Voter) RecoversAfter() time.Time { return v.started.Add(CountSpan) }

// Recover takes the records of other voters of the era, each told whole to a question
// sent after RecoversAfter. It needs a majority of voters without itself: of the voters of
// any earlier decision in which this one took part, one is among them.
func (v *Voter) Recover(now time.Time, era uint64, holdings [][]Record) bool {
	if v.standing != recovering || era != v.table.Era || len(holdings) < v.table.Majority() {
		return false
	}
	v.begin(now, MergeAll(holdings))
	return true
}

// Step takes a message from the node at an address.
func (v *Voter) Step(now time.Time, from string, m *Message) []Envelope {
	if v.table == nil || m.Era != v.table.Era {
		return v.unable(now, from, m)
	}
	if m.Kind == Seal {
		return v.seal(now, from, m)
	}
	if v.standing != normal {
		return v.unable(now, from, m)
	}
	switch m.Kind {
	case Renew:
		return v.renew(now, from, m)
	case Released:
		return v.released(now, m)
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

func (v *Voter) message(kind Kind, m *Message) Message {
	reply := Message{Kind: kind, From: v.name, Life: v.life, Sequence: m.Sequence, Service: m.Service, Ballot: m.Ballot}
	if v.table != nil {
		reply.Era = v.table.Era
	}
	return reply
}

func (v *Voter) unable(now time.Time, from string, m *Message) []Envelope {
	if m.Kind == Released {
		return nil
	}
	reply := v.message(Unable, m)
	reply.Age, reply.Normal = v.Age(now), v.standing == normal
	if v.table != nil && v.table.Era > m.Era {
		reply.Table = v.table.Told(m.From)
	}
	return []Envelope{{from, reply}}
}

// renew grants leases of all open tenures, once the member knows the records as they are
// now. An answer with records waits for its place among the news; other voters, who may need
// the records to recover, get it at once.
func (v *Voter) renew(now time.Time, from string, m *Message) []Envelope {
	g, out := v.asked(now, from, m)
	if g.askedFrom < v.revision && v.table.Seat(m.From) == nil {
		v.enqueue(m.From, g)
		return append(out, v.pushes(now)...)
	}
	return append([]Envelope{v.grant(now, m.From, g)}, out...)
}

// pageAfter returns the oldest records that have changed after a revision, the revision up to
// which they are known with them, and whether there are more.
func (v *Voter) pageAfter(known uint64, most int) ([]Record, uint64, bool) {
	first, _ := slices.BinarySearchFunc(v.changes, known+1, func(c change, revision uint64) int { return cmp.Compare(c.revision, revision) })
	var records []Record
	for _, c := range v.changes[first:] {
		switch {
		case c.held.Revision != c.revision:
		case len(records) == most:
			return records, records[most-1].Revision, true
		default:
			records = append(records, c.held.Record)
		}
	}
	return records, v.revision, false
}

// matter returns the matter of a service, which is made if it is missing.
func (v *Voter) matter(service string) *matter {
	held := v.matters[service]
	if held == nil {
		held = &matter{Record: Record{Service: service}}
		v.matters[service] = held
	}
	return held
}

func (v *Voter) changed(held *matter) {
	v.revision++
	held.Revision = v.revision
	if len(v.changes) > 2*len(v.matters) {
		v.changes = slices.DeleteFunc(v.changes, func(c change) bool { return c.held.Revision != c.revision })
	}
	v.changes = append(v.changes, change{v.revision, held})
}

func (v *Voter) denied(from string, m *Message, held *matter) []Envelope {
	reply := v.message(Denied, m)
	reply.Ballot = held.Promised
	return []Envelope{{from, reply}}
}

// prepare promises a ballot and closes the tenure before it.
func (v *Voter) prepare(now time.Time, from string, m *Message) []Envelope {
	held := v.matter(m.Service)
	again := m.Ballot == held.Promised && m.candidate() == held.Candidate
	taken := held.Candidate.Name != m.From && now.Before(held.busyUntil)
	if (m.Ballot <= held.Promised && !again) || taken {
		return v.denied(from, m, held)
	}
	if !again {
		closes := held.Open
		held.Promised, held.Candidate, held.Open = m.Ballot, m.candidate(), false
		held.told = false
		v.changed(held)
		if closes {
			held.closing, held.closedAt, held.owing = m.Ballot, held.Revision, v.running(now)
			v.tell(now, true)
		}
	}
	held.busyUntil, held.candidateAddress = now.Add(CandidateSpan), from
	reply := v.message(Promised, m)
	reply.Records = []Record{held.Record}
	reply.Clear = v.clear(now, held)
	if held.Loose != "" {
		reply.LooseFor = max(0, held.looseUntil.Sub(now))
	}
	// The candidate waits for the answer, and counts it for a short time only.
	return append([]Envelope{{from, reply}}, v.pushes(now)...)
}

// running returns until when leases may still be held, by member.
func (v *Voter) running(now time.Time) map[string]time.Time {
	running := map[string]time.Time{}
	for name, g := range v.grants {
		if g.running(now) {
			running[name] = g.until
		}
	}
	return running
}

// clear reports whether no lease of a closed tenure is left.
func (v *Voter) clear(now time.Time, held *matter) bool {
	if now.Before(v.unknownUntil) {
		return false
	}
	maps.DeleteFunc(held.owing, func(_ string, until time.Time) bool { return !now.Before(until) })
	return len(held.owing) == 0
}

// released takes a member's word that it uses no tenure below a ballot any more, and up to
// which revision it knows the records.
func (v *Voter) released(now time.Time, m *Message) []Envelope {
	var out []Envelope
	if held := v.matters[m.Service]; held != nil && m.Ballot >= held.closing {
		delete(held.owing, m.From)
		out = v.tellClear(now, held)
	}
	return append(out, v.heard(now, m)...)
}

// tellClear tells the candidate once that no lease is left.
func (v *Voter) tellClear(now time.Time, held *matter) []Envelope {
	if held.told || held.Open || held.candidateAddress == "" || !v.clear(now, held) {
		return nil
	}
	held.told = true
	return []Envelope{{held.candidateAddress, v.message(Cleared, &Message{Service: held.Service, Ballot: held.Promised})}}
}

// Tick repeats what was not answered and tells candidates of leases that have run out. It
// reports whether it needs to be called again soon.
func (v *Voter) Tick(now time.Time) ([]Envelope, bool) {
	if v.standing != normal {
		return nil, false
	}
	out := v.repeats(now)
	waiting := v.spread.busy()
	for _, service := range slices.Sorted(maps.Keys(v.matters)) {
		held := v.matters[service]
		if held.Open || held.told || held.candidateAddress == "" {
			continue
		}
		waiting = true
		out = append(out, v.tellClear(now, held)...)
	}
	return out, waiting
}

// choose holds the target of a ballot.
func (v *Voter) choose(now time.Time, from string, m *Message) []Envelope {
	held := v.matter(m.Service)
	if m.Ballot != held.Promised || m.candidate() != held.Candidate || held.Open {
		return v.denied(from, m, held)
	}
	chosen := Tenure{m.Ballot, m.Primary}
	if held.Chosen != chosen || held.Ordering != m.Ordering {
		held.Chosen, held.Ordering = chosen, m.Ordering
		v.changed(held)
	}
	held.busyUntil = now.Add(CandidateSpan)
	reply := v.message(Chosen, m)
	reply.Clear = v.clear(now, held)
	return []Envelope{{from, reply}}
}

// open gives leases for a tenure from now on. One that needs no order need not have been
// chosen before: a ballot has one candidate, who names one primary.
func (v *Voter) open(now time.Time, from string, m *Message) []Envelope {
	held := v.matter(m.Service)
	tenure := Tenure{m.Ballot, m.Primary}
	other := held.Chosen.Ballot == m.Ballot && held.Chosen != tenure
	if m.Ballot != held.Promised || m.candidate() != held.Candidate || other {
		return v.denied(from, m, held)
	}
	// Candidates do not alternate at short intervals, also not after a success.
	held.busyUntil = now.Add(CandidateSpan)
	if !held.Open {
		held.Chosen, held.Open, held.Ordering = tenure, true, false
		held.Term = max(held.Term, m.Term)
		if m.Loose {
			held.Loose, held.looseUntil = m.Primary, now.Add(LooseSpan)
		}
		v.changed(held)
		v.tell(now, false)
	}
	return append([]Envelope{{from, v.message(Opened, m)}}, v.pushes(now)...)
}

// seal ends the voter's part in the era.
func (v *Voter) seal(now time.Time, from string, m *Message) []Envelope {
	reply := v.message(Sealed, m)
	reply.Age = v.Age(now)
	if v.standing == normal {
		v.standing = sealed
	}
	if v.standing != sealed {
		return []Envelope{{from, reply}}
	}
	reply.Normal = true
	known := m.Known
	if m.KnownLife != v.life {
		known = 0
	}
	pages := 1
	if m.More {
		pages = sealPages
	}
	var out []Envelope
	for more := true; more && len(out) < pages; known = reply.Revision {
		reply.Known = known
		reply.Records, reply.Revision, reply.More = v.pageAfter(known, pageRecords)
		out = append(out, Envelope{from, reply})
		more = reply.More
	}
	return out
}
