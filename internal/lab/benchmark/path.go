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

// policyForReads lets replicas serve at once, so that only the path is measured.
const policyForReads = `
service("bookings")
default(read = any(), wait = "5s")
`

// startFleet runs three nodes before one group with plenty of slots.
func startFleet(groups int, tune func(*database.Settings)) (*fleet.Fleet, error) {
	settings := fleet.Settings{Nodes: 3, Zones: []string{"a", "b", "c"}, Log: zap.NewNop()}
	for index := range groups {
		group := fleet.DefaultDatabase(groupNameOf(index))
		group.Slots, group.Connections = 64, 400
		group.ConnectCost = 0
		if tune != nil {
			tune(&group)
		}
		settings.Groups = append(settings.Groups, group)
	}
	return fleet.Start(settings)
}

func groupNameOf(index int) string {
	if index == 0 {
		return "bookings"
	}
	return fmt.Sprintf("group%d", index)
}

// Path is a way from a caller to a server.
type Path struct {
	Name    string
	Address string
}

// PathSample is what one way cost.
type PathSample struct {
	Path       string
	Statements int
	Elapsed    time.Duration
	CPU        time.Duration
	P50, P99   time.Duration
}

// Rate returns statements a second.
func (p PathSample) Rate() float64 { return float64(p.Statements) / p.Elapsed.Seconds() }

// CPUPerStatement returns processor time a statement of the whole process:
// caller, proxy and stand-in together.
func (p PathSample) CPUPerStatement() time.Duration {
	return p.CPU / time.Duration(max(p.Statements, 1))
}

// drive runs statements from a number of callers and takes the times.
func drive(ctx context.Context, path Path, callers, statements int) (PathSample, error) {
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
	begin, cpu := time.Now(), processorTime()
	var running sync.WaitGroup
	for index, conn := range conns {
		running.Add(1)
		go func() {
			defer running.Done()
			times[index], failures[index] = driveOne(ctx, conn.PgConn(), statements)
		}()
	}
	running.Wait()
	sample.Elapsed, sample.CPU = time.Since(begin), processorTime()-cpu
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

func driveOne(ctx context.Context, conn *pgconn.PgConn, statements int) ([]time.Duration, error) {
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

// Paths starts a deployment and returns the direct way to a replica, the way
// through the owner and the way through a node that forwards.
func Paths(ctx context.Context) (paths []Path, closeAll func(), err error) {
	running, err := startFleet(1, nil)
	if err != nil {
		return nil, nil, err
	}
	change := administration.Change{Operation: "bench", Author: "bench"}
	if _, err := running.Nodes[0].Administration().SubmitPolicy(ctx, "bookings", []byte(policyForReads), change); err != nil {
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

// Compare drives every way in turn, round by round, so that all meet the same
// machine; it returns one sample a way with its rounds added up.
func Compare(ctx context.Context, paths []Path, callers, statements, rounds int) ([]PathSample, error) {
	totals := make([]PathSample, len(paths))
	for range rounds {
		for index, path := range paths {
			sample, err := drive(ctx, path, callers, statements)
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

// Statements measures the processor time that each way adds to the direct one.
// Caller and stand-in cost the same on each way and cancel out.
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
			progress("statements: %s, %d statements: %.0f us of processor time added each", sample.Path, sample.Statements, float64((sample.CPU-samples[0].CPU).Microseconds())/float64(sample.Statements))
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

// IdleCallers measures a node's memory an idle caller. Both ends are in this
// process; the client ends are measured alone and taken off.
func IdleCallers(ctx context.Context, sizes []int, progress func(string, ...any)) (capacity.Slope, error) {
	running, err := startFleet(1, nil)
	if err != nil {
		return capacity.Slope{}, err
	}
	defer running.Close()
	var xs, ys []float64
	for _, size := range sizes {
		bare, err := idleMemory(size, bareAddress)
		if err != nil {
			return capacity.Slope{}, err
		}
		both, err := idleMemory(size, func() (string, func(), error) { return running.Nodes[0].Address, func() {}, nil })
		if err != nil {
			return capacity.Slope{}, err
		}
		// The bare listener's end costs about what a bare client end does.
		caller := both - bare/2
		progress("callers: %d idle: %.1f KB each in the node", size, caller/float64(size)/1024)
		xs, ys = append(xs, float64(size)), append(ys, caller)
		_ = fleet.Wait(10*time.Second, func() bool { return running.Nodes[0].Callers().Connected() == 0 })
	}
	return capacity.Fit(capacity.CallerMemory, "B", "caller", Command+" --only callers", xs, ys)
}

// bareAddress accepts connections, answers like a server that is ready, and holds them.
func bareAddress() (string, func(), error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	var held []net.Conn
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			held = append(held, conn)
			_, _ = conn.Write([]byte{'Z', 0, 0, 0, 5, 'I'})
		}
	}()
	return socket.Addr().String(), func() {
		_ = socket.Close()
		for _, conn := range held {
			_ = conn.Close()
		}
	}, nil
}

// startupMessage is protocol 3.0 with user bench and database bookings.
var startupMessage = func() []byte {
	body := "\x00\x03\x00\x00user\x00bench\x00database\x00bookings\x00\x00"
	return append([]byte{0, 0, 0, byte(len(body) + 4)}, body...)
}()

// idleMemory returns the process's growth while a number of connections stand.
func idleMemory(count int, open func() (string, func(), error)) (float64, error) {
	address, closeAll, err := open()
	if err != nil {
		return 0, err
	}
	defer closeAll()
	before := heap()
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
	return heap() - before, nil
}

// readUntilReady reads up to a ReadyForQuery that ends what has arrived.
func readUntilReady(conn net.Conn) error {
	const readyBytes = 6
	buffer := make([]byte, 4096)
	got := []byte{}
	for {
		size, err := conn.Read(buffer)
		if err != nil {
			return errors.Wrap(err, "wait for the server to be ready")
		}
		got = append(got, buffer[:size]...)
		if len(got) >= readyBytes && got[len(got)-readyBytes] == 'Z' {
			return nil
		}
	}
}

// StatusQuestions measures the processor time and bytes of status questions. The
// stand-in's side is included: the figure is an upper bound.
func StatusQuestions(progress func(string, ...any)) ([]capacity.Slope, error) {
	running, err := startFleet(1, nil)
	if err != nil {
		return nil, err
	}
	defer running.Close()
	address := backend.Address{Server: running.Databases["bookings"].Addresses()[0], User: "bench", Database: "bookings"}
	counting, err := countBytes(address)
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
		cpu := processorTime()
		for range count {
			if _, err := conn.Status(time.Now().Add(time.Second)); err != nil {
				return nil, err
			}
		}
		spent := float64((processorTime() - cpu).Microseconds())
		progress("status: %d questions: %.0f us each, %.0f bytes each", count, spent/float64(count), counting)
		xs, cpus, bytes = append(xs, float64(count)), append(cpus, spent), append(bytes, counting*float64(count))
	}
	cpu, err := capacity.Fit(capacity.StatusCPU, "us", "question", Command+" --only status", xs, cpus)
	if err != nil {
		return nil, err
	}
	traffic, err := capacity.Fit(capacity.StatusBytes, "B", "question", Command+" --only status", xs, bytes)
	return []capacity.Slope{cpu, traffic}, err
}

// countBytes returns the bytes of one status question and its answer, with
// headers and acknowledgements, by asking it over a raw connection.
func countBytes(address backend.Address) (float64, error) {
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
	question := append([]byte{'Q', 0, 0, 0, byte(len(backend.StatusQuery) + 5)}, append([]byte(backend.StatusQuery), 0)...)
	if _, err := conn.Write(question); err != nil {
		return 0, errors.Wrap(err, "send question")
	}
	buffer := make([]byte, 4096)
	size, err := conn.Read(buffer)
	if err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	return float64(len(question) + size + segments*segmentOverhead), nil
}

// BackendConnections measures the memory of a pooled connection; the stand-in's
// end is included: the figure is an upper bound.
func BackendConnections(ctx context.Context, progress func(string, ...any)) (capacity.Slope, error) {
	running, err := startFleet(1, nil)
	if err != nil {
		return capacity.Slope{}, err
	}
	defer running.Close()
	pool := backend.NewPool(backend.Address{Server: running.Databases["bookings"].Addresses()[0], User: "bench", Database: "bookings"})
	defer pool.CloseAll()
	var xs, ys []float64
	before := heap()
	open := 0
	for _, count := range []int{25, 50, 100, 200} {
		for ; open < count; open++ {
			if _, err := pool.Acquire(ctx); err != nil {
				return capacity.Slope{}, err
			}
		}
		grown := heap() - before
		progress("back end: %d connections: %.1f KB each", count, grown/float64(count)/1024)
		xs, ys = append(xs, float64(count)), append(ys, grown)
	}
	return capacity.Fit(capacity.BackendConnection, "B", "connection", Command+" --only backend", xs, ys)
}

// GroupMachines measures the memory of a group's machine at its owner.
func GroupMachines(progress func(string, ...any)) (capacity.Slope, error) {
	var xs, ys []float64
	for _, count := range []int{100, 200, 400, 800} {
		before := heap()
		machines := make([]*group.Machine, count)
		for index := range machines {
			machines[index] = group.New(group.DefaultSettings())
			machines[index].Step(time.Second, group.Tick{})
		}
		grown := heap() - before
		runtime.KeepAlive(machines)
		progress("groups: %d machines: %.1f KB each", count, grown/float64(count)/1024)
		xs, ys = append(xs, float64(count)), append(ys, grown)
	}
	return capacity.Fit(capacity.GroupMemory, "B", "group", Command+" --only groups", xs, ys)
}
