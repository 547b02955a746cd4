// Package loopback gives out loopback addresses for processes and tests that listen by
// number.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// host is a loopback address of this process alone. On an address that processes share, a
// port that is free now may be another one's, or the near end of some connection, when the
// caller listens.
var host = fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()>>16&0x7f, os.Getpid()>>8&0xff, 1+os.Getpid()&0x7f)

// given are the addresses that were given out.
var given sync.Map

// Free returns an address that nobody else uses, for sockets of both kinds.
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
		if _, taken := given.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
}
