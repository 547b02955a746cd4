// Package sim simulates a whole fleet in one process on virtual time: the nodes with their
// real state machines, database servers that replicate by the model of package replication, an
// object store, callers and a network with faults.
//
// Everything runs in one goroutine, in the order of an event queue, and all randomness comes
// from seeded generators. The same settings therefore give the same history, byte for byte.
package sim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"dewknot/internal/lab/history"
	"dewknot/internal/lab/trace"
	"dewknot/internal/lab/virtualtime"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/policy"
)

// Settings describe one simulated run.
type Settings struct {
	Seed     uint64
	Duration time.Duration
	// Zones lists the zones in which nodes and servers are placed, in round-robin order.
	Zones []Zone
	// InZone, BetweenZones, BetweenRegions and ToClients are one-way delays.
	InZone, BetweenZones, BetweenRegions, ToClients time.Duration
	Nodes                                           int
	Groups                                          int
	Slots, Connections                              int
	ConnectCost                                     time.Duration
	// ReadTime and WriteTime are the mean times for which statements occupy a slot.
	ReadTime, WriteTime time.Duration
	ElectionDelay       time.Duration
	// ReceiveDelay is the replication delay in addition to the network's delay.
	ReceiveDelay time.Duration
	Workload     Workload
	Faults       []Fault
	// DatagramLoss and Duplicates are probabilities.
	DatagramLoss, Duplicates float64
	Table                    policy.Table
	// Trace, if set, records the machine of group0 at the first node that owns it.
	Trace io.Writer
	Group group.Settings
	// Mutations break single mechanisms. Only tests of the checker set them.
	Mutations Mutations
}

// Mutations each break one mechanism outside the group's state machine.
type Mutations struct {
	// IgnoreStaleness lets nodes begin new work with arbitrarily old configuration.
	IgnoreStaleness bool
	// SharePinned gives a transaction's connection to other sessions.
	SharePinned bool
	// MixAnswers sends some answers to the wrong session.
	MixAnswers bool
	// DropOnStop stops nodes without draining.
	DropOnStop bool
	// AcceptOlder merges older versions of the configuration over newer ones.
	AcceptOlder bool
}

// Zone is a zone in which nodes and servers run.
type Zone struct {
	Name   string
	Region string
}

// World is one simulated run.
type World struct {
	virtualtime.Scheduler
	settings    Settings
	random      *rand.Rand
	network     *network
	nodes       []*node
	groups      []*databaseGroup
	store       *objectStore
	history     *history.History
	changeCount uint64
	// callersStopAt is the time at which callers stop. In the rest of the run the fleet
	// settles.
	callersStopAt time.Duration
	tracer        *trace.GroupWriter
}

// settleTime is how long a run continues after callers have stopped and all faults have been
// removed.
const settleTime = 6 * time.Second

// Run simulates a fleet and returns its history and statistics.
func Run(settings Settings) (*history.History, *Result) {
	world := newWorld(settings)
	world.start()
	world.callersStopAt = settings.Duration
	world.RunUntil(settings.Duration)
	world.heal()
	world.RunUntil(settings.Duration + settleTime)
	world.finish()
	if world.tracer != nil {
		if err := world.tracer.Close(); err != nil {
			panic(err) // the writer in settings.Trace failed
		}
	}
	return world.history, world.result()
}

func newWorld(settings Settings) *World {
	world := &World{settings: settings, random: rand.New(rand.NewPCG(settings.Seed, 1)), history: history.New()}
	world.network = newNetwork(world)
	world.store = newObjectStore(world)
	for index := range settings.Groups {
		world.groups = append(world.groups, newDatabaseGroup(world, index))
	}
	for index := range settings.Nodes {
		world.nodes = append(world.nodes, newNode(world, index))
	}
	return world
}

func (w *World) start() {
	w.store.seed()
	for _, current := range w.groups {
		current.start()
	}
	for _, current := range w.nodes {
		w.After(time.Duration(w.random.IntN(200))*time.Millisecond, current.startProcess)
	}
	for _, fault := range w.settings.Faults {
		w.After(fault.At, func() { w.inject(fault) })
	}
	w.startClients()
}

// heal removes every fault, so that the groups' final logs can be read at the end.
func (w *World) heal() {
	w.network.heal()
	w.store.heal()
	for _, current := range w.groups {
		current.heal()
	}
	for _, current := range w.nodes {
		current.heal()
	}
}

func (w *World) finish() {
	for _, current := range w.groups {
		current.recordFinal()
	}
	for _, current := range w.nodes {
		current.endPresence()
	}
}

func (w *World) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

func (w *World) zone(index int) Zone { return w.settings.Zones[index%len(w.settings.Zones)] }

func (w *World) groupNamed(name string) *databaseGroup {
	for _, current := range w.groups {
		if current.name == name {
			return current
		}
	}
	return nil
}

// Result holds statistics of a run.
type Result struct {
	Events     uint64
	Operations int
}

func (w *World) result() *Result {
	return &Result{Events: w.Ran(), Operations: len(w.history.Operations)}
}

func groupName(index int) string { return fmt.Sprintf("group%d", index) }
