package liveness

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func socketOption(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	value := 0
	must.NoError(t, raw.Control(func(descriptor uintptr) {
		value, err = syscall.GetsockoptInt(int(descriptor), level, name)
	}))
	must.NoError(t, err)
	return value
}

// TestBothEndsDetectUnresponsivePeer checks that dialed and accepted connections have the socket
// options.
func TestBothEndsDetectUnresponsivePeer(t *testing.T) {
	listener, err := Listen(t.Context(), "tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp4", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	must.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	for _, conn := range []net.Conn{dialed, accepted} {
		must.Eq(t, int(unackedTimeout.Milliseconds()), socketOption(t, conn, syscall.IPPROTO_TCP, tcpUserTimeout))
		must.Eq(t, 1, socketOption(t, conn, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE))
		must.Eq(t, int(probeIdle.Seconds()), socketOption(t, conn, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE))
		must.Eq(t, int(probeInterval.Seconds()), socketOption(t, conn, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL))
		must.Eq(t, maxProbes, socketOption(t, conn, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT))
	}
}
