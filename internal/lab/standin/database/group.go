package database

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/position"
	"dewknot/internal/postgres/replication"
)

// advanceInterval is how often replication and elections make progress.
const advanceInterval = 2 * time.Millisecond

// Settings describe a group.
type Settings struct {
	// Name is the group's name in logs.
	Name string
	// Addresses holds the listening address of each server.
	Addresses []string
	// ElectionDelay is how long the group takes to elect a new primary.
	ElectionDelay time.Duration
	// ReceiveDelay is how long a commit takes to reach a replica's log.
	ReceiveDelay time.Duration
	// ConnectCost is how long it takes to open a connection.
	ConnectCost time.Duration
	// StatementTime is added to the duration of each statement while it holds a slot.
	StatementTime time.Duration
	// Connections is the maximum number of connections per server.
	Connections int
	// Slots is how many statements a server runs concurrently.
	Slots int
}

// Group is a running group. Its methods are safe for concurrent use.
type Group struct {
	settings Settings
	started  time.Time
	mu       sync.Mutex // guards model; taken before any engine's lock
	model    *replication.Group[transactionLog]
	servers  []*server
	stop     chan struct{}
	done     sync.WaitGroup
}

type server struct {
	group    *Group
	index    int
	engine   *engine
	listener net.Listener
	address  string
	slots    chan struct{}
	paused   atomic.Bool
	// workStarted counts the statements that were started, status queries excepted.
	workStarted atomic.Int64
	mu          sync.Mutex
	sessions    map[*session]struct{}
}

// Start opens the listening sockets of a group and serves connections until Close is called.
func Start(settings Settings) (*Group, error) {
	group := &Group{
		settings: settings,
		started:  time.Now(),
		stop:     make(chan struct{}),
		model: replication.New[transactionLog](replication.Settings{
			Servers: len(settings.Addresses), ElectionDelay: settings.ElectionDelay, ReceiveDelay: settings.ReceiveDelay,
		}),
	}
	for index, address := range settings.Addresses {
		started, err := group.startServer(index, address)
		if err != nil {
			group.Close()
			return nil, err
		}
		group.servers = append(group.servers, started)
	}
	group.done.Add(1)
	go group.advanceLoop()
	return group, nil
}

func (g *Group) startServer(index int, address string) (*server, error) {
	opened, err := newEngine()
	if err != nil {
		return nil, err
	}
	created := &server{
		group: g, index: index, engine: opened,
		slots: make(chan struct{}, g.settings.Slots), sessions: map[*session]struct{}{},
	}
	return created, created.listen(address)
}

func (s *server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; name a free address", address)
	}
	s.address = listener.Addr().String()
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.group.done.Add(1)
	go s.acceptLoop(listener)
	return nil
}

func (s *server) acceptLoop(listener net.Listener) {
	defer s.group.done.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// Addresses returns the servers' listening addresses.
func (g *Group) Addresses() []string {
	addresses := make([]string, len(g.servers))
	for index, current := range g.servers {
		addresses[index] = current.address
	}
	return addresses
}

// Close stops all servers.
func (g *Group) Close() {
	close(g.stop)
	for _, current := range g.servers {
		current.closeListener()
		current.closeSessions()
	}
	g.done.Wait()
}

func (s *server) closeListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
}

func (s *server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for current := range s.sessions {
		_ = current.conn.Close()
	}
}

func (g *Group) now() time.Duration { return time.Since(g.started) }

func (g *Group) advanceLoop() {
	defer g.done.Done()
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
			g.mu.Lock()
			g.applyChanges(g.model.Advance(g.now()))
			g.mu.Unlock()
		}
	}
}

// applyChanges applies changes of the model to the servers. g.mu must be held.
func (g *Group) applyChanges(changes []replication.Change[transactionLog]) {
	for _, change := range changes {
		target := g.servers[change.Server]
		switch {
		case change.Demoted:
			target.closeSessions()
		case change.Rebuild:
			target.closeSessions()
			must(target.engine.rebuild())
		case !change.Apply.TermStart:
			must(target.engine.applyTransaction(change.Apply.Payload))
		}
	}
}

// must panics if replication within the simulated group fails, because a divergent replica would
// invalidate all later checks.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// commit appends a transaction to the log and commits it in the engine. It returns false if the
// server is no longer the primary.
func (s *server) commit(log transactionLog, commitEngine func() error) (bool, error) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if _, ok := s.group.model.Append(s.index, log, s.group.now()); !ok {
		return false, nil
	}
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	return true, commitEngine()
}

func (s *server) report() replication.Report {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return s.group.model.Report(s.index)
}

// Fault is a kind of fault that can be injected into a server.
type Fault string

// The kinds of faults.
const (
	// FaultCut isolates the server from its group. It still accepts connections.
	FaultCut Fault = "cut"
	// FaultPause makes the server stop answering without closing connections.
	FaultPause Fault = "pause"
	// FaultKill stops the server. Ending the fault restarts it.
	FaultKill Fault = "kill"
	// FaultLag delays applying the log on the server by a duration.
	FaultLag Fault = "lag"
	// FaultSwitchover makes the server the primary in a planned switchover.
	FaultSwitchover Fault = "switchover"
)

// SetFault begins or ends a fault on a server.
func (g *Group) SetFault(index int, fault Fault, on bool, amount time.Duration) error {
	if index < 0 || index >= len(g.servers) {
		return errors.Errorf("no server %d; the group has servers 0 to %d", index, len(g.servers)-1)
	}
	target := g.servers[index]
	switch fault {
	case FaultPause:
		target.paused.Store(on)
	case FaultKill:
		return g.kill(target, on)
	case FaultCut:
		g.updateModel(func() { g.model.SetIsolated(index, on) })
	case FaultLag:
		g.updateModel(func() { g.model.SetApplyLag(index, amount) })
	case FaultSwitchover:
		return g.switchover(index)
	default:
		return errors.Errorf("unknown fault %q; use cut, pause, kill, lag or switchover", fault)
	}
	return nil
}

func (g *Group) updateModel(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

func (g *Group) switchover(index int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	changes, ok := g.model.Switchover(index, g.now())
	if !ok {
		return errors.New("switchover is impossible: the primary or the target is not connected to the group")
	}
	g.applyChanges(changes)
	return nil
}

func (g *Group) kill(target *server, on bool) error {
	g.updateModel(func() { g.model.SetDown(target.index, on) })
	if on {
		target.closeListener()
		target.closeSessions()
		return nil
	}
	return target.listen(target.address)
}

// Leader returns the index of the current primary, or -1.
func (g *Group) Leader() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.model.Leader()
}

// WorkStarted returns how many statements a server has started, status queries excepted.
func (g *Group) WorkStarted(index int) int64 { return g.servers[index].workStarted.Load() }

// LoggedTransaction is a committed transaction in a server's log.
type LoggedTransaction struct {
	Position   position.Position `json:"position"`
	Statements []string          `json:"statements"`
	Args       [][]any           `json:"args"`
}

// Log returns the committed transactions in a server's log.
func (g *Group) Log(index int) []LoggedTransaction {
	g.mu.Lock()
	defer g.mu.Unlock()
	var result []LoggedTransaction
	for _, entry := range g.model.Log(index) {
		logged := LoggedTransaction{Position: entry.Position}
		for _, statement := range entry.Payload {
			logged.Statements = append(logged.Statements, statement.SQL)
			logged.Args = append(logged.Args, statement.Args)
		}
		result = append(result, logged)
	}
	return result
}

// waitWhilePaused blocks while the server is paused.
func (s *server) waitWhilePaused(ctx context.Context) {
	for s.paused.Load() && ctx.Err() == nil {
		time.Sleep(advanceInterval)
	}
}
