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

// knowingPeers answer for nodes that know a kind up to a revision; others are silent.
type knowingPeers struct {
	Peers
	revisions map[string]era.Revision

	mutex   sync.Mutex
	peeked  []string
	fetched []string
}

// Ask implements Peers.
func (p *knowingPeers) Ask(_ context.Context, address string, question relay.Question) (relay.Answer, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	revision, known := p.revisions[address]
	if question.Peek {
		p.peeked = append(p.peeked, address)
	} else {
		p.fetched = append(p.fetched, address)
	}
	if !known {
		return relay.Answer{}, net.ErrClosed
	}
	answer := relay.Answer{Revision: revision}
	if !question.Peek {
		answer.Objects = []objectstore.Object{{Name: address, Revision: revision}}
	}
	return answer, nil
}

// listFrom lets a node of zone a, in a fleet of zones a, b and c, list from others.
func listFrom(t *testing.T, peers *knowingPeers) ([]objectstore.Object, era.Revision, error) {
	t.Helper()
	var names []string
	for _, zone := range []string{"a", "b", "c"} {
		for i := range 5 {
			names = append(names, fmt.Sprintf("%s%d", zone, i+1))
		}
	}
	node := listedNetwork(names, peers)
	return (&otherNodes{node}).List(t.Context(), "kind")
}

// TestNearestSourceIsAsked: of nodes that know as much, one of the own zone tells
// the whole; one of another zone is asked too, in case that the own one is cut off.
func TestNearestSourceIsAsked(t *testing.T) {
	for range 50 {
		peers := &knowingPeers{revisions: map[string]era.Revision{}}
		for _, zone := range []string{"a", "b", "c"} {
			for i := range 5 {
				peers.revisions[fmt.Sprintf("%s%d", zone, i+1)] = 7
			}
		}
		objects, revision, err := listFrom(t, peers)
		must.NoError(t, err)
		must.Eq(t, 7, revision)
		must.Len(t, 1, objects)
		must.Len(t, 1, peers.fetched)
		must.True(t, strings.HasPrefix(peers.fetched[0], "a"), must.Sprint(peers.fetched))
		must.Len(t, nearSources+farSources, peers.peeked)
	}
}

// TestSourceThatKnowsMostIsAsked: nodes of the own zone that know less, or nothing,
// are passed over.
func TestSourceThatKnowsMostIsAsked(t *testing.T) {
	farther := 0
	for range 50 {
		peers := &knowingPeers{revisions: map[string]era.Revision{"a1": 3, "a2": 3, "a3": 3, "a4": 3, "a5": 3}}
		for i := range 5 {
			peers.revisions[fmt.Sprintf("c%d", i+1)] = 9
		}
		_, revision, err := listFrom(t, peers)
		must.NoError(t, err)
		if revision == 9 {
			farther++
			must.True(t, strings.HasPrefix(peers.fetched[0], "c"))
		}
	}
	must.Positive(t, farther)
	_, _, err := listFrom(t, &knowingPeers{})
	must.Eq(t, objectstore.NotDone, objectstore.OutcomeOf(err))
}
