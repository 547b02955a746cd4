package group

import (
	"time"

	"dewknot/internal/postgres/fairqueue"
)

// Settings are the limits and intervals of a machine.
type Settings struct {
	// Servers is the number of servers in the group.
	Servers int
	// Slots and Connections are this owner's share of each server's limits.
	Slots       int
	Connections int
	// QueueLimit bounds the number of waiting requests.
	QueueLimit int
	Discipline fairqueue.Discipline
	// PollInterval is the time between status questions when nothing needs them;
	// ChangePoll replaces it while the group has no usable primary.
	PollInterval time.Duration
	ChangePoll   time.Duration
	// AskSpacing is the least time between two questions to one server.
	AskSpacing time.Duration
	// AskTimeout is after how long a question counts as unanswered.
	AskTimeout time.Duration
	// ConfirmLimit is how long an answer waits for its confirmation before the
	// outcome is reported as unknown.
	ConfirmLimit time.Duration
	// LeavingGrace is how long open transactions may go on at a leaving server.
	LeavingGrace time.Duration
	// NeedsFresh makes new work wait unless Fresh events arrive regularly.
	NeedsFresh bool
	// Mutations switch single mechanisms off; only tests of checkers set them.
	Mutations Mutations
}

// Mutations break one mechanism of the machine each, to prove that a checker
// notices. No settings file reaches them.
type Mutations struct {
	// SkipConfirm acknowledges commits on the back end's word alone.
	SkipConfirm bool
	// SkipFloor lets any replica serve any read.
	SkipFloor bool
	// SkipClean lets servers that may hold a divergent tail serve reads.
	SkipClean bool
	// RetryLostWrites runs a write again when its outcome is unknown.
	RetryLostWrites bool
	// LostIsNotRun reports lost writes as not run.
	LostIsNotRun bool
	// IgnoreLeaving gives new work to leaving servers.
	IgnoreLeaving bool
}

// DefaultSettings returns the settings for a group of three servers with the
// limits of one of today's booking databases.
func DefaultSettings() Settings {
	return Settings{
		Servers: 3, Slots: 5, Connections: 40, QueueLimit: 512,
		PollInterval: 500 * time.Millisecond, ChangePoll: 50 * time.Millisecond,
		AskSpacing: 2 * time.Millisecond, AskTimeout: 500 * time.Millisecond,
		ConfirmLimit: 2 * time.Second, LeavingGrace: 3 * time.Second,
	}
}

// Hysteresis of a server's fitness: failures in a row that make it unfit, and
// answers in a row that make it fit again.
const (
	failuresToUnfit = 2
	answersToFit    = 3
)

// maxRunAttempts bounds how often one request is started on servers.
const maxRunAttempts = 4
