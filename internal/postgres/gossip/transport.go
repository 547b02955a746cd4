// Package gossip sends and receives membership messages over UDP. A datagram is a
// keyed digest followed by a message in msgpack. Datagrams with a wrong digest and
// those that cannot be decoded are dropped and counted.
package gossip

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"dewknot/internal/base/codec"
	"dewknot/internal/postgres/membership"
	"dewknot/internal/postgres/peer"
)

// digestBytes is the length of the digest that precedes the message.
const digestBytes = 16

// maxDatagramBytes is the maximum size of a received datagram.
const maxDatagramBytes = 64 << 10

// digestContext is part of the digested data, so that digests of datagrams are not
// valid for links between nodes.
var digestContext = []byte("gossip")

// Counters holds the traffic counters for the metrics.
type Counters struct {
	SentBytes, ReceivedBytes       atomic.Uint64
	SentMessages, ReceivedMessages atomic.Uint64
	// Dropped counts datagrams with a wrong digest or an invalid encoding.
	Dropped atomic.Uint64
}

// Transport sends and receives messages on a UDP socket.
type Transport struct {
	socket   *net.UDPConn
	keys     peer.Keys
	counters *Counters
}

// Listen opens a UDP socket on the given address.
func Listen(address string, keys peer.Keys, counters *Counters) (*Transport, error) {
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "gossip address %q; write it as ip:port", address)
	}
	socket, err := net.ListenUDP("udp", resolved)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s; name a free address", address)
	}
	return &Transport{socket: socket, keys: keys, counters: counters}, nil
}

// Address returns the local address of the socket.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Close closes the socket, which makes Receive return.
func (t *Transport) Close() { _ = t.socket.Close() }

// Encode encodes a message as a datagram.
func Encode(keys peer.Keys, message *membership.Message) ([]byte, error) {
	const typicalBytes = 512
	datagram, err := codec.Append(make([]byte, digestBytes, typicalBytes), message)
	if err != nil {
		return nil, err
	}
	copy(datagram, keys.Prove(digestContext, datagram[digestBytes:])[:digestBytes])
	return datagram, nil
}

// Decode verifies the digest of a datagram and decodes its message.
func Decode(keys peer.Keys, datagram []byte) (membership.Message, error) {
	message := membership.Message{}
	if len(datagram) < digestBytes {
		return message, errors.New("datagram is too short")
	}
	if !keys.Verify(datagram[:digestBytes], digestContext, datagram[digestBytes:]) {
		return message, errors.New("datagram has no valid digest; give all nodes the same fleet_keys")
	}
	return message, codec.Decode(datagram[digestBytes:], &message)
}

// Send sends a message. It ignores errors, because the protocol handles lost messages.
func (t *Transport) Send(to string, message *membership.Message) {
	resolved, err := net.ResolveUDPAddr("udp", to)
	if err != nil {
		return
	}
	datagram, err := Encode(t.keys, message)
	if err != nil {
		return
	}
	t.counters.SentMessages.Add(1)
	t.counters.SentBytes.Add(uint64(len(datagram)))
	_, _ = t.socket.WriteToUDP(datagram, resolved)
}

// Receive calls handle with the message of each valid datagram until the transport is
// closed.
func (t *Transport) Receive(handle func(membership.Message)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := t.socket.ReadFromUDP(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		t.counters.ReceivedMessages.Add(1)
		t.counters.ReceivedBytes.Add(uint64(size))
		message, err := Decode(t.keys, buffer[:size])
		if err != nil {
			t.counters.Dropped.Add(1)
			continue
		}
		handle(message)
	}
}
