// Command world plays a small deployment of dewknot on loopback addresses: the platform's store and
// promotions, a replicated service and its clients are stand-ins in this process, the nodes are
// processes of dewknot-proxy. It plays one case of the review and judges it by what clients, servers
// and the platform saw.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Node is a process of dewknot-proxy.
type Node struct {
	world    *World
	name     string
	zone     string
	ip       string
	callers  string
	ready    string
	peers    string
	tokens   string
	settings string
	log      *os.File

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	isReady bool
}

// World is a deployment that is being played.
type World struct {
	record  *Record
	folder  string
	program string
	trouble bool
	store   *Store
	cloud   *Cloud
	nodes   []*Node
	// tenants are part of each configuration, if there are any.
	tenants []map[string]any
	acks    acknowledged
	ending  chan struct{}
}

// zones of the deployment, each in a region of its own.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// freeAddress returns an address with a free port.
func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// addNode prepares a node in a zone.
func (w *World) addNode(zone string) error {
	number := len(w.nodes) + 1
	n := &Node{world: w, name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("127.0.0.%d", 10+number)}
	for _, address := range []*string{&n.callers, &n.ready, &n.peers, &n.tokens} {
		var err error
		if *address, err = freeAddress(n.ip); err != nil {
			return err
		}
	}
	w.nodes = append(w.nodes, n)
	return nil
}

// writeSettings fills the project's settings as its template does.
func (n *Node) writeSettings(first bool) error {
	w := n.world
	seeds := make([]string, 0, len(w.nodes))
	for _, other := range w.nodes {
		seeds = append(seeds, fmt.Sprintf("%q", other.peers))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nzone = %q\ncallers = %q\nreadiness = %q\npeers = %q\n", n.name, n.zone, n.callers, n.ready, n.peers)
	fmt.Fprintf(&text, "seeds = [%s]\nstore = %q\npromotions = %q\n", strings.Join(seeds, ", "), w.store.address, w.cloud.address)
	if len(w.tenants) > 0 {
		fmt.Fprintf(&text, "quota_window = \"5s\"\nquota_overage = 0.1\nquota_slack = 20\ntokens = %q\n", n.tokens)
	}
	if first {
		text.WriteString("first_start = true\n")
	}
	text.WriteString("configuration_bound = \"4000ms\"\ndrain_bound = \"7000ms\"\nstop_grace = \"6s\"\n")
	text.WriteString("memory_limit_mb = 284\nprocessors = 0.4\nlink_mbps = 1000.0\n\n[regions]\n")
	for _, zone := range zones {
		fmt.Fprintf(&text, "%q = %q\n", zone, "region-"+zone)
	}
	n.settings = filepath.Join(w.folder, n.name+".toml")
	return os.WriteFile(n.settings, []byte(text.String()), 0o600)
}

// start starts the node's process.
func (n *Node) start(first bool) error {
	if err := n.writeSettings(first); err != nil {
		return err
	}
	if n.log == nil {
		var err error
		if n.log, err = os.Create(filepath.Join(n.world.folder, n.name+".log")); err != nil {
			return err
		}
	}
	command := exec.Command(n.world.program, "run")
	command.Env = []string{"DEWKNOT_SETTINGS=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = n.log, n.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended = command.Process, ended
	n.mu.Unlock()
	go func() {
		err := command.Wait()
		n.world.record.Add("the process of %s has ended: %v", n.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.world.record.Note("%s gets %v", n.name, s)
	_ = n.process.Signal(s)
}

// running reports whether the node's process runs.
func (n *Node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return false
	}
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// Ready reports whether the node's last answer to the platform's question was 200.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isReady
}

// askReadiness asks all nodes each second whether they are ready, as the platform does.
func (w *World) askReadiness() {
	requests := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, n := range w.nodes {
			go func() {
				answer, err := requests.Get("http://" + n.ready + "/dewknot/readiness")
				ready := err == nil && answer.StatusCode == http.StatusOK
				if err == nil {
					_ = answer.Body.Close()
				}
				n.mu.Lock()
				n.isReady = ready
				n.mu.Unlock()
			}()
		}
		select {
		case <-w.ending:
			return
		case <-time.After(time.Second):
		}
	}
}

// awaitReady waits until all nodes are ready.
func (w *World) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.Ready() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
	}
	return errors.New("not all nodes are ready")
}

// over reports whether the play has ended.
func (w *World) over() bool {
	select {
	case <-w.ending:
		return true
	default:
		return false
	}
}

// close ends all processes that were started.
func (w *World) close() {
	for _, n := range w.nodes {
		if n.running() {
			_ = n.process.Kill()
			<-n.ended
		}
	}
}

// newWorld starts the stand-ins of the platform.
func newWorld(record *Record, folder, program string, trouble bool) (*World, error) {
	w := &World{record: record, folder: folder, program: program, trouble: trouble, ending: make(chan struct{})}
	var err error
	if w.store, err = newStore("127.0.0.1"); err != nil {
		return nil, err
	}
	w.cloud, err = newCloud("127.0.0.1", map[string]*Service{})
	return w, err
}

// startNodes starts a node in each zone and waits until all are ready.
func (w *World) startNodes() error {
	for _, zone := range zones {
		if err := w.addNode(zone); err != nil {
			return err
		}
	}
	for _, n := range w.nodes {
		if err := n.start(true); err != nil {
			return err
		}
	}
	go w.askReadiness()
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	return nil
}

// configure writes the configuration on behalf of the operator.
func (w *World) configure(version int, service ServiceConfig, routes ...map[string]any) {
	configuration := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service.Name, "health_path": "/health", "max_connections": service.MaxConnections, "protocol": "h1", "tls": false,
			"sync_replicas": service.SyncReplicas,
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000,
		},
	}
	if len(w.tenants) > 0 {
		configuration["tenants"] = w.tenants
	}
	w.store.Put("config", "main", configuration)
	w.record.Note("the operator writes version %d of the configuration", version)
}

// route returns a route of the configuration.
func route(name, host, service, kind string, timeoutMS, targetMS, staleMS int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": "/", "service": service, "kind": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": targetMS, "priority": 1, "max_attempts": 2,
	}
	if staleMS > 0 {
		r["max_staleness_ms"] = staleMS
	}
	return r
}

// playCase plays a case and returns whether its rule was broken.
func playCase(ctx context.Context, name string, w *World) (broken bool, err error) {
	play, found := cases[name]
	if !found {
		return false, fmt.Errorf("there is no case %q", name)
	}
	result := make(chan struct{})
	go func() {
		defer close(result)
		broken, err = play(w)
	}()
	select {
	case <-result:
		return broken, err
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// playLimit bounds a play.
const playLimit = 110 * time.Second

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: world CASE RECORD PROGRAM")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "dewknot-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println("kept:", folder)
	}
	w, err := newWorld(record, folder, os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	ctx, cancel := context.WithTimeout(context.Background(), playLimit)
	defer cancel()
	broken, err := playCase(ctx, os.Args[1], w)
	switch {
	case err != nil:
		record.Note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.Note("BROKEN")
		return exitBroken
	default:
		record.Note("HELD")
		return exitHeld
	}
}

func main() { os.Exit(run()) }
