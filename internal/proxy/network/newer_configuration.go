package network

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/relay"
)

// Limits of the search for a newer configuration, which runs before an unknown key is rejected.
const (
	// maxRecentAge is the age up to which a configuration from the store or a reader counts as
	// current. It is shorter than the time in which a client receives a new key and uses it.
	maxRecentAge = time.Second
	// newerSearchTimeout bounds a search. It leaves time in the 2 s that a client allows for the
	// start of a session.
	newerSearchTimeout = 800 * time.Millisecond
	// newerSearchInterval is the minimum interval between searches, so that many unknown keys don't
	// cause many requests.
	newerSearchInterval = time.Second
)

// newerSearch lets sessions with unknown keys share one search for a newer configuration.
type newerSearch struct {
	mu      sync.Mutex
	began   time.Time
	running chan struct{}
}

// FetchNewerConfiguration asks other nodes for a newer configuration and waits until it is in force
// here. It does nothing if this node's configuration is recent.
func (n *Network) FetchNewerConfiguration(now time.Time) {
	if n.caches[n.options.Kinds.Configuration].Age() < maxRecentAge || n.ports.Peers == nil {
		return
	}
	n.newer.mu.Lock()
	running := n.newer.running
	if running == nil && now.Sub(n.newer.began) >= newerSearchInterval {
		running = make(chan struct{})
		n.newer.began, n.newer.running = now, running
		go n.searchNewer(running)
	}
	n.newer.mu.Unlock()
	if running == nil {
		return
	}
	<-running
}

// searchNewer applies the newest configuration that a few other nodes know.
func (n *Network) searchNewer(done chan struct{}) {
	defer func() {
		n.newer.mu.Lock()
		n.newer.running = nil
		n.newer.mu.Unlock()
		close(done)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), newerSearchTimeout)
	defer cancel()
	cache := n.caches[n.options.Kinds.Configuration]
	revision, err := cache.Revision()
	if err != nil {
		return
	}
	objects, revision, err := (&peerSource{n}).Watch(ctx, n.options.Kinds.Configuration, revision, 0)
	if err != nil || len(objects) == 0 {
		// No node that answered in time knows a newer configuration.
		return
	}
	cache.Apply(objects, revision)
}

// adoptNewestConfiguration applies the configuration of another node if its version is newer than
// the one that the store delivered to this starting node. The store may have been restored from an
// older copy, while running nodes keep the newer version until the operator writes it again.
func (n *Network) adoptNewestConfiguration() {
	known := n.Catalog.Current().Configuration
	if known == nil || n.ports.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), newerSearchTimeout)
	defer cancel()
	n.AwaitMembers(time.Now().Add(MemberAnswerTimeout))
	kind := n.options.Kinds.Configuration
	newest := MemberAnswer{Answer: relay.Answer{Version: known.Version}}
	for _, answer := range n.collectAnswers(ctx, n.sources(), relay.Request{Kind: kind, RevisionOnly: true}, answerGrace) {
		if answer.Version > newest.Version {
			newest = answer
		}
	}
	if newest.From == "" {
		return
	}
	answer, err := n.askObjects(ctx, newest.From, relay.Request{Kind: kind}, MemberAnswerTimeout)
	if err != nil || answer.Failed {
		n.Log.Write(eventlog.TransferInterrupted, zap.String("kind", kind), zap.Uint64("version", newest.Version), zap.String("peer", newest.From), zap.Error(err))
		return
	}
	n.caches[kind].Apply(answer.Objects, answer.Revision)
}

// recordConfigurationAnswer records that a call for the configuration was answered. The parameter
// is the start of the call.
func (n *Network) recordConfigurationAnswer(began time.Time) {
	n.configurationCheckedAt.Store(int64(began.Sub(n.Started)))
}

// KeysOutdated reports whether, with strict revocation, the configuration has not been confirmed
// for so long that no key may be accepted.
func (n *Network) KeysOutdated(now time.Time) bool {
	return n.options.StrictRevocation && now.Sub(n.Started)-time.Duration(n.configurationCheckedAt.Load()) > n.options.RevocationBound
}
