package quorum

import (
	"maps"
	"slices"
	"time"
)

// Limits of the records in flight to all members, in bytes. minWindowBytes are always allowed:
// about a hundred messages with one record. Answers to candidates and renewals may have to wait
// behind them, for 65 ms on a link of 2 Mbit/s. The window grows up to maxWindowBytes while members
// answer within fastAnswer, which shows that the link has capacity left.
const (
	minWindowBytes = 16 << 10
	maxWindowBytes = 256 << 10
	fastAnswer     = 60 * time.Millisecond
)

// pushInterval limits a voter to 4,000 pushes a second in total: the next push to a member waits
// for this long times the number of members. Records that change meanwhile are sent with it.
// Without the limit, voters on large links sent 14,000 pushes a second to 294 members while 600
// services were opened.
const pushInterval = 250 * time.Microsecond

// Approximate encoded sizes of a message with records, including packet headers.
const (
	messageBytes = 100
	recordBytes  = 40
)

// maxPushBackoff bounds the delay before records are sent again. A recalled lease expires soon
// after it.
const maxPushBackoff = LeaseDuration / 2

// outbox schedules the records to send to members. Each member has one message in flight, with all
// records that it lacks; later changes go with the next one. So records that change together cost
// one message, and they do not fill the voter's link, which carries other answers too.
type outbox struct {
	// pushRevision is the newest revision that lease holders must learn immediately.
	pushRevision uint64
	// queue are the members with something to send, inFlight the bytes in flight, and extraWindow
	// how many more than minWindowBytes may be in flight.
	queue       []string
	inFlight    int
	extraWindow int
	rtt         rttEstimator
}

func (o *outbox) busy() bool { return o.inFlight > 0 || len(o.queue) > 0 }

// grant is a lease of all open tenures that a member may still hold, with the state of the records
// sent to it.
type grant struct {
	address string
	until   time.Time
	// incarnation is that of the member's process. ackedRevision is the revision up to which it
	// has acknowledged the records, sentRevision the one up to which they were sent.
	incarnation   uint64
	ackedRevision uint64
	sentRevision  uint64
	// sequence is the unanswered request, 0 if there is none. requestRevision is the revision up to
	// which the member knew the records when it sent the request.
	sequence        uint64
	requestRevision uint64
	// inFlight is the size of the message in flight, sentAt when it was sent, and retries the
	// number of unanswered messages before it.
	inFlight int
	sentAt   time.Time
	retries  int
	queued   bool
}

// adjustWindow grows the window after a fast answer and shrinks it after a slow one.
func (o *outbox) adjustWindow(bytes int, took time.Duration) {
	if took < fastAnswer {
		o.extraWindow = min(o.extraWindow+bytes/4, maxWindowBytes-minWindowBytes)
	} else {
		o.extraWindow = max(0, o.extraWindow-bytes/2)
	}
}

// active reports whether the lease may still be held.
func (g *grant) active(now time.Time) bool { return now.Before(g.until) }

// queuePush queues a push of the newest revision for all members that may hold leases. A recall is
// sent immediately even to members that have not answered lately.
func (v *Voter) queuePush(now time.Time, recall bool) {
	v.outbox.pushRevision = v.revision
	for _, name := range slices.Sorted(maps.Keys(v.grants)) {
		g := v.grants[name]
		if !g.active(now) && g.inFlight == 0 && !g.queued {
			delete(v.grants, name)
			continue
		}
		if recall && g.retries > 0 {
			v.clearInFlight(g)
			g.retries, g.sentRevision = 0, g.ackedRevision
		}
		v.enqueue(name, g)
	}
}

// enqueue queues a member if there is something to send and nothing in flight to it.
func (v *Voter) enqueue(name string, g *grant) {
	if g.inFlight > 0 || g.queued || (g.sequence == 0 && g.sentRevision >= v.outbox.pushRevision) {
		return
	}
	g.queued = true
	v.outbox.queue = append(v.outbox.queue, name)
}

// clearInFlight marks that nothing is in flight to a member.
func (v *Voter) clearInFlight(g *grant) {
	v.outbox.inFlight -= g.inFlight
	g.inFlight = 0
}

// sendQueued sends queued messages as far as the window allows.
func (v *Voter) sendQueued(now time.Time) []Envelope {
	if !v.Supported(now) {
		return nil
	}
	var out []Envelope
	minGap := pushInterval * time.Duration(len(v.grants))
	for range len(v.outbox.queue) {
		if v.outbox.inFlight >= minWindowBytes+v.outbox.extraWindow {
			break
		}
		name := v.outbox.queue[0]
		v.outbox.queue = v.outbox.queue[1:]
		g := v.grants[name]
		if g == nil || !g.queued {
			continue
		}
		if g.sequence == 0 && now.Sub(g.sentAt) < minGap {
			v.outbox.queue = append(v.outbox.queue, name)
			continue
		}
		g.queued = false
		switch {
		case g.sequence != 0:
			out = append(out, v.grant(now, name, g))
		case g.sentRevision < v.outbox.pushRevision && g.active(now):
			out = append(out, v.push(now, name, g))
		}
	}
	return out
}

// grant answers a member's request. An answer with records counts as in flight.
func (v *Voter) grant(now time.Time, name string, g *grant) Envelope {
	m := v.newMessage(Granted, &Message{Sequence: g.sequence})
	m.Normal = true
	m.Records, m.Revision, m.More = v.pageAfter(g.requestRevision, v.pageSize(name))
	g.sequence = 0
	if !m.More {
		g.until, g.sentRevision = now.Add(LeaseDuration), max(g.sentRevision, m.Revision)
	}
	if len(m.Records) > 0 && v.table.VoterEntry(name) == nil {
		m.Recall = !m.More
		m.Records = trimRecords(m.Records)
		v.markInFlight(now, g, len(m.Records))
	}
	return Envelope{g.address, m}
}

// push sends a member the changed records. Service and Ballot name a closed tenure of which the
// member may hold a lease, for members that release one service per answer.
func (v *Voter) push(now time.Time, name string, g *grant) Envelope {
	m := v.newMessage(Push, &Message{})
	m.KnownRevision, m.Recall, m.Sequence = g.sentRevision, true, v.uptimeMillis(now)
	m.Records, m.Revision, m.More = v.pageAfter(g.sentRevision, v.pageSize(name))
	for i := range m.Records {
		_, holdsLease := v.services[m.Records[i].Service].leaseHolders[name]
		if i == 0 || holdsLease {
			m.Service, m.Ballot = m.Records[i].Service, m.Records[i].Promised
		}
		if holdsLease {
			break
		}
	}
	if v.table.VoterEntry(name) == nil {
		m.Records = trimRecords(m.Records)
	}
	v.markInFlight(now, g, len(m.Records))
	return Envelope{g.address, m}
}

// markInFlight marks a message with records as in flight to a member.
func (v *Voter) markInFlight(now time.Time, g *grant, records int) {
	v.clearInFlight(g)
	g.inFlight, g.sentAt = messageBytes+recordBytes*records, now
	v.outbox.inFlight += g.inFlight
}

// pageSize returns how many records one message to a member carries.
func (v *Voter) pageSize(name string) int {
	if v.table.VoterEntry(name) != nil {
		return pageRecords
	}
	return memberPageRecords
}

// trimRecords returns the records with the fields that members which are not voters need.
func trimRecords(records []Record) []Record {
	trimmed := make([]Record, 0, len(records))
	for _, record := range records {
		trimmed = append(trimmed, Record{
			Service: record.Service, Revision: record.Revision, Promised: record.Promised, Chosen: record.Chosen, Open: record.Open,
		})
	}
	return trimmed
}

// uptimeMillis returns the time since the voter's start in milliseconds, at least 1. It is sent
// with a push and returned with the answer, which gives the round-trip time.
func (v *Voter) uptimeMillis(now time.Time) uint64 {
	return uint64(max(0, now.Sub(v.started))/time.Millisecond) + 1
}

// recordRequest records a member's request and the revision that it reports to know.
func (v *Voter) recordRequest(now time.Time, from string, m *Message) (*grant, []Envelope) {
	g := v.grants[m.From]
	if g == nil {
		g = &grant{incarnation: m.Incarnation}
		v.grants[m.From] = g
	}
	if g.incarnation != m.Incarnation {
		v.clearInFlight(g)
		g.incarnation, g.ackedRevision, g.sentRevision, g.retries = m.Incarnation, 0, 0, 0
	}
	g.address, g.sequence, g.requestRevision = from, m.Sequence, m.KnownRevision
	if m.KnownIncarnation != v.incarnation {
		// The member knows no record of this incarnation.
		g.ackedRevision, g.sentRevision, g.requestRevision = 0, 0, 0
		return g, nil
	}
	return g, v.advanceAck(now, m.From, g, m.KnownRevision)
}

// handleAck processes a member's answer to records.
func (v *Voter) handleAck(now time.Time, m *Message) []Envelope {
	g := v.grants[m.From]
	if g == nil || g.incarnation != m.Incarnation || m.KnownIncarnation != v.incarnation || m.Revision <= g.ackedRevision {
		// A member that cannot name its revision, or lacks earlier records, gets a retry later.
		return nil
	}
	if m.Sequence > 0 && m.Sequence <= v.uptimeMillis(now) {
		v.outbox.rtt.measure(time.Duration(v.uptimeMillis(now)-m.Sequence) * time.Millisecond)
	}
	out := v.advanceAck(now, m.From, g, m.Revision)
	v.enqueue(m.From, g)
	return append(out, v.sendQueued(now)...)
}

// advanceAck records that a member knows the records up to a revision. A member that knows that a
// tenure is closed no longer uses it.
func (v *Voter) advanceAck(now time.Time, name string, g *grant, revision uint64) []Envelope {
	if revision <= g.ackedRevision {
		return nil
	}
	v.outbox.adjustWindow(g.inFlight, now.Sub(g.sentAt))
	v.clearInFlight(g)
	g.ackedRevision, g.sentRevision, g.retries = revision, max(g.sentRevision, revision), 0
	var released []string
	for service, state := range v.services {
		if _, holdsLease := state.leaseHolders[name]; holdsLease && revision >= state.closedRevision {
			delete(state.leaseHolders, name)
			released = append(released, service)
		}
	}
	slices.Sort(released)
	var out []Envelope
	for _, service := range released {
		out = append(out, v.notifyCleared(now, v.services[service])...)
	}
	return out
}

// resends queues unanswered records again, from the acknowledged revision on.
func (v *Voter) resends(now time.Time) []Envelope {
	if !v.outbox.busy() {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(v.grants)) {
		g := v.grants[name]
		wait := max(backoff(RecallInterval, g.retries, maxPushBackoff), v.outbox.rtt.timeout(g.retries, maxPushBackoff))
		if g.inFlight == 0 || now.Sub(g.sentAt) < wait {
			continue
		}
		v.outbox.adjustWindow(g.inFlight, now.Sub(g.sentAt))
		v.clearInFlight(g)
		g.retries++
		g.sentRevision = g.ackedRevision
		v.enqueue(name, g)
	}
	return v.sendQueued(now)
}
