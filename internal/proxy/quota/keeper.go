package quota

import (
	"sync"
	"time"

	"dewknot/internal/proxy/urgency"
)

// Sender sends messages to other nodes; they may get lost.
type Sender interface {
	// SendTokens sends a message to the node at an address.
	SendTokens(address string, m *Message)
}

// Keeper runs a Machine. It is safe for concurrent use.
type Keeper struct {
	address string
	sender  Sender
	notify  func(HeldBack)

	mu      sync.Mutex
	machine *Machine
	// waiting holds the channels that are closed when operations that wait for a token
	// should ask again.
	waiting map[waiters]chan struct{}
}

// waiters are the operations of a tenant and a level.
type waiters struct {
	tenant string
	level  urgency.Level
}

// NewKeeper returns a keeper of a node without a share.
func NewKeeper(cfg Config, sender Sender) *Keeper {
	return &Keeper{address: cfg.Address, sender: sender, notify: cfg.OnHeldBack, machine: NewMachine(cfg), waiting: map[waiters]chan struct{}{}}
}

// Token is what an operation takes, to be put back if it did not run.
type Token struct {
	tenant      string
	level       urgency.Level
	from, until time.Time
}

// Take takes a token for an operation of a tenant and a level, waiting for one until a deadline. If
// there is none, it returns when to come back.
func (k *Keeper) Take(tenant string, level urgency.Level, deadline time.Time) (token Token, after time.Duration, granted bool) {
	waits := false
	for {
		verdict, changed := k.try(waiters{tenant, level}, waits)
		switch {
		case verdict.Granted:
			return k.waitFor(Token{tenant: tenant, level: level, from: verdict.From, until: verdict.Until}, deadline)
		case !verdict.Pending && verdict.Young && time.Now().Add(verdict.After).Before(deadline):
			// The fleet has just started: there will be some in a moment.
			time.Sleep(verdict.After)
			waits = false
			continue
		case !verdict.Pending:
			return Token{}, verdict.After, false
		}
		waits = true
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			k.step(func(time.Time) { k.machine.Abandon(tenant, level) })
			return Token{}, unreachedPause, false
		}
	}
}

// waitFor waits until a token is good, unless that is after the deadline: then it is left
// to others.
func (k *Keeper) waitFor(token Token, deadline time.Time) (Token, time.Duration, bool) {
	now := time.Now()
	if token.from.After(deadline) {
		k.PutBack(token)
		return Token{}, token.from.Sub(now), false
	}
	if wait := token.from.Sub(now); wait > 0 {
		time.Sleep(wait)
	}
	return token, 0, true
}

// try asks the machine once, and returns what is closed when to ask again.
func (k *Keeper) try(who waiters, waits bool) (verdict Verdict, changed chan struct{}) {
	k.step(func(now time.Time) {
		verdict = k.machine.Take(now, who.tenant, who.level, waits)
		if !verdict.Pending {
			return
		}
		if changed = k.waiting[who]; changed == nil {
			changed = make(chan struct{})
			k.waiting[who] = changed
		}
	})
	return verdict, changed
}

// PutBack returns the token of an operation that did not run.
func (k *Keeper) PutBack(token Token) {
	k.step(func(now time.Time) { k.machine.PutBack(now, token.tenant, token.level, token.from, token.until) })
}

// Receive takes a message from the node at an address.
func (k *Keeper) Receive(from string, m *Message) {
	k.step(func(now time.Time) { k.machine.Receive(now, from, m) })
}

// Tick is to be called some times in a renewInterval.
func (k *Keeper) Tick() { k.step(k.machine.Tick) }

// SetFleet takes what is now known of the other nodes.
func (k *Keeper) SetFleet(fleet Fleet) {
	k.step(func(time.Time) { k.machine.SetFleet(fleet) })
}

// SetShare gives the node its share from a time on.
func (k *Keeper) SetShare(from time.Time) {
	k.step(func(time.Time) { k.machine.SetShare(from) })
}

// Leave makes the node's allocator tell its askers to turn to others.
func (k *Keeper) Leave() {
	k.step(func(time.Time) { k.machine.Leave() })
}

// step changes the machine, sends what it wants to tell and wakes those who wait.
func (k *Keeper) step(change func(now time.Time)) {
	k.mu.Lock()
	now := time.Now()
	change(now)
	out := k.drain(now)
	k.wake(now)
	changes := k.machine.Changes()
	k.mu.Unlock()
	k.send(out)
	if k.notify == nil {
		return
	}
	for _, change := range changes {
		k.notify(change)
	}
}

// drain returns the messages to other nodes; those to this one are taken at once. The lock
// is held.
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

// wake makes operations ask again for whose tenants something has come; the lock is held.
func (k *Keeper) wake(now time.Time) {
	for who, changed := range k.waiting {
		if k.machine.Ready(now, who.tenant, who.level) {
			close(changed)
			delete(k.waiting, who)
		}
	}
}

func (k *Keeper) send(out []Envelope) {
	for i := range out {
		k.sender.SendTokens(out[i].To, &out[i].Message)
	}
}
