package relay

import (
	"context"
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// TestLateAnswerReachesNoOtherRequest guards against an answer that arrives after its request was given
// up, or once more, and is taken for that to the next request to the same node.
func TestLateAnswerReachesNoOtherRequest(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	connections := make(chan net.Conn)
	go func() {
		defer close(connections)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- conn
		}
	}()
	client := &Client{}
	address := listener.Addr().String()
	ctx, giveUp := context.WithCancel(t.Context())
	defer giveUp()
	gaveUp := make(chan error, 1)
	go func() {
		_, err := client.Ask(ctx, address, Request{Kind: "servers"})
		gaveUp <- err
	}()
	late := <-connections
	defer func() { _ = late.Close() }()
	giveUp()
	must.Error(t, <-gaveUp)

	for version := uint64(2); version <= 3; version++ {
		answered := make(chan Answer, 1)
		go func() {
			// A failed request has an answer without a version.
			answer, _ := client.Ask(t.Context(), address, Request{Kind: "config"})
			answered <- answer
		}()
		conn := <-connections
		var request Request
		must.NoError(t, receive(conn, &request))
		must.Eq(t, "config", request.Kind)
		_ = send(late, Answer{Version: 1})
		must.NoError(t, send(conn, Answer{Version: version}))
		_ = send(conn, Answer{Version: 1})
		must.Eq(t, version, (<-answered).Version)
		_ = conn.Close()
	}
}
