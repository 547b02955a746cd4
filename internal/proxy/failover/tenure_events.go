package failover

import (
	"time"

	"dewknot/internal/base/position"
)

// The effects and events of a change of the primary by agreement; see tenure.go.

// Prepare asks the voters to promise a ballot, which closes the present tenure.
type Prepare struct{ Ballot uint64 }

// Prepared answers Prepare.
type Prepared struct {
	Agreed bool
	// Highest is the highest known ballot. Busy is set if another candidate has recently been
	// promised one.
	Highest uint64
	Busy    bool
	// Bound is a server whose order, under BoundBallot, may be pending, or "" if there is none.
	Bound       string
	BoundBallot uint64
	// Settled is the primary of the last tenure that was chosen, if no order is pending. It is ""
	// if the voters do not remember it.
	Settled string
	// Term is the highest term in which a server is known to have been the primary.
	Term uint64
	// LooseFor is how long an unconfirmed order for the server Loose may still be carried out. No
	// other server must be ordered before.
	Loose    string
	LooseFor time.Duration
}

// StepDown tells the primary to give up its role, through any node that reaches it.
type StepDown struct{ Server string }

// SteppedDown answers StepDown.
type SteppedDown struct {
	Server string
	// Done is set if the server has confirmed that it is no longer the primary; Received is then
	// the end of its log.
	Done     bool
	Received position.Position
}

// Choose asks the voters to accept the target of a ballot.
type Choose struct {
	Ballot uint64
	Target string
	// Ordering is set if an order to promote the target follows.
	Ordering bool
}

// Held answers Choose.
type Held struct{ Agreed bool }

// AwaitClear waits until no lease of the closed tenure is left.
type AwaitClear struct{ Ballot uint64 }

// Cleared answers AwaitClear.
type Cleared struct {
	// Ballot is that of AwaitClear; 0 in traces of earlier versions.
	Ballot uint64 `json:",omitempty"`
	Agreed bool
	// Age is how long ago the voters were asked whose agreement counts.
	Age time.Duration `json:",omitempty"`
}

// AwaitLead waits until a server that was ordered is the primary in a term of at least Least. In
// a lower term it is a replaced primary that still claims the role.
type AwaitLead struct {
	Target string
	Least  uint64
	Limit  time.Duration
}

// Led answers AwaitLead.
type Led struct {
	Leads bool
	// Term is the term in which the server is the primary.
	Term uint64
}

// Open opens the tenure of a ballot, with the term of its primary.
type Open struct {
	Ballot  uint64
	Primary string
	Term    uint64
	// Loose is set if an order for the primary may not have been answered.
	Loose bool
}

// Opened answers Open.
type Opened struct{ Agreed bool }

func (Prepared) isEvent()    {}
func (SteppedDown) isEvent() {}
func (Held) isEvent()        {}
func (Cleared) isEvent()     {}
func (Led) isEvent()         {}
func (Opened) isEvent()      {}

func (Prepare) isEffect()    {}
func (StepDown) isEffect()   {}
func (Choose) isEffect()     {}
func (AwaitClear) isEffect() {}
func (AwaitLead) isEffect()  {}
func (Open) isEffect()       {}
