package daemon

import (
	"context"

	"dewknot/internal/relay"
)

// tcpPeers asks other nodes over TCP.
type tcpPeers struct{}

// Ask implements proxy.Peers.
func (tcpPeers) Ask(ctx context.Context, address string, question relay.Question) (relay.Answer, error) {
	return relay.Ask(ctx, address, question)
}
