package backends

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
	"dewknot/internal/proxy/upstream"
)

var errTestUnreachable = errors.New("unreachable")

// memberStore lists members. While down is set, it answers nothing.
type memberStore struct {
	objectstore.Store
	members []string
	down    atomic.Bool
}

// ListStale implements objectstore.Store.
func (s *memberStore) ListStale(context.Context, string) ([]objectstore.Object, error) {
	if s.down.Load() {
		return nil, &objectstore.Error{Outcome: objectstore.NotDone}
	}
	var objects []objectstore.Object
	for _, name := range s.members {
		objects = append(objects, objectstore.Object{
			Name:    name,
			Content: fmt.Appendf(nil, `{"address":%q,"zone":%q}`, name, name[:1]),
		})
	}
	return objects, nil
}

// linkPeers records the addresses to which links are requested. All requests fail.
type linkPeers struct {
	relay.Answer
	requested chan string
}

func (p *linkPeers) Ask(context.Context, string, relay.Request) (relay.Answer, error) {
	return relay.Answer{}, errTestUnreachable
}

func (p *linkPeers) Link(_ context.Context, address string) (net.Conn, error) {
	p.requested <- address
	return nil, errTestUnreachable
}

// countingDialer counts the connections that a node tries to open itself.
type countingDialer struct{ dials atomic.Int64 }

func (d *countingDialer) Dial(context.Context, upstream.Target) (upstream.Connection, position.Position, error) {
	d.dials.Add(1)
	return nil, position.Position{}, errTestUnreachable
}

// ownersNode returns a node of zone a with one server in zone b, whose service allows a number of
// connections.
func ownersNode(store objectstore.Store, peers network.Peers, dialer upstream.Dialer, connections int) (*Backends, *Server) {
	regions := map[string]string{"a": "r1", "b": "r2", "c": "r2"}
	ports := network.Ports{Store: store, Peers: peers}
	network := network.New(network.Options{
		Name: "a0", Zone: "a", PeerAddress: "a0", DrainBound: time.Second, Regions: regions,
	}, ports, stubNode{}, catalog.New(time.Second), time.Now(),
		eventlog.New(io.Discard, eventlog.Config{Node: "a0", LinesPerSecond: 1}))
	node := New(Options{Name: "a0", Zone: "a", DrainBound: time.Second, Regions: regions},
		Ports{Ports: ports, Dialer: dialer}, network, func(time.Time) {})
	node.catalog.ApplyConfiguration(&catalog.Configuration{
		Version: 1, Services: map[string]catalog.Service{"bookings": {Name: "bookings", MaxConnections: connections}},
	})
	node.catalog.ReplaceDirectory([]catalog.Server{{ID: "s1", Service: "bookings", Address: "s1", Zone: "b"}}, 0, time.Now())
	return node, node.Server("s1")
}

// stubNode stubs network.Delegate; only MembersChanged may be called.
type stubNode struct{ network.Delegate }

func (stubNode) MembersChanged() {}

// A node that starts while the store is down does not know how many members there are, and must not
// open connections as if it were alone.
func TestNodeWithoutMembersOpensNoConnectionsAtFirst(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		store, dialer := &memberStore{}, &countingDialer{}
		store.down.Store(true)
		node, target := ownersNode(store, &linkPeers{requested: make(chan string, 100)}, dialer, 40)
		_, _ = node.ListMembers(t.Context(), time.Second)
		for range 10 {
			_, err := node.Acquire(target, upstream.Own, time.Now().Add(100*time.Millisecond))
			must.ErrorIs(t, err, upstream.ErrNoConnection)
		}
		must.Eq(t, int64(0), dialer.dials.Load())
		// The list of members arrives while work waits; a node without members opens its own
		// connections.
		store.down.Store(false)
		go func() {
			time.Sleep(50 * time.Millisecond)
			_, _ = node.ListMembers(context.Background(), time.Second)
		}()
		_, err := node.Acquire(target, upstream.Own, time.Now().Add(time.Second))
		must.ErrorIs(t, err, errTestUnreachable)
		must.Positive(t, dialer.dials.Load())
		node.log.Close()
	})
}

// A node must not stay without connections if it cannot get a list of members for long.
func TestNodeWithoutMembersEventuallyOpensConnections(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		store, dialer := &memberStore{}, &countingDialer{}
		node, target := ownersNode(store, &linkPeers{requested: make(chan string, 100)}, dialer, 40)
		time.Sleep(network.MembersTimeout)
		_, err := node.Acquire(target, upstream.Own, time.Now().Add(time.Second))
		must.ErrorIs(t, err, errTestUnreachable)
		node.log.Close()
	})
}

// Without enough connections for all, a node tries nodes of the server's zone first, then of its
// region, and opens its own connections last.
func TestOwnersAreNearTheServer(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		store, dialer := &memberStore{members: []string{"a1", "a2", "b1", "b2", "c1", "c2", "c3"}}, &countingDialer{}
		peers := &linkPeers{requested: make(chan string, 100)}
		node, target := ownersNode(store, peers, dialer, 20)
		_, err := node.ListMembers(t.Context(), time.Second)
		must.NoError(t, err)
		_, err = node.Acquire(target, upstream.Own, time.Now().Add(5*time.Second))
		must.ErrorIs(t, err, errTestUnreachable, must.Sprint("no owner is reachable, so the node dials itself"))
		close(peers.requested)
		var requested []string
		for address := range peers.requested {
			requested = append(requested, address[:1])
		}
		must.Eq(t, []string{"b", "b", "c", "c"}, requested)
		must.Positive(t, dialer.dials.Load())
		node.log.Close()
	})
}

// Each node opens its own connections as long as there are three for each of them.
func TestEnoughConnectionsAreNotShared(t *testing.T) {
	store := &memberStore{members: []string{"a1", "b1", "b2"}}
	node, target := ownersNode(store, &linkPeers{requested: make(chan string, 100)}, &countingDialer{}, 15)
	_, err := node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	must.SliceEmpty(t, node.PrecedingOwners(target))
	store.members = append(store.members, "c1")
	_, err = node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	must.SliceNotEmpty(t, node.PrecedingOwners(target))
	node.log.Close()
}

// An owner that does not reach the server is skipped for a while; of several owners, only one at a
// time.
func TestUnreachingOwnerIsSkippedTemporarily(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		target := &Server{Stats: upstream.NewStats()}
		owners := []string{"first", "second", "third"}
		target.skipOwner("first", len(owners))
		must.Eq(t, owners[1:], target.withoutSkipped(owners, time.Now()))
		must.False(t, target.Stats.Avoided(time.Now()))
		target.skipOwner("second", len(owners))
		must.Eq(t, owners[1:], target.withoutSkipped(owners, time.Now()))
		must.True(t, target.Stats.Avoided(time.Now()), must.Sprint("two owners do not reach the server: it is down"))
		time.Sleep(skipOwnerDuration + time.Millisecond)
		must.Eq(t, owners, target.withoutSkipped(owners, time.Now()))
	})
}
