// Package liveness makes TCP connections notice a far end that has become silent.
//
// A connection may go silent without a reset while new ones work. Calls have limits of
// their own; what rests on an open connection between calls, such as a transaction on a
// link between two nodes, ends only if somebody notices.
package liveness

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// probeIdle is after how long without a segment an idle connection is probed,
	// probeInterval the pause between probes; after probes without an answer it is dead.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	probes        = 2
	// unackedLimit is how long sent bytes may stay without an acknowledgement: as long as
	// an idle connection's far end may be silent. Probes are not sent meanwhile.
	unackedLimit = probeIdle + probes*probeInterval
	// tcpUserTimeout is the socket option of Linux, in milliseconds; package syscall does
	// not name it.
	tcpUserTimeout = 0x12
)

var probing = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probes}

// Dialer returns a dialer of connections that notice silence; limit bounds the opening, 0
// leaves that to the context.
func Dialer(limit time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: limit, KeepAliveConfig: probing, Control: boundUnacked}
}

// Listen listens for connections that notice silence.
func Listen(ctx context.Context, network, address string) (net.Listener, error) {
	// Accepted connections take the option over from their listener.
	config := net.ListenConfig{KeepAliveConfig: probing, Control: boundUnacked}
	return config.Listen(ctx, network, address)
}

// boundUnacked sets the limit of unacknowledged bytes on a socket.
func boundUnacked(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(descriptor uintptr) {
		set = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "reach a socket to bound its unacknowledged bytes")
	}
	return errors.Wrap(set, "bound the unacknowledged bytes of a socket")
}
