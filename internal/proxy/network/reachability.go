package network

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// degradedAfter is how long all other nodes, servers and the store must have been silent
	// before the node considers itself degraded: longer than a TCP retransmission, shorter than
	// a takeover.
	degradedAfter = 1500 * time.Millisecond
	// degradedPeers is the number of other nodes that must have been silent for that time, or
	// all of them if there are fewer.
	degradedPeers = 3
	// storeProbeInterval is the minimum interval between probes of the store by a node that gets
	// no answers.
	storeProbeInterval = time.Second
)

// reachability records when other nodes and the store last answered. It is safe for concurrent use.
type reachability struct {
	mu sync.Mutex
	// lastPeerAnswer is when any other node last answered. silentPeers are the addresses of the
	// nodes that have failed to answer since.
	lastPeerAnswer time.Time
	silentPeers    map[string]struct{}
	// lastStoreFailure is when a call to the store last got no answer.
	lastStoreAnswer  time.Time
	lastStoreFailure time.Time
	lastStoreProbe   time.Time
	degraded         bool
	// degradedSince is when the node became degraded. Any later answer ends that state.
	degradedSince time.Time
}

func newReachability(now time.Time) *reachability {
	return &reachability{lastPeerAnswer: now, lastStoreAnswer: now, silentPeers: map[string]struct{}{}}
}

// recordPeer records whether a node answered a request.
func (r *reachability) recordPeer(address string, answered bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.lastPeerAnswer = now
		clear(r.silentPeers)
		return
	}
	r.silentPeers[address] = struct{}{}
}

// recordStore records whether the store answered a call.
func (r *reachability) recordStore(answered bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		r.lastStoreAnswer = now
		return
	}
	r.lastStoreFailure = now
}

// ServerAnswers summarizes the recent answers of database servers.
type ServerAnswers struct {
	// Overdue is the number of servers with an overdue answer.
	Overdue int
	// LastAnswer is when any server last answered.
	LastAnswer time.Time
}

// evaluate decides whether the node is degraded. The parameter peers is the number of other known
// nodes. The result probe is set if the caller should probe the store, because everything else is
// silent and no call to the store has failed since.
func (r *reachability) evaluate(now time.Time, peers int, servers ServerAnswers) (degraded, changed, probe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.degraded
	if r.degraded {
		r.degraded = !r.lastPeerAnswer.After(r.degradedSince) && !r.lastStoreAnswer.After(r.degradedSince) && !servers.LastAnswer.After(r.degradedSince)
	} else {
		cutoff := now.Add(-degradedAfter)
		allSilent := peers > 0 && len(r.silentPeers) >= min(degradedPeers, peers) && r.lastPeerAnswer.Before(cutoff) &&
			servers.Overdue > 0 && servers.LastAnswer.Before(cutoff) && r.lastStoreAnswer.Before(cutoff)
		if allSilent && r.lastStoreFailure.After(r.lastStoreAnswer) && r.lastStoreFailure.After(r.lastPeerAnswer) {
			r.degraded, r.degradedSince = true, now
		} else if allSilent && now.Sub(r.lastStoreProbe) > storeProbeInterval {
			r.lastStoreProbe, probe = now, true
		}
	}
	return r.degraded, previous != r.degraded, probe
}

// recordPeerAnswer records the outcome of a request to another node. A refused connection proves
// that this node's link works.
func (n *Network) recordPeerAnswer(address string, err error) {
	answered := err == nil || errors.Is(err, syscall.ECONNREFUSED)
	n.reachability.recordPeer(address, answered, time.Now())
	n.silentMembers.record(address, err != nil)
}

// EvaluateDegraded decides whether this node considers itself degraded, and whether that has
// changed.
func (n *Network) EvaluateDegraded(now time.Time, servers ServerAnswers) (degraded, changed bool) {
	degraded, changed, probe := n.reachability.evaluate(now, n.KnownMemberCount(), servers)
	if probe {
		go n.probeStore()
	}
	return degraded, changed
}

// StoreLost reports whether the watch of the configuration gets no answer from the store.
func (n *Network) StoreLost() bool { return n.storeDown.Load() }

// RecentlySilent reports whether the node at an address recently failed to answer.
func (n *Network) RecentlySilent(address string, now time.Time) bool {
	return n.silentMembers.recentlySilent(address, now)
}

// probeStore makes a cheap call to find out whether the store answers.
func (n *Network) probeStore() {
	ctx, cancel := context.WithTimeout(context.Background(), storeProbeInterval)
	defer cancel()
	// meteredStore records the outcome.
	_, _ = n.ports.Store.ListStale(ctx, n.options.Kinds.Members)
}

// silentWindow is how long a node that did not answer is asked only after all others.
const silentWindow = 10 * time.Second

// silentNodes records, by address, when nodes last failed to answer. It is safe for concurrent use.
type silentNodes struct{ lastSilent sync.Map }

func (s *silentNodes) record(address string, silent bool) {
	if silent {
		s.lastSilent.Store(address, time.Now())
		return
	}
	s.lastSilent.Delete(address)
}

// recentlySilent reports whether a node failed to answer within silentWindow.
func (s *silentNodes) recentlySilent(address string, now time.Time) bool {
	lastSilent, found := s.lastSilent.Load(address)
	return found && now.Sub(lastSilent.(time.Time)) < silentWindow
}
