package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/propertytest"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/urgency"
)

// The model plays a fleet whose callers want more than they may have, with datagrams that
// are late, lost, repeated and out of order, nodes that stand still, are cut off or start
// anew, and views of the fleet that differ, and checks the promise over every window.

// mutation is a safeguard that is switched off; the check must notice each.
type mutation string

const (
	// grantForgotten: an allocator does not take what it hands out from what it has.
	grantForgotten mutation = "an allocator forgets what it has handed out"
	// shareAtOnce: a process that starts delegates at once what its last life has delegated.
	shareAtOnce mutation = "a process that starts uses its share at once"
	// stockAtStart: an allocator that starts has a full stock.
	stockAtStart mutation = "an allocator starts with a full stock"
	// tokensStay: tokens are good for ever.
	tokensStay mutation = "tokens are good for ever"
	// promisesForgotten: a share is delegated to a second allocator while the first one has it.
	promisesForgotten mutation = "a share is delegated to two allocators"
	// delegationsStay: delegations do not end.
	delegationsStay mutation = "delegations do not end"
	// wholeShares: each node's share is the whole.
	wholeShares mutation = "the shares are more than the whole"
	// stockUnbounded: an allocator keeps all that was minted while nobody wanted any.
	stockUnbounded mutation = "an allocator's stock is not bounded"
	// lessUrgentForgotten: what less urgent work is given is not taken off.
	lessUrgentForgotten mutation = "an allocator forgets what it has handed out to less urgent work"
	// floorMinted: the floor of less urgent work is handed out besides what is minted.
	floorMinted mutation = "the floor of less urgent work is minted"
	// levelsTwice: tokens that were handed out for a level are anybody's besides.
	levelsTwice mutation = "tokens of a level are anybody's besides"
)

// mutations holds, with each, the troubles in which it matters.
var mutations = map[mutation]troubles{
	grantForgotten:    {},
	shareAtOnce:       {storms: true},
	stockAtStart:      {storms: true, restarts: true},
	tokensStay:        {crowds: true},
	promisesForgotten: {storms: true, views: true},
	delegationsStay:   {storms: true, views: true},
	wholeShares:       {},
	stockUnbounded:    {crowds: true},

	lessUrgentForgotten: {},
	floorMinted:         {},
	levelsTwice:         {},
}

const (
	modelTenant = "t"
	// modelStep is the pause between two moments at which something may happen.
	modelStep = 10 * time.Millisecond
	// modelLength is the length of a play.
	modelLength = 15 * time.Second
	// crowd is the most operations that wait at a node.
	crowd = 200
	// longestDelay bounds the way of a datagram.
	longestDelay = 1500 * time.Millisecond
)

// modelNode is a node; its machine is replaced when it starts anew.
type modelNode struct {
	address string
	machine *Machine
	frozen  time.Time
	down    time.Time
	// greed is how many operations its callers want in ten steps.
	greed int
}

// datagram is a message on its way.
type datagram struct {
	at       time.Time
	number   int
	from, to string
	message  Message
}

type datagrams []*datagram

func (d datagrams) Len() int { return len(d) }
func (d datagrams) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].number < d[j].number
}
func (d datagrams) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *datagrams) Push(x any)   { *d = append(*d, x.(*datagram)) }
func (d *datagrams) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// troubles are the kinds of trouble of a play.
type troubles struct {
	wire, freezes, restarts, views, cuts, storms, crowds bool
}

func someTroubles(random *rand.Rand) troubles {
	some := func() bool { return random.IntN(2) == 0 }
	return troubles{wire: some(), freezes: some(), restarts: some(), views: some(), cuts: some(), storms: some(), crowds: some()}
}

type modelWorld struct {
	random *rand.Rand
	broken mutation
	start  time.Time
	now    time.Time
	nodes  []*modelNode
	wire   datagrams
	sent   int
	cut    map[[2]string]time.Time
	bounds Bounds
	quota  catalog.Quota
	// troubles are the kinds that strike in this play.
	troubles troubles
	// levels is how many levels operations have; 0 if all have the same.
	levels int
	// filled holds the allocators whose stock a mutation has filled.
	filled map[*Allocator]bool
	// stormUntil is until when processes start anew all the time.
	stormUntil time.Time
	// ran holds when operations took a token.
	ran []time.Time
}

// modelConfig configures a play.
type modelConfig struct {
	seed     uint64
	troubles troubles
	broken   mutation
	// tight is a quota beyond whose rate nothing is allowed, bursty one of which most is a
	// burst.
	tight, bursty bool
}

func newModelWorld(cfg modelConfig) *modelWorld {
	start := time.Unix(1_000_000, 0)
	w := &modelWorld{
		random: rand.New(rand.NewPCG(cfg.seed, 7)), broken: cfg.broken, troubles: cfg.troubles, start: start, now: start, cut: map[[2]string]time.Time{}, filled: map[*Allocator]bool{},
	}
	w.levels = int(cfg.seed/3%3) * 2
	rate := float64(1 + w.random.IntN(300))
	w.quota = catalog.Quota{PerSecond: rate, Burst: rate * float64(w.random.IntN(5)) / 2}
	w.bounds = Bounds{Window: 5 * time.Second, Overage: 0.1 * float64(w.random.IntN(3)), Slack: float64(w.random.IntN(30))}
	if cfg.bursty {
		w.quota.Burst = 6 * rate
	}
	if cfg.tight {
		w.quota.Burst, w.bounds = 0, Bounds{Window: 5 * time.Second}
	}
	for i := range 3 + w.random.IntN(5) {
		w.nodes = append(w.nodes, &modelNode{address: fmt.Sprintf("n%d", i), greed: w.greed()})
	}
	for _, node := range w.nodes {
		w.startNode(node)
	}
	return w
}

func (w *modelWorld) limits(string) (Limit, bool) { return w.bounds.Limit(w.quota), true }

// startNode starts a node's process, which remembers nothing.
func (w *modelWorld) startNode(node *modelNode) {
	node.machine = NewMachine(Config{
		Node: node.address, Address: node.address, Life: 1 + w.random.Uint64N(1<<40), Started: w.now, Limits: w.limits,
	})
	if w.broken == stockUnbounded {
		node.machine.allocator.limits = func(tenant string) (Limit, bool) {
			limit, _ := w.limits(tenant)
			limit.Stock *= 1000
			return limit, true
		}
	}
	node.machine.SetShare(w.now)
	if w.broken == shareAtOnce {
		node.machine.shareFrom = w.now
	}
	w.view(node)
	if w.broken == wholeShares {
		node.machine.nodes = 1
	}
}

// view gives a node a view of the fleet: always as many nodes, but allocators in some order.
func (w *modelWorld) view(node *modelNode) {
	region := func() Region {
		var region Region
		for range 1 + w.random.IntN(2)*w.random.IntN(3) {
			var allocators []string
			for _, i := range w.random.Perm(len(w.nodes)) {
				allocators = append(allocators, w.nodes[i].address)
			}
			region.Allocators = append(region.Allocators, append(allocators, node.address))
		}
		return region
	}
	// Usually all nodes agree.
	fleet := Fleet{Nodes: len(w.nodes), Home: Region{Allocators: [][]string{{w.nodes[0].address, node.address}}}}
	if w.troubles.views && w.random.IntN(4) == 0 {
		fleet.Home = region()
	}
	if w.random.IntN(2) == 0 {
		fleet.Far = []Region{region()}
	}
	if w.broken != wholeShares {
		node.machine.SetFleet(fleet)
		return
	}
	node.machine.fleet = fleet
}

// play plays to the end and returns the most operations in a window, and what is allowed.
func (w *modelWorld) play() (most, allowed int) {
	end := w.now.Add(modelLength)
	for w.now.Before(end) {
		w.now = w.now.Add(modelStep)
		w.strike()
		w.deliver()
		for _, node := range w.nodes {
			if w.runs(node) {
				w.work(node)
			}
		}
	}
	slices.SortFunc(w.ran, time.Time.Compare)
	first := 0
	for i, at := range w.ran {
		for at.Sub(w.ran[first]) > w.bounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, int(w.bounds.Most(w.quota))
}

func (w *modelWorld) runs(node *modelNode) bool {
	return !w.now.Before(node.frozen) && !w.now.Before(node.down)
}

// greed draws how much a node's callers want: hardly anything, or far more than they may.
func (w *modelWorld) greed() int {
	if w.random.IntN(2) == 0 {
		return w.random.IntN(4)
	}
	return w.random.IntN(300)
}

// chance is true once in so many steps if a kind of trouble strikes in this play.
func (w *modelWorld) chance(strikes bool, steps int) bool {
	return strikes && w.random.IntN(steps) == 0
}

// strike causes troubles.
func (w *modelWorld) strike() {
	node := w.nodes[w.random.IntN(len(w.nodes))]
	if w.chance(w.troubles.freezes, 250) {
		node.frozen = w.now.Add(time.Duration(w.random.IntN(8000)) * time.Millisecond)
	}
	if w.chance(w.troubles.restarts, 200) {
		w.restart(node)
	}
	if w.chance(w.troubles.restarts, 700) {
		for _, each := range w.nodes {
			w.restart(each)
		}
	}
	if w.chance(w.troubles.views, 100) {
		w.view(node)
	}
	if w.chance(w.troubles.crowds, 100) {
		// Many operations wait, and will have given up before they get a token.
		if held := node.machine.balances[modelTenant]; held != nil {
			held.waiting[w.level()] = crowd
		}
	}
	if w.chance(w.troubles.crowds, 300) {
		greed := w.greed()
		for _, each := range w.nodes {
			each.greed = greed
		}
	}
	if w.chance(w.troubles.cuts, 80) {
		other := w.nodes[w.random.IntN(len(w.nodes))]
		w.cut[[2]string{node.address, other.address}] = w.now.Add(time.Duration(w.random.IntN(4000)) * time.Millisecond)
	}
	if w.chance(w.troubles != (troubles{}), 300) {
		node.greed = w.greed()
	}
	w.storm()
}

// storm makes processes start anew, again and again: the usual allocator, or all but two, each
// with one of the two as its allocator; or these change their allocator without starting anew.
func (w *modelWorld) storm() {
	if w.chance(w.troubles.storms, 400) {
		w.stormUntil = w.now.Add(5 * time.Second)
	}
	if !w.now.Before(w.stormUntil) {
		return
	}
	if w.troubles.restarts && !w.troubles.views {
		if w.random.IntN(100) == 0 {
			w.restart(w.nodes[0])
		}
		return
	}
	if w.random.IntN(40) > 0 {
		return
	}
	for _, each := range w.nodes[2:] {
		if !w.troubles.views {
			w.restart(each)
		}
		allocator := w.nodes[w.random.IntN(2)].address
		each.machine.SetFleet(Fleet{Nodes: len(w.nodes), Home: Region{Allocators: [][]string{{allocator, each.address}}}})
	}
}

func (w *modelWorld) restart(node *modelNode) {
	down := w.random.IntN(800)
	if w.now.Before(w.stormUntil) {
		down = 0
	}
	node.down = w.now.Add(time.Duration(down) * time.Millisecond)
	node.frozen = time.Time{}
	w.startNode(node)
	node.machine.cfg.Started = node.down
	node.machine.allocator.started = node.down
	node.machine.shareFrom = node.down.Add(delegationSpan)
	if w.broken == shareAtOnce {
		node.machine.shareFrom = node.down
	}
}

// deliver hands over the datagrams that are due. Those to a node that stands still wait.
func (w *modelWorld) deliver() {
	for len(w.wire) > 0 && !w.wire[0].at.After(w.now) {
		due := heap.Pop(&w.wire).(*datagram)
		to := w.find(due.to)
		switch {
		case to == nil || w.now.Before(to.down):
		case w.now.Before(to.frozen):
			due.at = to.frozen
			heap.Push(&w.wire, due)
		default:
			w.receive(to, due)
		}
	}
}

func (w *modelWorld) receive(to *modelNode, due *datagram) {
	message := due.message
	if message.Request != nil {
		if w.broken == delegationsStay {
			to.machine.allocator.expires = time.Time{}
		}
	}
	if w.broken == stockAtStart && len(to.machine.allocator.delegations) > 0 {
		w.fill(to.machine.allocator)
	}
	before := to.machine.allocator.tokens()
	if a := to.machine.allocator.accounts[modelTenant]; a != nil && w.broken == floorMinted {
		for _, owed := range a.claims.owed {
			a.tokens += owed
		}
	}
	to.machine.Receive(w.now, due.from, &message)
	w.breakLevels(to, &message)
	if a := to.machine.allocator.accounts[modelTenant]; a != nil && w.broken == grantForgotten {
		a.tokens = max(a.tokens, before)
	}
	if held := to.machine.balances[modelTenant]; held != nil && w.broken == tokensStay {
		for i := range held.lots {
			held.lots[i].until = w.now.Add(time.Hour)
		}
	}
	w.drain(to)
}

// breakLevels plays the mutations that concern levels, after a message was taken.
func (w *modelWorld) breakLevels(to *modelNode, message *Message) {
	switch {
	case message.Request != nil && w.broken == lessUrgentForgotten:
		reply := to.machine.out[len(to.machine.out)-1].Message.Reply
		for _, granted := range reply.Grants {
			for level, count := range granted.Levels {
				if level > 0 {
					to.machine.allocator.accounts[modelTenant].tokens += float64(count)
				}
			}
		}
	case message.Reply != nil && w.broken == levelsTwice:
		if held := to.machine.balances[modelTenant]; held != nil {
			for _, l := range held.lots {
				if l.level != anybody {
					l.level = anybody
					held.lots = append(held.lots, l)
				}
			}
		}
	}
}

// tokens returns what an allocator has of the model's tenant.
func (b *Allocator) tokens() float64 {
	if account := b.accounts[modelTenant]; account != nil {
		return account.tokens
	}
	return 0
}

// fill gives an allocator that has just started its stock, once.
func (w *modelWorld) fill(allocator *Allocator) {
	if w.filled[allocator] {
		return
	}
	w.filled[allocator] = true
	a := allocator.accounts[modelTenant]
	if a == nil {
		a = &account{limit: w.bounds.Limit(w.quota)}
		allocator.accounts[modelTenant] = a
	}
	a.tokens = a.limit.Stock
}

func (w *modelWorld) find(address string) *modelNode {
	for _, node := range w.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

// work lets a node's callers take what they can.
func (w *modelWorld) work(node *modelNode) {
	m := node.machine
	if w.broken == promisesForgotten {
		clear(m.promises)
	}
	if w.random.IntN(10) == 0 {
		m.Tick(w.now)
	}
	wanted := node.greed / 10
	if w.random.IntN(10) < node.greed%10 {
		wanted++
	}
	for range wanted {
		level := w.level()
		verdict := m.Take(w.now, modelTenant, level, false)
		switch {
		case verdict.Granted:
			at := w.now
			if verdict.From.After(at) {
				at = verdict.From
			}
			w.ran = append(w.ran, at)
		case verdict.Pending:
			// The model's operations come back by themselves; some stay in the count of
			// those that wait, so that allocators are asked for many.
			if w.random.IntN(3) == 0 {
				m.Abandon(modelTenant, level)
			}
		}
		if waiting := &m.balances[modelTenant].waiting; waiting.sum() > crowd {
			*waiting = Needs{}
		}
	}
	w.drain(node)
}

// level draws the level of an operation: in a third of the plays all have the same.
func (w *modelWorld) level() urgency.Level {
	if w.levels == 0 {
		return 0
	}
	return urgency.Level(w.random.IntN(w.levels))
}

// drain puts a node's messages on their way.
func (w *modelWorld) drain(node *modelNode) {
	for _, envelope := range node.machine.Drain() {
		w.send(node.address, envelope)
		if w.troubles.wire && w.random.IntN(20) == 0 {
			w.send(node.address, envelope)
		}
	}
}

func (w *modelWorld) send(from string, envelope Envelope) {
	lost := w.troubles.wire && w.random.IntN(15) == 0
	if lost || w.now.Before(w.cut[[2]string{from, envelope.To}]) {
		return
	}
	delay := time.Duration(w.random.IntN(40)) * time.Millisecond
	if w.troubles.wire && w.random.IntN(8) == 0 {
		delay = time.Duration(w.random.Int64N(int64(longestDelay)))
	}
	w.sent++
	heap.Push(&w.wire, &datagram{at: w.now.Add(delay), number: w.sent, from: from, to: envelope.To, message: envelope.Message})
}

// modelPlays is how many plays a run makes; the environment variable DEWKNOT_QUOTA_PLAYS
// makes more.
func modelPlays(t *testing.T) uint64 {
	t.Helper()
	const usual = 150
	return propertytest.Plays(t, "DEWKNOT_QUOTA_PLAYS", usual)
}

// TestNoWindowHoldsMoreThanIsPromised plays fleets in all kinds of trouble.
func TestNoWindowHoldsMoreThanIsPromised(t *testing.T) {
	served := 0
	for seed := range modelPlays(t) {
		random := rand.New(rand.NewPCG(seed, 8))
		w := newModelWorld(modelConfig{seed: seed, troubles: someTroubles(random), tight: seed%3 == 0})
		most, allowed := w.play()
		served += len(w.ran)
		if most > allowed {
			t.Fatalf("seed %d: %d operations in a window, %d are allowed (quota %+v, %+v)", seed, most, allowed, w.quota, w.bounds)
		}
	}
	must.Positive(t, served)
}

// TestMissingSafeguardsAreNoticed switches each safeguard off.
func TestMissingSafeguardsAreNoticed(t *testing.T) {
	const seeds = 60
	for broken, struck := range mutations {
		noticed := false
		for seed := uint64(0); seed < seeds && !noticed; seed++ {
			w := newModelWorld(modelConfig{seed: seed, troubles: struck, broken: broken, tight: broken != stockAtStart, bursty: broken == stockAtStart})
			most, allowed := w.play()
			noticed = most > allowed
		}
		must.True(t, noticed, must.Sprintf("%q, and no seed up to %d shows it", string(broken), seeds))
	}
}

// TestCalmFleetsGetWhatTheyMay: callers who want more than their tenant's rate get nearly
// all of it on a calm fleet, whatever part of them is at one node.
func TestCalmFleetsGetWhatTheyMay(t *testing.T) {
	for seed := range uint64(40) {
		w := newModelWorld(modelConfig{seed: seed})
		for i, node := range w.nodes {
			node.greed = 200
			if seed%2 == 0 && i > 0 {
				node.greed = 0
			}
		}
		w.play()
		rate := w.bounds.Limit(w.quota).Rate
		expected := rate * (modelLength - 2*time.Second).Seconds()
		must.GreaterEq(t, 0.85*expected, float64(len(w.ran)), must.Sprintf("seed %d: quota %+v", seed, w.quota))
	}
}
