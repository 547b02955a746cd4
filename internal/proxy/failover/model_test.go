package failover

import (
	"fmt"
	"maps"
	"testing"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/position"
)

// The model explores, exhaustively up to a depth, two nodes that both find the
// primary down: store answers that are lost before or after they took effect,
// orders that are carried out late, and nodes that crash and return under their
// name. It checks what the platform demands of tokens:
//
//   - no two holders order under one token,
//   - no two targets are ordered under one token,
//   - the tokens rise with every change of holder, in the order of the leases; those
//     of a lease's deputies lie above its holder's and below the next lease's.
//
// Each node is the other's deputy.

// faultyVariant is a broken mechanism that the check must notice.
type faultyVariant uint8

const (
	intact faultyVariant = iota
	unconditionalWrites
	tokensWithoutEpoch
	tokensWithoutCounter
	epochKept
	deputiesWithoutRange
	deputiesWithoutLife
)

type order struct {
	holder string
	life   string
	target string
	token  uint64
	// deputy is set if the order was a deputy's, epoch is that of the lease it acted for.
	deputy bool
	epoch  uint64
}

// world is a state of the model; clone makes an independent copy.
type world struct {
	variant  faultyVariant
	now      int
	revision uint64
	missing  bool
	lease    Lease
	machines []*Machine
	lives    []int
	pending  [][]Effect
	orders   []order
	// leases lists the holders in the order in which the store accepted them.
	leases []Lease
	crashes,
	losses int
	// holderLost is set if the first node, which holds the lease, does nothing more.
	holderLost bool
}

func newWorld(variant faultyVariant) *world {
	w := &world{variant: variant, missing: true, machines: make([]*Machine, 2), lives: make([]int, 2), pending: make([][]Effect, 2)}
	for i := range w.machines {
		w.start(i)
	}
	return w
}

// newWorldWithoutHolder returns a world whose lease is held by a node that is lost.
func newWorldWithoutHolder(variant faultyVariant) *world {
	w := newWorld(variant)
	w.holderLost = true
	w.write(WriteLease{Create: true, Lease: Lease{Holder: "n0", Epoch: 1, Life: "n0.1"}})
	w.start(1)
	return w
}

func (w *world) start(i int) {
	w.lives[i]++
	w.machines[i] = New(Config{Node: fmt.Sprintf("n%d", i), Life: fmt.Sprintf("n%d.%d", i, w.lives[i])})
	w.pending[i] = nil
	w.step(i, w.known())
}

func (w *world) known() LeaseKnown {
	return LeaseKnown{Missing: w.missing, Revision: w.revision, Lease: w.lease}
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
		duplicate.rejected = maps.Clone(machine.rejected)
		copied.machines[i] = &duplicate
		copied.pending[i] = append([]Effect(nil), w.pending[i]...)
	}
	copied.lives = append([]int(nil), w.lives...)
	copied.orders = append([]order(nil), w.orders...)
	copied.leases = append([]Lease(nil), w.leases...)
	return &copied
}

// write applies a conditional write and reports whether it was accepted.
func (w *world) write(effect WriteLease) bool {
	matches := w.missing == effect.Create && (effect.Create || effect.Revision == w.revision)
	if !matches && w.variant != unconditionalWrites {
		return false
	}
	if w.variant == epochKept && !w.missing {
		effect.Lease.Epoch = w.lease.Epoch
	}
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
		if machine.deputizing {
			return effect.Token - uint64(machine.deputyRank())*ownTokens - machine.firstDeputyToken()
		}
		return effect.Token
	case deputiesWithoutLife:
		if machine.deputizing {
			return effect.Token - machine.firstDeputyToken()
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
	maxCrashes = 1
	maxLosses  = 2
)

// next returns all states that one event leads to.
func (w *world) next() []*world {
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
			branch(func(s *world) { s.now += 3000; s.step(i, Observed{down()}) })
		} else {
			w.answers(i, branch)
		}
		if w.crashes < maxCrashes {
			branch(func(s *world) { s.crashes++; s.start(i) })
		}
	}
	return states
}

// answers branches over the ways in which the oldest effect of a node ends.
func (w *world) answers(i int, branch func(func(*world))) {
	effect := w.pending[i][0]
	take := func(s *world) { s.pending[i] = s.pending[i][1:] }
	switch effect := effect.(type) {
	case Corroborate:
		branch(func(s *world) { take(s); s.step(i, Corroborated{Answers: 2}) })
		branch(func(s *world) { take(s); s.step(i, Corroborated{Answers: 2, Reached: 1}) })
		branch(func(s *world) { take(s); s.step(i, Corroborated{Answers: 2, HolderAnswered: true}) })
	case ReadLease:
		branch(func(s *world) { take(s); s.step(i, s.known()) })
		if w.losses < maxLosses {
			branch(func(s *world) { take(s); s.losses++; s.step(i, LeaseKnown{Failed: true}) })
		}
	case WriteLease:
		branch(func(s *world) {
			take(s)
			if s.write(effect) {
				s.step(i, LeaseWritten{Result: Written, Revision: s.revision})
				return
			}
			s.step(i, LeaseWritten{Result: Superseded})
		})
		if w.losses < maxLosses {
			branch(func(s *world) { take(s); s.losses++; s.write(effect); s.step(i, LeaseWritten{Result: Uncertain}) })
			branch(func(s *world) { take(s); s.losses++; s.step(i, LeaseWritten{Result: Uncertain}) })
		}
	case Survey:
		for offset := range uint64(2) {
			branch(func(s *world) {
				take(s)
				s.step(i, Surveyed{Reports: []Report{
					{ID: "b", Received: position.Position{Term: 1, Offset: offset}},
					{ID: "c", Received: position.Position{Term: 1, Offset: 1 - offset}},
				}})
			})
		}
	case Order:
		for _, outcome := range []PromotionOutcome{Accepted, Rejected, Unanswered} {
			branch(func(s *world) {
				take(s)
				machine := s.machines[i]
				given := order{
					holder: machine.node, life: machine.life, target: effect.Target, token: s.token(machine, effect),
					deputy: machine.deputizing, epoch: machine.epoch,
				}
				if machine.deputizing {
					given.epoch = machine.lease.Epoch
				}
				s.orders = append(s.orders, given)
				s.step(i, Ordered{outcome})
			})
		}
	default:
		branch(take)
	}
}

// violation returns what a state breaks, "" if nothing.
func (w *world) violation() string {
	for i, first := range w.orders {
		for _, second := range w.orders[i+1:] {
			if first.token == second.token && (first.life != second.life || first.target != second.target) {
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

// leaseOrder returns the place of an epoch's lease among those accepted.
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
	text := fmt.Sprint(w.revision, w.missing, w.lease, w.lives, w.orders, w.crashes, w.losses)
	for i, machine := range w.machines {
		text += fmt.Sprint("|", machine.phase, machine.holding, machine.deputizing, machine.fenced, machine.lease, machine.holder, machine.confirmedDown, machine.confirmedAt.Sub(at(w.now)), machine.holderLives, machine.detourAt.IsZero(), machine.needSince.IsZero(), machine.repeats, machine.token, machine.epoch, machine.counter, machine.revision, machine.target,
			machine.settleUntil.Sub(at(w.now)), machine.notBefore.Sub(at(w.now)), w.pending[i])
	}
	return text
}

// explore searches breadth first and returns the first violation.
func explore(first *world, depth int) (string, int) {
	frontier := []*world{first}
	seen := map[string]bool{}
	for range depth {
		var following []*world
		for _, state := range frontier {
			for _, reached := range state.next() {
				if broken := reached.violation(); broken != "" {
					return broken, len(seen)
				}
				if key := reached.key(); !seen[key] {
					seen[key] = true
					following = append(following, reached)
				}
			}
		}
		frontier = following
	}
	return "", len(seen)
}

const modelDepth = 12

func TestTokensOfAllInterleavings(t *testing.T) {
	broken, states := explore(newWorld(intact), modelDepth)
	must.Eq(t, "", broken)
	must.Greater(t, 10_000, states)
	t.Logf("%d states", states)
}

// deputyDepth is deeper, since only one node moves.
const deputyDepth = 20

func TestTokensOfADeputy(t *testing.T) {
	broken, states := explore(newWorldWithoutHolder(intact), deputyDepth)
	must.Eq(t, "", broken)
	must.Greater(t, 1_000, states)
	t.Logf("%d states", states)
}

func TestBrokenMechanismsAreNoticed(t *testing.T) {
	for _, variant := range []faultyVariant{unconditionalWrites, tokensWithoutEpoch, tokensWithoutCounter, epochKept, deputiesWithoutRange} {
		broken, _ := explore(newWorld(variant), 14)
		must.NotEq(t, "", broken, must.Sprintf("variant %d", variant))
	}
	for _, variant := range []faultyVariant{deputiesWithoutLife} {
		broken, _ := explore(newWorldWithoutHolder(variant), deputyDepth)
		must.NotEq(t, "", broken, must.Sprintf("variant %d without the holder", variant))
	}
}
