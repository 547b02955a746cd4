package trace

import (
	"io"
	"time"

	"dewknot/internal/postgres/group"
)

// GroupWriter records the steps of a group's machine.
type GroupWriter = Writer[group.Event, group.Effect]

// NewGroupWriter returns a writer that records a group's machine to out.
func NewGroupWriter(out io.Writer, settings group.Settings) *GroupWriter {
	return newWriter[group.Event, group.Effect](out, groupKind.name, settings)
}

var groupKind = kind[group.Settings, group.Event, group.Effect]{
	events: typesByName[group.Event](
		group.Arrive{}, group.Finish{}, group.StatusAnswer{}, group.StatusFailure{},
		group.SessionEnd{}, group.Cancel{}, group.Leaving{}, group.Accept{}, group.Resize{},
		group.Fresh{}, group.Tick{},
	),
	newMachine: func(settings group.Settings) stepper[group.Event, group.Effect] {
		return groupMachine{group.New(settings)}
	},
	record: func(result *Result, effects []group.Effect) {
		for _, effect := range effects {
			if reply, ok := effect.(group.Reply); ok {
				result.Outcomes = append(result.Outcomes,
					Outcome{Request: reply.ID.String(), Kind: reply.Kind, Server: reply.Server})
			}
		}
	},
}

// groupMachine adapts group.Machine to stepper.
type groupMachine struct{ machine *group.Machine }

// Step implements stepper.
func (g groupMachine) Step(at time.Duration, event group.Event) []group.Effect {
	return g.machine.Step(at, event)
}
