package quorum

import (
	"time"
)

// Sealing ends a generation. It collects the records of sealed voters until no further decision
// can be made in the generation and all decisions are known.
type Sealing struct {
	table  *Table
	states map[string]*sealedState
}

// sealedState is what a sealed voter has sent so far.
type sealedState struct {
	incarnation uint64
	revision    uint64
	// normal is set if the voter has its state, complete once all its records have arrived.
	normal   bool
	complete bool
	// age is the age of the voter's process.
	age     time.Duration
	records map[string]Record
	// awaitedPages is how many more pages may answer the last request.
	awaitedPages int
}

// pagesPerSealRequest is how many pages a sealed voter sends per request: about 8 kB, so
// that 820 services pass in nine round trips.
const pagesPerSealRequest = 8

// NewSealing returns a Sealing of the generation of a table.
func NewSealing(table *Table) *Sealing {
	return &Sealing{table: table, states: map[string]*sealedState{}}
}

// Ends reports whether this Sealing ends the generation of a table.
func (s *Sealing) Ends(table *Table) bool { return s.table == table }

// Resume starts another attempt and keeps the records received so far. All voters must answer
// again, since a voter that has restarted may have taken part in decisions.
func (s *Sealing) Resume() {
	for _, state := range s.states {
		state.complete = false
	}
}

// Requests returns requests to the voters whose records are incomplete, and to those without
// state for their process age.
func (s *Sealing) Requests(from string, incarnation, sequence uint64) []Envelope {
	var out []Envelope
	for _, entry := range s.table.Entries {
		if state := s.states[entry.Name]; state == nil || !state.complete || !state.normal {
			out = append(out, s.request(&entry, from, incarnation, sequence))
		}
	}
	return out
}

// request requests the pages after those that a voter has sent.
func (s *Sealing) request(entry *VoterEntry, from string, incarnation, sequence uint64) Envelope {
	request := Message{Kind: Seal, From: from, Incarnation: incarnation, Generation: s.table.Generation, Sequence: sequence, More: true}
	if state := s.states[entry.Name]; state != nil {
		request.KnownRevision, request.KnownIncarnation = state.revision, state.incarnation
		state.awaitedPages = pagesPerSealRequest
	}
	return Envelope{entry.Address, request}
}

// NextRequests returns a request for more pages if the answer just taken was the last one to its
// request.
func (s *Sealing) NextRequests(m *Message, from string, incarnation, sequence uint64) []Envelope {
	state, entry := s.states[m.From], s.table.VoterEntry(m.From)
	if state == nil || state.complete || state.awaitedPages > 0 {
		return nil
	}
	return []Envelope{s.request(entry, from, incarnation, sequence)}
}

// AddAnswer adds the records of a voter's answer and reports whether it made progress.
func (s *Sealing) AddAnswer(m *Message) bool {
	if m.Kind != Sealed || m.Generation != s.table.Generation || s.table.VoterEntry(m.From) == nil {
		return false
	}
	state := s.states[m.From]
	if state == nil || state.incarnation != m.Incarnation {
		state = &sealedState{incarnation: m.Incarnation, records: map[string]Record{}, awaitedPages: pagesPerSealRequest}
		s.states[m.From] = state
	}
	state.age, state.normal = m.Age, m.Normal
	if m.KnownRevision > state.revision || m.Revision < state.revision {
		// An earlier page was lost, or this one is late.
		return false
	}
	progress := m.Revision > state.revision || state.complete == m.More
	for _, record := range m.Records {
		state.records[record.Service] = record
	}
	state.revision, state.complete = m.Revision, !m.More
	if progress {
		state.awaitedPages--
	}
	return progress
}

// RecordCounts returns the number of records received from each voter that has answered.
func (s *Sealing) RecordCounts() map[string]int {
	counts := map[string]int{}
	for name, state := range s.states {
		counts[name] = len(state.records)
	}
	return counts
}

// Outcome returns the records for the next generation and whether the generation has ended. If a
// majority has lost its state, no tenure is open in them: candidates must ask the servers again
// which one leads.
func (s *Sealing) Outcome() ([]Record, bool) {
	var recordSets [][]Record
	lost := 0
	for _, state := range s.states {
		switch {
		case state.normal && state.complete:
			recordSets = append(recordSets, state.list())
		case !state.normal && state.age >= StateLossAge:
			lost++
		}
	}
	if len(recordSets) >= s.table.Majority() {
		return MergeAll(recordSets), true
	}
	if len(s.table.Entries)-lost >= s.table.Majority() || len(recordSets)+lost < s.table.Majority() {
		return nil, false
	}
	return s.remainingRecords(recordSets), true
}

// Remaining returns the records for the next generation after this one was abandoned.
func (s *Sealing) Remaining() []Record {
	if records, ended := s.Outcome(); ended {
		return records
	}
	var recordSets [][]Record
	for _, state := range s.states {
		if state.normal && state.complete {
			recordSets = append(recordSets, state.list())
		}
	}
	return s.remainingRecords(recordSets)
}

// remainingRecords returns what remains of a generation whose majority is lost, or has lost its state: the
// highest known ballots and the targets of orders that may be in flight. The last primary is not
// known, since the lost voters may have made further decisions.
func (s *Sealing) remainingRecords(recordSets [][]Record) []Record {
	initial := make([]Record, len(s.table.Records))
	for i, record := range s.table.Records {
		// Orders from the start of the generation may have ended long ago.
		record.Ordering = false
		initial[i] = record
	}
	records := MergeAll(append(recordSets, initial))
	for i := range records {
		records[i].Open = false
		if !records[i].Ordering {
			records[i].Chosen = Tenure{}
		}
	}
	return records
}

func (s *sealedState) list() []Record {
	records := make([]Record, 0, len(s.records))
	for _, record := range s.records {
		records = append(records, record)
	}
	return records
}
