package quorum

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// Lease is the time until which a voter's last grant runs, in nanoseconds of the
// member's steady clock. It is read on a request's path.
type Lease struct{ until atomic.Int64 }

// View is what a member knows of a service's tenure. It is immutable; the leases
// that it points to are renewed in place.
type View struct {
	Tenure Tenure
	// Open is set if a majority of voters gives leases for the tenure.
	Open bool
	// Highest is the highest ballot that a voter has promised.
	Highest uint64
	leases  []*Lease
	needed  int
	base    time.Time
	// partialSince is since when some voters, but too few, give leases for one tenure; zero if
	// they do not.
	partialSince time.Time
}

// Partial reports whether some voters, but too few, have given leases for one tenure for a span:
// others may as well.
func (v *View) Partial(now time.Time, span time.Duration) bool {
	return !v.partialSince.IsZero() && now.Sub(v.partialSince) >= span
}

// Covers reports whether the tenure was surely the newest at a time: a majority of
// voters has granted leases that run beyond it.
func (v *View) Covers(at time.Time) bool {
	covering, needed := v.Leases(at)
	return v.Open && covering >= needed
}

// Leases returns how many voters' leases of the open tenure run beyond a time, and how many
// are needed to use its primary.
func (v *View) Leases(at time.Time) (covering, needed int) {
	since := int64(at.Sub(v.base))
	for _, lease := range v.leases {
		if lease.until.Load() > since {
			covering++
		}
	}
	return covering, v.needed
}

// renewalsKept is how many renewals to a voter may await their answers.
const renewalsKept = 8

// renewal is a question to a voter: when it was sent, and up to which revision of which
// life the voter's records were known then.
type renewal struct {
	sequence  uint64
	sentAt    time.Time
	known     uint64
	knownLife uint64
}

// mirror is what a member knows of a voter.
type mirror struct {
	seat     Seat
	life     uint64
	revision uint64
	// wholeAt is when the renewal was sent at whose answer all records were known; zero
	// if they are not.
	wholeAt time.Time
	records map[string]Record
	lease   *Lease
	sent    []renewal
	// pacer decides when the voter is asked again.
	pacer
	// heard is when the voter was last heard of; until it was, when the table was taken.
	heard time.Time
	met   bool
	// lost is the age of a voter's process that has no memory, when it was heard.
	lost time.Duration
	// unable is set while the voter's last answer was that it takes no part.
	unable bool
}

// Member keeps a node's leases. It is a reducer, not safe for concurrent use; the
// views that it returns are.
type Member struct {
	name     string
	life     uint64
	base     time.Time
	table    *Table
	mirrors  []*mirror
	sequence uint64
	services map[string]*View
	// distances are how far the voters are by name; nil if that is not known.
	distances map[string]int
}

// NewMember returns a member that knows no table yet. base is a time before all
// others, from which leases are counted.
func NewMember(name string, life uint64, base time.Time) *Member {
	return &Member{name: name, life: life, base: base, sequence: FirstSequence(life), services: map[string]*View{}}
}

// sequenceShift leaves room for the questions of one process.
const sequenceShift = 24

// FirstSequence returns the sequence number before a process's first question. Answers to
// an earlier process of the node may still come, and must not be taken for its own.
func FirstSequence(life uint64) uint64 { return life << sequenceShift }

// Table returns the newest table known, nil if there is none.
func (n *Member) Table() *Table { return n.table }

// SetTable takes a newer table; leases of the era before are given up. It returns
// the services whose views have changed.
func (n *Member) SetTable(now time.Time, table *Table) []string {
	if n.table != nil && table.Era <= n.table.Era {
		return nil
	}
	// The way to a voter stays as long as it was.
	trips := map[string]roundTrip{}
	for _, of := range n.mirrors {
		trips[of.seat.Name] = of.trip
	}
	n.table = table
	n.mirrors = nil
	for _, seat := range table.Seats {
		of := &mirror{seat: seat, records: map[string]Record{}, lease: &Lease{}, heard: now}
		of.trip = trips[seat.Name]
		n.mirrors = append(n.mirrors, of)
	}
	var changed []string
	for service := range n.services {
		n.look(now, service)
		changed = append(changed, service)
	}
	return changed
}

// View returns what is known of a service, nil if nothing is.
func (n *Member) View(service string) *View { return n.services[service] }

// Due asks the voters that are to be asked for leases now, and returns when the next one is.
func (n *Member) Due(now time.Time, haste Haste) ([]Envelope, time.Time) {
	var out []Envelope
	next := now.Add(RenewInterval)
	spares, resting := n.spares(now, haste), n.resting(haste)
	for _, of := range n.mirrors {
		if slices.Contains(resting, of) {
			continue
		}
		pause := time.Duration(0)
		if slices.Contains(spares, of) {
			pause = spareInterval - RenewInterval
		}
		due := of.due(haste).Add(pause)
		if !due.After(now) {
			out = append(out, n.renewal(now, of))
			due = of.due(haste).Add(pause)
		}
		if due.Before(next) {
			next = due
		}
	}
	return out, next
}

// spares returns the voters that need not renew their leases now: a majority of others has
// answered in time, and sooner. A voter's own member asks all, since it looks after them.
func (n *Member) spares(now time.Time, haste Haste) []*mirror {
	if haste != Calm || n.table == nil || n.table.Seat(n.name) != nil {
		return nil
	}
	var sound, late []*mirror
	for _, of := range n.mirrors {
		switch {
		case of.wholeAt.IsZero():
		case of.misses > 0 || (of.waiting && !of.due(haste).After(now)):
			late = append(late, of)
		default:
			sound = append(sound, of)
		}
	}
	if len(sound) < n.table.Majority() {
		return nil
	}
	slices.SortStableFunc(sound, func(a, b *mirror) int { return cmp.Compare(a.trip.smoothed, b.trip.smoothed) })
	return append(late, sound[n.table.Majority():]...)
}

func (n *Member) renewal(now time.Time, of *mirror) Envelope {
	n.sequence++
	of.ask(now)
	of.sent = append(of.sent, renewal{n.sequence, now, of.revision, of.life})
	if len(of.sent) > renewalsKept {
		of.sent = of.sent[1:]
	}
	return Envelope{of.seat.Address, Message{
		Kind: Renew, From: n.name, Life: n.life, Era: n.table.Era, Sequence: n.sequence, Known: of.revision, KnownLife: of.life,
	}}
}

func (n *Member) mirror(name string) *mirror {
	for _, of := range n.mirrors {
		if of.seat.Name == name {
			return of
		}
	}
	return nil
}

// Step takes a voter's message. It returns what to send, and the services whose
// views have changed.
func (n *Member) Step(now time.Time, from string, m *Message) ([]Envelope, []string) {
	of := n.mirror(m.From)
	if of == nil || n.table.Era != m.Era {
		return nil, nil
	}
	switch m.Kind {
	case Granted:
		return n.granted(now, from, of, m)
	case Push:
		return n.pushed(now, from, of, m)
	case Unable:
		of.heard, of.met = now, true
		if asked := of.answered(m.Sequence); asked != nil {
			of.answer(now, asked.sentAt, false)
		}
		if !m.Normal {
			of.lost = m.Age
		}
		of.wholeAt, of.unable = time.Time{}, true
	default:
	}
	return nil, nil
}

// meet begins anew with a voter whose process has changed.
func (of *mirror) meet(life uint64) {
	if of.life != life {
		of.life, of.revision, of.wholeAt = life, 0, time.Time{}
		of.records = map[string]Record{}
	}
	of.lost = 0
}

func (n *Member) granted(now time.Time, from string, of *mirror, m *Message) ([]Envelope, []string) {
	of.heard, of.met, of.unable = now, true, false
	asked := of.answered(m.Sequence)
	if asked == nil {
		return nil, nil
	}
	// An answer that brings neither news nor the lease of which one has run out was not
	// worth its question.
	ranOut := of.lease.until.Load() <= int64(now.Sub(n.base))
	of.answer(now, asked.sentAt, ranOut || len(m.Records) > 0)
	of.meet(m.Life)
	if asked.knownLife == m.Life && asked.known > of.revision {
		// The answer leaves out what was known then, and is not any more.
		return nil, nil
	}
	changed := n.take(now, of, m.Records)
	of.revision = max(of.revision, m.Revision)
	if m.More {
		return []Envelope{n.renewal(now, of)}, changed
	}
	of.wholeAt = asked.sentAt
	until := int64(asked.sentAt.Add(LeaseSpan - clockMargin).Sub(n.base))
	of.lease.until.Store(max(of.lease.until.Load(), until))
	if m.Recall {
		return []Envelope{{from, n.release(of, m, 0)}}, changed
	}
	return nil, changed
}

// release tells a voter up to which revision its records are known, and that no tenure that
// they close is used any more.
func (n *Member) release(of *mirror, m *Message, sequence uint64) Message {
	return Message{
		Kind: Released, From: n.name, Life: n.life, Era: m.Era, Sequence: sequence, Service: m.Service, Ballot: m.Ballot,
		Revision: of.revision, KnownLife: of.life,
	}
}

// answered returns the renewal that an answer belongs to, nil if it is none of this
// process's, or a very old one.
func (of *mirror) answered(sequence uint64) *renewal {
	for i := range of.sent {
		if of.sent[i].sequence == sequence {
			return &of.sent[i]
		}
	}
	return nil
}

// pushed takes changed records. They are all that have changed after the revision Known:
// if this one is not known, others may have changed before, and the revision up to which all
// are known stays. The answer tells it.
func (n *Member) pushed(now time.Time, from string, of *mirror, m *Message) ([]Envelope, []string) {
	of.meet(m.Life)
	changed := n.take(now, of, m.Records)
	if m.Known <= of.revision {
		of.revision = max(of.revision, m.Revision)
	}
	if !m.Recall {
		return nil, changed
	}
	return []Envelope{{from, n.release(of, m, m.Sequence)}}, changed
}

// take notes a voter's records and returns the services whose views have changed.
func (n *Member) take(now time.Time, of *mirror, records []Record) []string {
	var changed []string
	for _, record := range records {
		if known, found := of.records[record.Service]; found && known.Revision >= record.Revision {
			continue
		}
		of.records[record.Service] = record
		n.look(now, record.Service)
		changed = append(changed, record.Service)
	}
	return changed
}

// look makes a service's view anew. A tenure that is no longer open stays known.
func (n *Member) look(now time.Time, service string) {
	before := n.services[service]
	view := &View{needed: n.table.Majority(), base: n.base}
	if before != nil {
		view.Tenure, view.Highest = before.Tenure, before.Highest
	}
	open := map[Tenure][]*Lease{}
	for _, of := range n.mirrors {
		record, found := of.records[service]
		if !found {
			continue
		}
		view.Highest = max(view.Highest, record.Promised)
		if record.Open {
			open[record.Chosen] = append(open[record.Chosen], of.lease)
		}
	}
	for tenure, leases := range open {
		if len(leases) >= view.needed {
			view.Tenure, view.Open, view.leases = tenure, true, leases
		}
	}
	if !view.Open && len(open) > 0 {
		view.partialSince = now
		if before != nil && !before.partialSince.IsZero() {
			view.partialSince = before.partialSince
		}
	}
	n.services[service] = view
}

// Delay returns the longest measured time until a voter's answer, and the questions in a row
// that the voter with most of them has not answered in time.
func (n *Member) Delay() (trip time.Duration, misses int) {
	for _, of := range n.mirrors {
		trip, misses = max(trip, of.trip.smoothed), max(misses, of.misses)
	}
	return trip, misses
}

// Settled reports whether the records of all voters that are asked are known whole.
func (n *Member) Settled() bool { return n.Whole()+len(n.resting(Calm)) >= len(n.mirrors) }

// Whole counts the voters whose records are known whole.
func (n *Member) Whole() int {
	whole := 0
	for _, of := range n.mirrors {
		if !of.wholeAt.IsZero() {
			whole++
		}
	}
	return whole
}

// Holdings returns the records of the other voters that were told whole to questions
// sent after a time, for a voter that recovers.
func (n *Member) Holdings(after time.Time) [][]Record {
	var holdings [][]Record
	for _, of := range n.mirrors {
		if of.seat.Name == n.name || of.wholeAt.IsZero() || of.wholeAt.Before(after) {
			continue
		}
		held := make([]Record, 0, len(of.records))
		for _, record := range of.records {
			held = append(held, record)
		}
		holdings = append(holdings, held)
	}
	return holdings
}

// Silent returns the voters that have not been heard of for a span, or not at all for a
// first span since the table was taken. The measured delay of a voter's answers is added: a
// full link is no loss.
func (n *Member) Silent(now time.Time, span, first time.Duration) []string {
	var silent []string
	for _, of := range n.mirrors {
		since := now.Sub(of.heard) - of.trip.delay()
		if of.seat.Name != n.name && (since >= span || (!of.met && since >= first)) {
			silent = append(silent, of.seat.Name)
		}
	}
	return silent
}

// Heard counts the voters that have been heard of within a span and the measured delay of
// their answers, or met for the first time; the member's own counts.
func (n *Member) Heard(now time.Time, span time.Duration) int {
	heard := 0
	for _, of := range n.mirrors {
		if of.seat.Name == n.name || now.Sub(of.heard)-of.trip.delay() < span {
			heard++
		}
	}
	return heard
}

// Lost counts the other voters that have no memory; each has to have been heard of
// within a span.
func (n *Member) Lost(now time.Time, span time.Duration) int {
	lost := 0
	for _, of := range n.mirrors {
		if of.seat.Name != n.name && of.lost > 0 && now.Sub(of.heard) < span {
			lost++
		}
	}
	return lost
}
