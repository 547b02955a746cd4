package network

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// degradedAfter is how long all that a node talks to must have been silent until the
	// node takes itself to be at fault: longer than one lost packet is sent again, shorter
	// than what a takeover takes.
	degradedAfter = 1500 * time.Millisecond
	// degradedPeers is how many other nodes must have been silent in that time, or all
	// if there are fewer.
	degradedPeers = 3
	// storeProbePause is the least pause between two calls by which a node that hears
	// nothing finds out whether it reaches the store.
	storeProbePause = time.Second
)

// reachability is what a node has lately heard of other nodes and of the store. It is
// safe for concurrent use.
type reachability struct {
	mu sync.Mutex
	// peerHeard is when another node last answered, silentPeers those that have not since.
	peerHeard   time.Time
	silentPeers map[string]struct{}
	// storeHeard is when the store last answered, storeFailed when a call last got no answer.
	storeHeard  time.Time
	storeFailed time.Time
	storeProbed time.Time
	degraded    bool
	since       time.Time
}

func newReachability(now time.Time) *reachability {
	return &reachability{peerHeard: now, storeHeard: now, silentPeers: map[string]struct{}{}}
}

// peer notes that a node answered a question or was silent.
func (r *reachability) peer(address string, heard bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if heard {
		r.peerHeard = now
		clear(r.silentPeers)
		return
	}
	r.silentPeers[address] = struct{}{}
}

// store notes that the store answered a call or was silent.
func (r *reachability) store(heard bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if heard {
		r.storeHeard = now
		return
	}
	r.storeFailed = now
}

// ServerSigns is what a node has lately heard of database servers.
type ServerSigns struct {
	// Silent counts the servers that owe an answer.
	Silent int
	// Heard is when any server last answered.
	Heard time.Time
}

// look decides whether the node, which knows some others, is degraded. It asks for a
// call to the store if only the store's word is missing.
func (r *reachability) look(now time.Time, others int, servers ServerSigns) (degraded, changed, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.degraded
	if r.degraded {
		r.degraded = !r.peerHeard.After(r.since) && !r.storeHeard.After(r.since) && !servers.Heard.After(r.since)
	} else {
		silence := now.Add(-degradedAfter)
		silent := others > 0 && len(r.silentPeers) >= min(degradedPeers, others) && r.peerHeard.Before(silence) &&
			servers.Silent > 0 && servers.Heard.Before(silence) && r.storeHeard.Before(silence)
		if silent && r.storeFailed.After(r.storeHeard) && r.storeFailed.After(r.peerHeard) {
			r.degraded, r.since = true, now
		} else if silent && now.Sub(r.storeProbed) > storeProbePause {
			r.storeProbed, probe = now, true
		}
	}
	return r.degraded, before != r.degraded, probe
}

// peerAnswered notes how a question to another node ended. One that refuses the
// connection has answered as far as this node's link is concerned.
func (n *Network) peerAnswered(address string, err error) {
	heard := err == nil || errors.Is(err, syscall.ECONNREFUSED)
	n.reachability.peer(address, heard, time.Now())
	n.silentMembers.note(address, err != nil)
}

// Distrusts decides whether the node, which has heard of servers what signs tell, takes
// itself to be at fault, and whether that has changed.
func (n *Network) Distrusts(now time.Time, signs ServerSigns) (degraded, changed bool) {
	degraded, changed, probe := n.reachability.look(now, n.KnownMembers(), signs)
	if probe {
		go n.probeStore()
	}
	return degraded, changed
}

// StoreLost reports whether the store does not answer the watch of the configuration.
func (n *Network) StoreLost() bool { return n.storeDown.Load() }

// SilentLately reports whether the node at an address was silent a short while ago.
func (n *Network) SilentLately(address string, now time.Time) bool {
	return n.silentMembers.lately(address, now)
}

// probeStore makes a cheap call, whose outcome tells whether the store is reached.
func (n *Network) probeStore() {
	ctx, cancel := context.WithTimeout(context.Background(), storeProbePause)
	defer cancel()
	// The outcome is noted on the way, by meteredStore.
	_, _ = n.ports.Store.ListStale(ctx, n.options.Kinds.Members)
}

// silentSpan is for how long a node that did not answer is asked after all others.
const silentSpan = 10 * time.Second

// silences holds when nodes last did not answer, by address. It is safe for concurrent use.
type silences struct{ since sync.Map }

func (s *silences) note(address string, silent bool) {
	if silent {
		s.since.Store(address, time.Now())
		return
	}
	s.since.Delete(address)
}

// lately reports whether a node was silent a short while ago.
func (s *silences) lately(address string, now time.Time) bool {
	since, found := s.since.Load(address)
	return found && now.Sub(since.(time.Time)) < silentSpan
}
