// Package daemon puts a node together with the platform's adapters and serves
// until it is told to stop. It knows the adapters, not the platform's names.
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

// memoryShare is the part of the memory limit that the Go runtime aims at.
const memoryShare = 0.7

// Run runs a node until SIGTERM or SIGINT.
func Run(path string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Serve(ctx, path, os.Stdout)
}

// Serve runs a node until ctx ends; the node then stops as planned. Its events
// go to out.
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
	dialer := &platform.Dialer{Who: loaded.Name}
	meter := new(traffic.Meter)
	asker := &relay.Asker{Accounting: accounting(meter)}
	way := ports(&loaded, dialer, asker)
	node, err := newNode(&loaded, way, log)
	if err != nil {
		return err
	}
	dialer.Connect = func(ctx context.Context, address, id string) (net.Conn, error) {
		if via, detour := node.DetourTo(id); detour {
			return asker.Tunnel(ctx, via, id)
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
		go relay.Serve(peers, node, asker.Accounting)
	}
	if loaded.Metrics != "" {
		if err := serveMetrics(loaded.Metrics, node); err != nil {
			return err
		}
	}
	go reload(ctx, path, log)
	return node.Run(ctx, callers)
}

// newNode returns a node with the sockets for the messages between nodes that it needs.
func newNode(loaded *settings.Proxy, way proxy.Ports, log *eventlog.Log) (*proxy.Node, error) {
	var agreement *datagrams[quorum.Message]
	var quotas *datagrams[quota.Message]
	var err error
	if loaded.UnfencedPromotions {
		if agreement, err = listenDatagrams[quorum.Message]("messages", loaded.Messages, traffic.Agreement, way.Traffic, log); err != nil {
			return nil, err
		}
		way.Messages = votes{agreement}
	}
	if loaded.QuotaWindow.Duration > 0 {
		if quotas, err = listenDatagrams[quota.Message]("tokens", loaded.Tokens, traffic.Tokens, way.Traffic, log); err != nil {
			return nil, err
		}
		way.Tokens = tokens{quotas}
	}
	node := proxy.New(options(loaded), way, log)
	if agreement != nil {
		go agreement.serve(node.ReceiveMessage)
	}
	if quotas != nil {
		go quotas.serve(node.ReceiveTokens)
	}
	return node, nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	return listener, errors.Wrapf(err, "listen on %s; check the settings for an address in use", address)
}

// listenForPeers listens for other nodes, whose links rest open for long. Callers' sessions
// rest too, but there are thousands a node, and each would be probed all the time.
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
		Name: loaded.Name, Zone: loaded.Zone, PeerAddress: advertised, Seeds: loaded.Seeds, Regions: loaded.Regions, Life: rand.Text(),
		ConfigurationBound: loaded.ConfigurationBound.Duration, DrainBound: loaded.DrainBound.Duration, EvacuationBound: loaded.EvacuationBound.Duration,
		ColdOverage: loaded.ColdOverage, ColdSlack: loaded.ColdSlack,
		StopGrace: loaded.StopGrace.Duration, Kinds: platform.Kinds,
		Agreed: loaded.UnfencedPromotions, MessageAddress: loaded.Messages,
		Quotas:       quota.Bounds{Window: loaded.QuotaWindow.Duration, Overage: loaded.QuotaOverage, Slack: loaded.QuotaSlack},
		TokenAddress: loaded.Tokens, FirstStart: loaded.FirstStart,
		Capacity:         network.Capacity{Processors: loaded.Processors, LinkMbps: loaded.LinkMbps, MemoryMB: loaded.MemoryLimitMB},
		StrictRevocation: loaded.StrictRevocation, RevocationBound: loaded.RevocationBound.Duration,
	}
}

func ports(loaded *settings.Proxy, dialer upstream.Dialer, asker *relay.Asker) proxy.Ports {
	return proxy.Ports{
		Store: platform.NewStore(loaded.Store, asker.Meter), Dialer: dialer,
		Promoter: platform.NewPromoter(loaded.Promotions), Decoder: platform.Decoder{}, Client: platform.NewCaller,
		Peers: asker, Traffic: asker.Meter, Connect: platform.ConnectDirectly,
	}
}

// readinessLimit bounds a probe.
const readinessLimit = 2 * time.Second

func serveReadiness(listener net.Listener, node *proxy.Node) {
	server := &http.Server{Handler: platform.Readiness(node.Ready), ReadHeaderTimeout: readinessLimit}
	_ = server.Serve(listener)
}

// serveMetrics serves the node's metrics on an address of their own.
func serveMetrics(address string, node *proxy.Node) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	handler := http.NewServeMux()
	handler.Handle("GET /metrics", promhttp.HandlerFor(node.Metrics(), promhttp.HandlerOpts{}))
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readinessLimit}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// reload checks the settings file again on SIGHUP. What a node may change while
// it runs comes through the store; a changed address needs a restart.
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

// Check reads a settings file and writes what would be in force.
func Check(path string, out io.Writer) error {
	loaded, err := settings.LoadProxy(path)
	if err != nil {
		return err
	}
	content, err := toml.Marshal(loaded)
	if err != nil {
		return errors.Wrap(err, "write the settings")
	}
	_, err = fmt.Fprintf(out, "%s", content)
	return err
}
