package trace

import (
	"io"
	"time"

	"dewknot/internal/postgres/group"
)

// GroupWriter records a group's machine.
type GroupWriter = Writer[group.Event, group.Effect]

// NewGroupWriter begins the trace of a group's machine.
func NewGroupWriter(out io.Writer, settings group.Settings) *GroupWriter {
	return newWriter[group.Event, group.Effect](out, groups.name, settings)
}

var groups = kind[group.Settings, group.Event, group.Effect]{
	events: typesOf[group.Event](
		group.Arrive{}, group.Finish{}, group.StatusAnswer{}, group.StatusFailure{}, group.SessionEnd{}, group.Cancel{},
		group.Leaving{}, group.Accept{}, group.Resize{}, group.Fresh{}, group.Tick{},
	),
	start: func(settings group.Settings) stepper[group.Event, group.Effect] {
		return groupMachine{group.New(settings)}
	},
	note: func(result *Result, effects []group.Effect) {
		for _, effect := range effects {
			if reply, ok := effect.(group.Reply); ok {
				result.Outcomes = append(result.Outcomes, Outcome{Request: reply.ID.String(), Kind: reply.Kind, Server: reply.Server})
			}
		}
	},
}

type groupMachine struct{ machine *group.Machine }

// Step implements stepper.
func (g groupMachine) Step(at time.Duration, event group.Event) []group.Effect {
	return g.machine.Step(at, event)
}
