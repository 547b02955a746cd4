package upstream

import (
	"fmt"
	"hash/maphash"
	"slices"
	"sync"
	"time"
)

// SetupError reports that a server refused to set up the session state of a connection, although it
// had accepted the same before. The statement was sent already and may have run with another state;
// its outcome is unknown, and the connection must be closed.
type SetupError struct {
	Outcome Outcome
	Detail  string
}

// Error implements the error interface.
func (e *SetupError) Error() string {
	return fmt.Sprintf("the server refused a session value or a prepared statement: %s %s; close the connection", e.Outcome, e.Detail)
}

// setsUp reports whether the operation sets up session state for later ones.
func (k OperationKind) setsUp() bool {
	return k == ResetSession || k == SetValue || k == PrepareStatement
}

// setupLength returns the number of operations before the first that needs the session state.
func setupLength(operations []Operation) int {
	for i := range operations {
		if !operations[i].Kind.setsUp() {
			return i
		}
	}
	return len(operations)
}

// maxSetups is the number of setups that a server is remembered to accept.
const maxSetups = 4096

// setupSeed is the seed of the hashes of setups.
var setupSeed = maphash.MakeSeed()

// setupKey identifies an operation that sets up session state.
type setupKey struct {
	kind        OperationKind
	name, value string
}

func newSetupKey(operation *Operation) uint64 {
	return maphash.Comparable(setupSeed, setupKey{operation.Kind, operation.Name, operation.Value})
}

// setupHistory remembers which setups a server accepts. A statement is sent together with those, in one
// round trip. It must not run if the server refuses another one, so it is sent after the answer.
type setupHistory struct {
	mu       sync.Mutex
	accepted map[uint64]struct{}
	// unreliable is set once the server has refused a setup that it accepted before.
	unreliable bool
}

// accepts reports whether the server is expected to accept all operations.
func (h *setupHistory) accepts(operations []Operation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range operations {
		if _, found := h.accepted[newSetupKey(&operations[i])]; !found {
			return false
		}
	}
	return !h.unreliable
}

// record records the results of operations, and returns the first that is no success, or nil.
func (h *setupHistory) record(operations []Operation, results []Result) *Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	var refused *Result
	for i := range operations {
		key := newSetupKey(&operations[i])
		if results[i].Outcome == Succeeded {
			if h.accepted == nil || len(h.accepted) >= maxSetups {
				h.accepted = map[uint64]struct{}{}
			}
			h.accepted[key] = struct{}{}
			continue
		}
		if _, found := h.accepted[key]; found {
			h.unreliable = true
		}
		if refused == nil {
			refused = &results[i]
		}
	}
	return refused
}

// runWithSetup runs operations of which the first ones set up session state. If the server refuses one
// of these, the others have its outcome.
func (l *Lease) runWithSetup(operations []Operation, setup int, deadline time.Time) Batch {
	history := &l.pool.setups
	if !usesSlot(operations) {
		batch := l.run(operations, deadline)
		if batch.Err == nil {
			batch.refuse(history.record(operations[:setup], batch.Results), setup)
		}
		return batch
	}
	if history.accepts(operations[:setup]) {
		batch := l.run(operations, deadline)
		if batch.Err != nil {
			return batch
		}
		if refused := history.record(operations[:setup], batch.Results); refused != nil {
			batch.Err = &SetupError{Outcome: refused.Outcome, Detail: refused.Detail}
		}
		return batch
	}
	first := l.run(operations[:setup], deadline)
	if first.Err != nil {
		return first
	}
	if refused := history.record(operations[:setup], first.Results); refused != nil {
		for range operations[setup:] {
			first.Results = append(first.Results, *first.Last())
		}
		first.refuse(refused, setup)
		return first
	}
	rest := l.run(operations[setup:], deadline)
	rest.Results = append(first.Results, rest.Results...)
	return rest
}

// usesSlot reports whether a statement or commit is among operations.
func usesSlot(operations []Operation) bool {
	return slices.ContainsFunc(operations, func(operation Operation) bool { return operation.Kind.UsesSlot() })
}

// refuse gives the outcome of a refused setup to the results after the setup.
func (b *Batch) refuse(refused *Result, setup int) {
	if refused == nil {
		return
	}
	for i := setup; i < len(b.Results); i++ {
		b.Results[i].Outcome, b.Results[i].Detail = refused.Outcome, refused.Detail
	}
}
