// Package sim runs whole fleets on virtual time in one process: the nodes'
// reducers, the group model of package replication, a store, callers and a
// network with faults.
//
// Everything happens in one goroutine, in the order of an event queue, and all
// randomness comes from one seeded generator: the same settings give the same
// history to the byte.
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
	// Zones lists the zones with their regions, in the order of placement.
	Zones []Zone
	// InZone, BetweenZones, BetweenRegions and ToClients are one-way delays.
	InZone, BetweenZones, BetweenRegions, ToClients time.Duration
	Nodes                                           int
	Groups                                          int
	Slots, Connections                              int
	ConnectCost                                     time.Duration
	// ReadTime and WriteTime are how long statements hold a slot.
	ReadTime, WriteTime time.Duration
	ElectionDelay       time.Duration
	// ReceiveDelay is the replication delay beyond the network's.
	ReceiveDelay time.Duration
	Workload     Workload
	Faults       []Fault
	// DatagramLoss and Duplicates are probabilities.
	DatagramLoss, Duplicates float64
	Table                    policy.Table
	// Trace, if set, records the machine of group0 at the first node that owns it.
	Trace io.Writer
	Group group.Settings
	// Mutations break single mechanisms; only tests of checkers set them.
	Mutations Mutations
}

// Mutations break one mechanism outside the group's machine each.
type Mutations struct {
	// IgnoreStaleness lets nodes begin new work on knowledge of any age.
	IgnoreStaleness bool
	// SharePinned lends a transaction's connection to other sessions.
	SharePinned bool
	// MixAnswers hands some answers to the wrong session.
	MixAnswers bool
	// DropOnStop stops nodes without draining.
	DropOnStop bool
	// AcceptOlder merges older versions of the configuration over newer ones.
	AcceptOlder bool
}

// Zone is a place of nodes and servers.
type Zone struct {
	Name   string
	Region string
}

// World is one simulated run.
type World struct {
	virtualtime.Scheduler
	settings Settings
	random   *rand.Rand
	network  *network
	nodes    []*node
	groups   []*databaseGroup
	store    *objectStore
	history  *history.History
	operated uint64
	// stopped is when callers stop; the rest of the run lets everything settle.
	stopped time.Duration
	tracer  *trace.GroupWriter
}

// settleTime is the time after the last fault in which everything is healed and
// callers have stopped.
const settleTime = 6 * time.Second

// Run simulates a fleet and returns its history.
func Run(settings Settings) (*history.History, *Result) {
	world := newWorld(settings)
	world.start()
	world.stopped = settings.Duration
	world.RunUntil(settings.Duration)
	world.heal()
	world.RunUntil(settings.Duration + settleTime)
	world.finish()
	if world.tracer != nil {
		if err := world.tracer.Close(); err != nil {
			panic(err) // the caller's writer
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
		w.After(fault.At, func() { w.cause(fault) })
	}
	w.startClients()
}

// heal ends every fault, so that the winning logs can be read in the end.
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

// Result holds the measures of a run.
type Result struct {
	Events     uint64
	Operations int
}

func (w *World) result() *Result {
	return &Result{Events: w.Ran(), Operations: len(w.history.Operations)}
}

func groupName(index int) string { return fmt.Sprintf("group%d", index) }
