package remote

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Times of the links to owners.
const (
	dialLimit = 500 * time.Millisecond
	// dialPatience is how long a link that is being opened is waited for before
	// the next owner is tried.
	dialPatience = 300 * time.Millisecond
	// firstBackoff is the pause after an owner could not be reached; it doubles
	// up to longestBackoff.
	firstBackoff   = 250 * time.Millisecond
	longestBackoff = 8 * time.Second
)

// LinksConfig configures the links of a node.
type LinksConfig struct {
	// Dial opens a connection to the node at an address that serves a link.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnProof takes what owners tell of the primaries.
	OnProof ProofFunc
	// OnReport takes what they tell of the work that waits for servers.
	OnReport ReportFunc
}

// Links are a node's links to owners, by address. It is safe for concurrent use.
type Links struct {
	cfg LinksConfig

	mu    sync.Mutex
	peers map[string]*peer
	// changed is closed and replaced when an attempt to open a link ends.
	changed chan struct{}
}

// peer is what is known of the way to one owner.
type peer struct {
	link *Link
	// dialing is when the attempt under way began; zero if there is none.
	dialing time.Time
	retryAt time.Time
	backoff time.Duration
}

// NewLinks returns no links yet; they are opened when they are wanted.
func NewLinks(cfg LinksConfig) *Links {
	return &Links{cfg: cfg, peers: map[string]*peer{}, changed: make(chan struct{})}
}

// Pick returns a link to the first owner that can be reached, and its address; nil
// if there is none before the deadline.
func (ls *Links) Pick(addresses []string, deadline time.Time) (*Link, string) {
	for {
		link, address, pending, changed := ls.look(addresses, time.Now())
		if link != nil || !pending {
			return link, address
		}
		wait := min(time.Until(deadline), dialPatience)
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

// look returns the first open link. The first owner before it that can be tried is
// being reached meanwhile; if no link is open, pending tells that waiting for one is
// worth while.
func (ls *Links) look(addresses []string, now time.Time) (link *Link, address string, pending bool, changed chan struct{}) {
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

// dial opens a link if it is time to, and reports whether one is being opened that
// is worth waiting for; the lock is held.
func (ls *Links) dial(address string, p *peer, now time.Time) bool {
	if !p.dialing.IsZero() {
		return now.Sub(p.dialing) < dialPatience
	}
	if now.Before(p.retryAt) || (p.link != nil && p.link.open()) {
		return false
	}
	p.dialing = now
	go ls.open(address, p)
	return true
}

func (ls *Links) open(address string, p *peer) {
	ctx, cancel := context.WithTimeout(context.Background(), dialLimit)
	defer cancel()
	conn, err := ls.cfg.Dial(ctx, address)
	ls.mu.Lock()
	defer ls.mu.Unlock()
	p.dialing = time.Time{}
	if err == nil {
		p.link, p.backoff = NewLink(conn, ls.cfg.OnProof, ls.cfg.OnReport), 0
	} else {
		p.backoff = min(max(2*p.backoff, firstBackoff), longestBackoff)
		if errors.Is(err, syscall.ECONNREFUSED) {
			// The machine answers, so its process is being started.
			p.backoff = firstBackoff
		}
	}
	p.retryAt = time.Now().Add(max(p.backoff, firstBackoff))
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
