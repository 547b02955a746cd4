package failover

import (
	"fmt"
	"maps"
	"testing"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/era"
	"dewknot/internal/base/position"
)

// The model explores, exhaustively up to a depth, two nodes that both find the primary down.
// Store answers are lost before or after they take effect, orders are carried out late, and nodes
// crash and restart under their name. It checks what the platform requires of tokens:
//
//   - no two holders order under the same token,
//   - no two targets are ordered under the same token,
//   - tokens increase with every change of holder, in the order of the leases; the tokens of
//     a lease's deputies are above its holder's and below the next lease's.
//
// Each node is the other's deputy. The store may be restored once from a copy that lacks the last
// written lease: its revision numbers are then used again, and nodes learn of the new era at any
// later time, from an answer or a notice.

// faultyVariant is a broken mechanism that the check must detect.
type faultyVariant uint8

const (
	intact faultyVariant = iota
	unconditionalWrites
	tokensWithoutEpoch
	tokensWithoutCounter
	epochKept
	deputiesWithoutRange
	deputiesWithoutIncarnation
	// erasHidden: nodes do not learn that the store was restored from an older copy.
	erasHidden
	// staleConditionsAccepted: a write is accepted although its condition refers to a revision of
	// an earlier era.
	staleConditionsAccepted
)

type order struct {
	holder      string
	incarnation string
	target      string
	token       uint64
	// deputy is set if a deputy gave the order; epoch is that of the lease for which it acted.
	deputy bool
	epoch  uint64
}

// world is a state of the model; clone makes an independent copy.
type world struct {
	variant faultyVariant
	now     int
	storeContent
	// era is the store's era, previous the store's content before the last write. unaware marks
	// the nodes that have not learned of the era, restores counts the restores of the store.
	era          uint64
	previous     storeContent
	unaware      []bool
	restores     int
	machines     []*Machine
	incarnations []int
	pending      [][]Effect
	orders       []order
	// leases lists the holders in the order in which the store accepted them.
	leases []Lease
	crashes,
	lostAnswers int
	// maxRestores limits the number of restores.
	maxRestores int
	// holderLost is set if the first node, which holds the lease, is lost.
	holderLost bool
}

// storeContent is the lease in the store and the revision number of its last change.
type storeContent struct {
	revision uint64
	missing  bool
	lease    Lease
}

func newWorld(variant faultyVariant) *world {
	w := &world{
		variant: variant, storeContent: storeContent{missing: true}, previous: storeContent{missing: true}, unaware: make([]bool, 2),
		machines: make([]*Machine, 2), incarnations: make([]int, 2), pending: make([][]Effect, 2),
	}
	for i := range w.machines {
		w.startNode(i)
	}
	return w
}

// newWorldWithoutHolder returns a world in which a lost node holds the lease.
func newWorldWithoutHolder(variant faultyVariant) *world {
	w := newWorld(variant)
	w.holderLost = true
	w.write(WriteLease{Create: true, Lease: Lease{Holder: "n0", Epoch: 1, Incarnation: "n0.1"}})
	w.startNode(1)
	return w
}

func (w *world) startNode(i int) {
	w.incarnations[i]++
	w.machines[i] = New(Config{Node: fmt.Sprintf("n%d", i), Incarnation: fmt.Sprintf("n%d.%d", i, w.incarnations[i])})
	w.pending[i] = nil
	w.unaware[i] = false
	w.step(i, w.storedLease())
}

func (w *world) storedLease() LeaseKnown {
	known := LeaseKnown{Missing: w.missing, Revision: w.revisionIn(w.era), Lease: w.lease}
	if w.missing {
		known.Lease = Lease{}
	}
	return known
}

// revisionIn returns the store's revision as reported in an era.
func (w *world) revisionIn(reportedEra uint64) era.Revision {
	if w.variant == erasHidden {
		reportedEra = 0
	}
	revision, err := era.New(reportedEra, w.revision)
	if err != nil {
		panic(err)
	}
	return revision
}

// restore restores the store without the last write.
func (w *world) restore() {
	w.restores++
	w.era++
	w.storeContent = w.previous
	for i := range w.unaware {
		w.unaware[i] = true
	}
}

func (w *world) step(i int, event Event) {
	w.pending[i] = append(w.pending[i], w.machines[i].Step(at(w.now), event)...)
}

func (w *world) clone() *world {
	copied := *w
	copied.machines = make([]*Machine, len(w.machines))
	copied.pending = make([][]Effect, len(w.pending))
	for i, machine := range w.machines {
		duplicate := *machine
		duplicate.rejectedAt = maps.Clone(machine.rejectedAt)
		copied.machines[i] = &duplicate
		copied.pending[i] = append([]Effect(nil), w.pending[i]...)
	}
	copied.incarnations = append([]int(nil), w.incarnations...)
	copied.unaware = append([]bool(nil), w.unaware...)
	copied.orders = append([]order(nil), w.orders...)
	copied.leases = append([]Lease(nil), w.leases...)
	return &copied
}

// write applies a conditional write and reports whether it was accepted.
func (w *world) write(effect WriteLease) bool {
	matches := w.missing == effect.Create && (effect.Create || effect.Revision.Number() == w.revision)
	if !matches && w.variant != unconditionalWrites {
		return false
	}
	if w.variant == epochKept && !w.missing {
		effect.Lease.Epoch = w.lease.Epoch
	}
	w.previous = w.storeContent
	w.missing = false
	w.revision++
	effect.Lease.Deputies = []string{"n0"}
	if effect.Lease.Holder == "n0" {
		effect.Lease.Deputies = []string{"n1"}
	}
	w.lease = effect.Lease
	w.leases = append(w.leases, effect.Lease)
	return true
}

func (w *world) token(machine *Machine, effect Order) uint64 {
	switch w.variant {
	case deputiesWithoutRange:
		if machine.actingAsDeputy {
			return effect.Token - uint64(machine.deputyRank())*tokensPerRank - machine.deputyTokenOffset()
		}
		return effect.Token
	case deputiesWithoutIncarnation:
		if machine.actingAsDeputy {
			return effect.Token - machine.deputyTokenOffset()
		}
		return effect.Token
	case tokensWithoutEpoch:
		return effect.Token % tokensPerEpoch
	case tokensWithoutCounter:
		return effect.Token / tokensPerEpoch
	default:
		return effect.Token
	}
}

const (
	maxCrashes     = 1
	maxLostAnswers = 2
)

// successors returns all states that one event leads to.
func (w *world) successors() []*world {
	var states []*world
	branch := func(change func(*world)) {
		state := w.clone()
		change(state)
		states = append(states, state)
	}
	for i := range w.machines {
		if i == 0 && w.holderLost {
			continue
		}
		if len(w.pending[i]) == 0 {
			branch(func(s *world) { s.now += 3000; s.step(i, Observed{downObservation()}) })
		} else {
			w.branchAnswers(i, branch)
		}
		if w.crashes < maxCrashes {
			branch(func(s *world) { s.crashes++; s.startNode(i) })
		}
		if w.unaware[i] && w.variant != erasHidden {
			branch(func(s *world) { s.unaware[i] = false; s.step(i, StoreRestored{}) })
		}
	}
	if w.restores < w.maxRestores && w.revision > 0 {
		branch(func(s *world) { s.restore() })
	}
	return states
}

// branchAnswers branches over the possible answers to a node's oldest effect.
func (w *world) branchAnswers(i int, branch func(func(*world))) {
	effect := w.pending[i][0]
	dropEffect := func(s *world) { s.pending[i] = s.pending[i][1:] }
	switch effect := effect.(type) {
	case Corroborate:
		branch(func(s *world) { dropEffect(s); s.step(i, Corroborated{Answers: 2}) })
		branch(func(s *world) { dropEffect(s); s.step(i, Corroborated{Answers: 2, Reached: 1}) })
		branch(func(s *world) { dropEffect(s); s.step(i, Corroborated{Answers: 2, HolderAnswered: true}) })
	case ReadLease, ReclaimLease:
		branch(func(s *world) { dropEffect(s); s.step(i, s.storedLease()) })
		if w.lostAnswers < maxLostAnswers {
			branch(func(s *world) { dropEffect(s); s.lostAnswers++; s.step(i, LeaseKnown{Failed: true}) })
		}
	case WriteLease:
		branch(func(s *world) {
			dropEffect(s)
			if s.write(effect) {
				s.step(i, s.written(effect))
				return
			}
			s.step(i, LeaseWritten{Result: Superseded})
		})
		if w.lostAnswers < maxLostAnswers {
			branch(func(s *world) {
				dropEffect(s)
				s.lostAnswers++
				s.write(effect)
				s.step(i, LeaseWritten{Result: Uncertain})
			})
			branch(func(s *world) { dropEffect(s); s.lostAnswers++; s.step(i, LeaseWritten{Result: Uncertain}) })
		}
	case Survey:
		for offset := range uint64(2) {
			branch(func(s *world) {
				dropEffect(s)
				s.step(i, Surveyed{Reports: []Report{
					{ID: "b", Received: position.Position{Term: 1, Offset: offset}},
					{ID: "c", Received: position.Position{Term: 1, Offset: 1 - offset}},
				}})
			})
		}
	case Order:
		for _, outcome := range []PromotionOutcome{Accepted, Rejected, Unanswered} {
			branch(func(s *world) {
				dropEffect(s)
				machine := s.machines[i]
				ordered := order{
					holder: machine.node, incarnation: machine.incarnation, target: effect.Target, token: s.token(machine, effect),
					deputy: machine.actingAsDeputy, epoch: machine.epoch,
				}
				if machine.actingAsDeputy {
					ordered.epoch = machine.lease.Epoch
				}
				s.orders = append(s.orders, ordered)
				s.step(i, Ordered{outcome})
			})
		}
	default:
		branch(dropEffect)
	}
}

// written returns the answer to a write that the store has accepted.
func (w *world) written(effect WriteLease) LeaseWritten {
	condition := effect.Revision.Era()
	switch {
	case effect.Create || condition == w.era || w.variant == erasHidden:
		return LeaseWritten{Result: Written, Revision: w.revisionIn(w.era)}
	case w.variant == staleConditionsAccepted:
		return LeaseWritten{Result: Written, Revision: w.revisionIn(condition)}
	default:
		return LeaseWritten{Result: Uncertain}
	}
}

// violation describes the violated requirement, or returns "".
func (w *world) violation() string {
	for i, first := range w.orders {
		for _, second := range w.orders[i+1:] {
			if first.token == second.token && (first.incarnation != second.incarnation || first.target != second.target) {
				return fmt.Sprintf("one token for two orders: %+v and %+v", first, second)
			}
		}
	}
	for _, first := range w.orders {
		for _, second := range w.orders {
			before := w.leaseOrder(first.epoch) < w.leaseOrder(second.epoch) ||
				(first.epoch == second.epoch && !first.deputy && second.deputy)
			if before && first.token > second.token {
				return fmt.Sprintf("a later holder has the lower token: %+v and %+v", first, second)
			}
		}
	}
	return ""
}

// leaseOrder returns the index of an epoch's lease among those accepted.
func (w *world) leaseOrder(epoch uint64) int {
	for i := len(w.leases) - 1; i >= 0; i-- {
		if w.leases[i].Epoch == epoch {
			return i
		}
	}
	return -1
}

// key identifies a state, so that each is explored once.
func (w *world) key() string {
	text := fmt.Sprint(w.storeContent, w.previous, w.era, w.unaware, w.incarnations, w.orders, w.crashes, w.lostAnswers)
	for i, machine := range w.machines {
		text += fmt.Sprint("|", machine.phase, machine.holdsLease, machine.actingAsDeputy, machine.needsNewEpoch, machine.lease, machine.holder, machine.confirmedDown, machine.confirmedAt.Sub(at(w.now)), machine.holderAlive, machine.indirectPathAt.IsZero(), machine.needSince.IsZero(), machine.resendsLeft, machine.token, machine.epoch, machine.counter, machine.revision, machine.storeEra, machine.target,
			machine.settleUntil.Sub(at(w.now)), machine.notBefore.Sub(at(w.now)), w.pending[i])
	}
	return text
}

// explore searches breadth first and returns the first violation and the number of states.
func explore(first *world, depth int) (string, int) {
	frontier := []*world{first}
	seen := map[string]bool{}
	for range depth {
		var nextFrontier []*world
		for _, state := range frontier {
			for _, successor := range state.successors() {
				if violated := successor.violation(); violated != "" {
					return violated, len(seen)
				}
				if key := successor.key(); !seen[key] {
					seen[key] = true
					nextFrontier = append(nextFrontier, successor)
				}
			}
		}
		frontier = nextFrontier
	}
	return "", len(seen)
}

const modelDepth = 12

func TestTokensOfAllInterleavings(t *testing.T) {
	violation, states := explore(newWorld(intact), modelDepth)
	must.Eq(t, "", violation)
	must.Greater(t, 10_000, states)
	t.Logf("%d states", states)
}

// restoreDepth is the search depth of worlds whose store may be restored.
const restoreDepth = 10

// newRestorableWorld returns a world whose store may be restored from an older copy once.
func newRestorableWorld(variant faultyVariant) *world {
	w := newWorld(variant)
	w.maxRestores = 1
	return w
}

func TestTokensAfterTheStoreIsRestored(t *testing.T) {
	violation, states := explore(newRestorableWorld(intact), restoreDepth)
	must.Eq(t, "", violation)
	must.Greater(t, 10_000, states)
	t.Logf("%d states", states)
}

func TestModelDetectsHiddenStoreEras(t *testing.T) {
	violation, states := explore(newRestorableWorld(erasHidden), 13)
	must.NotEq(t, "", violation, must.Sprintf("%d states", states))
}

// TestStaleWriteConditionAfterRestore guards against a late write whose condition holds again by
// coincidence. The lease holder restarts and takes the lease before another node's write arrives;
// the store loses the restarted holder's lease and then receives the write.
func TestStaleWriteConditionAfterRestore(t *testing.T) {
	for variant, wantViolation := range map[faultyVariant]bool{intact: false, staleConditionsAccepted: true} {
		w := newRestorableWorld(variant)
		w.answerWrite(0)
		w.answerWrite(1)
		w.runUntilWrite(1)
		_, isWrite := w.pending[1][0].(WriteLease)
		must.True(t, isWrite)
		w.startNode(0)
		w.answerWrite(0)
		w.runUntilOrdered(0)
		w.restore()
		w.answerWrite(1)
		w.runUntilOrdered(1)
		must.Eq(t, wantViolation, w.violation() != "", must.Sprint(w.violation()))
	}
}

// answerWrite lets the store accept or reject a node's conditional write.
func (w *world) answerWrite(i int) {
	effect := w.pending[i][0].(WriteLease)
	w.pending[i] = w.pending[i][1:]
	if w.write(effect) {
		w.step(i, w.written(effect))
		return
	}
	w.step(i, LeaseWritten{Result: Superseded})
}

// runUntilWrite runs a node that finds the primary down until it writes the lease or has given an
// order.
func (w *world) runUntilWrite(i int) {
	for range 8 {
		if len(w.pending[i]) == 0 {
			w.now += 3000
			w.step(i, Observed{downObservation()})
			continue
		}
		effect := w.pending[i][0]
		if _, isWrite := effect.(WriteLease); isWrite {
			return
		}
		w.pending[i] = w.pending[i][1:]
		switch effect := effect.(type) {
		case Corroborate:
			w.step(i, Corroborated{Answers: 2})
		case ReadLease:
			w.step(i, w.storedLease())
		case Survey:
			w.step(i, Surveyed{Reports: []Report{{ID: "b"}, {ID: "c"}}})
		case Order:
			machine := w.machines[i]
			w.orders = append(w.orders, order{holder: machine.node, incarnation: machine.incarnation, target: effect.Target, token: effect.Token, epoch: machine.epoch})
			w.step(i, Ordered{Accepted})
			return
		}
	}
}

// runUntilOrdered runs a node, including its writes of the lease, until it has given an order.
func (w *world) runUntilOrdered(i int) {
	for before := len(w.orders); len(w.orders) == before; {
		w.runUntilWrite(i)
		if len(w.pending[i]) == 0 {
			continue
		}
		if _, isWrite := w.pending[i][0].(WriteLease); !isWrite {
			return
		}
		w.answerWrite(i)
	}
}

// deputyDepth is larger, since only one node acts.
const deputyDepth = 20

func TestTokensOfADeputy(t *testing.T) {
	violation, states := explore(newWorldWithoutHolder(intact), deputyDepth)
	must.Eq(t, "", violation)
	must.Greater(t, 1_000, states)
	t.Logf("%d states", states)
}

func TestBrokenMechanismsAreNoticed(t *testing.T) {
	for _, variant := range []faultyVariant{unconditionalWrites, tokensWithoutEpoch, tokensWithoutCounter, epochKept, deputiesWithoutRange} {
		violation, _ := explore(newWorld(variant), 14)
		must.NotEq(t, "", violation, must.Sprintf("variant %d", variant))
	}
	for _, variant := range []faultyVariant{deputiesWithoutIncarnation} {
		violation, _ := explore(newWorldWithoutHolder(variant), deputyDepth)
		must.NotEq(t, "", violation, must.Sprintf("variant %d without the holder", variant))
	}
}
