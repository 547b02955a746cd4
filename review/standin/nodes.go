package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// node is a process of the system.
type node struct {
	name, zone, ip string
	front, ready   string
	settings       string
	template       string
	fields         map[string]any
	process        *exec.Cmd
	ended          chan struct{}
}

// fleet is the system's own processes, started with the command of the deploy file.
type fleet struct {
	root  string
	dir   string
	words []string
	nodes []*node
}

var zones = map[string]string{"puget-a": "puget", "salish-a": "salish", "columbia-a": "columbia"}

// newFleet reads the deploy file and writes the settings of some nodes.
func newFleet(root, dir, platform, cloud string, fenced bool, zonesOfNodes []string) (*fleet, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	run, template := value(string(deploy), "run"), value(string(deploy), "template")
	content, err := os.ReadFile(filepath.Join(root, template))
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, words: strings.Fields(run)}
	ports, network, err := freeAddresses(len(zonesOfNodes) + 1)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range zonesOfNodes {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, i+1, ports[2]))
		}
	}
	for i, zone := range zonesOfNodes {
		n := &node{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", network, i+1)}
		n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, ports[0]), fmt.Sprintf("%s:%d", n.ip, ports[1])
		n.settings, n.fields = filepath.Join(dir, n.name+".toml"), nil
		fields := map[string]any{
			"node": n.name, "zone": zone, "region": zones[zone], "ip": n.ip, "zones": zones, "seeds": seeds, "bootstrap": true,
			"listen":         map[string]any{"front": n.front, "ready": n.ready, "control": fmt.Sprintf("%s:%d", n.ip, ports[2])},
			"internal_ports": []int{ports[3], ports[3] + 15},
			"limits":         map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0},
			"platform":       map[string]any{"address": platform},
			"cloud":          map[string]any{"address": cloud},
			"bounds": map[string]any{
				"drain_ms": 7000, "grace_s": 6, "config_apply_ms": 3000, "require_fence": fenced,
			},
		}
		n.fields, n.template = fields, string(content)
		if err := n.writeSettings(); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

func (n *node) writeSettings() error {
	return os.WriteFile(n.settings, []byte(fill(n.template, n.fields)), 0o600)
}

// kill ends a node's process.
func (f *fleet) kill(n *node) {
	record.add("signal", "kill to "+n.name)
	_ = n.process.Process.Kill()
	<-n.ended
}

// restart starts a node's process again. It isn't the first start of the system any more.
func (f *fleet) restart(n *node) error {
	n.fields["bootstrap"] = false
	if err := n.writeSettings(); err != nil {
		return err
	}
	return f.startNode(n)
}

func (f *fleet) named(name string) *node {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// replace starts a node on a new machine, at another address, in place of one that is gone for good.
func (f *fleet) replace(gone *node) error {
	number := len(f.nodes) + 1
	network := gone.ip[:strings.LastIndex(gone.ip, ".")]
	move := func(address string) string {
		_, port, _ := net.SplitHostPort(address)
		return fmt.Sprintf("%s.%d:%s", network, number, port)
	}
	n := &node{
		name: fmt.Sprintf("front-%s-%d", gone.zone, number), zone: gone.zone, ip: fmt.Sprintf("%s.%d", network, number),
		front: move(gone.front), ready: move(gone.ready), template: gone.template, fields: map[string]any{},
	}
	n.settings = filepath.Join(f.dir, n.name+".toml")
	for key, field := range gone.fields {
		n.fields[key] = field
	}
	listen := gone.fields["listen"].(map[string]any)
	n.fields["node"], n.fields["ip"] = n.name, n.ip
	n.fields["listen"] = map[string]any{"front": n.front, "ready": n.ready, "control": move(listen["control"].(string))}
	for i := range f.nodes {
		if f.nodes[i] == gone {
			f.nodes[i] = n
		}
	}
	return f.restart(n)
}

// value returns the text of a key of the deploy file.
func value(deploy, key string) string {
	for _, line := range strings.Split(deploy, "\n") {
		if name, text, found := strings.Cut(line, "="); found && strings.TrimSpace(name) == key {
			text, _ := strconv.Unquote(strings.TrimSpace(text))
			return text
		}
	}
	return ""
}

// freeAddresses returns four ports that are free on the loopback addresses of some nodes, which share
// the returned first three bytes. The port of the metrics is fixed by the template.
func freeAddresses(nodes int) ([]int, string, error) {
	for attempt := 0; attempt < 50; attempt++ {
		seed := os.Getpid() + attempt*7919
		network := fmt.Sprintf("127.%d.%d", 10+seed%200, 1+(seed/200)%250)
		base := 20000 + seed%20000
		ports := []int{base, base + 1, base + 2, base + 10}
		free := true
		for i := 1; i <= nodes && free; i++ {
			for _, port := range append([]int{9101}, ports...) {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, i, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return ports, network, nil
		}
	}
	return nil, "", fmt.Errorf("no free addresses")
}

func (f *fleet) start() error {
	for _, n := range f.nodes {
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startNode(n *node) error {
	log, err := os.Create(filepath.Join(f.dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.process = exec.Command(filepath.Join(f.root, f.words[0]), f.words[1:]...)
	n.process.Dir = f.root
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DEWKNOT_SETTINGS=" + n.settings}
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func() {
		err := n.process.Wait()
		record.add("node", fmt.Sprintf("%s ended: %v", n.name, err))
		close(n.ended)
	}()
	record.add("node", fmt.Sprintf("%s starts, process %d", n.name, n.process.Process.Pid))
	return nil
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.process != nil && n.ended != nil {
			_ = n.process.Process.Kill()
			<-n.ended
		}
	}
}

// awaitReady waits until all nodes call themselves ready.
func (f *fleet) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			if answer, err := client.Get("http://" + n.ready + "/dewknot/readiness"); err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(f.nodes) {
			return true
		}
	}
	return false
}
