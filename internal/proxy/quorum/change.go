package quorum

import (
	"time"
)

// Sealing ends an era: it collects the records of sealed voters until no decision of
// the era can be made any more and all that were made are known.
type Sealing struct {
	table *Table
	parts map[string]*sealedPart
}

// sealedPart is what a sealed voter has told so far.
type sealedPart struct {
	life     uint64
	revision uint64
	normal   bool
	whole    bool
	age      time.Duration
	records  map[string]Record
	// awaited is how many pages the last question may still bring.
	awaited int
}

// sealPages is how many pages a sealed voter tells at one question: about 8 kB, so that 820
// services pass in nine round trips.
const sealPages = 8

// NewSealing returns the end of a table's era.
func NewSealing(table *Table) *Sealing {
	return &Sealing{table: table, parts: map[string]*sealedPart{}}
}

// Ends reports whether it is a table's era that ends.
func (s *Sealing) Ends(table *Table) bool { return s.table == table }

// Resume begins another attempt with the records that the voters have told. All have to answer
// again: one that has restarted since may have taken part in decisions.
func (s *Sealing) Resume() {
	for _, part := range s.parts {
		part.whole = false
	}
}

// Questions asks the voters that have not told all, and those without memory for
// their age.
func (s *Sealing) Questions(from string, life, sequence uint64) []Envelope {
	var out []Envelope
	for _, seat := range s.table.Seats {
		if part := s.parts[seat.Name]; part == nil || !part.whole || !part.normal {
			out = append(out, s.question(&seat, from, life, sequence))
		}
	}
	return out
}

// question asks a voter for the pages that follow those it has told.
func (s *Sealing) question(seat *Seat, from string, life, sequence uint64) Envelope {
	question := Message{Kind: Seal, From: from, Life: life, Era: s.table.Era, Sequence: sequence, More: true}
	if part := s.parts[seat.Name]; part != nil {
		question.Known, question.KnownLife = part.revision, part.life
		part.awaited = sealPages
	}
	return Envelope{seat.Address, question}
}

// Next asks the sender of an answer that was just taken for more, if it was the last one to its
// question.
func (s *Sealing) Next(m *Message, from string, life, sequence uint64) []Envelope {
	part, seat := s.parts[m.From], s.table.Seat(m.From)
	if part == nil || part.whole || part.awaited > 0 {
		return nil
	}
	return []Envelope{s.question(seat, from, life, sequence)}
}

// Take takes a voter's answer, and reports whether it has brought anything new.
func (s *Sealing) Take(m *Message) bool {
	if m.Kind != Sealed || m.Era != s.table.Era || s.table.Seat(m.From) == nil {
		return false
	}
	part := s.parts[m.From]
	if part == nil || part.life != m.Life {
		part = &sealedPart{life: m.Life, records: map[string]Record{}, awaited: sealPages}
		s.parts[m.From] = part
	}
	part.age, part.normal = m.Age, m.Normal
	if m.Known > part.revision || m.Revision < part.revision {
		// A page before it was lost, or it came late.
		return false
	}
	news := m.Revision > part.revision || part.whole == m.More
	for _, record := range m.Records {
		part.records[record.Service] = record
	}
	part.revision, part.whole = m.Revision, !m.More
	if news {
		part.awaited--
	}
	return news
}

// Told returns how many records each voter that has answered has told.
func (s *Sealing) Told() map[string]int {
	told := map[string]int{}
	for name, part := range s.parts {
		told[name] = len(part.records)
	}
	return told
}

// Outcome returns the records for the next era and whether the era has ended. If a
// majority has lost its memory, no tenure is open in them: candidates have to ask the
// servers again who leads.
func (s *Sealing) Outcome() ([]Record, bool) {
	var holdings [][]Record
	lost := 0
	for _, part := range s.parts {
		switch {
		case part.normal && part.whole:
			holdings = append(holdings, part.list())
		case !part.normal && part.age >= LostSpan:
			lost++
		}
	}
	if len(holdings) >= s.table.Majority() {
		return MergeAll(holdings), true
	}
	if len(s.table.Seats)-lost >= s.table.Majority() || len(holdings)+lost < s.table.Majority() {
		return nil, false
	}
	return s.remains(holdings), true
}

// remains returns what is left of an era of which a majority has lost its memory: the
// highest ballots known, and targets whose orders may be on their way. Who led last is
// not known: the lost may have decided more.
func (s *Sealing) remains(holdings [][]Record) []Record {
	beginning := make([]Record, len(s.table.Records))
	for i, record := range s.table.Records {
		// What the era began with may be long over, orders included.
		record.Ordering = false
		beginning[i] = record
	}
	records := MergeAll(append(holdings, beginning))
	for i := range records {
		records[i].Open = false
		if !records[i].Ordering {
			records[i].Chosen = Tenure{}
		}
	}
	return records
}

func (p *sealedPart) list() []Record {
	records := make([]Record, 0, len(p.records))
	for _, record := range p.records {
		records = append(records, record)
	}
	return records
}
