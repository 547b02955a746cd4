package trace

import (
	"io"
	"time"

	"dewknot/internal/proxy/failover"
)

// FailoverSettings are what a failover machine is made of.
type FailoverSettings struct {
	Node string        `json:"node"`
	Life string        `json:"life"`
	Rank time.Duration `json:"rank"`
	// Agreed is set if the nodes agree on tenures.
	Agreed bool `json:"agreed,omitempty"`
}

// FailoverWriter records a failover machine.
type FailoverWriter = Writer[failover.Event, failover.Effect]

// NewFailoverWriter begins the trace of a failover machine.
func NewFailoverWriter(out io.Writer, settings FailoverSettings) *FailoverWriter {
	return newWriter[failover.Event, failover.Effect](out, failovers.name, settings)
}

var failovers = kind[FailoverSettings, failover.Event, failover.Effect]{
	name: "failover",
	events: typesOf[failover.Event](
		failover.Observed{}, failover.Corroborated{}, failover.LeaseKnown{}, failover.LeaseWritten{}, failover.Surveyed{}, failover.Ordered{},
		failover.Prepared{}, failover.SteppedDown{}, failover.Held{}, failover.Cleared{}, failover.Led{}, failover.Opened{}, failover.StoreRestored{},
	),
	start: func(settings FailoverSettings) stepper[failover.Event, failover.Effect] {
		return failoverMachine{failover.New(failover.Config{Node: settings.Node, Life: settings.Life, Rank: settings.Rank, Agreed: settings.Agreed})}
	},
	note: func(result *Result, effects []failover.Effect) {
		for _, effect := range effects {
			if order, ok := effect.(failover.Order); ok {
				result.Orders = append(result.Orders, order)
			}
		}
	},
}

type failoverMachine struct{ machine *failover.Machine }

// Step implements stepper; the machine compares times only with each other.
func (f failoverMachine) Step(at time.Duration, event failover.Event) []failover.Effect {
	return f.machine.Step(time.Unix(0, 0).Add(at), event)
}
