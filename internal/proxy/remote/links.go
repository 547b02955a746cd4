package remote

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Timing of links to owners.
const (
	dialTimeout = 500 * time.Millisecond
	// dialWaitTimeout is how long to wait for a link that is being opened before the next owner is
	// tried.
	dialWaitTimeout = 300 * time.Millisecond
	// minBackoff is the pause after a failed attempt to reach an owner. It doubles up to
	// maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// LinksConfig configures a node's links.
type LinksConfig struct {
	// Dial opens a connection for a link to the node at an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnProof receives the owners' proofs of positions.
	OnProof ProofFunc
	// OnReport receives the owners' load reports.
	OnReport ReportFunc
}

// Links are a node's links to owners, by address. They are safe for concurrent use.
type Links struct {
	cfg LinksConfig

	mu    sync.Mutex
	peers map[string]*peer
	// changed is closed and replaced when an attempt to open a link ends.
	changed chan struct{}
}

// peer is the state of the link to one owner.
type peer struct {
	link *Link
	// dialStarted is when the current attempt to open a link began; zero if there is none.
	dialStarted time.Time
	retryAt     time.Time
	backoff     time.Duration
}

// NewLinks returns an empty set of links. Links are opened on demand.
func NewLinks(cfg LinksConfig) *Links {
	return &Links{cfg: cfg, peers: map[string]*peer{}, changed: make(chan struct{})}
}

// Pick returns a link to the first reachable owner, and its address. It returns nil if none becomes
// reachable before the deadline.
func (ls *Links) Pick(addresses []string, deadline time.Time) (*Link, string) {
	for {
		link, address, pending, changed := ls.find(addresses, time.Now())
		if link != nil || !pending {
			return link, address
		}
		wait := min(time.Until(deadline), dialWaitTimeout)
		if wait <= 0 {
			return nil, ""
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// find returns the first open link, and starts to dial the owners before it. If no link is open,
// pending reports whether waiting for one is worthwhile.
func (ls *Links) find(addresses []string, now time.Time) (link *Link, address string, pending bool, changed chan struct{}) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, candidate := range addresses {
		p := ls.peers[candidate]
		if p == nil {
			p = &peer{}
			ls.peers[candidate] = p
		}
		if p.link != nil && p.link.Alive() {
			return p.link, candidate, false, nil
		}
		pending = pending || ls.dial(candidate, p, now)
	}
	return nil, "", pending, ls.changed
}

// dial starts to open a link if one is needed and its backoff is over. It reports whether a link is
// being opened that is worth waiting for. ls.mu must be held.
func (ls *Links) dial(address string, p *peer, now time.Time) bool {
	if !p.dialStarted.IsZero() {
		return now.Sub(p.dialStarted) < dialWaitTimeout
	}
	if now.Before(p.retryAt) || (p.link != nil && p.link.open()) {
		return false
	}
	p.dialStarted = now
	go ls.open(address, p)
	return true
}

func (ls *Links) open(address string, p *peer) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := ls.cfg.Dial(ctx, address)
	ls.mu.Lock()
	defer ls.mu.Unlock()
	p.dialStarted = time.Time{}
	if err == nil {
		p.link, p.backoff = NewLink(conn, ls.cfg.OnProof, ls.cfg.OnReport), 0
	} else {
		p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// The node's machine refuses connections, so its process is probably restarting.
			p.backoff = minBackoff
		}
	}
	p.retryAt = time.Now().Add(max(p.backoff, minBackoff))
	close(ls.changed)
	ls.changed = make(chan struct{})
}

// Close ends all links.
func (ls *Links) Close() {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, p := range ls.peers {
		if p.link != nil {
			p.link.Close()
		}
	}
}
