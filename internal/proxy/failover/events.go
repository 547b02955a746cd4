package failover

import (
	"time"

	"dewknot/internal/base/era"
)

// Event is something that happened to a service or to a step of the machine.
type Event interface{ isEvent() }

// Observed is the node's regular look at the service.
type Observed struct{ Observation Observation }

// Corroborated answers Corroborate.
type Corroborated struct {
	// Asked counts the nodes that were asked, Answers those that answered and Reached
	// those that reach the primary.
	Asked   int `json:",omitempty"`
	Answers int
	Reached int
	// AskedElsewhere counts the nodes of other zones that were asked, ConfirmedElsewhere
	// those that answered and do not reach the primary.
	AskedElsewhere     int `json:",omitempty"`
	ConfirmedElsewhere int `json:",omitempty"`
	// HolderAnswered is set if one of the superiors was among them.
	HolderAnswered bool
}

// LeaseKnown is the lease object as read from the store.
type LeaseKnown struct {
	// Failed is set if the store gave no answer.
	Failed bool
	// Missing is set if there is no lease object yet.
	Missing  bool
	Revision era.Revision
	Lease    Lease
}

// WriteResult is the store's answer to a conditional write.
type WriteResult uint8

// The results of a conditional write.
const (
	Written WriteResult = iota
	// Superseded: another node wrote first.
	Superseded
	// Uncertain: the write may or may not have been done.
	Uncertain
)

// LeaseWritten answers WriteLease.
type LeaseWritten struct {
	Result   WriteResult
	Revision era.Revision
}

// StoreRestored tells that the store has come back from an older copy.
type StoreRestored struct{}

// Surveyed answers Survey with the reports of the servers that answered.
type Surveyed struct{ Reports []Report }

// Ordered answers Order.
type Ordered struct{ Outcome PromotionOutcome }

func (Observed) isEvent()      {}
func (Corroborated) isEvent()  {}
func (LeaseKnown) isEvent()    {}
func (LeaseWritten) isEvent()  {}
func (StoreRestored) isEvent() {}
func (Surveyed) isEvent()      {}
func (Ordered) isEvent()       {}

// Effect is something for the runtime to do. Each is answered by one event,
// except LeaderFound, Resume, Detour and ReclaimLease, which may be.
type Effect interface{ isEffect() }

// Corroborate asks other nodes whether they reach the primary, among them the holder
// of the lease and the deputies who act before this node.
type Corroborate struct {
	Server    string
	Superiors []string
}

// Detour tells that other nodes reach a server which this node does not: work for
// it can go through one of them.
type Detour struct{ Server string }

// ReadLease asks for the lease object; LeaseKnown answers it.
type ReadLease struct{}

// ReclaimLease asks for a lease object that this node held, soon; LeaseKnown tells it.
type ReclaimLease struct{}

// WriteLease creates the lease object, or replaces it at a revision.
type WriteLease struct {
	Create   bool
	Revision era.Revision
	Lease    Lease
	// Brief is set if something urgent waits for the answer, and goes on without it.
	Brief bool `json:",omitempty"`
}

// Survey asks all servers of the service, but one, for their status.
type Survey struct {
	Except string
	// Hold keeps the replicas from receiving until a promotion or Resume, so
	// that no commit can be acknowledged which the survey does not show.
	Hold bool
}

// Resume lets the replicas receive again after a survey that held them.
type Resume struct{}

// Order tells the platform to promote a server under a fencing token.
type Order struct {
	Target string
	Token  uint64
	// Within, if not zero, is within which time the order has to be sent: later, other
	// nodes may have agreed on another one.
	Within time.Duration `json:",omitempty"`
}

// LeaderFound tells that a server reports to be the primary.
type LeaderFound struct{ ID string }

func (Corroborate) isEffect()  {}
func (Detour) isEffect()       {}
func (ReadLease) isEffect()    {}
func (ReclaimLease) isEffect() {}
func (WriteLease) isEffect()   {}
func (Survey) isEffect()       {}
func (Resume) isEffect()       {}
func (Order) isEffect()        {}
func (LeaderFound) isEffect()  {}
