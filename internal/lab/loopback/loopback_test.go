package loopback

import (
	"net"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAddressesAreAProcessesOwn: no address is given out twice, and none is on the address
// from which every process's connections start, where a free port may be taken at any time.
func TestAddressesAreAProcessesOwn(t *testing.T) {
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
