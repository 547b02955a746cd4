// Package replication models a replicated database group with terms, logs, elections and
// faults of its servers.
//
// The model uses no clock, I/O or goroutines. The stand-in database runs it in real time
// and the simulator in virtual time, so that both show the same behavior. Elections
// follow the rule that dewknot depends on: a new primary needs the votes of a majority,
// every voter adopts the new term, and the voter with the most advanced log wins.
package replication

import (
	"time"

	"dewknot/internal/base/position"
)

// Role is a server's role according to itself.
type Role uint8

// The roles of a server.
const (
	Replica Role = iota
	Primary
)

// String returns the role as group_status reports it.
func (r Role) String() string {
	if r == Primary {
		return "primary"
	}
	return "replica"
}

// Entry is one committed transaction in a log.
type Entry[P any] struct {
	Position position.Position
	// TermStart marks the first entry of a new primary, which has no payload.
	TermStart  bool
	Payload    P
	appendedAt time.Duration
}

// Report is a server's answer to a status query.
type Report struct {
	Role Role
	// Term is the highest term that the server has voted in or learned of.
	Term uint64
	// Received is the position of the last entry in the server's log.
	Received position.Position
	// Applied is the position of the last entry that reads on the server can see.
	Applied position.Position
}

// Change is an effect of Advance or Switchover, which the caller applies to the server's
// data.
type Change[P any] struct {
	Server int
	// Rebuild discards the server's data. The changes that follow apply its log again from
	// the start.
	Rebuild bool
	// Demoted reports that the server is no longer primary, which ends its sessions.
	Demoted bool
	// Apply is the entry to apply; nil with Rebuild or Demoted.
	Apply *Entry[P]
}

// Settings hold the delays of a group.
type Settings struct {
	Servers int
	// ElectionDelay is the time from the loss of the primary to the election of a new one.
	ElectionDelay time.Duration
	// ReceiveDelay is the time until an entry reaches a replica's log.
	ReceiveDelay time.Duration
}

type server[P any] struct {
	role     Role
	term     uint64
	log      []Entry[P]
	applied  int
	isolated bool
	down     bool
	applyLag time.Duration
	// comparedTerm is the term of the primary whose log was last compared with this one.
	comparedTerm uint64
}

// Group is the state of all servers of one database group. It isn't safe for concurrent
// use.
type Group[P any] struct {
	settings         Settings
	servers          []*server[P]
	primaryLostSince time.Duration
	primaryLost      bool
}

// New returns a group whose server 0 is primary in term 1.
func New[P any](settings Settings) *Group[P] {
	group := &Group[P]{settings: settings}
	for range settings.Servers {
		group.servers = append(group.servers, &server[P]{term: 1})
	}
	group.makePrimary(0, 0)
	return group
}

func (g *Group[P]) makePrimary(index int, now time.Duration) {
	leader := g.servers[index]
	leader.role = Primary
	g.append(leader, Entry[P]{TermStart: true}, now)
}

func (g *Group[P]) append(leader *server[P], entry Entry[P], now time.Duration) position.Position {
	entry.Position = position.Position{Term: leader.term, Offset: uint64(len(leader.log)) + 1}
	entry.appendedAt = now
	leader.log = append(leader.log, entry)
	leader.applied = len(leader.log)
	return entry.Position
}

// Append commits a transaction on a server. If the server is stopped or isn't primary
// according to itself, ok is false. An isolated primary accepts transactions.
func (g *Group[P]) Append(index int, payload P, now time.Duration) (at position.Position, ok bool) {
	target := g.servers[index]
	if target.role != Primary || target.down {
		return position.Position{}, false
	}
	return g.append(target, Entry[P]{Payload: payload}, now), true
}

// Report returns a server's status report.
func (g *Group[P]) Report(index int) Report {
	target := g.servers[index]
	report := Report{Role: target.role, Term: target.term}
	if len(target.log) > 0 {
		report.Received = target.log[len(target.log)-1].Position
	}
	if target.applied > 0 {
		report.Applied = target.log[target.applied-1].Position
	}
	return report
}

// Log returns a copy of a server's log.
func (g *Group[P]) Log(index int) []Entry[P] {
	return append([]Entry[P](nil), g.servers[index].log...)
}

// Applied returns the number of log entries that a server has applied.
func (g *Group[P]) Applied(index int) int { return g.servers[index].applied }

// SetIsolated isolates a server from the rest of its group, or reconnects it.
func (g *Group[P]) SetIsolated(index int, isolated bool) { g.servers[index].isolated = isolated }

// SetDown stops a server, or restarts it with its log.
func (g *Group[P]) SetDown(index int, down bool) { g.servers[index].down = down }

// Down reports whether a server is stopped.
func (g *Group[P]) Down(index int) bool { return g.servers[index].down }

// SetApplyLag delays the application of received entries on a replica.
func (g *Group[P]) SetApplyLag(index int, lag time.Duration) { g.servers[index].applyLag = lag }

// Leader returns the index of the primary of the highest term, or -1.
func (g *Group[P]) Leader() int {
	leader := -1
	for index, candidate := range g.servers {
		if candidate.role == Primary && (leader < 0 || candidate.term > g.servers[leader].term) {
			leader = index
		}
	}
	return leader
}

// Switchover moves the primary role to a server that first receives and applies the
// primary's complete log, so that no entry is lost. It returns false if either server
// isn't connected, there is no primary, or the target is the primary already.
func (g *Group[P]) Switchover(target int, now time.Duration) ([]Change[P], bool) {
	leader := g.Leader()
	if leader < 0 || leader == target || !g.connected(leader) || !g.connected(target) {
		return nil, false
	}
	changes := g.receive(target, leader, now+g.settings.ReceiveDelay)
	changes = append(changes, g.applyAll(target)...)
	return append(changes, g.elect(target, now)...), true
}

// Advance moves the group's time forward and returns the changes.
func (g *Group[P]) Advance(now time.Duration) []Change[P] {
	changes := g.adoptTerms()
	changes = append(changes, g.electIfPrimaryLost(now)...)
	leader := g.Leader()
	for index := range g.servers {
		if leader >= 0 && index != leader && g.connected(index) && g.connected(leader) {
			changes = append(changes, g.receive(index, leader, now)...)
		}
		changes = append(changes, g.applyDue(index, now)...)
	}
	return changes
}

func (g *Group[P]) connected(index int) bool {
	return !g.servers[index].isolated && !g.servers[index].down
}

// adoptTerms sets the term of all connected servers to the highest among them.
func (g *Group[P]) adoptTerms() []Change[P] {
	highest := uint64(0)
	for index, candidate := range g.servers {
		if g.connected(index) {
			highest = max(highest, candidate.term)
		}
	}
	var changes []Change[P]
	for index, candidate := range g.servers {
		if !g.connected(index) || candidate.term == highest {
			continue
		}
		candidate.term = highest
		changes = append(changes, g.demote(index)...)
	}
	return changes
}

func (g *Group[P]) demote(index int) []Change[P] {
	if g.servers[index].role != Primary {
		return nil
	}
	g.servers[index].role = Replica
	return []Change[P]{{Server: index, Demoted: true}}
}

func (g *Group[P]) electIfPrimaryLost(now time.Duration) []Change[P] {
	leader := g.Leader()
	if leader >= 0 && g.connected(leader) {
		g.primaryLost = false
		return nil
	}
	if !g.primaryLost {
		g.primaryLost = true
		g.primaryLostSince = now
	}
	if now-g.primaryLostSince < g.settings.ElectionDelay {
		return nil
	}
	winner, votes := g.selectWinner()
	if votes <= len(g.servers)/2 {
		return nil
	}
	g.primaryLost = false
	return g.elect(winner, now)
}

func (g *Group[P]) selectWinner() (winner, votes int) {
	winner = -1
	for index := range g.servers {
		if !g.connected(index) {
			continue
		}
		votes++
		if winner < 0 || g.Report(winner).Received.Less(g.Report(index).Received) {
			winner = index
		}
	}
	return winner, votes
}

// elect starts a new term on every connected server and makes the winner primary. The
// winner applies its complete log before it appends its first entry.
func (g *Group[P]) elect(winner int, now time.Duration) []Change[P] {
	highest := uint64(0)
	for _, candidate := range g.servers {
		highest = max(highest, candidate.term)
	}
	var changes []Change[P]
	for index, candidate := range g.servers {
		if g.connected(index) {
			candidate.term = highest + 1
			changes = append(changes, g.demote(index)...)
		}
	}
	changes = append(changes, g.applyAll(winner)...)
	g.makePrimary(winner, now)
	return changes
}

// receive copies entries from the leader. Once in each of the leader's terms, it first
// removes the log's divergent tail.
func (g *Group[P]) receive(index, leader int, now time.Duration) []Change[P] {
	target, source := g.servers[index], g.servers[leader]
	var changes []Change[P]
	if target.comparedTerm != source.term {
		changes = g.removeDivergentTail(index, leader)
		target.comparedTerm = source.term
	}
	for len(target.log) < len(source.log) {
		entry := source.log[len(target.log)]
		if entry.appendedAt+g.settings.ReceiveDelay > now {
			break
		}
		target.log = append(target.log, entry)
	}
	return changes
}

func (g *Group[P]) removeDivergentTail(index, leader int) []Change[P] {
	target, source := g.servers[index], g.servers[leader]
	keep := min(len(target.log), len(source.log))
	for keep > 0 && target.log[keep-1].Position != source.log[keep-1].Position {
		keep--
	}
	target.log = append([]Entry[P](nil), target.log[:keep]...)
	if target.applied <= keep {
		return nil
	}
	target.applied = 0
	changes := []Change[P]{{Server: index, Rebuild: true}}
	for target.applied < keep {
		changes = append(changes, g.applyNext(index))
	}
	return changes
}

func (g *Group[P]) applyDue(index int, now time.Duration) []Change[P] {
	target := g.servers[index]
	if target.down {
		return nil
	}
	var changes []Change[P]
	for target.applied < len(target.log) {
		due := target.log[target.applied].appendedAt + g.settings.ReceiveDelay + target.applyLag
		if due > now {
			break
		}
		changes = append(changes, g.applyNext(index))
	}
	return changes
}

func (g *Group[P]) applyAll(index int) []Change[P] {
	var changes []Change[P]
	for g.servers[index].applied < len(g.servers[index].log) {
		changes = append(changes, g.applyNext(index))
	}
	return changes
}

func (g *Group[P]) applyNext(index int) Change[P] {
	target := g.servers[index]
	entry := target.log[target.applied]
	target.applied++
	return Change[P]{Server: index, Apply: &entry}
}
