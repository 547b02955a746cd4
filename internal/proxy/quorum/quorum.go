// Package quorum agrees which server is the primary of each service, where a
// replaced primary goes on accepting work: on platforms that check no fencing
// tokens, an accepted transaction proves nothing.
//
// A few nodes, the voters, are named in a table of the durable store. Each holds
// the same record a service: the highest ballot promised, and the tenure chosen
// under it. A ballot is the fencing token of a promotion; a tenure is a server's
// time as the primary under one ballot. Two things need a majority of voters, and
// any two majorities share a voter:
//
//   - a lease to use the primary of an open tenure, for LeaseSpan from the time the
//     request for it was sent (Member);
//   - a change of the primary: a candidate prepares a ballot, which closes the
//     tenure and recalls the leases, chooses a target, and orders it once a majority
//     of voters has no lease left (Voter).
//
// So an answer that arrived within the lease was run before any other server could
// be ordered to lead. Voters and Member are reducers: messages with their time go
// in, messages go out. Nothing here does I/O or reads a clock.
//
// Voters have no disk. One that restarts takes no part until it has copied the
// records of a majority of the others, and counts unknown leases as held for
// LeaseSpan. If a majority has lost its memory, or a voter is gone for good, the
// table moves to its next era: a majority of the old era is sealed first, so that
// nothing is decided in two eras.
package quorum

import (
	"cmp"
	"slices"
	"time"
)

// eraShift leaves the lower bits of a ballot to the candidates of an era: ballots of a
// later era are higher, also if the voters of the one before have lost their memory.
const eraShift = 40

// LeastBallot returns the lowest ballot of the table's era.
func (t *Table) LeastBallot() uint64 { return t.Era << eraShift }

// Times and sizes of the protocol.
const (
	// LeaseSpan is how long a lease runs. It bounds the wait for nodes that do not
	// answer a recall, and must outlast a few lost renewals.
	LeaseSpan = 1200 * time.Millisecond
	// RenewInterval is the pause between renewals. Of five voters' answers two may be lost;
	// a request that finds its leases run out asks for new ones at once.
	RenewInterval = 800 * time.Millisecond
	// clockMargin is kept of a lease for clocks that tick at different rates.
	clockMargin = 20 * time.Millisecond
	// CandidateSpan is how long a voter leaves a matter to the candidate to whom it
	// has last promised. An order is sent within OrderWindow of the candidate's last
	// quorum; the rest is for the order's way.
	CandidateSpan = 1500 * time.Millisecond
	OrderWindow   = 700 * time.Millisecond
	// RecallInterval is the shortest pause until a recall that was not answered is repeated.
	RecallInterval = 80 * time.Millisecond
	// CountSpan is how long a candidate counts the answers to one question. A voter that
	// has lost its memory takes the others' records from that age on: what its earlier
	// process had answered is counted, and known to the others, by then.
	CountSpan = 200 * time.Millisecond
	// LostSpan is the age from which processes without memory may end an era of which
	// a majority has none: no answer of their earlier processes counts any more. An order
	// that is on its way then stands in the lease of the one who gave it.
	LostSpan = CountSpan
	// MaxVoters is the most voters of a table. Two of five may be lost.
	MaxVoters = 5
	// LooseSpan is how long an order that was not answered may still be carried out.
	LooseSpan = 6 * time.Second
	// pageRecords is how many records one message carries: about a kilobyte, which
	// fits into a datagram. briefRecords is the same for members that are no voters, who
	// need less of each.
	pageRecords  = 12
	briefRecords = 20
)

// Tenure is a server's time as the primary of a service.
type Tenure struct {
	Ballot  uint64 `json:"ballot"`
	Primary string `json:"primary"`
}

// Candidate is a process that changes a primary.
type Candidate struct {
	Name string `json:"name"`
	Life uint64 `json:"life"`
}

// Record is what a voter holds of a service.
type Record struct {
	Service string `json:"service"`
	// Revision rises with each change of any of the voter's records.
	Revision uint64 `json:"-"`
	// Promised is the highest ballot promised, Candidate the process that prepared it: a
	// later one of the same node must not use it again.
	Promised  uint64    `json:"promised"`
	Candidate Candidate `json:"candidate"`
	// Chosen is the tenure last chosen. Ordering is set while an order for its
	// primary may be on its way; no other server may be ordered then.
	Chosen   Tenure `json:"chosen"`
	Ordering bool   `json:"ordering,omitempty"`
	// Open is set while leases are given for the chosen tenure.
	Open bool `json:"open,omitempty"`
	// Term is the highest term of the log in which a primary of an open tenure led. A
	// server that says that it leads in an older one has been replaced.
	Term uint64 `json:"term,omitempty"`
	// Loose is a server for which an order was not answered: it may be carried out once
	// more, within LooseSpan of the opening of its tenure.
	Loose string `json:"loose,omitempty"`
}

// merge combines records of one service from a majority of voters into one that
// holds all that a majority decided.
func merge(a, b Record) Record {
	merged := a
	if b.Promised > a.Promised {
		merged.Promised, merged.Candidate = b.Promised, b.Candidate
	}
	switch {
	case b.Chosen.Ballot > a.Chosen.Ballot:
		merged.Chosen, merged.Ordering, merged.Open = b.Chosen, b.Ordering, b.Open
	case b.Chosen.Ballot == a.Chosen.Ballot:
		// One that was told of the outcome knows that no order is on its way.
		merged.Ordering = a.Ordering && b.Ordering
		merged.Open = a.Open || b.Open
	}
	merged.Term = max(a.Term, b.Term)
	merged.Loose = max(a.Loose, b.Loose)
	merged.Open = merged.Open && merged.Chosen.Ballot == merged.Promised
	return merged
}

// Merge combines the records of one service that a majority of voters hold.
func Merge(records []Record) Record {
	var merged Record
	for _, record := range records {
		if merged.Service == "" {
			merged = record
			continue
		}
		merged = merge(merged, record)
	}
	return merged
}

// MergeAll combines the records of several voters by service, in a fixed order.
func MergeAll(holdings [][]Record) []Record {
	byService := map[string][]Record{}
	for _, held := range holdings {
		for _, record := range held {
			byService[record.Service] = append(byService[record.Service], record)
		}
	}
	merged := make([]Record, 0, len(byService))
	for _, records := range byService {
		merged = append(merged, Merge(records))
	}
	slices.SortFunc(merged, func(a, b Record) int { return cmp.Compare(a.Service, b.Service) })
	return merged
}

// Seat is a voter's entry in a table.
type Seat struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Life is unique to the process that begins the era with the table's records.
	// A later process of the name recovers from the others.
	Life uint64 `json:"life"`
}

// Table names the voters of an era. It lies in the durable store.
type Table struct {
	Era   uint64 `json:"era"`
	Seats []Seat `json:"seats"`
	// StoreEra is the era of the store in which the table was written. A store that comes
	// back from an older copy of itself has lost tables of its earlier era.
	StoreEra uint64 `json:"store_era,omitempty"`
	// Records are what the voters begin the era with, Count how many there are: nodes
	// tell each other only short tables whole.
	Records []Record `json:"records,omitempty"`
	Count   int      `json:"count,omitempty"`
}

// lostTables is more than the tables that a store can lose which comes back from a copy some
// seconds old: each takes a round trip to the store and one to the voters at least.
const lostTables = 64

// NextEra returns the number of the table that follows this one, nil if there is none, when
// it is written in an era of the store. No table that the store has lost had that number: two
// tables of one number could have different voters.
func (t *Table) NextEra(storeEra uint64) uint64 {
	if t == nil {
		return 1 + lostTables*storeEra
	}
	return t.Era + 1 + lostTables*(max(storeEra, t.StoreEra)-t.StoreEra)
}

// Majority is how many voters decide.
func (t *Table) Majority() int { return len(t.Seats)/2 + 1 }

// Seat returns the entry of a voter, nil if it is none.
func (t *Table) Seat(name string) *Seat {
	for i := range t.Seats {
		if t.Seats[i].Name == name {
			return &t.Seats[i]
		}
	}
	return nil
}

// Whole reports whether the table has its records.
func (t *Table) Whole() bool { return len(t.Records) == t.Count }

// Told returns the table as a node is told it: with its records only if they are few, and
// the node is a voter, who begins the era with them. They come from the store else.
func (t *Table) Told(name string) *Table {
	if len(t.Records) == 0 || (len(t.Records) <= pageRecords && t.Seat(name) != nil) {
		return t
	}
	return &Table{Era: t.Era, Seats: t.Seats, StoreEra: t.StoreEra, Count: t.Count}
}
