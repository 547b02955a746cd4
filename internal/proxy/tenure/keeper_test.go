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

// network delivers messages between keepers after a latency.
type network struct {
	mu      sync.Mutex
	keepers map[string]*Keeper
	cancels map[string]context.CancelFunc
	silent  map[string]bool
	// farSide are the keepers that are cut off from the others and the store.
	farSide map[string]bool
	// unlisted are the keepers that have no list of the other nodes yet.
	unlisted     map[string]bool
	store        *managed.Store
	log          *eventlog.Log
	incarnations uint64
	// links limit the bandwidth of nodes; nil without a limit.
	links *links
	// latency is added to the delivery of each message.
	latency time.Duration
	// locationOf returns a node's zone and region; nil if each node has its own zone.
	locationOf func(name string) (zone, region string)
}

// endpoint is one keeper's access to the network.
type endpoint struct {
	*network
	name string
}

// SendMessage implements Sender.
func (e *endpoint) SendMessage(address string, m *quorum.Message) {
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
	delay += e.latency
	e.mu.Unlock()
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		receiver := e.keepers[address]
		lost := e.silent[address] || e.silent[e.name] || e.farSide[address] != e.farSide[e.name]
		e.mu.Unlock()
		if receiver != nil && !lost {
			receiver.Receive(e.name, &sent)
		}
	})
}

func newNetwork(nodes int) *network {
	n := &network{
		keepers: map[string]*Keeper{}, cancels: map[string]context.CancelFunc{}, silent: map[string]bool{}, farSide: map[string]bool{}, unlisted: map[string]bool{}, store: managed.NewStore(),
		latency: 2 * time.Millisecond,
		log:     eventlog.New(io.Discard, eventlog.Config{Node: "test", LinesPerSecond: 1}),
	}
	for i := range nodes {
		n.start(fmt.Sprintf("k%d", i))
	}
	return n
}

func (n *network) start(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnations++
	ctx, cancel := context.WithCancel(context.Background())
	zone, region := n.location(name)
	k := New(Config{
		Name: name, Zone: zone, Region: region, Address: name, Incarnation: n.incarnations, Store: n.store.Client(name), Kind: managed.VoterKind,
		Sender: &endpoint{n, name}, Peers: func() []Peer { return n.peersOf(name) }, StoreEra: n.store.Era, OnViewChanged: func(string) {}, OnVotersReady: func() {}, Log: n.log,
	})
	n.keepers[name], n.cancels[name] = k, cancel
	go k.Run(ctx)
}

func (n *network) location(name string) (zone, region string) {
	if n.locationOf == nil {
		return name, ""
	}
	return n.locationOf(name)
}

func (n *network) setLatency(latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latency = latency
}

// setSilent drops all messages to and from a keeper, or delivers them again.
func (n *network) setSilent(name string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[name] = silent
}

// cutOff cuts some keepers off from the others and the store.
func (n *network) cutOff(names []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		n.farSide[name] = true
		n.store.SetIsolated(name, true)
	}
}

// setUnlisted sets whether a keeper has no list of the other nodes yet.
func (n *network) setUnlisted(name string, unlisted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unlisted[name] = unlisted
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
	if n.unlisted[name] {
		return nil
	}
	peers := []Peer{}
	for other := range n.keepers {
		if other != name {
			zone, region := n.location(other)
			peers = append(peers, Peer{Name: other, Address: other, Zone: zone, Region: region})
		}
	}
	return peers
}

// anyKeeper returns the running keeper whose name sorts first.
func (n *network) anyKeeper() *Keeper {
	return n.keepers[slices.Min(slices.Collect(maps.Keys(n.keepers)))]
}

func (n *network) stop() {
	for name := range n.cancels {
		n.cancels[name]()
	}
	time.Sleep(5 * time.Second)
	n.log.Close()
}

// openTenure opens a tenure through a keeper.
func openTenure(t *testing.T, k *Keeper, ballot uint64, primary string) {
	t.Helper()
	must.True(t, k.Prepare("s", ballot).Agreed)
	must.True(t, k.Open("s", quorum.Tenure{Ballot: ballot, Primary: primary}, 1, false).Agreed)
	time.Sleep(20 * time.Millisecond)
}

// TestNodesAgreeOnTenure guards against nodes that disagree on the table or on a tenure, and
// against answers that are confirmed under a superseded tenure or without leases.
func TestNodesAgreeOnTenure(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(6)
		time.Sleep(6 * time.Second)
		must.Eq(t, 1, n.store.Count(managed.VoterKind))
		leastBallot, noMajority := n.keepers["k3"].VoterStatus()
		must.False(t, noMajority)
		must.Positive(t, leastBallot)
		openTenure(t, n.keepers["k3"], leastBallot+1, "a")
		tenure := quorum.Tenure{Ballot: leastBallot + 1, Primary: "a"}
		for name, k := range n.keepers {
			must.Eq(t, tenure, k.View("s").Tenure, must.Sprint(name))
			must.True(t, k.View("s").Covers(time.Now()), must.Sprint(name))
			must.True(t, k.Confirm("s", tenure, time.Now(), time.Now()), must.Sprint(name))
		}
		// A node that hears nobody confirms no answer once its leases have expired.
		n.setSilent("k0", true)
		time.Sleep(3 * time.Second)
		must.True(t, n.keepers["k0"].Isolated(time.Now()))
		must.False(t, n.keepers["k0"].Confirm("s", tenure, time.Now(), time.Now().Add(200*time.Millisecond)))
		// Once it is reachable again, an answer that arrived in between is confirmed.
		answeredAt := time.Now()
		n.setSilent("k0", false)
		must.True(t, n.keepers["k0"].Confirm("s", tenure, answeredAt, time.Now().Add(time.Second)))
		// After the tenure is closed, an answer under it is not confirmed.
		must.True(t, n.keepers["k1"].Prepare("s", leastBallot+2).Agreed)
		must.True(t, n.keepers["k1"].AwaitClear("s", leastBallot+2, 2*time.Second).Clear)
		must.False(t, n.keepers["k2"].Confirm("s", tenure, time.Now(), time.Now().Add(100*time.Millisecond)))
		n.stop()
	})
}

// TestLostVoterIsReplaced guards against a lost voter that keeps its entry, and against tenures
// that close when it is replaced.
func TestLostVoterIsReplaced(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(7)
		time.Sleep(6 * time.Second)
		table := n.keepers["k0"].table()
		must.Len(t, quorum.MaxVoters, table.Entries)
		openTenure(t, n.keepers["k0"], table.LeastBallot()+1, "a")
		lostVoter := table.Entries[0].Name
		n.kill(lostVoter)
		time.Sleep(8 * time.Second)
		for name, k := range n.keepers {
			after := k.table()
			must.Eq(t, table.Generation+1, after.Generation, must.Sprint(name))
			must.Len(t, quorum.MaxVoters, after.Entries)
			must.Nil(t, after.VoterEntry(lostVoter))
			must.True(t, k.View("s").Covers(time.Now()), must.Sprint(name))
		}
		n.stop()
	})
}

// TestAllVotersRestart guards against voters that continue without their state after all of them
// restarted: a new generation has to start through the store, with higher ballots and no open
// tenure.
func TestAllVotersRestart(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		n := newNetwork(5)
		time.Sleep(6 * time.Second)
		before := n.keepers["k0"].table()
		openTenure(t, n.keepers["k0"], before.LeastBallot()+1, "a")
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
		_, noMajority := n.keepers["k0"].VoterStatus()
		must.True(t, noMajority)
		n.store.SetDown(false)
		time.Sleep(1500 * time.Millisecond)
		for name, k := range n.keepers {
			leastBallot, noMajority := k.VoterStatus()
			must.False(t, noMajority, must.Sprint(name))
			must.Greater(t, before.LeastBallot(), leastBallot, must.Sprint(name))
			view := k.View("s")
			must.True(t, view == nil || !view.Open, must.Sprint(name))
		}
		n.stop()
	})
}

// TestVotersHaveMostCapacity guards against voters other than a zone's node with most capacity, and
// against inquiries that leave out these nodes or the voters.
func TestVotersHaveMostCapacity(t *testing.T) {
	var peers []Peer
	for i := range 40 {
		peers = append(peers, Peer{Name: fmt.Sprintf("n%02d", i), Zone: fmt.Sprintf("z%d", i%5), Capacity: 1})
	}
	for i := 30; i < 35; i++ {
		peers[i].Capacity = 4
	}
	table := &quorum.Table{Generation: 1, Entries: []quorum.VoterEntry{{Name: "n01"}, {Name: "n39"}}}
	chosen := inquiryTargets(peers, table, inquiryPeers)
	must.SliceContainsSubset(t, chosen, []string{"n01", "n30", "n31", "n32", "n33", "n34", "n39"})
	must.Between(t, inquiryPeers, len(chosen), inquiryPeers+2)
	k := New(Config{Name: "n99", Zone: "z0", Peers: func() []Peer { return peers }})
	for _, entry := range k.selectVoters(nil, peers) {
		must.SliceContains(t, []string{"n30", "n31", "n32", "n33", "n34"}, entry.Name)
	}
}
