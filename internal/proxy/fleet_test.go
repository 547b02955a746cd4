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
	"dewknot/internal/proxy/backends"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/failover"
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
			MaxStaleness: 700 * time.Millisecond, StatementTimeout: 2 * time.Second,
			TargetLatency: time.Second, Priority: 2,
		},
		"session": {
			Name: "session", Database: "session", Service: testService, Freshness: catalog.ReadYourWrites,
			MaxStaleness: 1200 * time.Millisecond, StatementTimeout: 800 * time.Millisecond,
			TargetLatency: time.Second, Priority: 2,
		},
	}
)

// simulatedFleet is a fleet of real nodes in one process, on virtual time.
type simulatedFleet struct {
	// ended holds by node when its process ended last.
	ended    sync.Map
	store    *managed.Store
	group    *managed.Group
	promoter *managed.Promoter
	check    *judge.Judge
	zones    []string
	log      *eventlog.Log
	broken   brokenMechanism
	// indirectConnections counts the open connections to servers through other nodes.
	indirectConnections atomic.Int64
	// written is the event log, if it is kept.
	written *lockedBuffer

	mutex     sync.Mutex
	listeners []*memoryListener
	cancels   []context.CancelFunc
	// cuts holds the servers that each node cannot reach.
	cuts         []map[string]bool
	running      sync.WaitGroup
	incarnations int
	// withoutCallers holds the nodes that get no new callers.
	withoutCallers []int
	// paused holds the paused nodes, which read nothing from their links.
	paused map[string]bool
	// answered counts the bytes of the answers between nodes.
	answered atomic.Int64
	// traces records all failover state machines; it may be nil.
	traces *traceRecorder
	// onEffects is called with the effects of each step of a failover machine; it may be nil.
	onEffects func(node string, effects []failover.Effect)
	// quotas bound how far tenants may exceed their quotas.
	quotas           quota.Bounds
	strictRevocation bool
	// evacuationBound is 0 if zones are never evacuated.
	evacuationBound time.Duration
	// usesTenures is set if the nodes agree on tenures by quorum.
	usesTenures bool
	// cutOff holds the nodes that are cut off from all other nodes.
	cutOff map[string]bool
	// unfencedFaults adds the faults that matter on platforms without fencing.
	unfencedFaults bool
	// degradedServers makes a third of the faults degraded servers: slow ones, ones that fail some
	// statements, and ones that flap.
	degradedServers bool
	// repeatedAnswers makes half of the faults servers that send answers again.
	repeatedAnswers bool
	restarting      sync.Mutex
	// nodes holds the running nodes by name, processes their processes.
	nodes     map[string]*proxy.Node
	processes map[string]*process
	links     *slowLinks
	// dialed, if set, wraps each connection to a server.
	dialed func(upstream.Connection) upstream.Connection
	// silenceConfirms breaks the rule on witnesses: a node that doesn't answer counts as one that
	// confirms that it doesn't reach a server.
	silenceConfirms bool
}

// lockedBuffer keeps a log in memory, because file writes don't take part in the virtual time of a
// synctest bubble.
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

// fleetConfig configures a fleet and its platform.
type fleetConfig struct {
	nodes               int
	synchronousReplicas int
	broken              brokenMechanism
	// unfenced is set for a platform that checks no fencing tokens, where a replaced primary
	// continues.
	unfenced bool
	// quotas bound how far tenants may exceed their quotas.
	quotas           quota.Bounds
	strictRevocation bool
	evacuationBound  time.Duration
	// trustsServers makes nodes on an unfenced platform trust the servers' own statements.
	trustsServers bool
	// workTime, if set, returns how long a server works on an operation.
	workTime func(requestID string) time.Duration
	// ignoresStepDown is set for servers that keep their role when they are ordered to step down.
	ignoresStepDown bool
	// claimsStepDown and ignoresHold disable safeguards of a planned change of the primary, see
	// managed.Settings.
	claimsStepDown bool
	ignoresHold    bool
}

// newUnfencedFleet returns a fleet on a platform without fencing.
func newUnfencedFleet(nodes, synchronousReplicas int) *simulatedFleet {
	fleet := prepareFleet(fleetConfig{nodes: nodes, synchronousReplicas: synchronousReplicas, unfenced: true})
	fleet.startNodes()
	return fleet
}

// newRecordedFleet returns a fleet that records its failover state machines.
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
		store: managed.NewStore(), check: judge.New(), zones: []string{"a", "b", "c"},
		usesTenures: cfg.unfenced && !cfg.trustsServers, quotas: cfg.quotas,
		strictRevocation: cfg.strictRevocation, evacuationBound: cfg.evacuationBound,
		broken: cfg.broken, nodes: map[string]*proxy.Node{}, processes: map[string]*process{}, paused: map[string]bool{},
		cutOff: map[string]bool{}, links: newSlowLinks(),
	}
	if os.Getenv("DEWKNOT_SIMULATED_LOG") != "" {
		fleet.written = &lockedBuffer{}
		fleet.log = eventlog.New(fleet.written, eventlog.Config{Node: "simulation", LinesPerSecond: 1_000_000})
	} else {
		fleet.log = eventlog.New(io.Discard, eventlog.Config{Node: "simulation", LinesPerSecond: 1})
	}
	fleet.check.OnLost = func(at position.Position, commit *judge.Commit) {
		fleet.log.Write("rolled_back", zap.Stringer("position", at),
			zap.Bool("acknowledged", !commit.Acknowledged.IsZero()))
	}
	fleet.group = managed.NewGroup(managed.Settings{
		Name: testService, Zones: fleet.zones, Slots: 3, Queue: 12, Connections: 24,
		StatementTime: 4 * time.Millisecond, Handshake: 5 * time.Millisecond, ReceiveDelay: 3 * time.Millisecond,
		ApplyDelay: 8 * time.Millisecond, PromotionDelay: 600 * time.Millisecond,
		NetworkDelay: 2 * time.Millisecond, SynchronousReplicas: synchronousReplicas,
		Unfenced: cfg.unfenced, IgnoresStepDown: cfg.ignoresStepDown, ClaimsStepDown: cfg.claimsStepDown, IgnoresHold: cfg.ignoresHold, WorkTime: cfg.workTime,
	}, fleet.check, fleet.store.PublishEntry)
	groups := map[string]*managed.Group{testService: fleet.group}
	fleet.promoter = &managed.Promoter{Groups: groups}
	first := testConfiguration(1, testTenants)
	first.Services[testService] = catalog.Service{
		Name: testService, MaxConnections: 24, SynchronousReplicas: synchronousReplicas,
	}
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
	f.incarnations++
	name := fmt.Sprintf("node-%d", i)
	listener := newMemoryListener()
	ctx, cancel := context.WithCancel(context.Background())
	f.listeners[i], f.cancels[i] = listener, cancel
	p := &process{}
	f.processes[name] = p
	node := proxy.New(proxy.Options{
		Name: name, Zone: f.zones[i%len(f.zones)], PeerAddress: name,
		Incarnation: strconv.Itoa(f.incarnations), Seeds: f.seeds(),
		Regions:            map[string]string{"a": "r1", "b": "r2", "c": "r3"},
		ConfigurationBound: 4 * time.Second, DrainBound: 7 * time.Second,
		EvacuationBound: f.evacuationBound, StopGrace: 6 * time.Second,
		Kinds: network.Kinds{
			Configuration: managed.ConfigurationKind, Servers: managed.ServerKind,
			Leases: managed.LeaseKind, Members: managed.MemberKind,
			Voters: managed.VoterKind, Readers: managed.ReaderKind, Evacuations: managed.EvacuationKind,
		},
		StrictRevocation: f.strictRevocation, RevocationBound: 5 * time.Second,
		UsesTenures: f.usesTenures, MessageAddress: name, Quotas: f.quotas, TokenAddress: name,
		FirstStart: f.incarnations <= len(f.listeners),
	}, proxy.Ports{
		Store: &killableStore{&linkedStore{f.store.Client(name), f.links, name}, p}, Promoter: &killablePromoter{f.promoter, p},
		Decoder: managed.Decoder{},
		Dialer:  &killableDialer{&breakingDialer{Dialer: &simulatedDialer{f, i}, broken: f.broken}, p},
		Client:  func(connection net.Conn) proxy.Client { return clientPort{connection.(*memoryClient)} },
		Peers:   memoryPeers{f, name}, Messages: &memoryMessages{f, name, p}, Tokens: &memoryTokens{f, name},
		Trace: f.traceOf(name, strconv.Itoa(f.incarnations)),
	}, f.log)
	f.nodes[name] = node
	f.running.Go(func() {
		_ = node.Run(ctx, listener)
		f.ended.Store(name, time.Now())
	})
}

// traceOf returns the trace of the machines of one incarnation of a node; nil without one.
func (f *simulatedFleet) traceOf(node, incarnation string) func(string, time.Duration) backends.FailoverTrace {
	if f.onEffects == nil {
		return f.traces.of(node, incarnation)
	}
	return func(string, time.Duration) backends.FailoverTrace { return &effectObserver{f, node} }
}

// effectObserver passes a machine's effects to the fleet's test.
type effectObserver struct {
	fleet *simulatedFleet
	node  string
}

// Step implements backends.FailoverTrace.
func (o *effectObserver) Step(_ time.Duration, _ failover.Event, effects []failover.Effect) {
	o.fleet.onEffects(o.node, effects)
}

// addNode starts a node on a new machine and returns its number.
func (f *simulatedFleet) addNode() int {
	f.mutex.Lock()
	i := len(f.listeners)
	f.listeners, f.cancels, f.cuts = append(f.listeners, nil), append(f.cancels, nil), append(f.cuts, map[string]bool{})
	f.mutex.Unlock()
	f.startNode(i)
	return i
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

// sendNoCallers sends new callers to other nodes.
func (f *simulatedFleet) sendNoCallers(i int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.withoutCallers = append(f.withoutCallers, i)
}

func (f *simulatedFleet) listener(random *rand.Rand) *memoryListener {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for {
		if i := random.IntN(len(f.listeners)); !slices.Contains(f.withoutCallers, i) {
			return f.listeners[i]
		}
	}
}

// stopNode stops a node. It reports false if the node is not running.
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

// simulatedDialer dials servers from a node, directly or through another node.
type simulatedDialer struct {
	fleet *simulatedFleet
	node  int
}

func (d *simulatedDialer) Dial(
	ctx context.Context, target upstream.Target,
) (upstream.Connection, position.Position, error) {
	from, isIndirect := d.node, false
	d.fleet.mutex.Lock()
	node := d.fleet.nodes[fmt.Sprintf("node-%d", d.node)]
	d.fleet.mutex.Unlock()
	if node != nil && !target.Direct {
		if via, indirect := node.IndirectPathTo(target.Server); indirect {
			_, _ = fmt.Sscanf(via, "node-%d", &from)
			isIndirect = true
		}
	}
	dialer := &managed.Dialer{
		Groups: d.fleet.promoter.Groups,
		Reach:  func(id string) bool { return d.fleet.reaches(from, id) }, SendsCopies: true,
	}
	connection, at, err := dialer.Dial(ctx, target)
	if err == nil && d.fleet.dialed != nil {
		connection = d.fleet.dialed(connection)
	}
	if err == nil && isIndirect {
		d.fleet.indirectConnections.Add(1)
		return &indirectConnection{Connection: connection, count: &d.fleet.indirectConnections}, at, nil
	}
	return connection, at, err
}

// indirectConnection is a connection through another node, which is counted while it is open.
type indirectConnection struct {
	upstream.Connection
	count  *atomic.Int64
	closed atomic.Bool
}

// Close implements upstream.Connection.
func (c *indirectConnection) Close() {
	if c.closed.CompareAndSwap(false, true) {
		c.count.Add(-1)
	}
	c.Connection.Close()
}

// memoryPeers carries requests between the fleet's nodes.
type memoryPeers struct {
	fleet *simulatedFleet
	name  string
}

// memoryMessages carries encoded quorum messages between the fleet's nodes. Messages from and to a
// node that is cut off are lost; a paused node gets them later.
type memoryMessages struct {
	fleet   *simulatedFleet
	name    string
	process *process
}

// SendMessage implements tenure.Sender.
func (s *memoryMessages) SendMessage(address string, m *quorum.Message) {
	if s.process.killed.Load() {
		return
	}
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

// memoryTokens carries messages about quota tokens in the same way.
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

// deliver delivers a message after a delay, unless one of the two nodes is cut off then.
func (f *simulatedFleet) deliver(from, to string, receive func(node *proxy.Node)) {
	time.AfterFunc(2*time.Millisecond, func() {
		for f.isPaused(to) {
			time.Sleep(10 * time.Millisecond)
		}
		f.mutex.Lock()
		node := f.nodes[to]
		lost := f.cutOff[to] || f.cutOff[from]
		f.mutex.Unlock()
		if node != nil && !lost {
			receive(node)
		}
	})
}

// setCutOff cuts a node off from all other nodes and from the store, or reconnects it.
func (f *simulatedFleet) setCutOff(node string, cutOff bool) {
	f.store.SetIsolated(node, cutOff)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cutOff[node] = cutOff
}

// connected reports whether two nodes reach each other.
func (f *simulatedFleet) connected(one, other string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.cutOff[one] && !f.cutOff[other]
}

func (p memoryPeers) Ask(ctx context.Context, address string, request relay.Request) (relay.Answer, error) {
	time.Sleep(2 * time.Millisecond)
	p.fleet.mutex.Lock()
	node := p.fleet.nodes[address]
	p.fleet.mutex.Unlock()
	if node == nil {
		return relay.Answer{}, net.ErrClosed
	}
	if !p.fleet.connected(p.name, address) {
		<-ctx.Done()
		if p.fleet.silenceConfirms && request.Server != "" {
			return relay.Answer{}, nil
		}
		return relay.Answer{}, ctx.Err()
	}
	answer := node.Answer(ctx, request)
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
	if node == nil || !p.fleet.connected(p.name, address) {
		return nil, net.ErrClosed
	}
	here, there := net.Pipe()
	go node.ServeLink(&pausedConn{there, p.fleet, address})
	return here, nil
}

// pausedConn is a node's end of a link. Reads are delayed while the node is paused.
type pausedConn struct {
	net.Conn
	fleet *simulatedFleet
	node  string
}

// Read implements net.Conn.
func (c *pausedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	for c.fleet.isPaused(c.node) {
		time.Sleep(10 * time.Millisecond)
	}
	return n, err
}

func (f *simulatedFleet) isPaused(node string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.paused[node]
}

func (f *simulatedFleet) setPaused(node string, paused bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.paused[node] = paused
}

func (f *simulatedFleet) stop() {
	for i := range f.listeners {
		f.stopNode(i)
	}
	f.running.Wait()
}

// end stops the fleet at the end of a test, and waits until pending calls have timed out.
func (f *simulatedFleet) end() {
	f.stop()
	time.Sleep(10 * time.Second)
	f.log.Close()
}
