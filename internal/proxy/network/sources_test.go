package network

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/era"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

// fakePeers answers for nodes that know a kind up to a revision. Other addresses don't answer.
type fakePeers struct {
	Peers
	revisions map[string]era.Revision

	mutex            sync.Mutex
	revisionRequests []string
	objectRequests   []string
}

// Ask implements Peers.
func (p *fakePeers) Ask(_ context.Context, address string, request relay.Request) (relay.Answer, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	revision, known := p.revisions[address]
	if request.RevisionOnly {
		p.revisionRequests = append(p.revisionRequests, address)
	} else {
		p.objectRequests = append(p.objectRequests, address)
	}
	if !known {
		return relay.Answer{}, net.ErrClosed
	}
	answer := relay.Answer{Revision: revision}
	if !request.RevisionOnly {
		answer.Objects = []objectstore.Object{{Name: address, Revision: revision}}
	}
	return answer, nil
}

// listFrom lists from the peers on behalf of a node of zone a in a fleet of zones a, b and c.
func listFrom(t *testing.T, peers *fakePeers) ([]objectstore.Object, era.Revision, error) {
	t.Helper()
	var names []string
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 5 {
			names = append(names, fmt.Sprintf("%s%d", zone, i+1))
		}
	}
	node := newTestNetwork(names, peers)
	return (&peerSource{node}).List(t.Context(), "kind")
}

// TestNearestSourceIsPreferred guards against listings from another zone although a node of the own
// zone is as current, and against asking the own zone only.
func TestNearestSourceIsPreferred(t *testing.T) {
	for range 50 {
		peers := &fakePeers{revisions: map[string]era.Revision{}}
		for _, zone := range []string{"a", "b", "c"} {
			for i := range 5 {
				peers.revisions[fmt.Sprintf("%s%d", zone, i+1)] = 7
			}
		}
		objects, revision, err := listFrom(t, peers)
		must.NoError(t, err)
		must.Eq(t, 7, revision)
		must.Len(t, 1, objects)
		must.Len(t, 1, peers.objectRequests)
		must.True(t, strings.HasPrefix(peers.objectRequests[0], "a"), must.Sprint(peers.objectRequests))
		must.Len(t, nearSources+farSources, peers.revisionRequests)
	}
}

// TestMostCurrentSourceIsPreferred guards against listings from a near but outdated node.
func TestMostCurrentSourceIsPreferred(t *testing.T) {
	farther := 0
	for range 50 {
		peers := &fakePeers{revisions: map[string]era.Revision{"a1": 3, "a2": 3, "a3": 3, "a4": 3, "a5": 3}}
		for i := range 5 {
			peers.revisions[fmt.Sprintf("c%d", i+1)] = 9
		}
		_, revision, err := listFrom(t, peers)
		must.NoError(t, err)
		if revision == 9 {
			farther++
			must.True(t, strings.HasPrefix(peers.objectRequests[0], "c"))
		}
	}
	must.Positive(t, farther)
	_, _, err := listFrom(t, &fakePeers{})
	must.Eq(t, objectstore.NotDone, objectstore.OutcomeOf(err))
}
