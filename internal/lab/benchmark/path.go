package benchmark

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/lab/capacity"
	"dewknot/internal/lab/fleet"
	"dewknot/internal/lab/measure"
	"dewknot/internal/lab/standin/database"
	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/group"
)

// readPolicy lets replicas serve reads without waiting, so that only the path is measured.
const readPolicy = `
service("bookings")
default(read = any(), wait = "5s")
`

// startFleet starts three nodes and the given number of groups, with enough slots that requests
// never queue.
func startFleet(groups int, change func(*database.Settings)) (*fleet.Fleet, error) {
	settings := fleet.Settings{Nodes: 3, Zones: []string{"a", "b", "c"}, Log: zap.NewNop()}
	for index := range groups {
		group := fleet.DefaultDatabase(groupName(index))
		group.Slots, group.Connections = 64, 400
		group.ConnectCost = 0
		if change != nil {
			change(&group)
		}
		settings.Groups = append(settings.Groups, group)
	}
	return fleet.Start(settings)
}

func groupName(index int) string {
	if index == 0 {
		return "bookings"
	}
	return fmt.Sprintf("group%d", index)
}

// Path is a path from a caller to a server.
type Path struct {
	Name    string
	Address string
}

// PathSample is the cost of a path.
type PathSample struct {
	Path       string
	Statements int
	Elapsed    time.Duration
	CPU        time.Duration
	P50, P99   time.Duration
}

// Rate returns the number of statements per second.
func (p PathSample) Rate() float64 { return float64(p.Statements) / p.Elapsed.Seconds() }

// CPUPerStatement returns the CPU time per statement of the whole process: caller, proxy and
// simulated server.
func (p PathSample) CPUPerStatement() time.Duration {
	return p.CPU / time.Duration(max(p.Statements, 1))
}

// runCallers runs statements from concurrent callers and measures them.
func runCallers(ctx context.Context, path Path, callers, statements int) (PathSample, error) {
	sample := PathSample{Path: path.Name, Statements: callers * statements}
	conns := make([]*pgx.Conn, callers)
	for index := range conns {
		conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://bench@%s/bookings?sslmode=disable", path.Address))
		if err != nil {
			return sample, errors.Wrapf(err, "connect over %s", path.Name)
		}
		conns[index] = conn
		defer func() { _ = conn.Close(ctx) }()
	}
	times := make([][]time.Duration, callers)
	failures := make([]error, callers)
	begin, cpu := time.Now(), cpuTime()
	var running sync.WaitGroup
	for index, conn := range conns {
		running.Add(1)
		go func() {
			defer running.Done()
			times[index], failures[index] = runCaller(ctx, conn.PgConn(), statements)
		}()
	}
	running.Wait()
	sample.Elapsed, sample.CPU = time.Since(begin), cpuTime()-cpu
	var all []time.Duration
	for index := range times {
		if failures[index] != nil {
			return sample, errors.Wrapf(failures[index], "statement over %s", path.Name)
		}
		all = append(all, times[index]...)
	}
	sample.P50, sample.P99 = measure.Quantile(all, 0.50), measure.Quantile(all, 0.99)
	return sample, nil
}

func runCaller(ctx context.Context, conn *pgconn.PgConn, statements int) ([]time.Duration, error) {
	times := make([]time.Duration, 0, statements)
	for range statements {
		begin := time.Now()
		if _, err := conn.Exec(ctx, "SELECT 1").ReadAll(); err != nil {
			return nil, err
		}
		times = append(times, time.Since(begin))
	}
	return times, nil
}

// Paths starts a deployment and returns the direct path to a replica, the path through the owner
// and the path through a node that forwards to the owner.
func Paths(ctx context.Context) (paths []Path, closeAll func(), err error) {
	running, err := startFleet(1, nil)
	if err != nil {
		return nil, nil, err
	}
	change := administration.Change{Operation: "bench", Author: "bench"}
	if _, err := running.Nodes[0].Administration().SubmitPolicy(ctx, "bookings", []byte(readPolicy), change); err != nil {
		running.Close()
		return nil, nil, err
	}
	err = fleet.Wait(10*time.Second, func() bool {
		for _, node := range running.Nodes {
			if node.View().Config.Policies["bookings"] == nil {
				return false
			}
		}
		return true
	})
	if err != nil {
		running.Close()
		return nil, nil, err
	}
	owners := running.Nodes[0].View().Owners("bookings")
	paths = []Path{{Name: "direct", Address: running.Databases["bookings"].Addresses()[1]}}
	for _, node := range running.Nodes {
		switch {
		case node.Settings.ID == owners[0]:
			paths = append(paths, Path{Name: "owner", Address: node.Address})
		case len(owners) > 1 && node.Settings.ID == owners[1]:
		default:
			paths = append(paths, Path{Name: "forwarded", Address: node.Address})
		}
	}
	return paths, running.Close, nil
}

// Compare measures all paths in each round, so that changes in the machine's load affect all of
// them. It returns one sample per path: the sum of its rounds, and the means of their quantiles.
func Compare(ctx context.Context, paths []Path, callers, statements, rounds int) ([]PathSample, error) {
	totals := make([]PathSample, len(paths))
	for range rounds {
		for index, path := range paths {
			sample, err := runCallers(ctx, path, callers, statements)
			if err != nil {
				return nil, err
			}
			total := &totals[index]
			total.Path = path.Name
			total.Statements += sample.Statements
			total.Elapsed += sample.Elapsed
			total.CPU += sample.CPU
			total.P50 += sample.P50 / time.Duration(rounds)
			total.P99 += sample.P99 / time.Duration(rounds)
		}
	}
	return totals, nil
}

// Statements measures the CPU time that each path adds to the direct one. The costs of caller and
// server are the same on all paths and cancel out.
func Statements(ctx context.Context, progress func(string, ...any)) ([]capacity.Slope, error) {
	paths, closeAll, err := Paths(ctx)
	if err != nil {
		return nil, err
	}
	defer closeAll()
	counts := []int{1000, 2000, 4000, 8000}
	sizes := make([]float64, 0, len(counts))
	added := map[string][]float64{}
	for _, count := range counts {
		samples, err := Compare(ctx, paths, 4, count/4, 3)
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, float64(samples[0].Statements))
		for _, sample := range samples[1:] {
			added[sample.Path] = append(added[sample.Path], float64((sample.CPU - samples[0].CPU).Microseconds()))
			progress("statements: %s, %d statements: %.0f us of CPU time added per statement", sample.Path, sample.Statements, float64((sample.CPU-samples[0].CPU).Microseconds())/float64(sample.Statements))
		}
	}
	var slopes []capacity.Slope
	for name, path := range map[string]string{capacity.OwnedStatement: "owner", capacity.ForwardStatement: "forwarded"} {
		slope, err := capacity.Fit(name, "us", "statement", Command+" --only path", sizes, added[path])
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, slope)
	}
	return slopes, nil
}

// IdleCallers measures a node's memory per idle caller. Both ends of the connections are in this
// process, so the memory of the client ends is measured separately and subtracted.
func IdleCallers(ctx context.Context, sizes []int, progress func(string, ...any)) (capacity.Slope, error) {
	running, err := startFleet(1, nil)
	if err != nil {
		return capacity.Slope{}, err
	}
	defer running.Close()
	var xs, ys []float64
	for _, size := range sizes {
		bareMemory, err := idleConnectionMemory(size, startBareListener)
		if err != nil {
			return capacity.Slope{}, err
		}
		nodeMemory, err := idleConnectionMemory(size, func() (string, func(), error) { return running.Nodes[0].Address, func() {}, nil })
		if err != nil {
			return capacity.Slope{}, err
		}
		// Both ends of a connection to the bare listener cost about the same.
		callerMemory := nodeMemory - bareMemory/2
		progress("callers: %d idle: %.1f KB per caller in the node", size, callerMemory/float64(size)/1024)
		xs, ys = append(xs, float64(size)), append(ys, callerMemory)
		_ = fleet.Wait(10*time.Second, func() bool { return running.Nodes[0].Callers().Connected() == 0 })
	}
	return capacity.Fit(capacity.CallerMemory, "B", "caller", Command+" --only callers", xs, ys)
}

// startBareListener starts a listener that answers each connection with ReadyForQuery and keeps it
// open.
func startBareListener() (string, func(), error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	var conns []net.Conn
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			conns = append(conns, conn)
			_, _ = conn.Write([]byte{'Z', 0, 0, 0, 5, 'I'})
		}
	}()
	return socket.Addr().String(), func() {
		_ = socket.Close()
		for _, conn := range conns {
			_ = conn.Close()
		}
	}, nil
}

// startupMessage is a startup message of protocol 3.0 with user bench and database bookings.
var startupMessage = func() []byte {
	body := "\x00\x03\x00\x00user\x00bench\x00database\x00bookings\x00\x00"
	return append([]byte{0, 0, 0, byte(len(body) + 4)}, body...)
}()

// idleConnectionMemory returns by how many bytes the process grows when count connections are open.
func idleConnectionMemory(count int, open func() (string, func(), error)) (float64, error) {
	address, closeAll, err := open()
	if err != nil {
		return 0, err
	}
	defer closeAll()
	before := liveMemory()
	conns := make([]net.Conn, 0, count)
	defer func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	for range count {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, errors.Wrap(err, "connect; allow more open files")
		}
		conns = append(conns, conn)
		if _, err := conn.Write(startupMessage); err != nil {
			return 0, errors.Wrap(err, "send startup message")
		}
		if err := readUntilReady(conn); err != nil {
			return 0, err
		}
	}
	return liveMemory() - before, nil
}

// readUntilReady reads until the received bytes end with a ReadyForQuery message.
func readUntilReady(conn net.Conn) error {
	const readyBytes = 6
	buffer := make([]byte, 4096)
	got := []byte{}
	for {
		size, err := conn.Read(buffer)
		if err != nil {
			return errors.Wrap(err, "wait for ReadyForQuery")
		}
		got = append(got, buffer[:size]...)
		if len(got) >= readyBytes && got[len(got)-readyBytes] == 'Z' {
			return nil
		}
	}
}

// StatusQueries measures the CPU time and the bytes of status queries. The CPU time includes the
// simulated server, so it is an upper bound.
func StatusQueries(progress func(string, ...any)) ([]capacity.Slope, error) {
	running, err := startFleet(1, nil)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	address := backend.Address{Server: running.Databases["bookings"].Addresses()[0], User: "bench", Database: "bookings"}
	bytesPerQuery, err := statusQueryBytes(address)
	if err != nil {
		return nil, err
	}
	conn, err := backend.Dial(context.Background(), address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	var xs, cpus, bytes []float64
	for _, count := range []int{1000, 2000, 4000, 8000} {
		cpu := cpuTime()
		for range count {
			if _, err := conn.Status(time.Now().Add(time.Second)); err != nil {
				return nil, err
			}
		}
		cpuMicroseconds := float64((cpuTime() - cpu).Microseconds())
		progress("status: %d queries: %.0f us and %.0f bytes per query", count, cpuMicroseconds/float64(count), bytesPerQuery)
		xs, cpus, bytes = append(xs, float64(count)), append(cpus, cpuMicroseconds), append(bytes, bytesPerQuery*float64(count))
	}
	cpu, err := capacity.Fit(capacity.StatusCPU, "us", "question", Command+" --only status", xs, cpus)
	if err != nil {
		return nil, err
	}
	traffic, err := capacity.Fit(capacity.StatusBytes, "B", "question", Command+" --only status", xs, bytes)
	return []capacity.Slope{cpu, traffic}, err
}

// statusQueryBytes returns the bytes of a status query and its answer, including TCP/IP headers and
// acknowledgements. It sends the query over a raw connection.
func statusQueryBytes(address backend.Address) (float64, error) {
	const segments, segmentOverhead = 3, 52
	conn, err := net.Dial("tcp", address.Server)
	if err != nil {
		return 0, errors.Wrap(err, "connect")
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(startupMessage); err != nil {
		return 0, errors.Wrap(err, "send startup message")
	}
	if err := readUntilReady(conn); err != nil {
		return 0, err
	}
	query := append([]byte{'Q', 0, 0, 0, byte(len(backend.StatusQuery) + 5)}, append([]byte(backend.StatusQuery), 0)...)
	if _, err := conn.Write(query); err != nil {
		return 0, errors.Wrap(err, "send status query")
	}
	buffer := make([]byte, 4096)
	size, err := conn.Read(buffer)
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	return float64(len(query) + size + segments*segmentOverhead), nil
}

// BackendConnections measures the memory of a pooled connection. It includes the simulated server's
// end, so it is an upper bound.
func BackendConnections(ctx context.Context, progress func(string, ...any)) (capacity.Slope, error) {
	running, err := startFleet(1, nil)
	if err != nil {
		return capacity.Slope{}, err
	}
	defer running.Close()
	pool := backend.NewPool(backend.Address{Server: running.Databases["bookings"].Addresses()[0], User: "bench", Database: "bookings"})
	defer pool.CloseAll()
	var xs, ys []float64
	before := liveMemory()
	open := 0
	for _, count := range []int{25, 50, 100, 200} {
		for ; open < count; open++ {
			if _, err := pool.Acquire(ctx); err != nil {
				return capacity.Slope{}, err
			}
		}
		grown := liveMemory() - before
		progress("back end: %d connections: %.1f KB per connection", count, grown/float64(count)/1024)
		xs, ys = append(xs, float64(count)), append(ys, grown)
	}
	return capacity.Fit(capacity.BackendConnection, "B", "connection", Command+" --only backend", xs, ys)
}

// GroupMachines measures the memory of a group's state machine at its owner.
func GroupMachines(progress func(string, ...any)) (capacity.Slope, error) {
	var xs, ys []float64
	for _, count := range []int{100, 200, 400, 800} {
		before := liveMemory()
		machines := make([]*group.Machine, count)
		for index := range machines {
			machines[index] = group.New(group.DefaultSettings())
			machines[index].Step(time.Second, group.Tick{})
		}
		grown := liveMemory() - before
		runtime.KeepAlive(machines)
		progress("groups: %d state machines: %.1f KB per group", count, grown/float64(count)/1024)
		xs, ys = append(xs, float64(count)), append(ys, grown)
	}
	return capacity.Fit(capacity.GroupMemory, "B", "group", Command+" --only groups", xs, ys)
}
