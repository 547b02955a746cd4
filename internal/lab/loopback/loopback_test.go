package loopback

import (
	"net"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAddressesAreNotShared checks that no address is allocated twice and none is on 127.0.0.1,
// where an outgoing connection of any process may take a free port.
func TestAddressesAreNotShared(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		address, err := Free()
		must.NoError(t, err)
		must.False(t, seen[address])
		must.False(t, strings.HasPrefix(address, "127.0.0.1:"))
		seen[address] = true
	}
	for address := range seen {
		listener, err := net.Listen("tcp4", address)
		must.NoError(t, err)
		must.NoError(t, listener.Close())
		break
	}
}
