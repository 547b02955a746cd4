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

// Router finds the nodes that serve a group and sends requests to them.
type Router struct {
	keys  peer.Keys
	local request.Server
	view  atomic.Pointer[core.View]
	// Forwarded and Local count requests by where they were served.
	Forwarded, Local atomic.Uint64

	mu      sync.RWMutex
	clients map[string]*peer.Client // by node
}

// NewRouter returns a router that serves groups of this node through local.
func NewRouter(keys peer.Keys, local request.Server) *Router {
	return &Router{keys: keys, local: local, clients: map[string]*peer.Client{}}
}

// Update puts a new view in force and drops links to nodes that are gone.
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

// View returns the view in force.
func (r *Router) View() *core.View { return r.view.Load() }

// Client returns the client for a peer, or nil if it is not a running member.
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

// Close ends all links.
func (r *Router) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, client := range r.clients {
		client.Close()
	}
}

func (r *Router) server(id string) request.Server {
	view := r.view.Load()
	if id == view.Self.ID {
		return r.local
	}
	if client := r.Client(id); client != nil {
		return client
	}
	return nil
}

// Served is the end of a request at the listener.
type Served struct {
	Result request.Result
	// Owner is the node that served the request, "" if none did.
	Owner string
	// Disconnect is true when the caller's connection must end.
	Disconnect bool
}

// tryPause is the pause before the third and later attempts.
const tryPause = 50 * time.Millisecond

// Submit has a request served. A request inside a transaction goes to the node
// that holds it, named by pinned; others go to the owner, then to its stand-by.
func (r *Router) Submit(ctx context.Context, submitted *request.Request, pinned string, chunk func([]byte) error) Served {
	passedOn := false
	counting := func(data []byte) error {
		passedOn = true
		return chunk(data)
	}
	info := submitted.Info
	attempt := Attempt{ReadOnly: info.ReadOnly, MayCommit: info.MayCommit, InTransaction: info.InTransaction}
	for {
		id := r.pick(submitted.Group, pinned, attempt.Tries)
		result, ending, ok := r.once(ctx, id, submitted, counting)
		if ok {
			return Served{Result: result, Owner: id}
		}
		attempt.Ending, attempt.PassedOn = ending, passedOn
		attempt.Tries++
		decision := Decide(attempt)
		if !decision.Retry {
			return Served{Result: request.Failed(decision.Kind, "", retryAfter), Disconnect: decision.Disconnect}
		}
		if attempt.Tries >= core.OwnerCount && !pause.For(ctx, tryPause) {
			return Served{Result: request.Failed(failure.NoServer, "", retryAfter)}
		}
		// The number must grow: the node asked next may have seen the last one.
		submitted.Info.ID.Number++
	}
}

// retryAfter is what a caller is told when no owner could be reached.
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

// once makes one attempt; ok is false if there is no result.
func (r *Router) once(ctx context.Context, id string, submitted *request.Request, chunk func([]byte) error) (request.Result, Ending, bool) {
	target := r.server(id)
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

// EndSession tells the node that holds a session's transaction that it is gone.
func (r *Router) EndSession(owner, groupName string, session group.SessionID) {
	if target := r.server(owner); target != nil {
		target.EndSession(groupName, session)
	}
}

// Cancel passes a cancel request on.
func (r *Router) Cancel(owner, groupName string, id group.RequestID) {
	if target := r.server(owner); target != nil {
		target.Cancel(groupName, id)
	}
}
