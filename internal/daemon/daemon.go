// Package daemon runs a node with the platform's adapters, which it gets from package platform,
// until the process receives a signal to stop.
package daemon

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/liveness"
	"dewknot/internal/base/settings"
	"dewknot/internal/proxy"
	"dewknot/internal/proxy/network"
	"dewknot/internal/proxy/quorum"
	"dewknot/internal/proxy/quota"
	"dewknot/internal/proxy/relay"
	"dewknot/internal/proxy/traffic"
	"dewknot/internal/proxy/upstream"
	"dewknot/platform"
)

// memoryShare is the fraction of the memory limit that is set as the Go runtime's soft limit.
const memoryShare = 0.7

// Run runs a node until SIGTERM or SIGINT.
func Run(path string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Serve(ctx, path, os.Stdout)
}

// Serve runs a node until ctx is canceled. The node then shuts down gracefully. Its events are
// written to out.
func Serve(ctx context.Context, path string, out io.Writer) error {
	loaded, err := settings.LoadProxy(path)
	if err != nil {
		return err
	}
	log := eventlog.New(out, eventlog.Config{
		Node: loaded.Name, LinesPerSecond: loaded.LogLinesPerSecond, Level: eventlog.Level(loaded.LogLevel),
	})
	defer log.Close()
	debug.SetMemoryLimit(int64(memoryShare * float64(loaded.MemoryLimitMB<<20)))
	callers, err := listen(loaded.Callers)
	if err != nil {
		return err
	}
	readiness, err := listen(loaded.Readiness)
	if err != nil {
		return err
	}
	log.Write(eventlog.NodeStarted, zap.String("zone", loaded.Zone))
	dialer := &platform.Dialer{NodeName: loaded.Name}
	meter := new(traffic.Meter)
	peerClient := &relay.Client{Accounting: accounting(meter)}
	nodePorts := newPorts(&loaded, dialer, peerClient)
	node, err := newNode(&loaded, nodePorts, log)
	if err != nil {
		return err
	}
	dialer.Connect = func(ctx context.Context, address, id string) (net.Conn, error) {
		if via, indirect := node.IndirectPathTo(id); indirect {
			return peerClient.Tunnel(ctx, via, id)
		}
		conn, err := platform.ConnectDirectly(ctx, address)
		if err != nil {
			return nil, err
		}
		conn = meter.Count(conn)
		traffic.SetKind(conn, traffic.Servers)
		return conn, nil
	}
	go serveReadiness(readiness, node)
	if loaded.Peers != "" {
		peers, err := listenForPeers(ctx, loaded.Peers)
		if err != nil {
			return err
		}
		go relay.Serve(peers, node, peerClient.Accounting)
	}
	if loaded.Metrics != "" {
		if err := serveMetrics(loaded.Metrics, node); err != nil {
			return err
		}
	}
	go reload(ctx, path, log)
	return node.Run(ctx, callers)
}

// newNode returns a node and opens the sockets for datagrams between nodes that it needs.
func newNode(loaded *settings.Proxy, nodePorts proxy.Ports, log *eventlog.Log) (*proxy.Node, error) {
	var agreementSocket *datagrams[quorum.Message]
	var quotaSocket *datagrams[quota.Message]
	var err error
	if loaded.UnfencedPromotions {
		if agreementSocket, err = listenDatagrams[quorum.Message]("messages", loaded.Messages, traffic.Agreement, nodePorts.Traffic, log); err != nil {
			return nil, err
		}
		nodePorts.Messages = agreementSender{agreementSocket}
	}
	if loaded.QuotaWindow.Duration > 0 {
		if quotaSocket, err = listenDatagrams[quota.Message]("tokens", loaded.Tokens, traffic.Tokens, nodePorts.Traffic, log); err != nil {
			return nil, err
		}
		nodePorts.Tokens = quotaSender{quotaSocket}
	}
	node := proxy.New(options(loaded), nodePorts, log)
	if agreementSocket != nil {
		go agreementSocket.serve(node.ReceiveMessage)
	}
	if quotaSocket != nil {
		go quotaSocket.serve(node.ReceiveTokens)
	}
	return node, nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	return listener, errors.Wrapf(err, "listen on %s; check the settings for an address in use", address)
}

// listenForPeers listens for other nodes. It detects unresponsive peers, because links between
// nodes may be idle for long. Callers' connections are not probed: a node has thousands of them,
// and each would be probed continuously.
func listenForPeers(ctx context.Context, address string) (net.Listener, error) {
	listener, err := liveness.Listen(ctx, "tcp4", address)
	return listener, errors.Wrapf(err, "listen on %s; check the settings for an address in use", address)
}

func options(loaded *settings.Proxy) proxy.Options {
	advertised := loaded.Peers
	if loaded.Advertise != "" {
		advertised = loaded.Advertise
	}
	return proxy.Options{
		Name: loaded.Name, Zone: loaded.Zone, PeerAddress: advertised, Seeds: loaded.Seeds, Regions: loaded.Regions, Incarnation: rand.Text(),
		ConfigurationBound: loaded.ConfigurationBound.Duration, DrainBound: loaded.DrainBound.Duration, EvacuationBound: loaded.EvacuationBound.Duration,
		ColdOverage: loaded.ColdOverage, ColdSlack: loaded.ColdSlack,
		StopGrace: loaded.StopGrace.Duration, Kinds: platform.Kinds,
		UsesTenures: loaded.UnfencedPromotions, MessageAddress: loaded.Messages,
		Quotas:       quota.Bounds{Window: loaded.QuotaWindow.Duration, Overage: loaded.QuotaOverage, Slack: loaded.QuotaSlack},
		TokenAddress: loaded.Tokens, FirstStart: loaded.FirstStart,
		Capacity:         network.Capacity{Processors: loaded.Processors, LinkMbps: loaded.LinkMbps, MemoryMB: loaded.MemoryLimitMB},
		StrictRevocation: loaded.StrictRevocation, RevocationBound: loaded.RevocationBound.Duration,
	}
}

func newPorts(loaded *settings.Proxy, dialer upstream.Dialer, peerClient *relay.Client) proxy.Ports {
	return proxy.Ports{
		Store: platform.NewStore(loaded.Store, peerClient.Meter), Dialer: dialer,
		Promoter: platform.NewPromoter(loaded.Promotions), Decoder: platform.Decoder{}, Client: platform.NewCaller, Fits: platform.Fits,
		Peers: peerClient, Traffic: peerClient.Meter, Connect: platform.ConnectDirectly,
	}
}

// headerTimeout bounds the time to read the header of an HTTP request.
const headerTimeout = 2 * time.Second

func serveReadiness(listener net.Listener, node *proxy.Node) {
	server := &http.Server{Handler: platform.Readiness(node.Ready), ReadHeaderTimeout: headerTimeout}
	_ = server.Serve(listener)
}

// serveMetrics serves the node's metrics at the address.
func serveMetrics(address string, node *proxy.Node) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	handler := http.NewServeMux()
	handler.Handle("GET /metrics", promhttp.HandlerFor(node.Metrics(), promhttp.HandlerOpts{}))
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// reload checks the settings file on SIGHUP without applying it: configuration that can change
// at runtime comes from the store, and changed settings need a restart.
func reload(ctx context.Context, path string, log *eventlog.Log) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		if _, err := settings.LoadProxy(path); err != nil {
			log.Write(eventlog.SettingsRefused, zap.Error(err))
			continue
		}
		log.Write(eventlog.SettingsRead)
	}
}

// Check checks a settings file and writes the effective settings to out.
func Check(path string, out io.Writer) error {
	loaded, err := settings.LoadProxy(path)
	if err != nil {
		return err
	}
	content, err := toml.Marshal(loaded)
	if err != nil {
		return errors.Wrap(err, "encode the settings")
	}
	_, err = fmt.Fprintf(out, "%s", content)
	return err
}
