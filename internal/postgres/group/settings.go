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
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
	Discipline fairqueue.Discipline
	// PollInterval is the time between status queries to an idle group. ChangePoll
	// replaces it while the group has no usable primary or the server is unfit.
	PollInterval time.Duration
	ChangePoll   time.Duration
	// AskSpacing is the minimum time between two status queries to one server.
	AskSpacing time.Duration
	// AskTimeout is the timeout of a status query.
	AskTimeout time.Duration
	// ConfirmLimit is the timeout of a confirmation, after which the outcome is
	// reported as unknown.
	ConfirmLimit time.Duration
	// LeavingGrace is how long open transactions may continue at a leaving server.
	LeavingGrace time.Duration
	// NeedsFresh makes new work wait unless Fresh events arrive regularly.
	NeedsFresh bool
	// Mutations disable single mechanisms; only tests of checkers set them.
	Mutations Mutations
}

// Mutations each disable one mechanism of the machine, to test that a checker detects
// it. They can't be set in a settings file.
type Mutations struct {
	// SkipConfirm acknowledges commits without confirmation by a majority.
	SkipConfirm bool
	// SkipFloor lets any replica serve any read.
	SkipFloor bool
	// SkipClean lets servers that may have a divergent tail serve reads.
	SkipClean bool
	// RetryLostWrites runs a write again when its outcome is unknown.
	RetryLostWrites bool
	// LostIsNotRun reports lost writes as not run.
	LostIsNotRun bool
	// IgnoreLeaving gives new work to leaving servers.
	IgnoreLeaving bool
}

// DefaultSettings returns the settings for a group of three servers with 5 slots and 40
// connections each.
func DefaultSettings() Settings {
	return Settings{
		Servers: 3, Slots: 5, Connections: 40, QueueLimit: 512,
		PollInterval: 500 * time.Millisecond, ChangePoll: 50 * time.Millisecond,
		AskSpacing: 2 * time.Millisecond, AskTimeout: 500 * time.Millisecond,
		ConfirmLimit: 2 * time.Second, LeavingGrace: 3 * time.Second,
	}
}

// Consecutive failures that make a server unfit, and consecutive answers that make it
// fit again.
const (
	failuresToUnfit = 2
	answersToFit    = 3
)

// maxRunAttempts is the maximum number of times that a request is started on servers.
const maxRunAttempts = 4
