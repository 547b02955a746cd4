package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/propertytest"
)

// The model runs voters, members and candidates of one service against a platform that checks no
// fencing tokens: an ordered server becomes the primary after a delay, and the previous primary
// keeps accepting work. Messages are lost, duplicated and delayed. Nodes freeze, restart without
// state and are partitioned. Orders are carried out late, and the table of voters changes.
// Generations are abandoned although their voters are only cut off. The model checks that
//
//   - a member accepts an answer only if the server that gave it was the only primary when it
//     executed the operation;
//   - no order has a lower ballot than an earlier one, and no two candidates send orders under
//     one ballot.

// mutation is a disabled safeguard. The model must detect each.
type mutation string

const (
	none mutation = ""
	// leaseIgnored: answers are accepted without a lease.
	leaseIgnored mutation = "leases are not checked"
	// leaseByArrival: a lease starts when the grant arrives, not when the request was sent.
	leaseByArrival mutation = "leases start at the answer's arrival"
	// clearIgnored: candidates do not wait until leases have ended.
	clearIgnored mutation = "candidates do not wait until leases have ended"
	// restartSkipsRecovery: a restarted voter takes part immediately.
	restartSkipsRecovery mutation = "restarted voters take part immediately"
	// recallIgnored: a member answers a recall but keeps its lease.
	recallIgnored mutation = "recalls are answered but leases are kept"
	// minorityDecides: one of three voters decides.
	minorityDecides mutation = "a minority decides"
	// promiseLowered: voters promise lower ballots after higher ones.
	promiseLowered mutation = "voters promise lower ballots"
	// unconfirmedIgnored: a candidate orders another server although an order is unconfirmed.
	unconfirmedIgnored mutation = "unconfirmed orders are ignored"
	// orderingIgnored: a candidate orders another server while an order is in flight.
	orderingIgnored mutation = "orders in flight are ignored"
	// supportIgnored: voters act without the support of their generation.
	supportIgnored mutation = "voters act without support"
	// abandonAtOnce: the table after an abandoned generation is written without AbandonWait.
	abandonAtOnce mutation = "an abandoned generation is not waited for"
)

const (
	modelVoters  = 3
	modelMembers = 2
	modelService = "s"
	// modelPromotionDelay is the time from an order to its effect. modelMaxOrderDelay is the
	// longest time until an unconfirmed order is carried out.
	modelPromotionDelay = 300 * time.Millisecond
	modelMaxOrderDelay  = 2 * time.Second
)

var modelServers = []string{"a", "b", "c"}

// packet is a message in flight.
type packet struct {
	from string
	to   string
	m    Message
	due  time.Time
}

// answer is a server's answer in flight to a member.
type answer struct {
	server string
	tenure Tenure
	ranAt  time.Time
	due    time.Time
}

// candidate is a node's campaign. It does only what the protocol requires.
type candidate struct {
	ballot   uint64
	phase    string
	since    time.Time
	answered map[string]Message
	clear    map[string]bool
	target   string
	table    *Table
	// unconfirmed is set if the candidate's order was not answered. unconfirmedUntil is the time
	// until which an earlier order, to unconfirmedServer, may be carried out.
	unconfirmed       bool
	unconfirmedUntil  time.Time
	unconfirmedServer string
}

// takeover is a change of the primary that took effect.
type takeover struct {
	server string
	from   time.Time
}

type pendingOrder struct {
	server string
	due    time.Time
}

type modelWorld struct {
	random       *rand.Rand
	disabled     mutation
	now          time.Time
	incarnations map[string]uint64
	voters       map[string]*Voter
	members      map[string]*Member
	campaign     map[string]*candidate
	frozen       map[string]time.Time
	isolated     map[string]time.Time
	supporters   map[string]*Supporter
	// farSide are the nodes that are cut off from the others and the store until splitUntil.
	farSide    map[string]bool
	splitUntil time.Time
	// stored is the table in the store, abandonment the one in progress; nil if there is none.
	stored         *Table
	abandonment    *Abandonment
	agreedAt       time.Time
	abandoned      int
	packets        []packet
	answers        map[string][]answer
	takeovers      []takeover
	orders         []pendingOrder
	highestOrdered uint64
	orderedBy      map[uint64]string
	lastBallot     map[string]uint64
	accepted       int
	opened         int
	violation      string
	// events are printed if a run fails.
	events []string
}

func newModelWorld(seed uint64, disabled mutation) *modelWorld {
	start := time.Unix(1_000_000, 0)
	w := &modelWorld{
		random: rand.New(rand.NewPCG(seed, 1)), disabled: disabled, now: start, incarnations: map[string]uint64{}, voters: map[string]*Voter{}, members: map[string]*Member{},
		supporters: map[string]*Supporter{}, farSide: map[string]bool{},
		campaign: map[string]*candidate{}, frozen: map[string]time.Time{}, isolated: map[string]time.Time{}, answers: map[string][]answer{},
		takeovers: []takeover{{modelServers[0], start}}, orderedBy: map[uint64]string{}, lastBallot: map[string]uint64{},
	}
	table := &Table{Generation: 1, Records: []Record{{
		Service: modelService, Promised: 1, Candidate: Candidate{"m0", 0}, Chosen: Tenure{1, modelServers[0]}, Open: true,
	}}}
	for _, name := range w.names() {
		w.incarnations[name] = 1
		if strings.HasPrefix(name, "v") {
			table.Entries = append(table.Entries, VoterEntry{Name: name, Address: name, Incarnation: 1})
		}
		table.Supporters = append(table.Supporters, SupporterEntry{Name: name, Address: name, Incarnation: 1})
	}
	w.stored = table
	for _, name := range w.names() {
		w.start(name, table)
	}
	return w
}

func (w *modelWorld) logf(format string, values ...any) {
	w.events = append(w.events, fmt.Sprintf("%v ", w.now.Sub(w.takeovers[0].from))+fmt.Sprintf(format, values...))
}

func (w *modelWorld) between(low, high int) int { return low + w.random.IntN(high-low+1) }

func (w *modelWorld) oneOf(values ...int) int { return values[w.random.IntN(len(values))] }

func (w *modelWorld) anyNode() string {
	names := w.names()
	return names[w.random.IntN(len(names))]
}

func (w *modelWorld) names() []string {
	var names []string
	for i := range modelVoters {
		names = append(names, fmt.Sprintf("v%d", i))
	}
	for i := range modelMembers {
		names = append(names, fmt.Sprintf("m%d", i))
	}
	return names
}

func (w *modelWorld) start(name string, table *Table) {
	voter := NewVoter(name, w.incarnations[name], w.now)
	w.install(voter, table)
	w.supporters[name] = NewSupporter(name, w.incarnations[name])
	if w.disabled == restartSkipsRecovery && voter.Recovering() {
		voter.begin(w.now, nil)
	}
	member := NewMember(name, w.incarnations[name], w.now)
	member.SetTable(w.now, table)
	w.voters[name], w.members[name] = voter, member
	w.campaign[name] = nil
	w.answers[name] = nil
}

// install installs a table at a voter.
func (w *modelWorld) install(voter *Voter, table *Table) {
	if w.disabled == supportIgnored {
		copied := *table
		copied.Supporters = nil
		table = &copied
	}
	voter.Install(w.now, table)
}

func (w *modelWorld) running(name string) bool { return !w.now.Before(w.frozen[name]) }

func (w *modelWorld) connected(a, b string) bool {
	split := w.now.Before(w.splitUntil) && w.farSide[a] != w.farSide[b]
	return a == b || (!split && !w.now.Before(w.isolated[a]) && !w.now.Before(w.isolated[b]))
}

// send puts messages in flight. Some are lost, some are duplicated.
func (w *modelWorld) send(from string, out []Envelope) {
	for _, envelope := range out {
		if !w.connected(from, envelope.To) || w.between(0, 19) == 0 {
			continue
		}
		copies := 1
		if w.between(0, 19) == 0 {
			copies = 2
		}
		for range copies {
			delay := w.oneOf([]int{1, 1, 1, 5, 30, 150}...)
			w.packets = append(w.packets, packet{from, envelope.To, envelope.Message, w.now.Add(time.Duration(delay) * time.Millisecond)})
		}
	}
}

// deliver delivers the packets that are due. Those to a frozen node wait.
func (w *modelWorld) deliver() {
	var later, due []packet
	for _, pkt := range w.packets {
		if pkt.due.After(w.now) || !w.running(pkt.to) {
			later = append(later, pkt)
		} else {
			due = append(due, pkt)
		}
	}
	w.packets = later
	for _, pkt := range due {
		if w.connected(pkt.from, pkt.to) {
			w.handle(pkt)
		}
	}
}

func (w *modelWorld) handle(pkt packet) {
	m := pkt.m
	if pkt.to == storeNode {
		if m.Kind == AbandonAgreed && w.abandonment != nil && w.abandonment.AddAnswer(&m) && w.agreedAt.IsZero() {
			w.agreedAt = w.now
			if w.between(0, 1) == 0 {
				w.split()
			}
		}
		return
	}
	switch m.Kind {
	case Support:
		if answer, _ := w.supporters[pkt.to].Confirm(&m, w.members[pkt.to].Table().Generation); answer != nil {
			w.send(pkt.to, []Envelope{{pkt.from, *answer}})
		}
		return
	case Abandon:
		w.send(pkt.to, []Envelope{{pkt.from, *w.supporters[pkt.to].Abandon(&m)}})
		return
	}
	if m.Kind.ForVoter() {
		voter := w.voters[pkt.to]
		if state := voter.services[modelService]; w.disabled == promiseLowered && state != nil && m.Kind == Prepare {
			state.Promised, state.reservedUntil = 0, time.Time{}
		}
		w.send(pkt.to, voter.Step(w.now, pkt.from, &m))
		return
	}
	member := w.members[pkt.to]
	if w.disabled == leaseByArrival && m.Kind == Granted {
		if p := member.peer(m.From); p != nil {
			for i := range p.sent {
				p.sent[i].sentAt = w.now
			}
		}
	}
	if w.disabled == recallIgnored && m.Kind == Push && m.Recall {
		w.send(pkt.to, []Envelope{{pkt.from, Message{
			Kind: Released, From: pkt.to, Incarnation: w.incarnations[pkt.to], Generation: m.Generation, Service: m.Service, Ballot: m.Ballot,
		}}})
		return
	}
	out, _ := member.Step(w.now, pkt.from, &m)
	w.send(pkt.to, out)
	voter := w.voters[pkt.to]
	if voter.Recovering() {
		voter.Recover(w.now, voter.table.Generation, member.RecordSets(voter.RecoversAfter()))
	}
	if c := w.campaign[pkt.to]; c != nil {
		w.handleAnswer(pkt.to, c, &m)
	}
}

func (w *modelWorld) majority(table *Table) int {
	if w.disabled == minorityDecides {
		return 1
	}
	return table.Majority()
}

// handleAnswer processes an answer to a candidate and advances the campaign.
func (w *modelWorld) handleAnswer(name string, c *candidate, m *Message) {
	if m.Ballot != c.ballot || w.now.Sub(c.since) > AnswerWindow && c.phase != "clear" {
		return
	}
	switch {
	case m.Kind == Cleared, m.Kind == Promised && m.Clear, m.Kind == Chosen && m.Clear:
		c.clear[m.From] = true
	}
	wanted := map[string]Kind{"prepare": Promised, "choose": Chosen, "open": Opened}[c.phase]
	if m.Kind == wanted {
		c.answered[m.From] = *m
	}
	enough := len(c.answered) >= w.majority(c.table)
	switch {
	case c.phase == "prepare" && enough:
		var records []Record
		for _, answered := range c.answered {
			records = append(records, answered.Records...)
			if until := w.now.Add(answered.UnconfirmedFor); answered.UnconfirmedFor > 0 && until.After(c.unconfirmedUntil) {
				c.unconfirmedServer, c.unconfirmedUntil = answered.Records[0].Unconfirmed, until
			}
		}
		merged := Merge(records)
		c.target = modelServers[w.between(0, len(modelServers)-1)]
		if merged.Ordering && w.disabled != orderingIgnored {
			c.target, c.unconfirmed = merged.Chosen.Primary, true
		}
		w.logf("choose %s %d by %v", name, c.ballot, slices.Sorted(maps.Keys(c.answered)))
		w.step(name, c, "choose")
	case c.phase == "choose" && enough:
		w.logf("clear %s %d by %v", name, c.ballot, slices.Sorted(maps.Keys(c.answered)))
		c.phase, c.since = "clear", w.now
	case c.phase == "open" && enough:
		w.opened++
		w.logf("opened %s %d %s", name, c.ballot, c.target)
		w.campaign[name] = nil
	}
	unconfirmed := w.now.Before(c.unconfirmedUntil) && c.target != c.unconfirmedServer && w.disabled != unconfirmedIgnored
	if c.phase == "clear" && !unconfirmed && (len(c.clear) >= w.majority(c.table) || w.disabled == clearIgnored) {
		w.order(name, c)
	}
}

// step starts a phase of a campaign.
func (w *modelWorld) step(name string, c *candidate, phase string) {
	c.phase, c.since, c.answered = phase, w.now, map[string]Message{}
	kind := map[string]Kind{"prepare": Prepare, "choose": Choose, "open": Open}[phase]
	w.ask(name, c, kind)
}

func (w *modelWorld) ask(name string, c *candidate, kind Kind) {
	var out []Envelope
	for _, entry := range c.table.Entries {
		out = append(out, Envelope{entry.Address, Message{
			Kind: kind, From: name, Incarnation: w.incarnations[name], Generation: c.table.Generation, Service: modelService, Ballot: c.ballot,
			Primary: c.target, Ordering: kind == Choose, Unconfirmed: kind == Open && c.unconfirmed,
		}})
	}
	w.send(name, out)
}

// order sends the order unless its window has passed.
func (w *modelWorld) order(name string, c *candidate) {
	if w.now.Sub(c.since) > OrderWindow && c.phase == "clear" {
		w.campaign[name] = nil
		return
	}
	if c.ballot < w.highestOrdered {
		w.violation = fmt.Sprintf("%s sends an order with ballot %d after one with ballot %d", name, c.ballot, w.highestOrdered)
	}
	if previous := w.orderedBy[c.ballot]; previous != "" && previous != name {
		w.violation = fmt.Sprintf("%s and %s both send an order with ballot %d", previous, name, c.ballot)
	}
	w.logf("order %s %d %s", name, c.ballot, c.target)
	w.highestOrdered, w.orderedBy[c.ballot] = max(w.highestOrdered, c.ballot), name
	delay := modelPromotionDelay
	if w.between(0, 9) == 0 {
		delay = time.Duration(w.between(int(modelPromotionDelay), int(modelMaxOrderDelay)))
		w.orders = append(w.orders, pendingOrder{c.target, w.now.Add(delay)})
		if w.between(0, 1) == 0 {
			w.campaign[name] = nil
			return
		}
		// The order is retried, and the retry is answered.
		c.unconfirmed, delay = true, modelPromotionDelay
	}
	w.orders = append(w.orders, pendingOrder{c.target, w.now.Add(delay)})
	c.phase, c.since = "settle", w.now
}

// takeover carries out the orders that are due.
func (w *modelWorld) takeover() {
	var later []pendingOrder
	for _, p := range w.orders {
		switch {
		case p.due.After(w.now):
			later = append(later, p)
		case w.takeovers[len(w.takeovers)-1].server != p.server:
			w.takeovers = append(w.takeovers, takeover{p.server, p.due})
		}
	}
	w.orders = later
	for _, name := range slices.Sorted(maps.Keys(w.campaign)) {
		c := w.campaign[name]
		if c != nil && c.phase == "settle" && w.running(name) && w.takeovers[len(w.takeovers)-1].server == c.target {
			w.step(name, c, "open")
		}
	}
}

// acceptAnswers lets a member accept the answers that have arrived, as a request does.
func (w *modelWorld) acceptAnswers(name string) {
	var later []answer
	for _, a := range w.answers[name] {
		if a.due.After(w.now) {
			later = append(later, a)
			continue
		}
		view := w.members[name].View(modelService)
		covered := view != nil && view.Tenure == a.tenure && view.Covers(w.now)
		if w.disabled == leaseIgnored {
			covered = view != nil && view.Open && view.Tenure == a.tenure
		}
		if !covered {
			continue
		}
		w.accepted++
		if primary := w.primaryAt(a.ranAt); primary != a.server {
			w.violation = fmt.Sprintf("%s accepts an answer of %s, executed at %v when %s was the primary", name, a.server, a.ranAt.Sub(w.takeovers[0].from), primary)
		}
	}
	w.answers[name] = later
}

func (w *modelWorld) primaryAt(at time.Time) string {
	primary := ""
	for _, t := range w.takeovers {
		if !t.from.After(at) {
			primary = t.server
		}
	}
	return primary
}

// startOperation sends an operation to the primary of the member's tenure.
func (w *modelWorld) startOperation(name string) {
	view := w.members[name].View(modelService)
	if view == nil || !view.Open {
		return
	}
	ranAt := w.now.Add(time.Duration(w.oneOf([]int{1, 5, 100, 700}...)) * time.Millisecond)
	returnDelay := time.Duration(w.oneOf([]int{1, 5, 400}...)) * time.Millisecond
	w.answers[name] = append(w.answers[name], answer{view.Tenure.Primary, view.Tenure, ranAt, ranAt.Add(returnDelay)})
}

func (w *modelWorld) startCampaign(name string) {
	member := w.members[name]
	highest := uint64(0)
	if view := member.View(modelService); view != nil {
		highest = view.Highest
	}
	// A process never reuses a ballot.
	ballot := max(highest, w.lastBallot[name], member.Table().LeastBallot()) + 1 + uint64(w.between(0, 1))
	w.lastBallot[name] = ballot
	c := &candidate{ballot: ballot, table: member.Table(), clear: map[string]bool{}}
	w.campaign[name] = c
	w.logf("campaign %s %d", name, c.ballot)
	w.step(name, c, "prepare")
}

// storeNode is the name of the store, which also plays the node that changes the table.
const storeNode = "store"

// changeGeneration moves the table to its next generation, like package tenure but in one step.
func (w *modelWorld) changeGeneration() {
	sealing := w.sealReachable()
	if records, ended := sealing.Outcome(); ended {
		w.writeNext(records)
	}
}

// sealReachable seals the voters that the store reaches.
func (w *modelWorld) sealReachable() *Sealing {
	sealing := NewSealing(w.stored)
	for _, entry := range w.stored.Entries {
		if !w.running(entry.Name) || !w.connected(storeNode, entry.Name) {
			continue
		}
		for _, request := range sealing.Requests(storeNode, 1, 1) {
			if request.To != entry.Name {
				continue
			}
			for _, reply := range w.voters[entry.Name].Step(w.now, storeNode, &request.Message) {
				sealing.AddAnswer(&reply.Message)
			}
		}
	}
	return sealing
}

// writeNext writes the next table. Its voters are nodes that the store reaches, as far as there are any.
func (w *modelWorld) writeNext(records []Record) {
	w.logf("generation %d records %+v", w.stored.Generation+1, records)
	next := &Table{Generation: w.stored.Generation + 1, Records: records, Count: len(records)}
	names := w.names()
	slices.SortStableFunc(names, func(a, b string) int {
		return w.unreachable(a) - w.unreachable(b)
	})
	for _, name := range names {
		if len(next.Entries) < modelVoters {
			next.Entries = append(next.Entries, VoterEntry{Name: name, Address: name, Incarnation: w.incarnations[name]})
		}
		next.Supporters = append(next.Supporters, SupporterEntry{Name: name, Address: name, Incarnation: w.incarnations[name]})
	}
	w.stored, w.abandonment, w.agreedAt = next, nil, time.Time{}
	for _, name := range w.names() {
		if w.unreachable(name) == 0 {
			w.learnTable(name)
		}
	}
}

func (w *modelWorld) unreachable(name string) int {
	if w.running(name) && w.connected(storeNode, name) {
		return 0
	}
	return 1
}

// learnTable installs the table in the store at a node.
func (w *modelWorld) learnTable(name string) {
	w.install(w.voters[name], w.stored)
	w.members[name].SetTable(w.now, w.stored)
}

// startAbandonment abandons the generation, whether its voters are lost or not.
func (w *modelWorld) startAbandonment() {
	if w.abandonment != nil {
		return
	}
	w.logf("abandon %d", w.stored.Generation)
	flagged := *w.stored
	flagged.Abandoned = true
	w.stored, w.abandonment = &flagged, NewAbandonment(&flagged)
}

// continueAbandonment takes the next step of an abandonment.
func (w *modelWorld) continueAbandonment() {
	wait := AbandonWait
	if w.disabled == abandonAtOnce {
		wait = 0
	}
	switch {
	case w.abandonment == nil:
	case w.agreedAt.IsZero():
		if w.between(0, 3) == 0 {
			w.send(storeNode, w.abandonment.Requests(storeNode, 1, 1, true))
		}
	case w.now.Sub(w.agreedAt) < wait:
		if name := w.anyNode(); w.farSide[name] && w.between(0, 49) == 0 {
			w.restart(name)
		}
	default:
		w.abandoned++
		w.writeNext(w.sealReachable().Remaining())
	}
}

// readStore lets a node read the table from the store.
func (w *modelWorld) readStore(name string) {
	if w.unreachable(name) != 0 {
		return
	}
	w.learnTable(name)
	w.supporters[name].ReadTable(w.stored)
	if !w.stored.Abandoned {
		w.voters[name].ConfirmByStore(w.stored.Generation, w.now)
	}
}

// restart restarts a node, which learns the table that it knew from other nodes.
func (w *modelWorld) restart(name string) {
	w.incarnations[name]++
	w.lastBallot[name] = 0
	w.logf("restart %s", name)
	w.start(name, w.voters[name].Table())
}

// split cuts some nodes off from the others and from the store.
func (w *modelWorld) split() {
	w.splitUntil = w.now.Add(time.Duration(w.between(2000, 12000)) * time.Millisecond)
	for _, name := range w.names() {
		w.farSide[name] = w.between(0, 1) == 0
	}
	w.logf("split %v", w.farSide)
}

// favoredFaults are the faults that expose a disabled safeguard soonest: a restart, a freeze, a
// campaign, an abandonment.
var favoredFaults = map[mutation][]int{
	restartSkipsRecovery: {2}, leaseByArrival: {0}, recallIgnored: {9}, supportIgnored: {9, 11}, abandonAtOnce: {9, 11},
}

// injectFault injects one random fault.
func (w *modelWorld) injectFault() {
	name := w.anyNode()
	duration := time.Duration(w.oneOf([]int{200, 800, 2500}...)) * time.Millisecond
	kind := w.between(0, 11)
	if favored, found := favoredFaults[w.disabled]; found && w.between(0, 1) == 0 {
		kind = favored[w.random.IntN(len(favored))]
	}
	switch kind {
	case 0:
		w.logf("freeze %s %v", name, duration)
		w.frozen[name] = w.now.Add(duration)
	case 1:
		w.isolated[name] = w.now.Add(duration)
	case 2:
		w.restart(name)
	case 3:
		w.changeGeneration()
	case 10:
		w.split()
	case 11:
		w.startAbandonment()
	default:
		w.startCampaign(name)
	}
}

// tick advances the time by one step.
func (w *modelWorld) tick() {
	w.now = w.now.Add(time.Duration(w.oneOf([]int{1, 5, 20, 20, 60}...)) * time.Millisecond)
	w.takeover()
	w.deliver()
	w.continueAbandonment()
	for _, name := range w.names() {
		if !w.running(name) {
			continue
		}
		if w.between(0, 49) == 0 {
			w.readStore(name)
		}
		out, _ := w.voters[name].Tick(w.now)
		w.send(name, out)
		w.acceptAnswers(name)
		if c := w.campaign[name]; c != nil && w.now.Sub(c.since) > 2*LeaseDuration {
			w.campaign[name] = nil
		} else if c != nil && c.phase == "clear" {
			w.ask(name, c, Prepare)
		}
	}
}

// run executes steps and returns the first violation, or "".
func (w *modelWorld) run(steps int) string {
	for step := range steps {
		w.tick()
		if step%8 == 0 {
			for _, name := range w.names() {
				if w.running(name) {
					w.send(name, w.renewals(name))
				}
			}
		}
		if step%2 == 0 {
			w.startOperation(w.anyNode())
		}
		if w.between(0, 24) == 0 {
			w.injectFault()
		}
		if w.violation != "" {
			return w.violation
		}
	}
	return ""
}

// renewals returns either the member's due renewals or one to each voter, as if earlier ones had
// been sent at other times.
func (w *modelWorld) renewals(name string) []Envelope {
	if w.between(0, 1) == 0 {
		return w.members[name].Renewals(w.now)
	}
	out, _ := w.members[name].Due(w.now, RenewalMode(w.between(int(RenewNormal), int(RenewRecovering))))
	return out
}

// modelSteps is the length of a run: about half a minute of simulated time.
const modelSteps = 1000

// modelRuns returns the number of runs per test. The environment variable DEWKNOT_QUORUM_PLAYS
// overrides it.
func modelRuns(t *testing.T) uint64 {
	t.Helper()
	const defaultRuns = 220
	return propertytest.Runs(t, "DEWKNOT_QUORUM_PLAYS", defaultRuns)
}

// TestOnlyPrimaryAnswersAreAccepted guards against accepting an answer of a replaced primary under
// random faults.
func TestOnlyPrimaryAnswersAreAccepted(t *testing.T) {
	accepted, opened, changes, abandoned := 0, 0, 0, 0
	for seed := uint64(1); seed <= modelRuns(t); seed++ {
		w := newModelWorld(seed, none)
		violation := w.run(modelSteps)
		must.Eq(t, "", violation, must.Sprintf("seed %d:\n%s", seed, strings.Join(w.events, "\n")))
		accepted += w.accepted
		opened += w.opened
		changes += len(w.takeovers) - 1
		abandoned += w.abandoned
	}
	t.Logf("%d runs of %d steps: %d answers accepted, %d tenures opened, %d changes of the primary, %d generations abandoned",
		modelRuns(t), modelSteps, accepted, opened, changes, abandoned)
	must.Positive(t, abandoned)
	must.Positive(t, accepted)
	must.Positive(t, opened)
}

// TestModelDetectsDisabledSafeguards guards against a model that misses a disabled safeguard.
func TestModelDetectsDisabledSafeguards(t *testing.T) {
	const maxSeeds = 1500
	for _, disabled := range []mutation{
		leaseIgnored, leaseByArrival, clearIgnored, restartSkipsRecovery, recallIgnored,
		minorityDecides, promiseLowered, orderingIgnored, unconfirmedIgnored,
		supportIgnored, abandonAtOnce,
	} {
		detected := uint64(0)
		for seed := uint64(1); seed <= maxSeeds && detected == 0; seed++ {
			if newModelWorld(seed, disabled).run(modelSteps) != "" {
				detected = seed
			}
		}
		t.Logf("%s: detected in run %d", disabled, detected)
		must.Positive(t, detected, must.Sprint(string(disabled)))
	}
}
