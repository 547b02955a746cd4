// Package quorum decides which server is the primary of each service on platforms that
// check no fencing tokens. A replaced primary keeps accepting work there, so an accepted
// transaction does not prove that its server is still the primary.
//
// A few nodes, the voters, are listed in a table in the durable store. Each voter keeps
// one record per service: the highest promised ballot and the tenure chosen under it. A
// ballot is the fencing token of a promotion. A tenure is a server's time as the primary
// under one ballot. Two operations need a majority of voters, and any two majorities share
// a voter:
//
//   - a lease to use the primary of an open tenure, for LeaseDuration from the time the
//     request was sent (Member);
//   - a change of the primary: a candidate prepares a ballot, which closes the tenure and
//     recalls its leases, chooses a target, and orders the promotion once a majority of
//     voters has no outstanding lease (Voter).
//
// An answer that arrives within the lease was therefore executed before any other server
// could be ordered to become the primary. Voter and Member are state machines: they take
// messages and the current time and return messages. They do no I/O and read no clock.
//
// Voters keep no state on disk. A restarted voter takes part only after it has copied the
// records of a majority of voters, itself not counted, and assumes that unknown leases are
// held for LeaseDuration. If a majority has lost its state, or a voter is gone permanently, the
// table moves to its next generation. A majority of the old generation is sealed first, so
// that nothing is decided in two generations. If a majority can't be sealed because voters are
// gone for good, the generation is abandoned (Supporter).
package quorum

import (
	"cmp"
	"slices"
	"time"
)

// generationShift reserves the lower bits of a ballot for the candidates of one generation.
// Ballots of a later generation are higher even if the earlier voters have lost their state.
const generationShift = 40

// LeastBallot returns the lowest ballot of the table's generation.
func (t *Table) LeastBallot() uint64 { return t.Generation << generationShift }

// Durations and sizes of the protocol.
const (
	// LeaseDuration is the duration of a lease. It bounds the wait for nodes that do not answer a
	// recall, and must be long enough to survive a few lost renewals.
	LeaseDuration = 1200 * time.Millisecond
	// RenewInterval is the interval between renewals. Two of five voters' answers may be lost.
	// A request that finds its leases expired asks for new ones immediately.
	RenewInterval = 800 * time.Millisecond
	// clockMargin is subtracted from a lease to allow for clocks that run at different rates.
	clockMargin = 20 * time.Millisecond
	// CandidateWindow is how long a voter reserves a service for the candidate it has last
	// promised to. A candidate sends an order within OrderWindow of its last quorum; the
	// remaining time is for the order's delivery.
	CandidateWindow = 1500 * time.Millisecond
	OrderWindow     = 700 * time.Millisecond
	// RecallInterval is the minimum delay before an unanswered recall is repeated.
	RecallInterval = 80 * time.Millisecond
	// AnswerWindow is how long a candidate counts the answers to one request. A restarted voter
	// accepts records of other voters only from this process age on: by then no answer of its
	// previous incarnation is counted any more, and the other voters know what was decided.
	AnswerWindow = 200 * time.Millisecond
	// StateLossAge is the process age from which voters without state may end a generation in
	// which a majority has lost its state: no answer of their previous incarnations is
	// counted any more. An order still in flight is then recorded in its sender's lease.
	StateLossAge = AnswerWindow
	// MaxVoters is the maximum number of voters in a table. Two of five may fail.
	MaxVoters = 5
	// UnconfirmedWindow is how long an order that was not answered may still be carried out.
	UnconfirmedWindow = 6 * time.Second
	// pageRecords is how many records one message carries: about a kilobyte, which fits into
	// a datagram. memberPageRecords is the limit for members that are not voters; their
	// records have fewer fields.
	pageRecords       = 12
	memberPageRecords = 20
)

// Tenure is a server's time as the primary of a service.
type Tenure struct {
	Ballot  uint64 `json:"ballot"`
	Primary string `json:"primary"`
}

// Candidate is a process that tries to change a primary.
type Candidate struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
}

// Record is a voter's record of a service.
type Record struct {
	Service string `json:"service"`
	// Revision increases with each change to any of the voter's records.
	Revision uint64 `json:"-"`
	// Promised is the highest promised ballot. Candidate is the process that prepared it; a
	// later process of the same node must not reuse the ballot.
	Promised  uint64    `json:"promised"`
	Candidate Candidate `json:"candidate"`
	// Chosen is the tenure chosen last. Ordering is set while an order to promote its primary
	// may be in flight; no other server may be promoted then.
	Chosen   Tenure `json:"chosen"`
	Ordering bool   `json:"ordering,omitempty"`
	// Open is set while the voter grants leases for the chosen tenure.
	Open bool `json:"open,omitempty"`
	// Term is the highest log term of a primary of an open tenure. A server that claims to be
	// the primary in an older term has been replaced.
	Term uint64 `json:"term,omitempty"`
	// Unconfirmed is the server of an order that may not have been answered. The order may be
	// carried out again within UnconfirmedWindow of the opening of its tenure.
	Unconfirmed string `json:"loose,omitempty"`
}

// merge combines two records of one service. Merging the records of a majority of voters
// gives a record that contains everything a majority has decided.
func merge(a, b Record) Record {
	merged := a
	if b.Promised > a.Promised {
		merged.Promised, merged.Candidate = b.Promised, b.Candidate
	}
	switch {
	case b.Chosen.Ballot > a.Chosen.Ballot:
		merged.Chosen, merged.Ordering, merged.Open = b.Chosen, b.Ordering, b.Open
	case b.Chosen.Ballot == a.Chosen.Ballot:
		// A voter that knows the outcome knows that no order is in flight.
		merged.Ordering = a.Ordering && b.Ordering
		merged.Open = a.Open || b.Open
	}
	merged.Term = max(a.Term, b.Term)
	merged.Unconfirmed = max(a.Unconfirmed, b.Unconfirmed)
	merged.Open = merged.Open && merged.Chosen.Ballot == merged.Promised
	return merged
}

// Merge combines a majority of voters' records of one service.
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

// MergeAll combines the records of several voters by service, sorted by service.
func MergeAll(recordSets [][]Record) []Record {
	byService := map[string][]Record{}
	for _, set := range recordSets {
		for _, record := range set {
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

// VoterEntry is a voter's entry in a table.
type VoterEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Incarnation is unique to the process that starts the generation with the table's records. A
	// later process of the same name recovers from the other voters.
	Incarnation uint64 `json:"life"`
}

// Table lists the voters of a generation. It is kept in the durable store.
type Table struct {
	// Generation increases with each table.
	Generation uint64       `json:"era"`
	Entries    []VoterEntry `json:"seats"`
	// StoreEra is the era of the store in which the table was written. A store restored from
	// an older copy of itself has lost tables of its earlier era.
	StoreEra uint64 `json:"store_era,omitempty"`
	// Records are what the voters start the generation with, Count is their number. Nodes
	// send each other the records of short tables only.
	Records []Record `json:"records,omitempty"`
	Count   int      `json:"count,omitempty"`
	// Supporters confirm to the voters that the generation goes on. Only voters and readers of the
	// store know them.
	Supporters []SupporterEntry `json:"supporters,omitempty" msgpack:"-"`
	// Abandoned is set in the store while the generation is being ended without a majority of its
	// voters.
	Abandoned bool `json:"abandoned,omitempty" msgpack:"-"`
}

// generationsPerStoreEra exceeds the number of tables that a store can lose when it is
// restored from a copy some seconds old: writing one takes at least a round trip to the
// store and one to the voters.
const generationsPerStoreEra = 64

// NextGeneration returns the number of the generation after this table, which may be nil, for a
// table that is written in storeEra. No table that the store has lost had that number: two tables
// of one number could list different voters.
func (t *Table) NextGeneration(storeEra uint64) uint64 {
	if t == nil {
		return 1 + generationsPerStoreEra*storeEra
	}
	return t.Generation + 1 + generationsPerStoreEra*(max(storeEra, t.StoreEra)-t.StoreEra)
}

// Majority returns the number of voters needed for a decision.
func (t *Table) Majority() int { return len(t.Entries)/2 + 1 }

// VoterEntry returns the entry of a voter, or nil if the node is not a voter.
func (t *Table) VoterEntry(name string) *VoterEntry {
	for i := range t.Entries {
		if t.Entries[i].Name == name {
			return &t.Entries[i]
		}
	}
	return nil
}

// Complete reports whether the table contains all its records.
func (t *Table) Complete() bool { return len(t.Records) == t.Count }

// ForNode returns the table to send to a node. It contains the supporters only if the node is a voter,
// and the records only if they are also few. Otherwise the node reads them from the store.
func (t *Table) ForNode(name string) *Table {
	isVoter := t.VoterEntry(name) != nil
	sent := &Table{Generation: t.Generation, Entries: t.Entries, StoreEra: t.StoreEra, Count: t.Count}
	if isVoter {
		sent.Supporters = t.Supporters
	}
	if isVoter && len(t.Records) <= pageRecords {
		sent.Records = t.Records
	}
	return sent
}
