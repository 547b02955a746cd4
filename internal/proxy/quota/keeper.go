package quota

import (
	"sync"
	"time"

	"dewknot/internal/proxy/urgency"
)

// Sender sends messages to other nodes. Messages may get lost.
type Sender interface {
	// SendTokens sends a message to the node at an address.
	SendTokens(address string, m *Message)
}

// Keeper runs a Machine. It is safe for concurrent use.
type Keeper struct {
	address string
	sender  Sender
	notify  func(ThrottleEvent)

	mu      sync.Mutex
	machine *Machine
	// waiting holds the channels that are closed when waiting operations should try again.
	waiting map[waiterKey]chan struct{}
}

// waiterKey identifies the waiting operations of a tenant and level.
type waiterKey struct {
	tenant string
	level  urgency.Level
}

// NewKeeper returns a Keeper of a node that has no share yet.
func NewKeeper(cfg Config, sender Sender) *Keeper {
	return &Keeper{address: cfg.Address, sender: sender, notify: cfg.OnThrottleEvent, machine: NewMachine(cfg), waiting: map[waiterKey]chan struct{}{}}
}

// Token is a token of an operation. It is refunded if the operation does not run.
type Token struct {
	tenant                string
	level                 urgency.Level
	validFrom, validUntil time.Time
}

// Take takes a token for an operation of a tenant and level and waits for one until the deadline.
// If it gets none, it returns the time after which to retry.
func (k *Keeper) Take(tenant string, level urgency.Level, deadline time.Time) (token Token, retryAfter time.Duration, granted bool) {
	alreadyWaiting := false
	for {
		verdict, changed := k.tryTake(waiterKey{tenant, level}, alreadyWaiting)
		switch {
		case verdict.Granted:
			return k.waitUntilValid(Token{tenant: tenant, level: level, validFrom: verdict.ValidFrom, validUntil: verdict.ValidUntil}, deadline)
		case !verdict.Pending && verdict.Starting && time.Now().Add(verdict.RetryAfter).Before(deadline):
			// The allocators have just started and have tokens soon.
			time.Sleep(verdict.RetryAfter)
			alreadyWaiting = false
			continue
		case !verdict.Pending:
			return Token{}, verdict.RetryAfter, false
		}
		alreadyWaiting = true
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			k.step(func(time.Time) { k.machine.Abandon(tenant, level) })
			return Token{}, unreachableRetryAfter, false
		}
	}
}

// waitUntilValid waits until a token is valid. If that is after the deadline, it refunds the token
// and returns the time after which to retry.
func (k *Keeper) waitUntilValid(token Token, deadline time.Time) (Token, time.Duration, bool) {
	now := time.Now()
	if token.validFrom.After(deadline) {
		k.Refund(token)
		return Token{}, token.validFrom.Sub(now), false
	}
	if wait := token.validFrom.Sub(now); wait > 0 {
		time.Sleep(wait)
	}
	return token, 0, true
}

// tryTake asks the machine once. For a pending verdict it also returns a channel that is closed
// when the caller should try again.
func (k *Keeper) tryTake(key waiterKey, alreadyWaiting bool) (verdict Verdict, changed chan struct{}) {
	k.step(func(now time.Time) {
		verdict = k.machine.Take(now, key.tenant, key.level, alreadyWaiting)
		if !verdict.Pending {
			return
		}
		if changed = k.waiting[key]; changed == nil {
			changed = make(chan struct{})
			k.waiting[key] = changed
		}
	})
	return verdict, changed
}

// Refund returns the token of an operation that did not run.
func (k *Keeper) Refund(token Token) {
	k.step(func(now time.Time) {
		k.machine.Refund(now, token.tenant, token.level, token.validFrom, token.validUntil)
	})
}

// Receive handles a message from the node at an address.
func (k *Keeper) Receive(from string, m *Message) {
	k.step(func(now time.Time) { k.machine.Receive(now, from, m) })
}

// Tick must be called several times per renewInterval.
func (k *Keeper) Tick() { k.step(k.machine.Tick) }

// SetFleet sets the fleet as this node knows it.
func (k *Keeper) SetFleet(fleet Fleet) {
	k.step(func(time.Time) { k.machine.SetFleet(fleet) })
}

// SetShare gives the node its share from the given time.
func (k *Keeper) SetShare(from time.Time) {
	k.step(func(time.Time) { k.machine.SetShare(from) })
}

// Leave makes the node's allocator tell the requesters to use other ones.
func (k *Keeper) Leave() {
	k.step(func(time.Time) { k.machine.Leave() })
}

// step updates the machine, sends its messages, wakes waiting operations and reports throttling.
func (k *Keeper) step(update func(now time.Time)) {
	k.mu.Lock()
	now := time.Now()
	update(now)
	out := k.drain(now)
	k.wake(now)
	events := k.machine.ThrottleEvents()
	k.mu.Unlock()
	k.send(out)
	if k.notify == nil {
		return
	}
	for _, event := range events {
		k.notify(event)
	}
}

// drain returns the messages to other nodes and handles those to this one. mu must be held.
func (k *Keeper) drain(now time.Time) []Envelope {
	var out []Envelope
	for pending := k.machine.Drain(); len(pending) > 0; pending = k.machine.Drain() {
		for i := range pending {
			if pending[i].To == k.address {
				k.machine.Receive(now, k.address, &pending[i].Message)
				continue
			}
			out = append(out, pending[i])
		}
	}
	return out
}

// wake wakes the waiting operations that should try again. mu must be held.
func (k *Keeper) wake(now time.Time) {
	for key, changed := range k.waiting {
		if k.machine.Ready(now, key.tenant, key.level) {
			close(changed)
			delete(k.waiting, key)
		}
	}
}

func (k *Keeper) send(out []Envelope) {
	for i := range out {
		k.sender.SendTokens(out[i].To, &out[i].Message)
	}
}
