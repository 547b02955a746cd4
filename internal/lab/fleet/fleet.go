// Package fleet runs a complete small deployment in one process: a simulated platform, simulated
// database groups and real nodes, all on loopback sockets. The demo, the benchmarks and the
// integration tests use it.
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/settings"
	"dewknot/internal/lab/loopback"
	"dewknot/internal/lab/standin/database"
	"dewknot/internal/lab/standin/objectapi"
	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/node"
	"dewknot/internal/postgres/operator"
)

// Key is the fleet key of these deployments. It isn't secret, as they only listen on loopback.
const Key = "loopback-fleet-key-0123456789"

// Settings describe a deployment.
type Settings struct {
	Nodes  int
	Zones  []string
	Groups []database.Settings
	// Authenticate makes nodes require passwords from callers.
	Authenticate   bool
	ReviewRequired bool
	Log            *zap.Logger
	// FirstPort is the port on which the first node accepts callers; 0 selects free ports.
	FirstPort int
}

// Fleet is a running deployment.
type Fleet struct {
	Store     *objectapi.Store
	Databases map[string]*database.Group
	Nodes     []*Node
	storeHTTP *http.Server
	storeURL  string
	settings  Settings
}

// Node is a running node and its operator server.
type Node struct {
	*node.Node
	Operators *operator.Server
	Address   string
	Settings  settings.Node
}

// DefaultDatabase returns the settings of a simulated group with the limits of a typical booking
// database.
func DefaultDatabase(name string) database.Settings {
	const servers = 3
	addresses := make([]string, servers)
	for index := range addresses {
		addresses[index] = "127.0.0.1:0"
	}
	return database.Settings{
		Name: name, Addresses: addresses, ElectionDelay: time.Second, ReceiveDelay: time.Millisecond,
		ConnectCost: 10 * time.Millisecond, Connections: 40, Slots: 5,
	}
}

// Start starts a deployment and waits until every node is ready.
func Start(config Settings) (*Fleet, error) {
	started := &Fleet{Databases: map[string]*database.Group{}, settings: config}
	if err := started.open(); err != nil {
		started.Close()
		return nil, err
	}
	return started, nil
}

func (f *Fleet) open() error {
	if err := f.startStore(); err != nil {
		return err
	}
	for _, group := range f.settings.Groups {
		running, err := database.Start(group)
		if err != nil {
			return err
		}
		f.Databases[group.Name] = running
	}
	for index := range f.settings.Nodes {
		if err := f.StartNode(index); err != nil {
			return err
		}
	}
	for index, group := range f.settings.Groups {
		if err := f.configure(group, index); err != nil {
			return err
		}
	}
	return f.waitReady()
}

func (f *Fleet) startStore() error {
	const readers = 16
	f.Store = objectapi.NewStore(objectapi.Settings{Readers: readers, ListLag: 10 * time.Second})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	f.storeURL = "http://" + socket.Addr().String()
	f.storeHTTP = &http.Server{Handler: f.Store.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = f.storeHTTP.Serve(socket) }()
	return nil
}

// StartNode starts the node with the given index, or restarts it after it was closed.
func (f *Fleet) StartNode(index int) error {
	config := settings.Defaults()
	config.ID = fmt.Sprintf("node%d", index+1)
	config.Zone = f.settings.Zones[index%len(f.settings.Zones)]
	config.Store = f.storeURL
	config.FleetKeys = []string{Key}
	config.ReviewRequired = f.settings.ReviewRequired
	if !f.settings.Authenticate {
		config.Authentication = "trust"
	}
	for _, running := range f.Nodes {
		config.Seeds = append(config.Seeds, running.Settings.Gossip)
	}
	for _, target := range []*string{&config.Listen, &config.Peer, &config.Gossip, &config.Operator} {
		address, err := loopback.Free()
		if err != nil {
			return err
		}
		*target = address
	}
	if f.settings.FirstPort > 0 {
		config.Listen = fmt.Sprintf("127.0.0.1:%d", f.settings.FirstPort+index)
	}
	running, err := node.Start(config, f.settings.Log)
	if err != nil {
		return err
	}
	operators, err := operator.Serve(config.Operator, running)
	if err != nil {
		running.Close()
		return err
	}
	started := &Node{Node: running, Operators: operators, Address: running.CallerAddress(), Settings: config}
	if index < len(f.Nodes) {
		f.Nodes[index] = started
	} else {
		f.Nodes = append(f.Nodes, started)
	}
	return nil
}

// configure stores a group's configuration through the first node.
func (f *Fleet) configure(group database.Settings, index int) error {
	config := configuration.Group{Name: group.Name, Slots: group.Slots, Connections: group.Connections, User: "dewknot"}
	for number, address := range f.Databases[group.Name].Addresses() {
		config.Servers = append(config.Servers, configuration.Server{Address: address, Zone: f.settings.Zones[(index+number)%len(f.settings.Zones)]})
	}
	change := administration.Change{Operation: "configure-" + group.Name, Author: "fleet"}
	_, err := f.Nodes[0].Administration().SetGroup(context.Background(), config, change)
	return err
}

// readyTimeout is the timeout for starting a deployment.
const readyTimeout = 20 * time.Second

func (f *Fleet) waitReady() error {
	return Wait(readyTimeout, func() bool {
		for _, current := range f.Nodes {
			view := current.View()
			if !view.Ready || len(view.Members) < len(f.Nodes) || len(view.Config.Groups) < len(f.settings.Groups) {
				return false
			}
		}
		return f.allServed()
	})
}

// allServed reports whether every group has a usable primary according to some node.
func (f *Fleet) allServed() bool {
	for name := range f.Databases {
		served := false
		for _, current := range f.Nodes {
			for _, server := range current.Status().Groups[name].Servers {
				served = served || server.Primary && server.Fit
			}
		}
		if !served {
			return false
		}
	}
	return true
}

// pollInterval is how often Wait checks its condition.
const pollInterval = 10 * time.Millisecond

// Wait polls a condition and returns an error if it doesn't hold within the limit.
func Wait(timeout time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return errors.Errorf("the condition did not hold within %s; check the log", timeout)
}

// Close stops all nodes, groups and the store.
func (f *Fleet) Close() {
	for _, current := range f.Nodes {
		current.Operators.Close()
		current.Close()
	}
	for _, group := range f.Databases {
		group.Close()
	}
	if f.storeHTTP != nil {
		_ = f.storeHTTP.Close()
	}
}
