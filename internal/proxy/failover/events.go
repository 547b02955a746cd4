package failover

import (
	"time"

	"dewknot/internal/base/era"
)

// Event is an observation of a service, or the result of an effect. Recorded traces contain the
// names of events, effects and their fields.
type Event interface{ isEvent() }

// Observed is the node's periodic observation of the service.
type Observed struct{ Observation Observation }

// Corroborated answers Corroborate.
type Corroborated struct {
	// Asked is the number of nodes that were asked, Answers of those that answered, and Reached
	// of those that reach the primary.
	Asked   int `json:",omitempty"`
	Answers int
	Reached int
	// AskedElsewhere is the number of nodes in other zones that were asked, ConfirmedElsewhere of
	// those that answered and do not reach the primary.
	AskedElsewhere     int `json:",omitempty"`
	ConfirmedElsewhere int `json:",omitempty"`
	// HolderAnswered is set if one of the superiors answered.
	HolderAnswered bool
}

// LeaseKnown is the lease object as read from the store.
type LeaseKnown struct {
	// Failed is set if the store did not answer.
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
	// Uncertain: the write may or may not have been applied.
	Uncertain
)

// LeaseWritten answers WriteLease.
type LeaseWritten struct {
	Result   WriteResult
	Revision era.Revision
}

// StoreRestored reports that the store was restored from an older copy.
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

// Effect is an action for the runtime. Each is answered by one event, except LeaderFound, Resume,
// Detour and ReclaimLease, whose answer is optional.
type Effect interface{ isEffect() }

// Corroborate asks other nodes whether they reach the primary, including the lease holder and the
// deputies that act before this node.
type Corroborate struct {
	Server    string
	Superiors []string
}

// Detour reports that other nodes reach a server that this node does not reach: requests for it
// can take an indirect path through one of them.
type Detour struct{ Server string }

// ReadLease asks for the lease object; LeaseKnown answers it.
type ReadLease struct{}

// ReclaimLease asks to read a lease object that this node held, soon; LeaseKnown answers it.
type ReclaimLease struct{}

// WriteLease creates the lease object, or replaces it if it still has the given revision.
type WriteLease struct {
	Create   bool
	Revision era.Revision
	Lease    Lease
	// Brief is set if an urgent step waits for the answer and continues without it.
	Brief bool `json:",omitempty"`
}

// Survey asks all servers of the service except one for their status. Those of a service with
// synchronous replicas that left the directory recently are asked too.
type Survey struct {
	Except string
	// Only is the one server that is asked, or "" if all are.
	Only string `json:",omitempty"`
	// Hold stops the replicas from receiving until a promotion or Resume, so that no commit can
	// be acknowledged that the survey does not show.
	Hold bool
}

// Resume lets the replicas receive again after a survey that held them.
type Resume struct{}

// Order tells the platform to promote a server under a fencing token.
type Order struct {
	Target string
	Token  uint64
	// Within, if not zero, is the time in which the order has to be sent. Later, other nodes may
	// have agreed on another order.
	Within time.Duration `json:",omitempty"`
}

// LeaderFound reports a server that claims to be the primary.
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
