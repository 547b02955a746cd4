// Package gossip carries membership messages over UDP: msgpack with a keyed
// digest. A datagram with a wrong digest, or one that cannot be decoded, is
// dropped and counted.
package gossip

import (
	"net"
	"sync/atomic"

	"github.com/pkg/errors"

	"dewknot/internal/base/codec"
	"dewknot/internal/postgres/membership"
	"dewknot/internal/postgres/peer"
)

// digestBytes is the length of the digest before the message.
const digestBytes = 16

// maxDatagram is the largest datagram accepted.
const maxDatagram = 64 << 10

// purpose keeps digests of datagrams apart from those of links.
var purpose = []byte("gossip")

// Counters count traffic; they are read by the metrics page.
type Counters struct {
	SentBytes, ReceivedBytes       atomic.Uint64
	SentMessages, ReceivedMessages atomic.Uint64
	// Dropped counts datagrams with a wrong digest or form.
	Dropped atomic.Uint64
}

// Transport is a UDP socket.
type Transport struct {
	socket   *net.UDPConn
	keys     peer.Keys
	counters *Counters
}

// Listen opens a socket.
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

// Address returns the socket's address.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Close ends Receive.
func (t *Transport) Close() { _ = t.socket.Close() }

// Encode returns a message as a datagram.
func Encode(keys peer.Keys, message *membership.Message) ([]byte, error) {
	const usualBytes = 512
	datagram, err := codec.Append(make([]byte, digestBytes, usualBytes), message)
	if err != nil {
		return nil, err
	}
	copy(datagram, keys.Prove(purpose, datagram[digestBytes:])[:digestBytes])
	return datagram, nil
}

// Decode checks and decodes a datagram.
func Decode(keys peer.Keys, datagram []byte) (membership.Message, error) {
	message := membership.Message{}
	if len(datagram) < digestBytes {
		return message, errors.New("datagram is too short")
	}
	if !keys.Accept(datagram[:digestBytes], purpose, datagram[digestBytes:]) {
		return message, errors.New("datagram is not proved with a fleet key; give all nodes the same fleet_keys")
	}
	return message, codec.Decode(datagram[digestBytes:], &message)
}

// Send sends a message; loss is for the protocol to handle.
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

// Receive calls handle for each good datagram until the transport is closed.
func (t *Transport) Receive(handle func(membership.Message)) {
	buffer := make([]byte, maxDatagram)
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
