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
	"dewknot/internal/proxy/quorum"
	"dewknot/internal/proxy/quota"
	"dewknot/internal/proxy/traffic"
)

// maxMessageBytes is the maximum size of a datagram. A voter table or a page of records takes
// about a kilobyte.
const maxMessageBytes = 16 << 10

// datagrams sends and receives messages of one type between nodes. Messages may be lost; their
// senders retry.
type datagrams[M any] struct {
	conn  *net.UDPConn
	log   *eventlog.Log
	kind  traffic.Kind
	meter *traffic.Meter
	// failedAt is the Unix time in seconds of the last logged failure. It limits the log to one
	// line per second.
	failedAt atomic.Int64
}

// listenDatagrams opens a socket for messages. Errors name the setting of the address.
func listenDatagrams[M any](setting, listenAt string, kind traffic.Kind, meter *traffic.Meter, log *eventlog.Log) (*datagrams[M], error) {
	address, err := netip.ParseAddrPort(listenAt)
	if err != nil {
		return nil, pkgerrors.Wrapf(err, "%s = %q; use an IP address and a port", setting, listenAt)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, pkgerrors.Wrapf(err, "listen for messages on %s; check the settings for an address in use", listenAt)
	}
	return &datagrams[M]{conn: conn, log: log, kind: kind, meter: meter}, nil
}

// agreementSender sends the messages of the agreement on tenures. It implements tenure.Sender.
type agreementSender struct{ *datagrams[quorum.Message] }

// SendMessage implements tenure.Sender.
func (s agreementSender) SendMessage(address string, m *quorum.Message) { s.sendTo(address, m) }

// quotaSender sends the messages about tenants' tokens. It implements quota.Sender.
type quotaSender struct{ *datagrams[quota.Message] }

// SendTokens implements quota.Sender.
func (s quotaSender) SendTokens(address string, m *quota.Message) { s.sendTo(address, m) }

// sendTo sends a message to the node at an address.
func (s *datagrams[M]) sendTo(address string, m *M) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		s.logFailure("address", address, err)
		return
	}
	content, err := codec.Append(nil, m)
	if err != nil {
		s.logFailure("encode", address, err)
		return
	}
	if _, err := s.conn.WriteToUDPAddrPort(content, to); err != nil {
		s.logFailure("send", address, err)
		return
	}
	s.meter.Add(s.kind, address, traffic.Sent, len(content))
}

// serve passes received messages to receive until the socket is closed.
func (s *datagrams[M]) serve(receive func(from string, m *M)) {
	buffer := make([]byte, maxMessageBytes)
	for {
		size, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.logFailure("receive", from.String(), err)
			time.Sleep(receiveRetryDelay)
			continue
		}
		s.meter.Add(s.kind, from.String(), traffic.Received, size)
		m := new(M)
		if err := codec.Decode(buffer[:size], m); err != nil {
			s.logFailure("decode", from.String(), err)
			continue
		}
		receive(from.String(), m)
	}
}

// receiveRetryDelay is the delay after a failure to receive.
const receiveRetryDelay = 20 * time.Millisecond

// logFailure logs a lost message, once per second at most.
func (s *datagrams[M]) logFailure(step, address string, err error) {
	now := time.Now().Unix()
	if s.failedAt.Swap(now) != now {
		s.log.Write(eventlog.MessageLost, zap.String("step", step), zap.String("address", address), zap.Error(err))
	}
}
