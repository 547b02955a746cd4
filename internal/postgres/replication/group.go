// Package replication models a replicated database group: terms, logs,
// elections and the faults that the brief names ("What fails").
//
// The model is pure: it has no clock, I/O or goroutine. The stand-in database
// drives it in real time and the simulator in virtual time, so both meet the
// same group behaviour. Elections follow the rule that dewknot relies on: a new
// primary needs the votes of a majority, every voter adopts the new term, and
// the voter with the most advanced log wins.
package replication

import (
	"time"

	"dewknot/internal/base/position"
)

// Role is what a server believes itself to be.
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
	// TermStart marks the entry that a new primary writes first; it has no payload.
	TermStart  bool
	Payload    P
	appendedAt time.Duration
}

// Report is what a server answers to a status question.
type Report struct {
	Role Role
	// Term is the highest term the server has voted in or heard of.
	Term uint64
	// Received is the last entry in the server's log.
	Received position.Position
	// Applied is the last entry visible to reads on the server.
	Applied position.Position
}

// Change is an effect of Advance that the owner of the state machines carries out.
type Change[P any] struct {
	Server int
	// Rebuild tells to discard the server's state and apply its log from the start.
	Rebuild bool
	// Demoted tells that the server stopped being primary: its sessions end.
	Demoted bool
	// Apply is the entry to apply; nil with Rebuild or Demoted.
	Apply *Entry[P]
}

// Settings hold the delays of a group.
type Settings struct {
	Servers int
	// ElectionDelay is the time from losing the primary to having a new one.
	ElectionDelay time.Duration
	// ReceiveDelay is the time an entry takes to reach a replica's log.
	ReceiveDelay time.Duration
}

type server[P any] struct {
	role     Role
	term     uint64
	log      []Entry[P]
	applied  int
	cut      bool
	down     bool
	applyLag time.Duration
	// copiedTerm is the primary's term in which the log was last compared with the primary's.
	copiedTerm uint64
}

// Group is the state of all servers of one database group.
type Group[P any] struct {
	settings  Settings
	servers   []*server[P]
	lostSince time.Duration
	lost      bool
}

// New returns a group whose server 0 is primary in term 1.
func New[P any](settings Settings) *Group[P] {
	group := &Group[P]{settings: settings}
	for range settings.Servers {
		group.servers = append(group.servers, &server[P]{term: 1})
	}
	group.crown(0, 0)
	return group
}

func (g *Group[P]) crown(index int, now time.Duration) {
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

// Append commits a transaction on a server that believes itself primary; ok is
// false when it does not. A cut-off primary accepts work like any other.
func (g *Group[P]) Append(index int, payload P, now time.Duration) (at position.Position, ok bool) {
	target := g.servers[index]
	if target.role != Primary || target.down {
		return position.Position{}, false
	}
	return g.append(target, Entry[P]{Payload: payload}, now), true
}

// Report returns a server's status.
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

// Applied returns how many entries of its log a server has applied.
func (g *Group[P]) Applied(index int) int { return g.servers[index].applied }

// SetCut separates a server from the rest of its group, or joins it again.
func (g *Group[P]) SetCut(index int, cut bool) { g.servers[index].cut = cut }

// SetDown stops a server, or starts it again with its log kept.
func (g *Group[P]) SetDown(index int, down bool) { g.servers[index].down = down }

// Down reports whether a server is stopped.
func (g *Group[P]) Down(index int) bool { return g.servers[index].down }

// SetApplyLag makes a replica apply entries that much after receiving them.
func (g *Group[P]) SetApplyLag(index int, lag time.Duration) { g.servers[index].applyLag = lag }

// Leader returns the primary of the highest term, or -1.
func (g *Group[P]) Leader() int {
	leader := -1
	for index, candidate := range g.servers {
		if candidate.role == Primary && (leader < 0 || candidate.term > g.servers[leader].term) {
			leader = index
		}
	}
	return leader
}

// Switchover moves the primary role as an operator would: the target catches
// up first, so nothing is lost. It reports false when that is impossible.
func (g *Group[P]) Switchover(target int, now time.Duration) ([]Change[P], bool) {
	leader := g.Leader()
	if leader < 0 || leader == target || !g.connected(leader) || !g.connected(target) {
		return nil, false
	}
	changes := g.receive(target, leader, now+g.settings.ReceiveDelay)
	changes = append(changes, g.applyAll(target)...)
	return append(changes, g.elect(target, now)...), true
}

// Advance carries the group forward to a time and returns what changed.
func (g *Group[P]) Advance(now time.Duration) []Change[P] {
	changes := g.adoptTerms()
	changes = append(changes, g.electIfLost(now)...)
	leader := g.Leader()
	for index := range g.servers {
		if leader >= 0 && index != leader && g.connected(index) && g.connected(leader) {
			changes = append(changes, g.receive(index, leader, now)...)
		}
		changes = append(changes, g.apply(index, now)...)
	}
	return changes
}

func (g *Group[P]) connected(index int) bool {
	return !g.servers[index].cut && !g.servers[index].down
}

// adoptTerms tells connected servers the highest term among them.
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

func (g *Group[P]) electIfLost(now time.Duration) []Change[P] {
	leader := g.Leader()
	if leader >= 0 && g.connected(leader) {
		g.lost = false
		return nil
	}
	if !g.lost {
		g.lost = true
		g.lostSince = now
	}
	if now-g.lostSince < g.settings.ElectionDelay {
		return nil
	}
	winner, votes := g.mostAdvanced()
	if votes <= len(g.servers)/2 {
		return nil
	}
	g.lost = false
	return g.elect(winner, now)
}

func (g *Group[P]) mostAdvanced() (winner, votes int) {
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

// elect gives every connected server a new term and makes the winner primary.
// The winner applies its whole log before its first entry.
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
	g.crown(winner, now)
	return changes
}

// receive copies entries from the leader, after cutting off a divergent tail.
func (g *Group[P]) receive(index, leader int, now time.Duration) []Change[P] {
	target, source := g.servers[index], g.servers[leader]
	var changes []Change[P]
	if target.copiedTerm != source.term {
		changes = g.truncate(index, leader)
		target.copiedTerm = source.term
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

func (g *Group[P]) truncate(index, leader int) []Change[P] {
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

func (g *Group[P]) apply(index int, now time.Duration) []Change[P] {
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
