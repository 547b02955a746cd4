package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"dewknot/internal/lab/history"
	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/policy"
)

// FaultKind is the kind of an injected fault.
type FaultKind string

// The kinds of faults.
const (
	CutPrimary   FaultKind = "cut_primary"
	KillPrimary  FaultKind = "kill_primary"
	PausePrimary FaultKind = "pause_primary"
	Switchover   FaultKind = "switchover"
	LagReplicas  FaultKind = "lag_replicas"
	KillNode     FaultKind = "kill_node"
	PauseNode    FaultKind = "pause_node"
	CutNode      FaultKind = "cut_node"
	CutZone      FaultKind = "cut_zone"
	CutRegions   FaultKind = "cut_regions"
	StoreDown    FaultKind = "store_down"
	LoseAnswers  FaultKind = "lose_answers"
	StopNode     FaultKind = "stop_node"
	MarkServer   FaultKind = "mark_server"
	RacePolicies FaultKind = "race_policies"
	// KillOwner and PauseOwner affect the node that owns the group. Random runs don't use
	// them, since their KillNode and PauseNode may affect that node.
	KillOwner  FaultKind = "kill_owner"
	PauseOwner FaultKind = "pause_owner"
)

// allFaults lists the kinds of faults that random runs use.
var allFaults = []FaultKind{
	CutPrimary, KillPrimary, PausePrimary, Switchover, LagReplicas,
	KillNode, PauseNode, CutNode, CutZone, CutRegions, StoreDown, LoseAnswers, StopNode, MarkServer, RacePolicies,
}

// Fault is a fault that begins at a time and lasts for a duration. Group and Target select
// what it affects, modulo the number of groups, nodes, servers or zones.
type Fault struct {
	At     time.Duration
	For    time.Duration
	Kind   FaultKind
	Group  int
	Target int
	Lag    time.Duration
}

func (w *World) inject(fault Fault) {
	current := w.groups[fault.Group%len(w.groups)]
	target := w.nodes[fault.Target%len(w.nodes)]
	if fault.Kind == KillOwner || fault.Kind == PauseOwner {
		target = w.ownerOf(current)
	}
	switch fault.Kind {
	case CutPrimary, KillPrimary, PausePrimary:
		w.failPrimary(fault, current)
	case Switchover:
		changes, _ := current.model.Switchover(fault.Target%len(current.servers), w.Now())
		current.applyChanges(changes)
	case LagReplicas:
		w.lagReplicas(fault, current)
	case KillNode, KillOwner:
		target.kill()
		w.After(fault.For, target.startProcess)
	case PauseNode, PauseOwner:
		target.pause()
		w.After(fault.For, target.unpause)
	case CutNode:
		w.cutNode(fault, target)
	case CutZone:
		w.cutZone(fault)
	case CutRegions:
		w.network.regionsIsolated = true
		w.endAllPresences()
		w.recordCut(fault)
		w.After(fault.For, func() {
			w.network.regionsIsolated = false
			w.beginAllPresences()
		})
	case StoreDown:
		w.store.down = true
		w.After(fault.For, func() { w.store.down = false })
	case LoseAnswers:
		w.store.loseAnswers = 1 + fault.Target%3
	case StopNode:
		target.drain()
		w.After(drainTimeout+fault.For, target.startProcess)
	case MarkServer:
		w.markServer(fault, current, target)
	case RacePolicies:
		w.racePolicies(fault)
	}
}

// ownerOf returns the node that owns a group according to the first live node that has a
// view and knows an owner.
func (w *World) ownerOf(target *databaseGroup) *node {
	for _, current := range w.nodes {
		if !current.alive || current.view == nil {
			continue
		}
		if owners := current.view.Owners(target.name); len(owners) > 0 {
			return w.nodeNamed(owners[0])
		}
	}
	return w.nodes[0]
}

func (w *World) failPrimary(fault Fault, current *databaseGroup) {
	index := current.model.Leader()
	server := current.servers[index]
	switch fault.Kind {
	case CutPrimary:
		current.model.SetIsolated(index, true)
	case KillPrimary:
		current.model.SetDown(index, true)
		server.dropConnections()
	case PausePrimary:
		current.model.SetIsolated(index, true)
		server.paused = true
	}
	w.After(fault.For, func() {
		current.model.SetIsolated(index, false)
		current.model.SetDown(index, false)
		server.resume()
	})
}

func (w *World) lagReplicas(fault Fault, current *databaseGroup) {
	for index := range current.servers {
		current.model.SetApplyLag(index, fault.Lag)
	}
	w.After(fault.For, func() {
		for index := range current.servers {
			current.model.SetApplyLag(index, 0)
		}
	})
}

func (w *World) cutNode(fault Fault, target *node) {
	target.endPresence()
	w.network.isolatedProcesses[target.location.id] = true
	w.After(fault.For, func() {
		delete(w.network.isolatedProcesses, target.location.id)
		target.beginPresence()
	})
}

// cutZone isolates a zone's nodes and servers from all other zones.
func (w *World) cutZone(fault Fault) {
	zone := w.zone(fault.Target).Name
	w.network.isolatedZones[zone] = true
	setIsolated := func(on bool) {
		for _, current := range w.groups {
			for index, server := range current.servers {
				if server.location.zone.Name == zone {
					current.model.SetIsolated(index, on)
				}
			}
		}
	}
	setIsolated(true)
	w.endAllPresences()
	w.recordCut(fault)
	w.After(fault.For, func() {
		delete(w.network.isolatedZones, zone)
		setIsolated(false)
		w.beginAllPresences()
	})
}

func (w *World) recordCut(fault Fault) {
	w.history.Cuts = append(w.history.Cuts, history.Cut{From: w.Now(), To: w.Now() + fault.For})
}

func (w *World) endAllPresences() {
	for _, current := range w.nodes {
		current.endPresence()
	}
}

func (w *World) beginAllPresences() {
	for _, current := range w.nodes {
		current.beginPresence()
	}
}

func (w *World) newChange() administration.Change {
	w.changeCount++
	return administration.Change{Operation: fmt.Sprintf("operation%d", w.changeCount), Author: "operator"}
}

func (w *World) markServer(fault Fault, current *databaseGroup, via *node) {
	if !via.alive || via.paused {
		return
	}
	server := fault.Target % len(current.servers)
	mark := func(leaving bool) bool {
		key := configuration.ServerMarkKey(current.name, current.servers[server].location.id)
		_, err := via.administer().Mark(context.Background(), key, leaving, w.newChange())
		if err == nil {
			w.history.Marks = append(w.history.Marks,
				history.Mark{Group: current.name, Server: server, At: w.Now(), Leaving: leaving})
		}
		return err == nil
	}
	if !mark(true) {
		return
	}
	var unmark func()
	unmark = func() {
		if !mark(false) {
			w.After(time.Second, unmark)
		}
	}
	w.After(fault.For+4*time.Second, unmark)
}

// racePolicies makes two operators replace the same version of a policy almost
// simultaneously.
func (w *World) racePolicies(fault Fault) {
	current := w.groups[fault.Group%len(w.groups)]
	key := configuration.PolicyPrefix + current.name
	object, err := w.store.Get(context.Background(), key)
	if err != nil {
		return
	}
	for side := range 2 {
		via := w.nodes[(fault.Target+side)%len(w.nodes)]
		if !via.alive || via.paused {
			continue
		}
		w.After(time.Duration(side)*time.Millisecond, func() { w.submitPolicy(via, current.name, object.Version) })
	}
}

func (w *World) submitPolicy(via *node, service string, replaces uint64) {
	if !via.alive || via.paused {
		return
	}
	change := w.newChange()
	change.Replaces = replaces
	outcome, err := via.administer().SubmitPolicy(
		context.Background(), service, PolicySource(w.settings.Table, service), change)
	if err == nil {
		w.history.Accepted = append(w.history.Accepted,
			history.Accepted{Service: service, Version: outcome.Version, Replaces: replaces, At: w.Now()})
	}
}

// PolicySource returns the source of the policy program for a rule table.
func PolicySource(table policy.Table, service string) []byte {
	rule := func(rule policy.Rule) string {
		read := rule.Freshness.String() + "()"
		if rule.Freshness == policy.Bounded {
			read = fmt.Sprintf("lag(%q)", rule.MaxLag)
		}
		return fmt.Sprintf("read = %s, wait = %q, replica_wait = %q", read, rule.Wait, rule.ReplicaWait)
	}
	source := fmt.Sprintf("service(%q)\ndefault(%s)\n", service, rule(table.Default))
	for _, kind := range sortedKeys(table.Kinds) {
		source += fmt.Sprintf("kind(%q, %s)\n", kind, rule(table.Kinds[kind]))
	}
	for _, name := range sortedKeys(table.Shares) {
		source += fmt.Sprintf("share(%q, %d)\n", name, table.Shares[name])
	}
	return []byte(source)
}

// shireboundZones returns three zones, each in a region of its own.
func shireboundZones() []Zone {
	return []Zone{{"leicester", "midlands"}, {"york", "north"}, {"bristol", "west"}}
}

// RandomSettings returns a small fleet with a mixed workload and faults drawn from a seed.
func RandomSettings(seed uint64) Settings {
	random := rand.New(rand.NewPCG(seed, 2))
	settings := Settings{
		Seed: seed, Duration: 24 * time.Second, Zones: shireboundZones(),
		InZone: 250 * time.Microsecond, BetweenZones: 1500 * time.Microsecond,
		BetweenRegions: 20 * time.Millisecond, ToClients: 3 * time.Millisecond,
		Nodes: 4 + random.IntN(3), Groups: 1 + random.IntN(2),
		Slots: 5, Connections: 40, ConnectCost: 10 * time.Millisecond,
		ReadTime: 2 * time.Millisecond, WriteTime: 4 * time.Millisecond,
		ElectionDelay: time.Duration(500+random.IntN(1500)) * time.Millisecond,
		ReceiveDelay:  time.Millisecond, DatagramLoss: random.Float64() * 0.05, Duplicates: random.Float64() * 0.1,
		Table: DefaultTable(), Group: group.DefaultSettings(),
		Workload: Workload{
			Clients: 12, Think: 250 * time.Millisecond, CarryShare: 0.5,
			Mix: Mix{Booking: 4, OwnRead: 6, Payment: 2, StatusWrite: 1, StatusRead: 3, Feed: 2, Manifest: 1},
		},
	}
	const (
		firstFault, lastFault = 4 * time.Second, 15 * time.Second
		maxDuration           = 6 * time.Second
	)
	for range 3 + random.IntN(5) {
		settings.Faults = append(settings.Faults, Fault{
			At:   firstFault + time.Duration(random.Int64N(int64(lastFault-firstFault))),
			For:  time.Duration(random.Int64N(int64(maxDuration))),
			Kind: allFaults[random.IntN(len(allFaults))], Group: random.IntN(4), Target: random.IntN(12),
			Lag: time.Duration(random.Int64N(int64(2 * time.Second))),
		})
	}
	return settings
}
