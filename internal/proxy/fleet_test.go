package proxy_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"dewknot/internal/base/codec"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/position"
	"dewknot/internal/lab/judge"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/quorum"
	"dewknot/internal/proxy/quota"
	"dewknot/internal/proxy/relay"
	"dewknot/internal/proxy/upstream"
)

const testService = "bookings"

var (
	databases = []string{"current", "bounded", "session"}

	testRoutes = map[string]catalog.Route{
		"current": {
			Name: "current", Database: "current", Service: testService, Freshness: catalog.Current,
			StatementTimeout: 800 * time.Millisecond, TargetLatency: 600 * time.Millisecond, Priority: 1,
		},
		"bounded": {
			Name: "bounded", Database: "bounded", Service: testService, Freshness: catalog.BoundedStaleness,
			MaxStaleness: 700 * time.Millisecond, StatementTimeout: 2 * time.Second, TargetLatency: time.Second, Priority: 2,
		},
		"session": {
			Name: "session", Database: "session", Service: testService, Freshness: catalog.ReadYourWrites,
			MaxStaleness: 1200 * time.Millisecond, StatementTimeout: 800 * time.Millisecond, TargetLatency: time.Second, Priority: 2,
		},
	}
)

// simulatedFleet is a fleet of real nodes in one process, on virtual time.
type simulatedFleet struct {
	store    *managed.Store
	group    *managed.Group
	promoter *managed.Promoter
	check    *judge.Judge
	zones    []string
	log      *eventlog.Log
	broken   brokenMechanism
	// written holds the event log, if it is kept.
	written *lockedBuffer

	mutex     sync.Mutex
	listeners []*memoryListener
	cancels   []context.CancelFunc
	// cuts holds the servers that a node cannot reach.
	cuts    []map[string]bool
	running sync.WaitGroup
	life    int
	// led holds the nodes that get no new callers.
	led []int
	// muted holds the nodes that read nothing from the links of others.
	muted map[string]bool
	// countCommand counts the bytes of the answers that nodes gave each other.
	answered atomic.Int64
	// traces holds the traces of all failover machines, if they are recorded.
	traces *traceRecorder
	// quotas are the bounds of the tenants' quotas.
	quotas           quota.Bounds
	strictRevocation bool
	// evacuationBound is 0 where zones are not evacuated.
	evacuationBound time.Duration
	// agreed is set if the nodes agree on tenures, since the platform checks no tokens.
	agreed bool
	// apart holds the nodes that no other node reaches, or that reach none.
	apart map[string]bool
	// moreTroubles adds the troubles that matter where no fences are checked.
	moreTroubles bool
	// sickServers makes a third of the troubles those of servers that are slow, fail part of
	// the statements or go down and up by turns.
	sickServers bool
	restarting  sync.Mutex
	// nodes holds the running nodes by name.
	nodes map[string]*proxy.Node
	links *slowLinks
	// silenceConsents breaks the rule on witnesses: the silence of a node counts as its
	// word that it does not reach a server.
	silenceConsents bool
}

// lockedBuffer keeps a log in memory: a write to a file would not be part of a
// bubble's virtual time.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(content)
}

func newFleet(nodes int, synchronousReplicas int, broken brokenMechanism) *simulatedFleet {
	fleet := prepareFleet(fleetConfig{nodes: nodes, synchronousReplicas: synchronousReplicas, broken: broken})
	fleet.startNodes()
	return fleet
}

// fleetConfig describes a fleet and its platform.
type fleetConfig struct {
	nodes               int
	synchronousReplicas int
	broken              brokenMechanism
	// unfenced is a platform that checks no tokens; replaced primaries go on there.
	unfenced bool
	// quotas are the bounds of the tenants' quotas, if there are any.
	quotas           quota.Bounds
	strictRevocation bool
	evacuationBound  time.Duration
	// disagreed lets the nodes believe what servers say of themselves all the same.
	disagreed bool
}

// newUnfencedFleet returns a fleet on a platform that checks no fences.
func newUnfencedFleet(nodes, synchronousReplicas int) *simulatedFleet {
	fleet := prepareFleet(fleetConfig{nodes: nodes, synchronousReplicas: synchronousReplicas, unfenced: true})
	fleet.startNodes()
	return fleet
}

// newRecordedFleet returns a fleet that records its failover machines.
func newRecordedFleet(nodes int, synchronousReplicas int) *simulatedFleet {
	fleet := prepareFleet(fleetConfig{nodes: nodes, synchronousReplicas: synchronousReplicas})
	fleet.recordTraces()
	fleet.startNodes()
	return fleet
}

func (f *simulatedFleet) startNodes() {
	for i := range f.listeners {
		f.startNode(i)
	}
}

// prepareFleet returns a fleet whose nodes are not started yet.
func prepareFleet(cfg fleetConfig) *simulatedFleet {
	nodes, synchronousReplicas := cfg.nodes, cfg.synchronousReplicas
	fleet := &simulatedFleet{
		store: managed.NewStore(), check: judge.New(), zones: []string{"a", "b", "c"}, agreed: cfg.unfenced && !cfg.disagreed, quotas: cfg.quotas, strictRevocation: cfg.strictRevocation, evacuationBound: cfg.evacuationBound,
		broken: cfg.broken, nodes: map[string]*proxy.Node{}, muted: map[string]bool{}, apart: map[string]bool{},
		links: newSlowLinks(),
	}
	if os.Getenv("DEWKNOT_SIMULATED_LOG") != "" {
		fleet.written = &lockedBuffer{}
		fleet.log = eventlog.New(fleet.written, eventlog.Config{Node: "simulation", LinesPerSecond: 1_000_000})
	} else {
		fleet.log = eventlog.New(io.Discard, eventlog.Config{Node: "simulation", LinesPerSecond: 1})
	}
	fleet.check.OnLost = func(at position.Position, commit *judge.Commit) {
		fleet.log.Write("rolled_back", zap.Stringer("position", at), zap.Bool("acknowledged", !commit.Acknowledged.IsZero()))
	}
	fleet.group = managed.NewGroup(managed.Settings{
		Name: testService, Zones: fleet.zones, Slots: 3, Queue: 12, Connections: 24,
		Work: 4 * time.Millisecond, Handshake: 5 * time.Millisecond, ReceiveDelay: 3 * time.Millisecond,
		ApplyDelay: 8 * time.Millisecond, PromotionDelay: 600 * time.Millisecond, NetworkDelay: 2 * time.Millisecond,
		SynchronousReplicas: synchronousReplicas, Unfenced: cfg.unfenced,
	}, fleet.check, fleet.store.PublishEntry)
	groups := map[string]*managed.Group{testService: fleet.group}
	fleet.promoter = &managed.Promoter{Groups: groups}
	first := testConfiguration(1, testTenants)
	first.Services[testService] = catalog.Service{Name: testService, MaxConnections: 24, SynchronousReplicas: synchronousReplicas}
	fleet.store.Put(managed.ConfigurationKind, "main", first)
	for range nodes {
		fleet.listeners = append(fleet.listeners, nil)
		fleet.cancels = append(fleet.cancels, nil)
		fleet.cuts = append(fleet.cuts, map[string]bool{})
	}
	return fleet
}

func (f *simulatedFleet) startNode(i int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.life++
	name := fmt.Sprintf("node-%d", i)
	listener := newMemoryListener()
	ctx, cancel := context.WithCancel(context.Background())
	f.listeners[i], f.cancels[i] = listener, cancel
	node := proxy.New(proxy.Options{
		Name: name, Zone: f.zones[i%len(f.zones)], PeerAddress: name, Life: strconv.Itoa(f.life), Seeds: f.seeds(),
		Regions:            map[string]string{"a": "r1", "b": "r2", "c": "r3"},
		ConfigurationBound: 4 * time.Second, DrainBound: 7 * time.Second, EvacuationBound: f.evacuationBound, StopGrace: 6 * time.Second,
		Kinds:            network.Kinds{Configuration: managed.ConfigurationKind, Servers: managed.ServerKind, Leases: managed.LeaseKind, Members: managed.MemberKind, Voters: managed.VoterKind, Readers: managed.ReaderKind, Evacuations: managed.EvacuationKind},
		StrictRevocation: f.strictRevocation, RevocationBound: 5 * time.Second,
		Agreed: f.agreed, MessageAddress: name, Quotas: f.quotas, TokenAddress: name, FirstStart: f.life <= len(f.listeners),
	}, proxy.Ports{
		Store: &linkedStore{f.store.Client(name), f.links, name}, Promoter: f.promoter, Decoder: managed.Decoder{},
		Dialer: &breakingDialer{Dialer: &simulatedDialer{f, i}, broken: f.broken},
		Client: func(connection net.Conn) proxy.Client { return clientPort{connection.(*memoryClient)} },
		Peers:  memoryPeers{f, name}, Messages: &memoryMessages{f, name}, Tokens: &memoryTokens{f, name},
		Trace: f.traces.of(name, strconv.Itoa(f.life)),
	}, f.log)
	f.nodes[name] = node
	f.running.Go(func() { _ = node.Run(ctx, listener) })
}

// seeds are the addresses that nodes ask while the store does not answer.
func (f *simulatedFleet) seeds() []string { return []string{f.name(0), f.name(1), f.name(2)} }

func (f *simulatedFleet) name(node int) string { return fmt.Sprintf("node-%d", node) }

func (f *simulatedFleet) reaches(node int, server string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.cuts[node][server]
}

func (f *simulatedFleet) setCut(node int, server string, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cuts[node][server] = cut
}

// stopListening leads new callers away from a node.
func (f *simulatedFleet) stopListening(i int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.led = append(f.led, i)
}

func (f *simulatedFleet) listener(random *rand.Rand) *memoryListener {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for {
		if i := random.IntN(len(f.listeners)); !slices.Contains(f.led, i) {
			return f.listeners[i]
		}
	}
}

// stopNode ends a node, which gives up what it holds; it reports false if the node has
// ended already.
func (f *simulatedFleet) stopNode(i int) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cancels[i] == nil {
		return false
	}
	f.cancels[i]()
	f.cancels[i] = nil
	delete(f.nodes, f.name(i))
	return true
}

// simulatedDialer reaches servers as a node does, directly or through another node.
type simulatedDialer struct {
	fleet *simulatedFleet
	node  int
}

func (d *simulatedDialer) Dial(ctx context.Context, target upstream.Target) (upstream.Connection, position.Position, error) {
	from := d.node
	d.fleet.mutex.Lock()
	node := d.fleet.nodes[fmt.Sprintf("node-%d", d.node)]
	d.fleet.mutex.Unlock()
	if node != nil {
		if via, detour := node.DetourTo(target.Server); detour {
			_, _ = fmt.Sscanf(via, "node-%d", &from)
		}
	}
	dialer := &managed.Dialer{Groups: d.fleet.promoter.Groups, Reach: func(id string) bool { return d.fleet.reaches(from, id) }}
	return dialer.Dial(ctx, target)
}

// memoryPeers lets the fleet's nodes ask each other.
type memoryPeers struct {
	fleet *simulatedFleet
	name  string
}

// memoryMessages carries the messages of the agreement between the fleet's nodes, in
// their encoding. What goes to or comes from a node that is apart is lost; a node that
// stands still gets it later.
type memoryMessages struct {
	fleet *simulatedFleet
	name  string
}

// SendMessage implements tenure.Sender.
func (s *memoryMessages) SendMessage(address string, m *quorum.Message) {
	content, err := codec.Append(nil, m)
	if err != nil {
		panic(err)
	}
	s.fleet.deliver(s.name, address, func(node *proxy.Node) {
		received := new(quorum.Message)
		if err := codec.Decode(content, received); err != nil {
			panic(err)
		}
		node.ReceiveMessage(s.name, received)
	})
}

// memoryTokens carries the messages about tokens in the same way.
type memoryTokens struct {
	fleet *simulatedFleet
	name  string
}

// SendTokens implements quota.Sender.
func (s *memoryTokens) SendTokens(address string, m *quota.Message) {
	content, err := codec.Append(nil, m)
	if err != nil {
		panic(err)
	}
	s.fleet.deliver(s.name, address, func(node *proxy.Node) {
		received := new(quota.Message)
		if err := codec.Decode(content, received); err != nil {
			panic(err)
		}
		node.ReceiveTokens(s.name, received)
	})
}

// deliver hands a message over a little later, unless one of the two nodes is apart then.
func (f *simulatedFleet) deliver(from, to string, receive func(node *proxy.Node)) {
	time.AfterFunc(2*time.Millisecond, func() {
		for f.isMuted(to) {
			time.Sleep(10 * time.Millisecond)
		}
		f.mutex.Lock()
		node := f.nodes[to]
		lost := f.apart[to] || f.apart[from]
		f.mutex.Unlock()
		if node != nil && !lost {
			receive(node)
		}
	})
}

// setApart keeps a node from all others and from the store, or lets it reach them again.
func (f *simulatedFleet) setApart(node string, apart bool) {
	f.store.SetCut(node, apart)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.apart[node] = apart
}

// meets reports whether a node reaches another one.
func (f *simulatedFleet) meets(one, other string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.apart[one] && !f.apart[other]
}

func (p memoryPeers) Ask(ctx context.Context, address string, question relay.Question) (relay.Answer, error) {
	time.Sleep(2 * time.Millisecond)
	p.fleet.mutex.Lock()
	node := p.fleet.nodes[address]
	p.fleet.mutex.Unlock()
	if node == nil {
		return relay.Answer{}, net.ErrClosed
	}
	if !p.fleet.meets(p.name, address) {
		<-ctx.Done()
		if p.fleet.silenceConsents && question.Server != "" {
			return relay.Answer{}, nil
		}
		return relay.Answer{}, ctx.Err()
	}
	answer := node.Answer(ctx, question)
	content, err := msgpack.Marshal(answer)
	p.fleet.answered.Add(int64(len(content)))
	if err == nil {
		err = p.fleet.links.carry(ctx, len(content), address, p.name)
	}
	return answer, err
}

// Link opens a link to another node over a pipe.
func (p memoryPeers) Link(_ context.Context, address string) (net.Conn, error) {
	time.Sleep(2 * time.Millisecond)
	p.fleet.mutex.Lock()
	node := p.fleet.nodes[address]
	p.fleet.mutex.Unlock()
	if node == nil || !p.fleet.meets(p.name, address) {
		return nil, net.ErrClosed
	}
	here, there := net.Pipe()
	go node.ServeLink(&mutedConn{there, p.fleet, address})
	return here, nil
}

// mutedConn is a node's end of a link; nothing comes in while the node stands still.
type mutedConn struct {
	net.Conn
	fleet *simulatedFleet
	node  string
}

// Read implements net.Conn.
func (c *mutedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	for c.fleet.isMuted(c.node) {
		time.Sleep(10 * time.Millisecond)
	}
	return n, err
}

func (f *simulatedFleet) isMuted(node string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.muted[node]
}

func (f *simulatedFleet) setMuted(node string, muted bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.muted[node] = muted
}

func (f *simulatedFleet) stop() {
	for i := range f.listeners {
		f.stopNode(i)
	}
	f.running.Wait()
}

// end stops the fleet at the end of a test. Calls that are still under way end by
// their own limits.
func (f *simulatedFleet) end() {
	f.stop()
	time.Sleep(10 * time.Second)
	f.log.Close()
}
