// Package loopback allocates loopback addresses for processes and tests that need a fixed address
// to listen on.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// host is a loopback address that only this process uses. On a shared address, another process or
// an outgoing connection could take a free port before the caller listens on it.
var host = fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()>>16&0x7f, os.Getpid()>>8&0xff, 1+os.Getpid()&0x7f)

// allocated holds the allocated addresses.
var allocated sync.Map

// Free returns a free address for TCP and UDP. It never returns an address twice.
func Free() (string, error) {
	for {
		listener, err := net.Listen("tcp4", host+":0")
		if err != nil {
			return "", errors.Wrap(err, "find a free port")
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", errors.Wrap(err, "find a free port")
		}
		if _, taken := allocated.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
}
