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
}

// NewSealing returns the end of a table's era.
func NewSealing(table *Table) *Sealing {
	return &Sealing{table: table, parts: map[string]*sealedPart{}}
}

// Questions asks the voters that have not told all, and those without memory for
// their age.
func (s *Sealing) Questions(from string, life, sequence uint64) []Envelope {
	var out []Envelope
	for _, seat := range s.table.Seats {
		part := s.parts[seat.Name]
		if part != nil && part.whole && part.normal {
			continue
		}
		question := Message{Kind: Seal, From: from, Life: life, Era: s.table.Era, Sequence: sequence}
		if part != nil {
			question.Known, question.KnownLife = part.revision, part.life
		}
		out = append(out, Envelope{seat.Address, question})
	}
	return out
}

// Take takes a voter's answer.
func (s *Sealing) Take(m *Message) {
	if m.Kind != Sealed || m.Era != s.table.Era || s.table.Seat(m.From) == nil {
		return
	}
	part := s.parts[m.From]
	if part == nil || part.life != m.Life {
		part = &sealedPart{life: m.Life, records: map[string]Record{}}
		s.parts[m.From] = part
	}
	part.age, part.normal = m.Age, m.Normal
	if m.Revision < part.revision {
		return
	}
	for _, record := range m.Records {
		part.records[record.Service] = record
	}
	part.revision, part.whole = m.Revision, !m.More
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
