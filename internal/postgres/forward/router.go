package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/failure"
	"dewknot/internal/postgres/core"
	"dewknot/internal/postgres/group"
	"dewknot/internal/postgres/pause"
	"dewknot/internal/postgres/peer"
	"dewknot/internal/postgres/request"
)

// Router sends requests to the nodes that serve their group. It is safe for concurrent use.
type Router struct {
	keys  peer.Keys
	local request.Server
	view  atomic.Pointer[core.View]
	// Forwarded and Local count requests by where they were served.
	Forwarded, Local atomic.Uint64

	mu      sync.RWMutex
	clients map[string]*peer.Client // by node identifier
}

// NewRouter returns a router that sends requests for groups of this node to local.
func NewRouter(keys peer.Keys, local request.Server) *Router {
	return &Router{keys: keys, local: local, clients: map[string]*peer.Client{}}
}

// Update installs a new view and closes the links to nodes that are gone or have a new
// address.
func (r *Router) Update(view *core.View) {
	r.view.Store(view)
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, client := range r.clients {
		member, ok := view.Member(id)
		if !ok || member.Addresses.Peer != client.Address() {
			client.Close()
			delete(r.clients, id)
		}
	}
}

// View returns the current view.
func (r *Router) View() *core.View { return r.view.Load() }

// Client returns the client of a peer, or nil if the peer isn't a running member.
func (r *Router) Client(id string) *peer.Client {
	r.mu.RLock()
	found := r.clients[id]
	r.mu.RUnlock()
	if found != nil {
		return found
	}
	view := r.view.Load()
	member, ok := view.Member(id)
	if !ok {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients[id] == nil {
		r.clients[id] = peer.NewClient(view.Self.ID, r.keys, id, member.Addresses.Peer)
	}
	return r.clients[id]
}

// Close closes all links.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, client := range r.clients {
		client.Close()
	}
}

func (r *Router) serverFor(id string) request.Server {
	view := r.view.Load()
	if id == view.Self.ID {
		return r.local
	}
	if client := r.Client(id); client != nil {
		return client
	}
	return nil
}

// Served is the result of Submit.
type Served struct {
	Result request.Result
	// Owner is the node that served the request, or "".
	Owner string
	// Disconnect is true when the caller's connection must be closed.
	Disconnect bool
}

// retryDelay is the delay before each attempt once the owner and the standby have failed.
const retryDelay = 50 * time.Millisecond

// Submit sends a request to a node that serves it, with retries. If the caller has an open
// transaction, pinned names the node that holds it. Other requests go to the owner and the
// standby in turn.
func (r *Router) Submit(ctx context.Context, submitted *request.Request, pinned string, chunk func([]byte) error) Served {
	partDelivered := false
	trackedChunk := func(data []byte) error {
		partDelivered = true
		return chunk(data)
	}
	info := submitted.Info
	attempt := Attempt{ReadOnly: info.ReadOnly, MayCommit: info.MayCommit, InTransaction: info.InTransaction}
	for {
		id := r.pick(submitted.Group, pinned, attempt.Tries)
		result, ending, ok := r.tryNode(ctx, id, submitted, trackedChunk)
		if ok {
			return Served{Result: result, Owner: id}
		}
		attempt.Ending, attempt.PartDelivered = ending, partDelivered
		attempt.Tries++
		decision := Decide(attempt)
		if !decision.Retry {
			return Served{Result: request.Failed(decision.Kind, "", retryAfter), Disconnect: decision.Disconnect}
		}
		if attempt.Tries >= core.OwnerCount && !pause.For(ctx, retryDelay) {
			return Served{Result: request.Failed(failure.NoServer, "", retryAfter)}
		}
		// The next node may have seen the previous number and would ignore it as a duplicate.
		submitted.Info.ID.Number++
	}
}

// retryAfter is the retry delay that callers get when no owner could be reached.
const retryAfter = 500 * time.Millisecond

func (r *Router) pick(groupName, pinned string, tries int) string {
	if pinned != "" {
		return pinned
	}
	owners := r.view.Load().Owners(groupName)
	if len(owners) == 0 {
		return ""
	}
	return owners[tries%len(owners)]
}

// tryNode makes one attempt. It returns false if there is no result; Ending then says why.
func (r *Router) tryNode(ctx context.Context, id string, submitted *request.Request, chunk func([]byte) error) (request.Result, Ending, bool) {
	target := r.serverFor(id)
	if target == nil {
		return request.Result{}, NotSent, false
	}
	if target == r.local {
		r.Local.Add(1)
	} else {
		r.Forwarded.Add(1)
	}
	result, err := target.Submit(ctx, submitted, chunk)
	if err == nil {
		if result.Kind == failure.NotOwner {
			return result, NotOwner, false
		}
		return result, NotSent, true
	}
	var linkError *request.LinkError
	if errors.As(err, &linkError) && !linkError.Sent {
		return request.Result{}, NotSent, false
	}
	return request.Result{}, LinkLost, false
}

// EndSession informs the node that holds a session's transaction that the session has ended.
func (r *Router) EndSession(owner, groupName string, session group.SessionID) {
	if target := r.serverFor(owner); target != nil {
		target.EndSession(groupName, session)
	}
}

// Cancel sends a cancel request to the node that serves the request.
func (r *Router) Cancel(owner, groupName string, id group.RequestID) {
	if target := r.serverFor(owner); target != nil {
		target.Cancel(groupName, id)
	}
}
