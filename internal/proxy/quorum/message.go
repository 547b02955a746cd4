package quorum

import "time"

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// Renew asks a voter for leases of all open tenures.
	Renew Kind = iota + 1
	// Granted answers Renew with the records changed since; unless More is set, it
	// grants leases.
	Granted
	// Push tells a member that a record has changed; with Recall it must be answered.
	Push
	// Released answers a recall: the member uses no tenure below Ballot any more.
	Released
	// Prepare asks a voter to promise a ballot and to close the tenure before it.
	Prepare
	// Promised answers Prepare with the voter's record.
	Promised
	// Cleared tells a candidate that the voter has no lease left of a closed tenure.
	Cleared
	// Choose asks a voter to hold the target of a ballot.
	Choose
	// Chosen answers Choose.
	Chosen
	// Open asks a voter to give leases for the chosen tenure.
	Open
	// Opened answers Open.
	Opened
	// Denied says that another ballot or candidate stands against a question.
	Denied
	// Unable says that the voter takes no part: it is of another era, it recovers,
	// or it is none.
	Unable
	// Seal asks a voter to end its part in an era and to tell its records.
	Seal
	// Sealed answers Seal.
	Sealed
	// Announce tells a newer table, without records.
	Announce
	// Inquire asks for the table; Announce answers it.
	Inquire
)

var kindNames = [...]string{
	"none", "renew", "granted", "push", "released", "prepare", "promised", "cleared", "choose", "chosen", "open", "opened",
	"denied", "unable", "seal", "sealed", "announce", "inquire",
}

// String returns the kind's name in logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// ForVoter reports whether a message is a question to a voter.
func (k Kind) ForVoter() bool {
	switch k {
	case Renew, Released, Prepare, Choose, Open, Seal:
		return true
	default:
		return false
	}
}

// Message is what nodes tell each other. Fields that a kind does not need are empty.
type Message struct {
	Kind Kind
	// From is the sender's name, Life unique to its process.
	From string
	Life uint64
	Era  uint64
	// Sequence is chosen by who asks and returned with the answer.
	Sequence uint64
	// Known is the revision up to which a member knows a voter's records, KnownLife
	// the life of the voter that it belongs to.
	Known     uint64
	KnownLife uint64
	// Revision is that of a voter's newest record told so far.
	Revision uint64
	// More is set if further records follow on the next question; with Seal, if several
	// messages may answer it. Each answer to Seal holds what follows the revision Known.
	More bool
	// Recall asks for an answer to Push.
	Recall   bool
	Service  string
	Ballot   uint64
	Primary  string
	Ordering bool
	// Term, with Open, is the term in which the primary leads.
	Term uint64
	// Loose, with Open, tells that an order was not answered; with Promised, LooseFor is
	// how long one for the record's loose server may still be carried out.
	Loose    bool
	LooseFor time.Duration
	// Clear is set if the voter has no lease left of a closed tenure.
	Clear bool
	// Normal is set if the voter has its memory; Age is its process's.
	Normal  bool
	Age     time.Duration
	Records []Record
	Table   *Table
}

// candidate is the process that sent a message.
func (m *Message) candidate() Candidate { return Candidate{m.From, m.Life} }

// Envelope is a message and the address of the node that it goes to.
type Envelope struct {
	To      string
	Message Message
}
