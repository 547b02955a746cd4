package daemon

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	pkgerrors "github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/codec"
	"dewknot/internal/base/eventlog"
	"dewknot/internal/base/settings"
	"dewknot/internal/proxy"
	"dewknot/internal/proxy/quorum"
)

// maxMessageBytes bounds a datagram. A table of voters or a page of records takes about
// a kilobyte.
const maxMessageBytes = 16 << 10

// messages carries the messages of the agreement as datagrams. It implements
// tenure.Sender; what is lost is asked for again.
type messages struct {
	conn *net.UDPConn
	log  *eventlog.Log
	// failedAt is when a failure was last logged, in Unix seconds: one line a second.
	failedAt atomic.Int64
}

// openMessages opens the socket for messages; nil if the nodes do not agree on tenures.
func openMessages(loaded *settings.Proxy, log *eventlog.Log) (*messages, error) {
	if !loaded.UnfencedPromotions {
		return nil, nil
	}
	address, err := netip.ParseAddrPort(loaded.Messages)
	if err != nil {
		return nil, pkgerrors.Wrapf(err, "messages = %q; use an IP address and a port", loaded.Messages)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, pkgerrors.Wrapf(err, "listen for messages on %s; check the settings for an address in use", loaded.Messages)
	}
	return &messages{conn: conn, log: log}, nil
}

// SendMessage implements tenure.Sender.
func (s *messages) SendMessage(address string, m *quorum.Message) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		s.failed("address", address, err)
		return
	}
	content, err := codec.Append(nil, m)
	if err != nil {
		s.failed("encode", address, err)
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(content, to); err != nil {
		s.failed("send", address, err)
	}
}

// serve gives what comes to a node, until the socket is closed.
func (s *messages) serve(node *proxy.Node) {
	buffer := make([]byte, maxMessageBytes)
	for {
		size, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.failed("receive", from.String(), err)
			time.Sleep(receivePause)
			continue
		}
		m := new(quorum.Message)
		if err := codec.Decode(buffer[:size], m); err != nil {
			s.failed("decode", from.String(), err)
			continue
		}
		node.ReceiveMessage(from.String(), m)
	}
}

// receivePause is the pause after a failure to receive.
const receivePause = 20 * time.Millisecond

// failed logs a failure. The message is lost, as datagrams may be.
func (s *messages) failed(step, address string, err error) {
	now := time.Now().Unix()
	if s.failedAt.Swap(now) != now {
		s.log.Write(eventlog.MessageLost, zap.String("step", step), zap.String("address", address), zap.Error(err))
	}
}
