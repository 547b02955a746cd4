package cli

import (
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/logging"
	"dewknot/internal/base/settings"
	"dewknot/internal/lab/standin/database"
	"dewknot/internal/lab/standin/objectapi"
	"dewknot/internal/postgres/node"
	"dewknot/internal/postgres/operator"
)

// nodeCommand runs a node. Flags override the settings file.
type nodeCommand struct {
	Settings       string        `type:"existingfile" help:"Settings file (TOML)."`
	ID             string        `help:"Name of the node, unique in the fleet."`
	Zone           string        `help:"Zone of the node."`
	Listen         string        `help:"Address for callers, ip:port."`
	Peer           string        `help:"Address for other nodes (TCP)."`
	Gossip         string        `help:"Address of the membership protocol (UDP)."`
	Operator       string        `help:"Address for operators (HTTP)."`
	Seeds          []string      `help:"Gossip addresses of other nodes."`
	Store          string        `help:"Base URL of the platform's object API."`
	FleetKeys      []string      `help:"Keys that authenticate nodes of the fleet."`
	Authentication string        `help:"How callers authenticate: scram or trust."`
	ReviewRequired bool          `help:"Require a second operator's approval of policies."`
	DrainLimit     time.Duration `help:"Maximum duration of open transactions after a planned stop begins."`
	LogLevel       string        `help:"Log level: debug, info, warn or error."`
	LogFormat      string        `help:"Log format: console or json."`
}

// load returns the checked settings: the file with the flags applied.
func (c *nodeCommand) load() (settings.Node, error) {
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return loaded, err
	}
	overrides := []struct {
		flag   string
		target *string
	}{
		{c.ID, &loaded.ID},
		{c.Zone, &loaded.Zone},
		{c.Listen, &loaded.Listen},
		{c.Peer, &loaded.Peer},
		{c.Gossip, &loaded.Gossip},
		{c.Operator, &loaded.Operator},
		{c.Store, &loaded.Store},
		{c.Authentication, &loaded.Authentication},
		{c.LogLevel, &loaded.LogLevel},
		{c.LogFormat, &loaded.LogFormat},
	}
	for _, override := range overrides {
		if override.flag != "" {
			*override.target = override.flag
		}
	}
	if len(c.Seeds) > 0 {
		loaded.Seeds = c.Seeds
	}
	if len(c.FleetKeys) > 0 {
		loaded.FleetKeys = c.FleetKeys
	}
	if c.DrainLimit > 0 {
		loaded.DrainLimit.Duration = c.DrainLimit
	}
	loaded.ReviewRequired = loaded.ReviewRequired || c.ReviewRequired
	return loaded, loaded.Check()
}

// Run runs the node until the command is canceled, then drains it.
func (c *nodeCommand) Run(env *environment) error {
	loaded, err := c.load()
	if err != nil {
		return err
	}
	log, err := logging.New(loaded.LogLevel, loaded.LogFormat)
	if err != nil {
		return err
	}
	started, err := node.Start(loaded, log)
	if err != nil {
		return err
	}
	defer started.Close()
	operators, err := operator.Serve(loaded.Operator, started)
	if err != nil {
		return err
	}
	defer operators.Close()
	<-env.ctx.Done()
	log.Info("node: stopping as planned")
	started.Drain()
	return nil
}

type standinCommand struct {
	Database   databaseCommand   `cmd:"" help:"Run a stand-in database group."`
	Platform   platformCommand   `cmd:"" help:"Run a stand-in object API and machine list."`
	Fault      faultCommand      `cmd:"" help:"Start or end a fault of a stand-in database server."`
	StoreFault storeFaultCommand `cmd:"" help:"Start or end a fault of the stand-in platform."`
}

type databaseCommand struct {
	Name          string        `default:"bookings" help:"Name of the group."`
	Listen        []string      `default:"127.0.0.1:6101,127.0.0.1:6102,127.0.0.1:6103" help:"Addresses, one per server."`
	Control       string        `default:"127.0.0.1:6100" help:"Address for faults and status (HTTP)."`
	ElectionDelay time.Duration `default:"1s" help:"Time that the group takes to change its primary."`
	ReceiveDelay  time.Duration `default:"1ms" help:"Replication delay until a replica receives an entry."`
	ConnectCost   time.Duration `default:"10ms" help:"Time to set up a connection."`
	StatementTime time.Duration `default:"0s" help:"Time that each statement occupies a slot."`
	Connections   int           `default:"40" help:"Connection limit per server."`
	Slots         int           `default:"5" help:"Concurrent statements per server."`
}

// Run serves the group until the command is canceled.
func (c *databaseCommand) Run(env *environment) error {
	group, err := database.Start(database.Settings{
		Name: c.Name, Addresses: c.Listen, ElectionDelay: c.ElectionDelay, ReceiveDelay: c.ReceiveDelay,
		ConnectCost: c.ConnectCost, StatementTime: c.StatementTime, Connections: c.Connections, Slots: c.Slots,
	})
	if err != nil {
		return err
	}
	defer group.Close()
	env.printf("stand-in: group %s on %s, control on %s\n", c.Name, strings.Join(c.Listen, " "), c.Control)
	return serveUntilStopped(env, c.Control, group.Handler())
}

type platformCommand struct {
	Listen  string        `default:"127.0.0.1:6000" help:"Address (HTTP)."`
	Readers int           `default:"8" help:"Maximum number of concurrent watches."`
	ListLag time.Duration `default:"10s" help:"Delay of the machine list."`
}

// Run serves the stand-in until the command is canceled.
func (c *platformCommand) Run(env *environment) error {
	store := objectapi.NewStore(objectapi.Settings{Readers: c.Readers, ListLag: c.ListLag})
	env.printf("stand-in: platform on %s\n", c.Listen)
	return serveUntilStopped(env, c.Listen, store.Handler())
}

// postFault starts or ends a fault of the stand-in platform.
func postFault(address, kind string, on bool, amount string) error {
	values := url.Values{"kind": {kind}, "on": {fmt.Sprint(on)}, "amount": {amount}}
	response, err := http.Post("http://"+address+"/fault?"+values.Encode(), "text/plain", nil)
	if err != nil {
		return errors.Wrap(err, "call the simulated platform; check its address")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("the simulated platform rejected the request: %s", response.Status)
	}
	return nil
}

// serveUntilStopped serves HTTP requests until the command is canceled.
func serveUntilStopped(env *environment, address string, handler http.Handler) error {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; use a free address", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() {
		<-env.ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
