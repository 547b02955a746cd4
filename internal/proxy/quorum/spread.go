package quorum

import (
	"maps"
	"slices"
	"time"
)

// What a voter has under way to its members, in bytes, is at least spreadBytes: enough for a
// hundred messages with one record at once, and 65 ms of a link of 2 Mbit/s. Answers to
// candidates and renewals wait behind it. It grows up to spreadMost while members answer
// within soonAnswered, as over a link with room: 300 members learn hundreds of records then.
const (
	spreadBytes  = 16 << 10
	spreadMost   = 256 << 10
	soonAnswered = 60 * time.Millisecond
)

// pushPace bounds the messages with news that a voter sends to 4,000 a second in all: after
// one, a member's next one waits for so long times the number of members. What changes meanwhile
// goes with it. Without it voters on large links sent 14,000 a second to 294 members while
// 600 services were opened.
const pushPace = 250 * time.Microsecond

// Sizes of a message with records: about what it takes encoded, with its headers.
const (
	messageBytes = 100
	recordBytes  = 40
)

// pushLimit bounds the pause until records are told again: a lease that is recalled runs out
// soon after.
const pushLimit = LeaseSpan / 2

// spread is the records on their way to the members. Each member has one message under way,
// with all that it does not know; what changes meanwhile goes with the next one. So records
// that change together cost one message, and they do not fill the voter's link, on which the
// other answers travel too.
type spread struct {
	// news is the newest revision that holders of leases are to learn at once.
	news uint64
	// queue are the members to which something has to be sent, flying the bytes under way,
	// more how many may be besides spreadBytes.
	queue  []string
	flying int
	more   int
	trip   roundTrip
}

func (s *spread) busy() bool { return s.flying > 0 || len(s.queue) > 0 }

// grant is a lease of all open tenures that a member may still hold, and how far it is told
// of the records.
type grant struct {
	address string
	until   time.Time
	// life is the member's process, known the revision up to which it has said that it
	// knows the records, told the same if it has got all that it was told.
	life  uint64
	known uint64
	told  uint64
	// sequence is the question that has not been answered, 0 if there is none, askedFrom
	// the revision up to which the member knew the records then.
	sequence  uint64
	askedFrom uint64
	// flying are the bytes of a message under way, sentAt is when it was sent, and tries
	// how many before it were not answered.
	flying int
	sentAt time.Time
	tries  int
	queued bool
}

// answered lets more be under way after an answer that came soon, and less after a late one.
func (s *spread) answered(bytes int, took time.Duration) {
	if took < soonAnswered {
		s.more = min(s.more+bytes/4, spreadMost-spreadBytes)
	} else {
		s.more = max(0, s.more-bytes/2)
	}
}

// running reports whether the lease may still be held.
func (g *grant) running(now time.Time) bool { return now.Before(g.until) }

// tell queues the news of the newest revision for all members that may hold leases. Those
// that have not answered lately are told at once if it is a recall.
func (v *Voter) tell(now time.Time, recall bool) {
	v.spread.news = v.revision
	for _, name := range slices.Sorted(maps.Keys(v.grants)) {
		g := v.grants[name]
		if !g.running(now) && g.flying == 0 && !g.queued {
			delete(v.grants, name)
			continue
		}
		if recall && g.tries > 0 {
			v.land(g)
			g.tries, g.told = 0, g.known
		}
		v.enqueue(name, g)
	}
}

// enqueue queues a member if it has to be told something and nothing is under way to it.
func (v *Voter) enqueue(name string, g *grant) {
	if g.flying > 0 || g.queued || (g.sequence == 0 && g.told >= v.spread.news) {
		return
	}
	g.queued = true
	v.spread.queue = append(v.spread.queue, name)
}

// land notes that nothing is under way to a member any more.
func (v *Voter) land(g *grant) {
	v.spread.flying -= g.flying
	g.flying = 0
}

// pushes sends what is queued as far as it may be under way.
func (v *Voter) pushes(now time.Time) []Envelope {
	var out []Envelope
	gap := pushPace * time.Duration(len(v.grants))
	for range len(v.spread.queue) {
		if v.spread.flying >= spreadBytes+v.spread.more {
			break
		}
		name := v.spread.queue[0]
		v.spread.queue = v.spread.queue[1:]
		g := v.grants[name]
		if g == nil || !g.queued {
			continue
		}
		if g.sequence == 0 && now.Sub(g.sentAt) < gap {
			v.spread.queue = append(v.spread.queue, name)
			continue
		}
		g.queued = false
		switch {
		case g.sequence != 0:
			out = append(out, v.grant(now, name, g))
		case g.told < v.spread.news && g.running(now):
			out = append(out, v.push(now, name, g))
		}
	}
	return out
}

// grant answers a member's question. It counts as under way if records go with it.
func (v *Voter) grant(now time.Time, name string, g *grant) Envelope {
	m := v.message(Granted, &Message{Sequence: g.sequence})
	m.Normal = true
	m.Records, m.Revision, m.More = v.pageAfter(g.askedFrom, v.pageFor(name))
	g.sequence = 0
	if !m.More {
		g.until, g.told = now.Add(LeaseSpan), max(g.told, m.Revision)
	}
	if len(m.Records) > 0 && v.table.Seat(name) == nil {
		m.Recall = !m.More
		m.Records = briefly(m.Records)
		v.fly(now, g, len(m.Records))
	}
	return Envelope{g.address, m}
}

// push tells a member what has changed. It names the service of a tenure of which the member
// may hold a lease, for members that answer for one service only.
func (v *Voter) push(now time.Time, name string, g *grant) Envelope {
	m := v.message(Push, &Message{})
	m.Known, m.Recall, m.Sequence = g.told, true, v.clock(now)
	m.Records, m.Revision, m.More = v.pageAfter(g.told, v.pageFor(name))
	for i := range m.Records {
		_, owed := v.matters[m.Records[i].Service].owing[name]
		if i == 0 || owed {
			m.Service, m.Ballot = m.Records[i].Service, m.Records[i].Promised
		}
		if owed {
			break
		}
	}
	if v.table.Seat(name) == nil {
		m.Records = briefly(m.Records)
	}
	v.fly(now, g, len(m.Records))
	return Envelope{g.address, m}
}

// fly notes that a message with records is under way to a member.
func (v *Voter) fly(now time.Time, g *grant, records int) {
	v.land(g)
	g.flying, g.sentAt = messageBytes+recordBytes*records, now
	v.spread.flying += g.flying
}

// pageFor is how many records one message to a member carries.
func (v *Voter) pageFor(name string) int {
	if v.table.Seat(name) != nil {
		return pageRecords
	}
	return briefRecords
}

// briefly returns records with what a member needs that is no voter.
func briefly(records []Record) []Record {
	brief := make([]Record, 0, len(records))
	for _, record := range records {
		brief = append(brief, Record{
			Service: record.Service, Revision: record.Revision, Promised: record.Promised, Chosen: record.Chosen, Open: record.Open,
		})
	}
	return brief
}

// clock tells the time since the voter's start in milliseconds, from 1 on. It goes with news
// and comes back with the answer.
func (v *Voter) clock(now time.Time) uint64 {
	return uint64(max(0, now.Sub(v.started))/time.Millisecond) + 1
}

// asked notes a member's question, and what the member knows by its own word.
func (v *Voter) asked(now time.Time, from string, m *Message) (*grant, []Envelope) {
	g := v.grants[m.From]
	if g == nil {
		g = &grant{life: m.Life}
		v.grants[m.From] = g
	}
	if g.life != m.Life {
		v.land(g)
		g.life, g.known, g.told, g.tries = m.Life, 0, 0, 0
	}
	g.address, g.sequence, g.askedFrom = from, m.Sequence, m.Known
	if m.KnownLife != v.life {
		// It knows nothing of this process.
		g.known, g.told, g.askedFrom = 0, 0, 0
		return g, nil
	}
	return g, v.knows(now, m.From, g, m.Known)
}

// heard takes a member's answer to what it was told.
func (v *Voter) heard(now time.Time, m *Message) []Envelope {
	g := v.grants[m.From]
	if g == nil || g.life != m.Life || m.KnownLife != v.life || m.Revision <= g.known {
		// A member that cannot tell what it knows, or lacks what was sent before, is told
		// again in time.
		return nil
	}
	if m.Sequence > 0 && m.Sequence <= v.clock(now) {
		v.spread.trip.measure(time.Duration(v.clock(now)-m.Sequence) * time.Millisecond)
	}
	out := v.knows(now, m.From, g, m.Revision)
	v.enqueue(m.From, g)
	return append(out, v.pushes(now)...)
}

// knows takes a member's word of the revision up to which it knows the records. Who knows
// that a tenure is closed does not use it any more.
func (v *Voter) knows(now time.Time, name string, g *grant, revision uint64) []Envelope {
	if revision <= g.known {
		return nil
	}
	v.spread.answered(g.flying, now.Sub(g.sentAt))
	v.land(g)
	g.known, g.told, g.tries = revision, max(g.told, revision), 0
	var released []string
	for service, held := range v.matters {
		if _, owes := held.owing[name]; owes && revision >= held.closedAt {
			delete(held.owing, name)
			released = append(released, service)
		}
	}
	slices.Sort(released)
	var out []Envelope
	for _, service := range released {
		out = append(out, v.tellClear(now, v.matters[service])...)
	}
	return out
}

// repeats tells members again what was not answered in time, from what they surely know.
func (v *Voter) repeats(now time.Time) []Envelope {
	if !v.spread.busy() {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(v.grants)) {
		g := v.grants[name]
		wait := max(doubled(RecallInterval, g.tries, pushLimit), v.spread.trip.timeout(g.tries, pushLimit))
		if g.flying == 0 || now.Sub(g.sentAt) < wait {
			continue
		}
		v.spread.answered(g.flying, now.Sub(g.sentAt))
		v.land(g)
		g.tries++
		g.told = g.known
		v.enqueue(name, g)
	}
	return v.pushes(now)
}
