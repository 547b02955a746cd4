package network

import (
	"fmt"
	"io"
	"time"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/objectstore"
)

// stubDelegate ignores changes of the members and implements nothing else.
type stubDelegate struct{ Delegate }

func (stubDelegate) MembersChanged() {}

// newTestNetwork returns the network of a node in zone a that has listed the named members. The
// first letter of a name is its zone.
func newTestNetwork(names []string, peers Peers) *Network {
	n := New(Options{
		Name: "a0", Zone: "a", PeerAddress: "a0", DrainBound: time.Second, Regions: map[string]string{"a": "r1", "b": "r2", "c": "r2"},
	}, Ports{Peers: peers}, stubDelegate{}, catalog.New(time.Second), time.Now(),
		eventlog.New(io.Discard, eventlog.Config{Node: "a0", LinesPerSecond: 1}))
	var objects []objectstore.Object
	for _, name := range names {
		objects = append(objects, objectstore.Object{Name: name, Content: fmt.Appendf(nil, `{"address":%q,"zone":%q}`, name, name[:1])})
	}
	n.applyMembers(objects)
	return n
}
