package tenure

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/quorum"
)

// network carries messages between keepers, some milliseconds late.
type network struct {
	mu      sync.Mutex
	keepers map[string]*Keeper
	cancels map[string]context.CancelFunc
	silent  map[string]bool
	store   *managed.Store
	log     *eventlog.Log
	lives   uint64
	// links limit what nodes send; nil if they do not.
	links *links
	// way is how long each message takes besides.
	way time.Duration
	// placeOf returns a node's zone and region; nil if each has a zone of its own.
	placeOf func(name string) (zone, region string)
}

// end is one keeper's end of the network.
type end struct {
	*network
	name string
}

// SendMessage implements Sender.
func (e *end) SendMessage(address string, m *quorum.Message) {
	sent, delay := *m, time.Duration(0)
	if e.links != nil {
		e.mu.Lock()
		took, arrives := e.links.carry(e.name, address, m)
		e.mu.Unlock()
		if !arrives {
			return
		}
		delay = took
	}
	e.mu.Lock()
	delay += e.way
	e.mu.Unlock()
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		receiver := e.keepers[address]
		lost := e.silent[address] || e.silent[e.name]
		e.mu.Unlock()
		if receiver != nil && !lost {
			receiver.Receive(e.name, &sent)
		}
	})
}

func newNetwork(nodes int) *network {
	n := &network{
		keepers: map[string]*Keeper{}, cancels: map[string]context.CancelFunc{}, silent: map[string]bool{}, store: managed.NewStore(),
		way: 2 * time.Millisecond,
		log: eventlog.New(io.Discard, eventlog.Config{Node: "test", LinesPerSecond: 1}),
	}
	for i := range nodes {
		n.start(fmt.Sprintf("k%d", i))
	}
	return n
}

func (n *network) start(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lives++
	ctx, cancel := context.WithCancel(context.Background())
	zone, region := n.place(name)
	k := New(Config{
		Name: name, Zone: zone, Region: region, Address: name, Life: n.lives, Store: n.store.Client(name), Kind: managed.VoterKind,
		Sender: &end{n, name}, Peers: func() []Peer { return n.peersOf(name) }, StoreEra: n.store.Era, Changed: func(string) {}, Voiced: func() {}, Log: n.log,
	})
	n.keepers[name], n.cancels[name] = k, cancel
	go k.Run(ctx)
}

func (n *network) place(name string) (zone, region string) {
	if n.placeOf == nil {
		return name, ""
	}
	return n.placeOf(name)
}

func (n *network) setWay(way time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.way = way
}

// setSilent loses all messages to and from a keeper, or lets them pass again.
func (n *network) setSilent(name string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[name] = silent
}

func (n *network) kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancels[name]()
	delete(n.keepers, name)
}

func (n *network) peersOf(name string) []Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var peers []Peer
	for other := range n.keepers {
		if other != name {
			zone, region := n.place(other)
			peers = append(peers, Peer{Name: other, Address: other, Zone: zone, Region: region})
		}
	}
	return peers
}

// anyKeeper returns the first keeper that runs.
func (n *network) anyKeeper() *Keeper {
	return n.keepers[slices.Min(slices.Collect(maps.Keys(n.keepers)))]
}

func (n *network) end() {
	for name := range n.cancels {
		n.cancels[name]()
	}
	time.Sleep(5 * time.Second)
	n.log.Close()
}

// opened opens a tenure through a keeper.
func opened(t *testing.T, k *Keeper, ballot uint64, primary string) {
	t.Helper()
	must.True(t, k.Prepare("s", ballot).Agreed)
	must.True(t, k.Open("s", quorum.Tenure{Ballot: ballot, Primary: primary}, 1, false).Agreed)
	time.Sleep(20 * time.Millisecond)
}

// TestFleetAgrees: nodes that start together make one table, a tenure that one opens is
// covered on all, and a lease that ran out is renewed for an answer that waits.
func TestFleetAgrees(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(6)
		time.Sleep(6 * time.Second)
		must.Eq(t, 1, n.store.Count(managed.VoterKind))
		least, voiceless := n.keepers["k3"].Standing()
		must.False(t, voiceless)
		must.Positive(t, least)
		opened(t, n.keepers["k3"], least+1, "a")
		held := quorum.Tenure{Ballot: least + 1, Primary: "a"}
		for name, k := range n.keepers {
			must.Eq(t, held, k.View("s").Tenure, must.Sprint(name))
			must.True(t, k.View("s").Covers(time.Now()), must.Sprint(name))
			must.True(t, k.Confirm("s", held, time.Now(), time.Now()), must.Sprint(name))
		}
		// A node that nobody hears believes nothing once its leases have run out.
		n.setSilent("k0", true)
		time.Sleep(3 * time.Second)
		must.True(t, n.keepers["k0"].Isolated(time.Now()))
		must.False(t, n.keepers["k0"].Confirm("s", held, time.Now(), time.Now().Add(200*time.Millisecond)))
		// It is heard again: the answer that came meanwhile is confirmed after the fact.
		arrived := time.Now()
		n.setSilent("k0", false)
		must.True(t, n.keepers["k0"].Confirm("s", held, arrived, time.Now().Add(time.Second)))
		// The tenure changes: an answer under the one before is not believed.
		must.True(t, n.keepers["k1"].Prepare("s", least+2).Agreed)
		must.True(t, n.keepers["k1"].AwaitClear("s", least+2, 2*time.Second).Clear)
		must.False(t, n.keepers["k2"].Confirm("s", held, time.Now(), time.Now().Add(100*time.Millisecond)))
		n.end()
	})
}

// TestVoterThatIsGoneIsReplaced: its seat goes to another node, and the tenure stays open.
func TestVoterThatIsGoneIsReplaced(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(7)
		time.Sleep(6 * time.Second)
		table := n.keepers["k0"].table()
		must.Len(t, quorum.MaxVoters, table.Seats)
		opened(t, n.keepers["k0"], table.LeastBallot()+1, "a")
		gone := table.Seats[0].Name
		n.kill(gone)
		time.Sleep(8 * time.Second)
		for name, k := range n.keepers {
			after := k.table()
			must.Eq(t, table.Era+1, after.Era, must.Sprint(name))
			must.Len(t, quorum.MaxVoters, after.Seats)
			must.Nil(t, after.Seat(gone))
			must.True(t, k.View("s").Covers(time.Now()), must.Sprint(name))
		}
		n.end()
	})
}

// TestAllVotersRestart: their era ends through the store, ballots rise, and no tenure is
// open until one is opened again. While the store is down, nothing changes.
func TestAllVotersRestart(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(5)
		time.Sleep(6 * time.Second)
		before := n.keepers["k0"].table()
		opened(t, n.keepers["k0"], before.LeastBallot()+1, "a")
		for i := range 5 {
			n.kill(fmt.Sprintf("k%d", i))
		}
		time.Sleep(500 * time.Millisecond)
		for i := range 5 {
			n.start(fmt.Sprintf("k%d", i))
		}
		time.Sleep(100 * time.Millisecond)
		n.store.SetDown(true)
		time.Sleep(3 * time.Second)
		_, voiceless := n.keepers["k0"].Standing()
		must.True(t, voiceless)
		n.store.SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		for name, k := range n.keepers {
			least, voiceless := k.Standing()
			must.False(t, voiceless, must.Sprint(name))
			must.Greater(t, before.LeastBallot(), least, must.Sprint(name))
			view := k.View("s")
			must.True(t, view == nil || !view.Open, must.Sprint(name))
		}
		n.end()
	})
}

// TestStrongNodesVote: of a zone's nodes the one with most capacity is made a voter, and an
// inquiry asks it and the voters, whoever else it asks.
func TestStrongNodesVote(t *testing.T) {
	var peers []Peer
	for i := range 40 {
		peers = append(peers, Peer{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprintf("z%d", i%5), Capacity: 1})
	}
	for i := 30; i < 35; i++ {
		peers[i].Capacity = 4
	}
	table := &quorum.Table{Era: 1, Seats: []quorum.Seat{{Name: "n01"}, {Name: "n39"}}}
	chosen := asked(peers, table, inquiredPeers)
	must.SliceContainsSubset(t, chosen, []string{"n01", "n30", "n31", "n32", "n33", "n34", "n39"})
	must.Between(t, inquiredPeers, len(chosen), inquiredPeers+2)
	k := New(Config{Name: "n99", Zone: "z0", Peers: func() []Peer { return peers }})
	for _, seat := range k.seats(nil, peers) {
		must.SliceContains(t, []string{"n30", "n31", "n32", "n33", "n34"}, seat.Name)
	}
}
