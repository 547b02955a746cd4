package quorum

import "time"

// Kind is the type of a message.
type Kind uint8

// The kinds of messages.
const (
	// Renew requests leases of all open tenures from a voter.
	Renew Kind = iota + 1
	// Granted answers Renew with the records changed since. It grants leases unless More is set.
	Granted
	// Push sends changed records to a member, which must answer if Recall is set.
	Push
	// Released answers a recall: the member no longer uses tenures below Ballot.
	Released
	// Prepare asks a voter to promise a ballot and to close the previous tenure.
	Prepare
	// Promised answers Prepare with the voter's record.
	Promised
	// Cleared notifies a candidate that the voter has no outstanding lease of a closed tenure.
	Cleared
	// Choose asks a voter to record the target of a ballot.
	Choose
	// Chosen answers Choose.
	Chosen
	// Open asks a voter to grant leases for the chosen tenure.
	Open
	// Opened answers Open.
	Opened
	// Denied rejects a request because of another ballot or candidate.
	Denied
	// Unable says that the voter does not take part: it has another generation, is recovering, is
	// sealed, or is not a voter.
	Unable
	// Seal asks a voter to stop taking part in a generation and to send its records.
	Seal
	// Sealed answers Seal.
	Sealed
	// Announce sends a newer table, possibly without its records.
	Announce
	// Inquire requests the table; Announce answers it.
	Inquire
	// Support asks a supporter whether it supports the voter's generation.
	Support
	// Supported answers Support. There is no answer if the generation is not supported.
	Supported
	// Abandon asks a supporter whether it agrees to abandon a generation. With Ordering it promises to.
	Abandon
	// AbandonAgreed answers Abandon.
	AbandonAgreed
)

var kindNames = [...]string{
	"none", "renew", "granted", "push", "released", "prepare", "promised", "cleared", "choose", "chosen", "open", "opened",
	"denied", "unable", "seal", "sealed", "announce", "inquire", "support", "supported", "abandon", "abandon_agreed",
}

// String returns the kind's name for logs.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// ForVoter reports whether a message is a request to a voter.
func (k Kind) ForVoter() bool {
	switch k {
	case Renew, Released, Prepare, Choose, Open, Seal, Supported:
		return true
	default:
		return false
	}
}

// Message is a message between nodes. Fields that a kind does not use are empty. It is encoded
// as an array, so the order of the fields is fixed.
type Message struct {
	Kind Kind
	// From is the sender's name.
	From string
	// Incarnation is unique to the sender's process.
	Incarnation uint64
	Generation  uint64
	// Sequence is chosen by the requester and returned with the answer.
	Sequence uint64
	// KnownRevision is the revision up to which a member knows a voter's records. KnownIncarnation
	// is the voter's incarnation to which that revision belongs.
	KnownRevision    uint64
	KnownIncarnation uint64
	// Revision is the revision up to which the voter's records have been sent.
	Revision uint64
	// More is set if the next request will bring further records. With Seal, it allows several
	// messages as the answer. Each answer to Seal holds the records after the known revision.
	More bool
	// Recall requires an answer to Push.
	Recall   bool
	Service  string
	Ballot   uint64
	Primary  string
	Ordering bool
	// Term is, with Open, the primary's log term.
	Term uint64
	// Unconfirmed is set, with Open, if an order for the primary may not have been answered.
	// UnconfirmedFor is, with Promised, how long the unconfirmed order in the record may still be
	// carried out.
	Unconfirmed    bool
	UnconfirmedFor time.Duration
	// Clear is set if the voter has no outstanding lease of a closed tenure.
	Clear bool
	// Normal is set if the voter has its state. Age is the age of its process.
	Normal  bool
	Age     time.Duration
	Records []Record
	Table   *Table
	// Leaving is set, with Announce, if the sender stops and can't become a voter.
	Leaving bool `msgpack:"-"`
	// NeedsSupport is set, with Announce, if the sender's voter acts only while its generation is
	// supported.
	NeedsSupport bool `msgpack:"-"`
}

// messageExtension holds the fields of Message and its table that earlier versions don't have.
type messageExtension struct {
	Leaving      bool
	NeedsSupport bool
	Supporters   []SupporterEntry
}

// Extension implements codec.Extended.
func (m *Message) Extension() any {
	extension := &messageExtension{Leaving: m.Leaving, NeedsSupport: m.NeedsSupport}
	if m.Table != nil {
		extension.Supporters = m.Table.Supporters
	}
	if !extension.Leaving && !extension.NeedsSupport && len(extension.Supporters) == 0 {
		return nil
	}
	return extension
}

// Extend implements codec.Extended.
func (m *Message) Extend(decode func(extension any) error) error {
	var extension messageExtension
	if err := decode(&extension); err != nil {
		return err
	}
	m.Leaving, m.NeedsSupport = extension.Leaving, extension.NeedsSupport
	if m.Table != nil {
		m.Table.Supporters = extension.Supporters
	}
	return nil
}

// candidate returns the process that sent the message.
func (m *Message) candidate() Candidate { return Candidate{m.From, m.Incarnation} }

// Envelope is a message with the address of its receiver.
type Envelope struct {
	To      string
	Message Message
}
