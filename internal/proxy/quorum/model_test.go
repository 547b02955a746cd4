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

// The model drives voters, members and candidates of one service against a platform
// that checks no tokens: a server that is ordered leads a while later, and the one
// before it goes on accepting work. Messages are lost, repeated and late; nodes freeze,
// restart without memory, and are cut off; orders are carried out late; the table of
// voters moves on. It checks, at every answer that a member believes, that the server
// which gave it led alone when it ran:
//
//   - an answer of a primary is believed only if no other server's lead took effect
//     before it was run;
//   - no order has a lower ballot than one sent before, and no two candidates order
//     under one ballot.

// mutation is a safeguard that is switched off; the check must notice each.
type mutation string

const (
	none mutation = ""
	// leaseIgnored: answers are believed without a lease.
	leaseIgnored mutation = "leases are not looked at"
	// leaseByArrival: a lease counts from the grant's arrival, not from the question.
	leaseByArrival mutation = "leases count from the answer's arrival"
	// clearIgnored: candidates do not wait for leases.
	clearIgnored mutation = "candidates do not wait for leases"
	// restartRemembersNothing: a voter that restarts takes part at once.
	restartRemembersNothing mutation = "voters that restart take part at once"
	// recalledStaysOpen: a member goes on after a recall.
	recalledStaysOpen mutation = "recalls are answered but not heeded"
	// minorityDecides: two of five voters decide.
	minorityDecides mutation = "a minority decides"
	// promiseTakenBack: voters promise lower ballots after higher ones.
	promiseTakenBack mutation = "voters promise lower ballots"
	// looseIgnored: a candidate orders another target though an earlier order was not answered.
	looseIgnored mutation = "orders without an answer are forgotten"
	// boundIgnored: a candidate orders another target while an order is on its way.
	boundIgnored mutation = "pending orders are ignored"
)

const (
	modelVoters  = 3
	modelMembers = 2
	modelService = "s"
	// modelPromotion is the time from an order to its effect, modelLate the longest time
	// until an order without an answer is carried out.
	modelPromotion = 300 * time.Millisecond
	modelLate      = 2 * time.Second
)

var modelServers = []string{"a", "b", "c"}

// flight is a message on its way.
type flight struct {
	from string
	to   string
	m    Message
	due  time.Time
}

// answer is a server's answer on its way to a member.
type answer struct {
	server string
	tenure Tenure
	ranAt  time.Time
	due    time.Time
}

// candidate is a node's campaign, as simple as the promises allow.
type candidate struct {
	ballot   uint64
	phase    string
	since    time.Time
	answered map[string]Message
	clear    map[string]bool
	target   string
	table    *Table
	// loose is set if an order was not answered, looseUntil until when an earlier one may
	// be carried out, looseFor the server that it names.
	loose      bool
	looseUntil time.Time
	looseFor   string
}

// lead is a server's lead taking effect.
type lead struct {
	server string
	from   time.Time
}

type pending struct {
	server string
	due    time.Time
}

type modelWorld struct {
	random   *rand.Rand
	broken   mutation
	now      time.Time
	lives    map[string]uint64
	voters   map[string]*Voter
	members  map[string]*Member
	campaign map[string]*candidate
	frozen   map[string]time.Time
	apart    map[string]time.Time
	flights  []flight
	answers  map[string][]answer
	leads    []lead
	orders   []pending
	seen     uint64
	owners   map[uint64]string
	last     map[string]uint64
	believed int
	opened   int
	failed   string
	// history tells what happened, for a play that fails.
	history []string
}

func newModelWorld(seed uint64, broken mutation) *modelWorld {
	start := time.Unix(1_000_000, 0)
	w := &modelWorld{
		random: rand.New(rand.NewPCG(seed, 1)), broken: broken, now: start, lives: map[string]uint64{}, voters: map[string]*Voter{}, members: map[string]*Member{},
		campaign: map[string]*candidate{}, frozen: map[string]time.Time{}, apart: map[string]time.Time{}, answers: map[string][]answer{},
		leads: []lead{{modelServers[0], start}}, owners: map[uint64]string{}, last: map[string]uint64{},
	}
	table := &Table{Era: 1, Records: []Record{{
		Service: modelService, Promised: 1, Candidate: Candidate{"m0", 0}, Chosen: Tenure{1, modelServers[0]}, Open: true,
	}}}
	for _, name := range w.names() {
		w.lives[name] = 1
		if strings.HasPrefix(name, "v") {
			table.Seats = append(table.Seats, Seat{Name: name, Address: name, Life: 1})
		}
	}
	for _, name := range w.names() {
		w.start(name, table)
	}
	return w
}

func (w *modelWorld) note(format string, values ...any) {
	w.history = append(w.history, fmt.Sprintf("%v ", w.now.Sub(w.leads[0].from))+fmt.Sprintf(format, values...))
}

func (w *modelWorld) between(least, most int) int { return least + w.random.IntN(most-least+1) }

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
	voter := NewVoter(name, w.lives[name], w.now)
	voter.Install(w.now, table)
	if w.broken == restartRemembersNothing && voter.Recovering() {
		voter.begin(w.now, nil)
	}
	member := NewMember(name, w.lives[name], w.now)
	member.SetTable(w.now, table)
	w.voters[name], w.members[name] = voter, member
	w.campaign[name] = nil
	w.answers[name] = nil
}

func (w *modelWorld) runs(name string) bool { return !w.now.Before(w.frozen[name]) }

func (w *modelWorld) meet(a, b string) bool {
	return a == b || (!w.now.Before(w.apart[a]) && !w.now.Before(w.apart[b]))
}

// send puts messages on their way; some get lost, some come twice.
func (w *modelWorld) send(from string, out []Envelope) {
	for _, envelope := range out {
		if !w.meet(from, envelope.To) || w.between(0, 19) == 0 {
			continue
		}
		copies := 1
		if w.between(0, 19) == 0 {
			copies = 2
		}
		for range copies {
			delay := w.oneOf([]int{1, 1, 1, 5, 30, 150}...)
			w.flights = append(w.flights, flight{from, envelope.To, envelope.Message, w.now.Add(time.Duration(delay) * time.Millisecond)})
		}
	}
}

// deliver hands over what is due. Messages to a node that stands still wait for it.
func (w *modelWorld) deliver() {
	var later, due []flight
	for _, f := range w.flights {
		if f.due.After(w.now) || !w.runs(f.to) {
			later = append(later, f)
		} else {
			due = append(due, f)
		}
	}
	w.flights = later
	for _, f := range due {
		if w.meet(f.from, f.to) {
			w.take(f)
		}
	}
}

func (w *modelWorld) take(f flight) {
	m := f.m
	if m.Kind.ForVoter() {
		voter := w.voters[f.to]
		if held := voter.matters[modelService]; w.broken == promiseTakenBack && held != nil && m.Kind == Prepare {
			held.Promised, held.busyUntil = 0, time.Time{}
		}
		w.send(f.to, voter.Step(w.now, f.from, &m))
		return
	}
	member := w.members[f.to]
	if w.broken == leaseByArrival && m.Kind == Granted {
		if of := member.mirror(m.From); of != nil {
			for i := range of.sent {
				of.sent[i].sentAt = w.now
			}
		}
	}
	if w.broken == recalledStaysOpen && m.Kind == Push && m.Recall {
		w.send(f.to, []Envelope{{f.from, Message{
			Kind: Released, From: f.to, Life: w.lives[f.to], Era: m.Era, Service: m.Service, Ballot: m.Ballot,
		}}})
		return
	}
	out, _ := member.Step(w.now, f.from, &m)
	w.send(f.to, out)
	voter := w.voters[f.to]
	if voter.Recovering() {
		voter.Recover(w.now, voter.table.Era, member.Holdings(voter.RecoversAfter()))
	}
	if c := w.campaign[f.to]; c != nil {
		w.hear(f.to, c, &m)
	}
}

func (w *modelWorld) majority(table *Table) int {
	if w.broken == minorityDecides {
		return 1
	}
	return table.Majority()
}

// hear takes an answer to a candidate and goes on once enough have come.
func (w *modelWorld) hear(name string, c *candidate, m *Message) {
	if m.Ballot != c.ballot || w.now.Sub(c.since) > CountSpan && c.phase != "clear" {
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
			if until := w.now.Add(answered.LooseFor); answered.LooseFor > 0 && until.After(c.looseUntil) {
				c.looseFor, c.looseUntil = answered.Records[0].Loose, until
			}
		}
		merged := Merge(records)
		c.target = modelServers[w.between(0, len(modelServers)-1)]
		if merged.Ordering && w.broken != boundIgnored {
			c.target, c.loose = merged.Chosen.Primary, true
		}
		w.note("choose %s %d by %v", name, c.ballot, slices.Sorted(maps.Keys(c.answered)))
		w.step(name, c, "choose")
	case c.phase == "choose" && enough:
		w.note("clear %s %d by %v", name, c.ballot, slices.Sorted(maps.Keys(c.answered)))
		c.phase, c.since = "clear", w.now
	case c.phase == "open" && enough:
		w.opened++
		w.note("opened %s %d %s", name, c.ballot, c.target)
		w.campaign[name] = nil
	}
	loose := w.now.Before(c.looseUntil) && c.target != c.looseFor && w.broken != looseIgnored
	if c.phase == "clear" && !loose && (len(c.clear) >= w.majority(c.table) || w.broken == clearIgnored) {
		w.order(name, c)
	}
}

// step asks the voters for a candidate's next step.
func (w *modelWorld) step(name string, c *candidate, phase string) {
	c.phase, c.since, c.answered = phase, w.now, map[string]Message{}
	kind := map[string]Kind{"prepare": Prepare, "choose": Choose, "open": Open}[phase]
	w.ask(name, c, kind)
}

func (w *modelWorld) ask(name string, c *candidate, kind Kind) {
	var out []Envelope
	for _, seat := range c.table.Seats {
		out = append(out, Envelope{seat.Address, Message{
			Kind: kind, From: name, Life: w.lives[name], Era: c.table.Era, Service: modelService, Ballot: c.ballot,
			Primary: c.target, Ordering: kind == Choose, Loose: kind == Open && c.loose,
		}})
	}
	w.send(name, out)
}

// order sends the order, if it is still time.
func (w *modelWorld) order(name string, c *candidate) {
	if w.now.Sub(c.since) > OrderWindow && c.phase == "clear" {
		w.campaign[name] = nil
		return
	}
	if c.ballot < w.seen {
		w.failed = fmt.Sprintf("%s orders under %d after %d was seen", name, c.ballot, w.seen)
	}
	if owner := w.owners[c.ballot]; owner != "" && owner != name {
		w.failed = fmt.Sprintf("%s and %s order under %d", owner, name, c.ballot)
	}
	w.note("order %s %d %s", name, c.ballot, c.target)
	w.seen, w.owners[c.ballot] = max(w.seen, c.ballot), name
	delay := modelPromotion
	if w.between(0, 9) == 0 {
		delay = time.Duration(w.between(int(modelPromotion), int(modelLate)))
		w.orders = append(w.orders, pending{c.target, w.now.Add(delay)})
		if w.between(0, 1) == 0 {
			w.campaign[name] = nil
			return
		}
		// The order is given again, and answered.
		c.loose, delay = true, modelPromotion
	}
	w.orders = append(w.orders, pending{c.target, w.now.Add(delay)})
	c.phase, c.since = "settle", w.now
}

// lead lets orders take effect.
func (w *modelWorld) lead() {
	var later []pending
	for _, p := range w.orders {
		switch {
		case p.due.After(w.now):
			later = append(later, p)
		case w.leads[len(w.leads)-1].server != p.server:
			w.leads = append(w.leads, lead{p.server, p.due})
		}
	}
	w.orders = later
	for _, name := range slices.Sorted(maps.Keys(w.campaign)) {
		c := w.campaign[name]
		if c != nil && c.phase == "settle" && w.runs(name) && w.leads[len(w.leads)-1].server == c.target {
			w.step(name, c, "open")
		}
	}
}

// believe lets members take the answers that have come, as a request does.
func (w *modelWorld) believe(name string) {
	var later []answer
	for _, a := range w.answers[name] {
		if a.due.After(w.now) {
			later = append(later, a)
			continue
		}
		view := w.members[name].View(modelService)
		covered := view != nil && view.Tenure == a.tenure && view.Covers(w.now)
		if w.broken == leaseIgnored {
			covered = view != nil && view.Open && view.Tenure == a.tenure
		}
		if !covered {
			continue
		}
		w.believed++
		if primary := w.primaryAt(a.ranAt); primary != a.server {
			w.failed = fmt.Sprintf("%s believes %s, which ran at %v when %s led", name, a.server, a.ranAt.Sub(w.leads[0].from), primary)
		}
	}
	w.answers[name] = later
}

func (w *modelWorld) primaryAt(at time.Time) string {
	primary := ""
	for _, l := range w.leads {
		if !l.from.After(at) {
			primary = l.server
		}
	}
	return primary
}

// work sends an operation to the primary of the member's tenure.
func (w *modelWorld) work(name string) {
	view := w.members[name].View(modelService)
	if view == nil || !view.Open {
		return
	}
	ranAt := w.now.Add(time.Duration(w.oneOf([]int{1, 5, 100, 700}...)) * time.Millisecond)
	back := time.Duration(w.oneOf([]int{1, 5, 400}...)) * time.Millisecond
	w.answers[name] = append(w.answers[name], answer{view.Tenure.Primary, view.Tenure, ranAt, ranAt.Add(back)})
}

// campaignOf begins a campaign of a node.
func (w *modelWorld) campaignOf(name string) {
	member := w.members[name]
	highest := uint64(0)
	if view := member.View(modelService); view != nil {
		highest = view.Highest
	}
	// A process never uses a ballot twice.
	ballot := max(highest, w.last[name], member.Table().LeastBallot()) + 1 + uint64(w.between(0, 1))
	w.last[name] = ballot
	c := &candidate{ballot: ballot, table: member.Table(), clear: map[string]bool{}}
	w.campaign[name] = c
	w.note("campaign %s %d", name, c.ballot)
	w.step(name, c, "prepare")
}

// change moves the table to its next era as package tenure does, in one moment.
func (w *modelWorld) change() {
	var newest *Table
	for _, name := range w.names() {
		if table := w.voters[name].Table(); newest == nil || table.Era > newest.Era {
			newest = table
		}
	}
	sealing := NewSealing(newest)
	for _, seat := range newest.Seats {
		if !w.runs(seat.Name) || !w.meet("store", seat.Name) {
			continue
		}
		for _, question := range sealing.Questions("store", 1, 1) {
			if question.To != seat.Name {
				continue
			}
			for _, reply := range w.voters[seat.Name].Step(w.now, "store", &question.Message) {
				sealing.Take(&reply.Message)
			}
		}
	}
	records, ended := sealing.Outcome()
	if !ended {
		return
	}
	w.note("era %d records %+v", newest.Era+1, records)
	next := &Table{Era: newest.Era + 1, Records: records}
	for _, seat := range newest.Seats {
		next.Seats = append(next.Seats, Seat{Name: seat.Name, Address: seat.Name, Life: w.lives[seat.Name]})
	}
	for _, name := range w.names() {
		if w.runs(name) && w.meet("store", name) {
			w.voters[name].Install(w.now, next)
			w.members[name].SetTable(w.now, next)
		}
	}
}

// favoredTroubles are the troubles in which a switched off safeguard shows soonest: a
// restart, a freeze, a campaign.
var favoredTroubles = map[mutation]int{restartRemembersNothing: 2, leaseByArrival: 0, recalledStaysOpen: 9}

// trouble strikes once.
func (w *modelWorld) trouble() {
	name := w.anyNode()
	span := time.Duration(w.oneOf([]int{200, 800, 2500}...)) * time.Millisecond
	kind := w.between(0, 9)
	if favored, found := favoredTroubles[w.broken]; found && w.between(0, 1) == 0 {
		kind = favored
	}
	switch kind {
	case 0:
		w.note("freeze %s %v", name, span)
		w.frozen[name] = w.now.Add(span)
	case 1:
		w.apart[name] = w.now.Add(span)
	case 2:
		w.lives[name]++
		w.last[name] = 0
		w.note("restart %s", name)
		w.start(name, w.voters[name].Table())
	case 3:
		w.change()
	default:
		w.campaignOf(name)
	}
}

// tick lets some time pass.
func (w *modelWorld) tick() {
	w.now = w.now.Add(time.Duration(w.oneOf([]int{1, 5, 20, 20, 60}...)) * time.Millisecond)
	w.lead()
	w.deliver()
	for _, name := range w.names() {
		if !w.runs(name) {
			continue
		}
		out, _ := w.voters[name].Tick(w.now)
		w.send(name, out)
		w.believe(name)
		if c := w.campaign[name]; c != nil && w.now.Sub(c.since) > 2*LeaseSpan {
			w.campaign[name] = nil
		} else if c != nil && c.phase == "clear" {
			w.ask(name, c, Prepare)
		}
	}
}

// play runs the world and returns what it broke.
func (w *modelWorld) play(steps int) string {
	for step := range steps {
		w.tick()
		if step%8 == 0 {
			for _, name := range w.names() {
				if w.runs(name) {
					w.send(name, w.renewals(name))
				}
			}
		}
		if step%2 == 0 {
			w.work(w.anyNode())
		}
		if w.between(0, 24) == 0 {
			w.trouble()
		}
		if w.failed != "" {
			return w.failed
		}
	}
	return ""
}

// renewals are a member's questions: those that are due, or one to each voter, as if earlier
// ones had been sent at another time.
func (w *modelWorld) renewals(name string) []Envelope {
	if w.between(0, 1) == 0 {
		return w.members[name].Renewals(w.now)
	}
	out, _ := w.members[name].Due(w.now, Haste(w.between(int(Calm), int(Urgent))))
	return out
}

// modelSteps is how long a play is: about half a minute of its time.
const modelSteps = 1000

// modelPlays is how many plays a run of the tests makes; the environment variable
// DEWKNOT_QUORUM_PLAYS makes more.
func modelPlays(t *testing.T) uint64 {
	t.Helper()
	const usual = 150
	return propertytest.Plays(t, "DEWKNOT_QUORUM_PLAYS", usual)
}

// TestOnlyThePrimaryIsBelieved plays random troubles.
func TestOnlyThePrimaryIsBelieved(t *testing.T) {
	believed, opened, changes := 0, 0, 0
	for seed := uint64(1); seed <= modelPlays(t); seed++ {
		w := newModelWorld(seed, none)
		broken := w.play(modelSteps)
		must.Eq(t, "", broken, must.Sprintf("seed %d:\n%s", seed, strings.Join(w.history, "\n")))
		believed += w.believed
		opened += w.opened
		changes += len(w.leads) - 1
	}
	t.Logf("%d plays of %d steps: %d answers believed, %d tenures opened, %d changes of the primary", modelPlays(t), modelSteps, believed, opened, changes)
	must.Positive(t, believed)
	must.Positive(t, opened)
}

// TestBrokenSafeguardsAreNoticed: with any safeguard switched off, some play shows it.
func TestBrokenSafeguardsAreNoticed(t *testing.T) {
	const most = 1500
	for _, broken := range []mutation{
		leaseIgnored, leaseByArrival, clearIgnored, restartRemembersNothing, recalledStaysOpen,
		minorityDecides, promiseTakenBack, boundIgnored, looseIgnored,
	} {
		noticed := uint64(0)
		for seed := uint64(1); seed <= most && noticed == 0; seed++ {
			if newModelWorld(seed, broken).play(modelSteps) != "" {
				noticed = seed
			}
		}
		t.Logf("%s: noticed in play %d", broken, noticed)
		must.Positive(t, noticed, must.Sprint(string(broken)))
	}
}
