package daemon

import (
	"context"
	"net"

	"dewknot/internal/proxy/relay"
)

// tcpPeers asks other nodes over TCP.
type tcpPeers struct{}

// Ask implements network.Peers.
func (tcpPeers) Ask(ctx context.Context, address string, question relay.Question) (relay.Answer, error) {
	return relay.Ask(ctx, address, question)
}

// Link implements network.Peers.
func (tcpPeers) Link(ctx context.Context, address string) (net.Conn, error) {
	return relay.Link(ctx, address)
}
