package network

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/relay"
)

// Limits of the search for a newer configuration, before a caller is told that its key is
// not known.
const (
	// surelyRecent is the age up to which what the store or a reader of it has told counts
	// as the present configuration: a caller whose key was given to it a moment ago comes
	// back later than that.
	surelyRecent = time.Second
	// newerLimit bounds the search as a whole: a caller gives the start of a session 2 s.
	newerLimit = 800 * time.Millisecond
	// newerPause is the shortest pause between two searches, so that a flood of unknown
	// keys costs no flood of questions.
	newerPause = time.Second
)

// newerSearch lets sessions with unknown keys share one search for a newer configuration.
type newerSearch struct {
	mu      sync.Mutex
	began   time.Time
	running chan struct{}
}

// SeekNewer looks whether another node knows a newer configuration than this one, and
// waits until it is in force here. It does nothing if this node's is recent.
func (n *Network) SeekNewer(now time.Time) {
	if n.caches[n.options.Kinds.Configuration].Age() < surelyRecent || n.ports.Peers == nil {
		return
	}
	n.newer.mu.Lock()
	running := n.newer.running
	if running == nil && now.Sub(n.newer.began) >= newerPause {
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

// searchNewer takes the newest configuration that a few other nodes know into force.
func (n *Network) searchNewer(done chan struct{}) {
	defer func() {
		n.newer.mu.Lock()
		n.newer.running = nil
		n.newer.mu.Unlock()
		close(done)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), newerLimit)
	defer cancel()
	cache := n.caches[n.options.Kinds.Configuration]
	revision, err := cache.Revision()
	if err != nil {
		return
	}
	objects, revision, err := (&otherNodes{n}).Watch(ctx, n.options.Kinds.Configuration, revision, 0)
	if err != nil || len(objects) == 0 {
		// Nobody asked knows more, or nobody answered in time.
		return
	}
	cache.Apply(objects, revision)
}

// adoptNewest takes the configuration of another node into force if its version is later than
// the one that the store told a node that starts: the store may just have come back from an
// older copy, while running nodes keep what they know until the operator has written again.
func (n *Network) adoptNewest() {
	known := n.Catalog.Current().Configuration
	if known == nil || n.ports.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), newerLimit)
	defer cancel()
	n.AwaitMembers(time.Now().Add(MemberAnswerLimit))
	kind := n.options.Kinds.Configuration
	newest := MemberAnswer{Answer: relay.Answer{Version: known.Version}}
	for _, answer := range n.gather(ctx, n.sources(), relay.Question{Kind: kind, Peek: true}, answerGrace) {
		if answer.Version > newest.Version {
			newest = answer
		}
	}
	if newest.From == "" {
		return
	}
	answer, err := n.askObjects(ctx, newest.From, relay.Question{Kind: kind}, MemberAnswerLimit)
	if err != nil || answer.Failed {
		n.Log.Write(eventlog.TransferInterrupted, zap.String("kind", kind), zap.Uint64("version", newest.Version), zap.String("peer", newest.From), zap.Error(err))
		return
	}
	n.caches[kind].Apply(answer.Objects, answer.Revision)
}

// heardConfiguration notes that a call for the configuration was answered which began at a
// time.
func (n *Network) heardConfiguration(began time.Time) {
	n.configurationHeard.Store(int64(began.Sub(n.Started)))
}

// KeysUncertain reports whether the node has not heard for too long which keys are in force
// to serve any, where that is asked for.
func (n *Network) KeysUncertain(now time.Time) bool {
	return n.options.StrictRevocation && now.Sub(n.Started)-time.Duration(n.configurationHeard.Load()) > n.options.RevocationBound
}
