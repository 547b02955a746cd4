package trace

import (
	"io"
	"time"

	"dewknot/internal/proxy/failover"
)

// FailoverSettings are the settings of a failover machine.
type FailoverSettings struct {
	Node        string        `json:"node"`
	Incarnation string        `json:"life"`
	RankDelay   time.Duration `json:"rank"`
	// UsesTenures is set if nodes use agreed tenures.
	UsesTenures bool `json:"agreed,omitempty"`
}

// FailoverWriter records the steps of a failover machine.
type FailoverWriter = Writer[failover.Event, failover.Effect]

// NewFailoverWriter returns a writer that records a failover machine to out.
func NewFailoverWriter(out io.Writer, settings FailoverSettings) *FailoverWriter {
	return newWriter[failover.Event, failover.Effect](out, failoverKind.name, settings)
}

var failoverKind = kind[FailoverSettings, failover.Event, failover.Effect]{
	name: "failover",
	events: typesByName[failover.Event](
		failover.Observed{}, failover.Corroborated{}, failover.LeaseKnown{}, failover.LeaseWritten{},
		failover.Surveyed{}, failover.Ordered{}, failover.Prepared{}, failover.SteppedDown{},
		failover.Held{}, failover.Cleared{}, failover.Led{}, failover.Opened{}, failover.StoreRestored{},
	),
	newMachine: func(settings FailoverSettings) stepper[failover.Event, failover.Effect] {
		return failoverMachine{failover.New(failover.Config{
			Node: settings.Node, Incarnation: settings.Incarnation, RankDelay: settings.RankDelay, UsesTenures: settings.UsesTenures,
		})}
	},
	record: func(result *Result, effects []failover.Effect) {
		for _, effect := range effects {
			if order, ok := effect.(failover.Order); ok {
				result.Orders = append(result.Orders, order)
			}
		}
	},
}

// failoverMachine is a failover.Machine with times as durations since an arbitrary start. The
// machine only compares times with each other.
type failoverMachine struct{ machine *failover.Machine }

// Step implements stepper.
func (f failoverMachine) Step(at time.Duration, event failover.Event) []failover.Effect {
	return f.machine.Step(time.Unix(0, 0).Add(at), event)
}
