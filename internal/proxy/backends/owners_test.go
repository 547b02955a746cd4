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

// memberStore lists members; while down it answers nothing.
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
		objects = append(objects, objectstore.Object{Name: name, Content: fmt.Appendf(nil, `{"address":%q,"zone":%q}`, name, name[:1])})
	}
	return objects, nil
}

// linkPeers notes which nodes links are asked of; none can be had.
type linkPeers struct {
	relay.Answer
	asked chan string
}

func (p *linkPeers) Ask(context.Context, string, relay.Question) (relay.Answer, error) {
	return relay.Answer{}, errTestUnreachable
}

func (p *linkPeers) Link(_ context.Context, address string) (net.Conn, error) {
	p.asked <- address
	return nil, errTestUnreachable
}

// countingDialer counts the connections that a node wants of its own.
type countingDialer struct{ dials atomic.Int64 }

func (d *countingDialer) Dial(context.Context, upstream.Target) (upstream.Connection, position.Position, error) {
	d.dials.Add(1)
	return nil, position.Position{}, errTestUnreachable
}

// ownersNode returns a node of zone a that knows one server in zone b, of a service
// with some connections.
func ownersNode(store objectstore.Store, peers network.Peers, dialer upstream.Dialer, connections int) (*Backends, *Server) {
	regions := map[string]string{"a": "r1", "b": "r2", "c": "r2"}
	ways := network.Ports{Store: store, Peers: peers}
	network := network.New(network.Options{Name: "a0", Zone: "a", PeerAddress: "a0", DrainBound: time.Second, Regions: regions},
		ways, idle{}, catalog.New(time.Second), time.Now(), eventlog.New(io.Discard, eventlog.Config{Node: "a0", LinesPerSecond: 1}))
	node := New(Options{Name: "a0", Zone: "a", DrainBound: time.Second, Regions: regions},
		Ports{Ports: ways, Dialer: dialer}, network, func(time.Time) {})
	node.catalog.ApplyConfiguration(&catalog.Configuration{
		Version: 1, Services: map[string]catalog.Service{"bookings": {Name: "bookings", MaxConnections: connections}},
	})
	node.catalog.ReplaceDirectory([]catalog.Server{{ID: "s1", Service: "bookings", Address: "s1", Zone: "b"}}, 0, time.Now())
	return node, node.Server("s1")
}

// idle has no other duties.
type idle struct{ network.Duties }

func (idle) MembersChanged() {}

// TestNodeThatKnowsNoMembersOpensNoConnections: the store is down at a node's
// start, so it does not know how many others there are.
func TestNodeThatKnowsNoMembersOpensNoConnections(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		store, dialer := &memberStore{}, &countingDialer{}
		store.down.Store(true)
		node, target := ownersNode(store, &linkPeers{asked: make(chan string, 100)}, dialer, 40)
		_, _ = node.ListMembers(t.Context(), time.Second)
		for range 10 {
			_, err := node.Lend(target, upstream.Own, time.Now().Add(100*time.Millisecond))
			must.ErrorIs(t, err, upstream.ErrNoConnection)
		}
		must.Eq(t, int64(0), dialer.dials.Load())
		// The list comes while work waits for it; a node that is alone opens its own.
		store.down.Store(false)
		go func() {
			time.Sleep(50 * time.Millisecond)
			_, _ = node.ListMembers(context.Background(), time.Second)
		}()
		_, err := node.Lend(target, upstream.Own, time.Now().Add(time.Second))
		must.ErrorIs(t, err, errTestUnreachable)
		must.Positive(t, dialer.dials.Load())
		node.log.Close()
	})
}

// TestNodeWithoutAListServesInTheEnd: no list could be had for long.
func TestNodeWithoutAListServesInTheEnd(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		store, dialer := &memberStore{}, &countingDialer{}
		node, target := ownersNode(store, &linkPeers{asked: make(chan string, 100)}, dialer, 40)
		time.Sleep(network.MembersPatience)
		_, err := node.Lend(target, upstream.Own, time.Now().Add(time.Second))
		must.ErrorIs(t, err, errTestUnreachable)
		node.log.Close()
	})
}

// TestOwnersAreNearTheServer: where connections are few, a node asks nodes of the
// server's zone, then of its region, and opens its own connections last.
func TestOwnersAreNearTheServer(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		store, dialer := &memberStore{members: []string{"a1", "a2", "b1", "b2", "c1", "c2", "c3"}}, &countingDialer{}
		peers := &linkPeers{asked: make(chan string, 100)}
		node, target := ownersNode(store, peers, dialer, 20)
		_, err := node.ListMembers(t.Context(), time.Second)
		must.NoError(t, err)
		_, err = node.Lend(target, upstream.Own, time.Now().Add(5*time.Second))
		must.ErrorIs(t, err, errTestUnreachable, must.Sprint("no owner can be reached, so its own"))
		close(peers.asked)
		var asked []string
		for address := range peers.asked {
			asked = append(asked, address[:1])
		}
		must.Eq(t, []string{"b", "b", "c", "c"}, asked)
		must.Positive(t, dialer.dials.Load())
		node.log.Close()
	})
}

// TestEnoughConnectionsAreNotShared: three connections for each node.
func TestEnoughConnectionsAreNotShared(t *testing.T) {
	store := &memberStore{members: []string{"a1", "b1", "b2"}}
	node, target := ownersNode(store, &linkPeers{asked: make(chan string, 100)}, &countingDialer{}, 15)
	_, err := node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	must.SliceEmpty(t, node.OwnersBefore(target))
	store.members = append(store.members, "c1")
	_, err = node.ListMembers(t.Context(), time.Second)
	must.NoError(t, err)
	must.SliceNotEmpty(t, node.OwnersBefore(target))
	node.log.Close()
}

// TestOwnerThatDoesNotReachTheServerIsLeftOutForAWhile, one at a time.
func TestOwnerThatDoesNotReachTheServerIsLeftOutForAWhile(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		target := &Server{Stats: upstream.NewStats()}
		owners := []string{"first", "second", "third"}
		target.shun("first", len(owners))
		must.Eq(t, owners[1:], target.notShunned(owners, time.Now()))
		must.False(t, target.Stats.Avoided(time.Now()))
		target.shun("second", len(owners))
		must.Eq(t, owners[1:], target.notShunned(owners, time.Now()))
		must.True(t, target.Stats.Avoided(time.Now()), must.Sprint("two owners say so: the server is down"))
		time.Sleep(shunSpan + time.Millisecond)
		must.Eq(t, owners, target.notShunned(owners, time.Now()))
	})
}
