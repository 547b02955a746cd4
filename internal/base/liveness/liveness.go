// Package liveness configures TCP connections to detect an unresponsive peer.
//
// A peer may become unresponsive without a reset, while new connections to it work. Calls have
// their own timeouts, but state that depends on an idle connection, such as an open transaction
// on a link between two nodes, is only cleaned up when the connection fails.
package liveness

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// An idle connection is probed after probeIdle, then every probeInterval. It fails after
	// maxProbes unanswered probes.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	maxProbes     = 2
	// unackedTimeout bounds the time until sent bytes are acknowledged. It equals the time to
	// detect an unresponsive peer by probes, which are not sent while bytes are unacknowledged.
	unackedTimeout = probeIdle + maxProbes*probeInterval
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, in milliseconds. Package
	// syscall does not define it.
	tcpUserTimeout = 0x12
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: maxProbes}

// Dialer returns a dialer for connections that detect an unresponsive peer. With a timeout of 0
// only the context bounds the dialing.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
}

// Listen listens for connections that detect an unresponsive peer.
func Listen(ctx context.Context, network, address string) (net.Listener, error) {
	// Accepted connections inherit the socket option from their listener.
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, network, address)
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(descriptor uintptr) {
		setErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "access a socket to set TCP_USER_TIMEOUT")
	}
	return errors.Wrap(setErr, "set TCP_USER_TIMEOUT on a socket")
}

// Quiet reports whether a connection is open and has no unread data. It reports false for a connection
// without a socket.
func Quiet(conn net.Conn) bool {
	accessible, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := accessible.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	// Unlike Read, Control ignores an expired read deadline.
	err = raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		_, _, recvErr := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(recvErr, syscall.EAGAIN)
	})
	return quiet && err == nil
}
