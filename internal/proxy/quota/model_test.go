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

// The model runs nodes whose callers want more than their quota, and checks the bounds over every
// window. Datagrams are late, lost, repeated and out of order. Nodes freeze, restart, are
// partitioned and have different views of the fleet.

// mutation is a safeguard that is disabled. The model must detect each.
type mutation string

const (
	// grantsNotDeducted: an allocator does not deduct granted tokens from its balance.
	grantsNotDeducted mutation = "an allocator does not deduct granted tokens"
	// shareUsedAtStart: a restarted process does not wait until old delegations have expired.
	shareUsedAtStart mutation = "a restarted process uses its share at once"
	// fullBalanceAtStart: an allocator starts with a full balance.
	fullBalanceAtStart mutation = "an allocator starts with a full balance"
	// tokensNeverExpire: tokens are valid forever.
	tokensNeverExpire mutation = "tokens never expire"
	// delegationsNotTracked: a share is delegated to a second allocator while the first one has
	// it.
	delegationsNotTracked  mutation = "a share is delegated to two allocators"
	delegationsNeverExpire mutation = "delegations never expire"
	// sharesNotDivided: each node's share is the whole quota.
	sharesNotDivided mutation = "the shares add up to more than 1"
	// balanceUnbounded: an allocator keeps all tokens that were issued while nobody needed any.
	balanceUnbounded mutation = "an allocator's balance is not bounded"
	// lessUrgentNotDeducted: tokens granted to less urgent work are not deducted.
	lessUrgentNotDeducted mutation = "an allocator does not deduct tokens granted to less urgent work"
	// guaranteeAddsTokens: the guaranteed minimum of less urgent work is granted in addition to
	// the issued tokens.
	guaranteeAddsTokens mutation = "the guaranteed minimum is granted in addition to issued tokens"
	// levelTokensDuplicated: tokens granted for a level can be used again by any level.
	levelTokensDuplicated mutation = "tokens of a level can be used again by any level"
)

// mutations maps each mutation to the faults under which it is detected.
var mutations = map[mutation]faults{
	grantsNotDeducted:      {},
	shareUsedAtStart:       {churn: true},
	fullBalanceAtStart:     {churn: true, restarts: true},
	tokensNeverExpire:      {loadChanges: true},
	delegationsNotTracked:  {churn: true, views: true},
	delegationsNeverExpire: {churn: true, views: true},
	sharesNotDivided:       {},
	balanceUnbounded:       {loadChanges: true},

	lessUrgentNotDeducted: {},
	guaranteeAddsTokens:   {},
	levelTokensDuplicated: {},
}

const (
	modelTenant = "t"
	// modelStep is the time step of a run.
	modelStep = 10 * time.Millisecond
	// modelDuration is the simulated duration of a run.
	modelDuration = 15 * time.Second
	// maxModelWaiting is the maximum number of waiting operations at a node.
	maxModelWaiting  = 200
	maxDatagramDelay = 1500 * time.Millisecond
)

// modelNode is a node. A restart replaces its machine.
type modelNode struct {
	address     string
	machine     *Machine
	frozenUntil time.Time
	downUntil   time.Time
	// load is how many operations its callers want in ten steps.
	load int
}

// datagram is a message in transit.
type datagram struct {
	arrival  time.Time
	number   int
	from, to string
	message  Message
}

type datagrams []*datagram

func (d datagrams) Len() int { return len(d) }
func (d datagrams) Less(i, j int) bool {
	return d[i].arrival.Before(d[j].arrival) || d[i].arrival.Equal(d[j].arrival) && d[i].number < d[j].number
}
func (d datagrams) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *datagrams) Push(x any)   { *d = append(*d, x.(*datagram)) }
func (d *datagrams) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// faults are the kinds of faults of a run.
type faults struct {
	network, freezes, restarts, views, partitions, churn, loadChanges bool
}

func drawFaults(random *rand.Rand) faults {
	enabled := func() bool { return random.IntN(2) == 0 }
	return faults{network: enabled(), freezes: enabled(), restarts: enabled(), views: enabled(), partitions: enabled(), churn: enabled(), loadChanges: enabled()}
}

type modelWorld struct {
	random       *rand.Rand
	mutant       mutation
	start        time.Time
	now          time.Time
	nodes        []*modelNode
	network      datagrams
	sent         int
	blockedUntil map[[2]string]time.Time
	bounds       Bounds
	quota        catalog.Quota
	// faults are the kinds that occur in this run.
	faults faults
	// levels is the number of levels that operations have; 0 if all have the same.
	levels int
	// filled holds the allocators whose balance a mutation has filled.
	filled map[*Allocator]bool
	// churnUntil is when repeated restarts or changes of allocators end.
	churnUntil time.Time
	// executed holds the times at which operations took a token.
	executed []time.Time
}

// modelConfig configures a run.
type modelConfig struct {
	seed   uint64
	faults faults
	mutant mutation
	// tight is a quota that allows nothing beyond its rate, bursty one that consists mostly of a
	// burst.
	tight, bursty bool
}

func newModelWorld(cfg modelConfig) *modelWorld {
	start := time.Unix(1_000_000, 0)
	w := &modelWorld{
		random: rand.New(rand.NewPCG(cfg.seed, 7)), mutant: cfg.mutant, faults: cfg.faults, start: start, now: start, blockedUntil: map[[2]string]time.Time{}, filled: map[*Allocator]bool{},
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
		w.nodes = append(w.nodes, &modelNode{address: fmt.Sprintf("n%d", i), load: w.load()})
	}
	for _, node := range w.nodes {
		w.startNode(node)
	}
	return w
}

func (w *modelWorld) limits(string) (Limit, bool) { return w.bounds.Limit(w.quota), true }

// startNode starts a node's process without any state.
func (w *modelWorld) startNode(node *modelNode) {
	node.machine = NewMachine(Config{
		Node: node.address, Address: node.address, Incarnation: 1 + w.random.Uint64N(1<<40), Started: w.now, Limits: w.limits,
	})
	if w.mutant == balanceUnbounded {
		node.machine.allocator.limits = func(tenant string) (Limit, bool) {
			limit, _ := w.limits(tenant)
			limit.MaxBalance *= 1000
			return limit, true
		}
	}
	node.machine.SetShare(w.now)
	if w.mutant == shareUsedAtStart {
		node.machine.shareFrom = w.now
	}
	w.changeView(node)
	if w.mutant == sharesNotDivided {
		node.machine.maxNodes = 1
	}
}

// changeView gives a node a view of the fleet. The number of nodes is always the same, the order
// of allocators differs.
func (w *modelWorld) changeView(node *modelNode) {
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
	if w.faults.views && w.random.IntN(4) == 0 {
		fleet.Home = region()
	}
	if w.random.IntN(2) == 0 {
		fleet.Far = []Region{region()}
	}
	if w.mutant != sharesNotDivided {
		node.machine.SetFleet(fleet)
		return
	}
	node.machine.fleet = fleet
}

// run simulates the run. It returns the maximum number of operations in a window, and the allowed
// number.
func (w *modelWorld) run() (maxOperations, allowed int) {
	end := w.now.Add(modelDuration)
	for w.now.Before(end) {
		w.now = w.now.Add(modelStep)
		w.injectFaults()
		w.deliver()
		for _, node := range w.nodes {
			if w.isRunning(node) {
				w.runOperations(node)
			}
		}
	}
	slices.SortFunc(w.executed, time.Time.Compare)
	first := 0
	for i, executedAt := range w.executed {
		for executedAt.Sub(w.executed[first]) > w.bounds.Window {
			first++
		}
		maxOperations = max(maxOperations, i-first+1)
	}
	return maxOperations, int(w.bounds.MaxOperations(w.quota))
}

func (w *modelWorld) isRunning(node *modelNode) bool {
	return !w.now.Before(node.frozenUntil) && !w.now.Before(node.downUntil)
}

// load draws how much a node's callers want: hardly anything, or far more than the quota.
func (w *modelWorld) load() int {
	if w.random.IntN(2) == 0 {
		return w.random.IntN(4)
	}
	return w.random.IntN(300)
}

// occurs draws whether an enabled fault occurs, which it does once in the given number of steps.
func (w *modelWorld) occurs(enabled bool, steps int) bool {
	return enabled && w.random.IntN(steps) == 0
}

// injectFaults injects random faults.
func (w *modelWorld) injectFaults() {
	node := w.nodes[w.random.IntN(len(w.nodes))]
	if w.occurs(w.faults.freezes, 250) {
		node.frozenUntil = w.now.Add(time.Duration(w.random.IntN(8000)) * time.Millisecond)
	}
	if w.occurs(w.faults.restarts, 200) {
		w.restart(node)
	}
	if w.occurs(w.faults.restarts, 700) {
		for _, each := range w.nodes {
			w.restart(each)
		}
	}
	if w.occurs(w.faults.views, 100) {
		w.changeView(node)
	}
	if w.occurs(w.faults.loadChanges, 100) {
		// Many operations wait, and time out before they get a token.
		if tokens := node.machine.tenants[modelTenant]; tokens != nil {
			tokens.waiting[w.level()] = maxModelWaiting
		}
	}
	if w.occurs(w.faults.loadChanges, 300) {
		load := w.load()
		for _, each := range w.nodes {
			each.load = load
		}
	}
	if w.occurs(w.faults.partitions, 80) {
		other := w.nodes[w.random.IntN(len(w.nodes))]
		w.blockedUntil[[2]string{node.address, other.address}] = w.now.Add(time.Duration(w.random.IntN(4000)) * time.Millisecond)
	}
	if w.occurs(w.faults != (faults{}), 300) {
		node.load = w.load()
	}
	w.injectChurn()
}

// injectChurn repeatedly restarts the usual allocator, or all nodes but two, each with one of
// these two as its allocator. If views differ, the nodes change their allocator without a
// restart.
func (w *modelWorld) injectChurn() {
	if w.occurs(w.faults.churn, 400) {
		w.churnUntil = w.now.Add(5 * time.Second)
	}
	if !w.now.Before(w.churnUntil) {
		return
	}
	if w.faults.restarts && !w.faults.views {
		if w.random.IntN(100) == 0 {
			w.restart(w.nodes[0])
		}
		return
	}
	if w.random.IntN(40) > 0 {
		return
	}
	for _, each := range w.nodes[2:] {
		if !w.faults.views {
			w.restart(each)
		}
		allocator := w.nodes[w.random.IntN(2)].address
		each.machine.SetFleet(Fleet{Nodes: len(w.nodes), Home: Region{Allocators: [][]string{{allocator, each.address}}}})
	}
}

func (w *modelWorld) restart(node *modelNode) {
	down := w.random.IntN(800)
	if w.now.Before(w.churnUntil) {
		down = 0
	}
	node.downUntil = w.now.Add(time.Duration(down) * time.Millisecond)
	node.frozenUntil = time.Time{}
	w.startNode(node)
	node.machine.cfg.Started = node.downUntil
	node.machine.allocator.started = node.downUntil
	node.machine.shareFrom = node.downUntil.Add(delegationDuration)
	if w.mutant == shareUsedAtStart {
		node.machine.shareFrom = node.downUntil
	}
}

// deliver delivers the datagrams that are due. Those to a frozen node wait.
func (w *modelWorld) deliver() {
	for len(w.network) > 0 && !w.network[0].arrival.After(w.now) {
		due := heap.Pop(&w.network).(*datagram)
		to := w.find(due.to)
		switch {
		case to == nil || w.now.Before(to.downUntil):
		case w.now.Before(to.frozenUntil):
			due.arrival = to.frozenUntil
			heap.Push(&w.network, due)
		default:
			w.receive(to, due)
		}
	}
}

func (w *modelWorld) receive(to *modelNode, due *datagram) {
	message := due.message
	if message.Request != nil {
		if w.mutant == delegationsNeverExpire {
			to.machine.allocator.nextExpiry = time.Time{}
		}
	}
	if w.mutant == fullBalanceAtStart && len(to.machine.allocator.delegations) > 0 {
		w.fillBalance(to.machine.allocator)
	}
	balanceBefore := to.machine.allocator.balance()
	if acc := to.machine.allocator.accounts[modelTenant]; acc != nil && w.mutant == guaranteeAddsTokens {
		for _, guaranteed := range acc.claims.guaranteed {
			acc.balance += guaranteed
		}
	}
	to.machine.Receive(w.now, due.from, &message)
	w.disableLevelSafeguards(to, &message)
	if acc := to.machine.allocator.accounts[modelTenant]; acc != nil && w.mutant == grantsNotDeducted {
		acc.balance = max(acc.balance, balanceBefore)
	}
	if tokens := to.machine.tenants[modelTenant]; tokens != nil && w.mutant == tokensNeverExpire {
		for i := range tokens.batches {
			tokens.batches[i].validUntil = w.now.Add(time.Hour)
		}
	}
	w.sendPending(to)
}

// disableLevelSafeguards applies the mutations that concern levels, after a message was handled.
func (w *modelWorld) disableLevelSafeguards(to *modelNode, message *Message) {
	switch {
	case message.Request != nil && w.mutant == lessUrgentNotDeducted:
		reply := to.machine.out[len(to.machine.out)-1].Message.Reply
		for _, grant := range reply.Grants {
			for level, count := range grant.Levels {
				if level > 0 {
					to.machine.allocator.accounts[modelTenant].balance += float64(count)
				}
			}
		}
	case message.Reply != nil && w.mutant == levelTokensDuplicated:
		if tokens := to.machine.tenants[modelTenant]; tokens != nil {
			for _, batch := range tokens.batches {
				if batch.level != anyLevel {
					batch.level = anyLevel
					tokens.batches = append(tokens.batches, batch)
				}
			}
		}
	}
}

// balance returns an allocator's balance of the model's tenant.
func (a *Allocator) balance() float64 {
	if account := a.accounts[modelTenant]; account != nil {
		return account.balance
	}
	return 0
}

// fillBalance gives an allocator that has just started a full balance, once.
func (w *modelWorld) fillBalance(allocator *Allocator) {
	if w.filled[allocator] {
		return
	}
	w.filled[allocator] = true
	acc := allocator.accounts[modelTenant]
	if acc == nil {
		acc = &account{limit: w.bounds.Limit(w.quota)}
		allocator.accounts[modelTenant] = acc
	}
	acc.balance = acc.limit.MaxBalance
}

func (w *modelWorld) find(address string) *modelNode {
	for _, node := range w.nodes {
		if node.address == address {
			return node
		}
	}
	return nil
}

// runOperations lets a node's callers take tokens.
func (w *modelWorld) runOperations(node *modelNode) {
	m := node.machine
	if w.mutant == delegationsNotTracked {
		clear(m.sentDelegations)
	}
	if w.random.IntN(10) == 0 {
		m.Tick(w.now)
	}
	operations := node.load / 10
	if w.random.IntN(10) < node.load%10 {
		operations++
	}
	for range operations {
		level := w.level()
		verdict := m.Take(w.now, modelTenant, level, false)
		switch {
		case verdict.Granted:
			start := w.now
			if verdict.ValidFrom.After(start) {
				start = verdict.ValidFrom
			}
			w.executed = append(w.executed, start)
		case verdict.Pending:
			// Pending operations do not take a token later. Some of them stay counted as waiting,
			// so that many tokens are requested.
			if w.random.IntN(3) == 0 {
				m.Abandon(modelTenant, level)
			}
		}
		if waiting := &m.tenants[modelTenant].waiting; waiting.sum() > maxModelWaiting {
			*waiting = LevelCounts{}
		}
	}
	w.sendPending(node)
}

// level draws the level of an operation. In a third of the runs all have the same.
func (w *modelWorld) level() urgency.Level {
	if w.levels == 0 {
		return 0
	}
	return urgency.Level(w.random.IntN(w.levels))
}

// sendPending sends a node's messages.
func (w *modelWorld) sendPending(node *modelNode) {
	for _, envelope := range node.machine.Drain() {
		w.send(node.address, envelope)
		if w.faults.network && w.random.IntN(20) == 0 {
			w.send(node.address, envelope)
		}
	}
}

func (w *modelWorld) send(from string, envelope Envelope) {
	lost := w.faults.network && w.random.IntN(15) == 0
	if lost || w.now.Before(w.blockedUntil[[2]string{from, envelope.To}]) {
		return
	}
	delay := time.Duration(w.random.IntN(40)) * time.Millisecond
	if w.faults.network && w.random.IntN(8) == 0 {
		delay = time.Duration(w.random.Int64N(int64(maxDatagramDelay)))
	}
	w.sent++
	heap.Push(&w.network, &datagram{arrival: w.now.Add(delay), number: w.sent, from: from, to: envelope.To, message: envelope.Message})
}

// modelRuns returns the number of runs. The environment variable DEWKNOT_QUOTA_PLAYS overrides it.
func modelRuns(t *testing.T) uint64 {
	t.Helper()
	const defaultRuns = 150
	return propertytest.Runs(t, "DEWKNOT_QUOTA_PLAYS", defaultRuns)
}

// TestNoWindowExceedsBounds checks the bounds under random faults.
func TestNoWindowExceedsBounds(t *testing.T) {
	served := 0
	for seed := range modelRuns(t) {
		random := rand.New(rand.NewPCG(seed, 8))
		w := newModelWorld(modelConfig{seed: seed, faults: drawFaults(random), tight: seed%3 == 0})
		maxOperations, allowed := w.run()
		served += len(w.executed)
		if maxOperations > allowed {
			t.Fatalf("seed %d: %d operations in a window, want at most %d (quota %+v, %+v)", seed, maxOperations, allowed, w.quota, w.bounds)
		}
	}
	must.Positive(t, served)
}

// TestModelDetectsDisabledSafeguards checks that the model detects each mutation.
func TestModelDetectsDisabledSafeguards(t *testing.T) {
	const seeds = 60
	for mutant, enabled := range mutations {
		detected := false
		for seed := uint64(0); seed < seeds && !detected; seed++ {
			w := newModelWorld(modelConfig{seed: seed, faults: enabled, mutant: mutant, tight: mutant != fullBalanceAtStart, bursty: mutant == fullBalanceAtStart})
			maxOperations, allowed := w.run()
			detected = maxOperations > allowed
		}
		must.True(t, detected, must.Sprintf("mutation %q was not detected by any of %d seeds", string(mutant), seeds))
	}
}

// TestFaultFreeFleetReachesItsRate checks that a tenant that wants more than its rate gets nearly
// all of it without faults, whether its callers use one node or all of them.
func TestFaultFreeFleetReachesItsRate(t *testing.T) {
	for seed := range uint64(40) {
		w := newModelWorld(modelConfig{seed: seed})
		for i, node := range w.nodes {
			node.load = 200
			if seed%2 == 0 && i > 0 {
				node.load = 0
			}
		}
		w.run()
		rate := w.bounds.Limit(w.quota).Rate
		expected := rate * (modelDuration - 2*time.Second).Seconds()
		must.GreaterEq(t, 0.85*expected, float64(len(w.executed)), must.Sprintf("seed %d: quota %+v", seed, w.quota))
	}
}
