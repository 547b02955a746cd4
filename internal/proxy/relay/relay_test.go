package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/era"
	"dewknot/internal/proxy/objectstore"
)

// echo answers with the fields of the request.
type echo struct{}

func (echo) Answer(_ context.Context, request Request) Answer {
	return Answer{
		Objects:  []objectstore.Object{{Name: request.Kind, Revision: request.After, Content: []byte("content")}},
		Revision: era.Revision(request.Wait), Reached: request.Server != "",
	}
}

// ServeLink sends back what it receives.
func (echo) ServeLink(connection net.Conn) {
	buffer := make([]byte, 64)
	for {
		size, err := connection.Read(buffer)
		if err != nil {
			return
		}
		_, _ = connection.Write(buffer[:size])
	}
}

// Connect opens a connection to a listener whose address is the server's name.
func (echo) Connect(ctx context.Context, server string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", server)
}

func startServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go Serve(listener, echo{}, Accounting{})
	return listener.Addr().String()
}

// TestRequestsAreAnswered guards against fields lost in transmission and unlimited waits.
func TestRequestsAreAnswered(t *testing.T) {
	address := startServer(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	answer, err := new(Client).Ask(ctx, address, Request{Kind: "servers", Changes: true, After: 7, Wait: time.Second, Server: "s1"})
	must.NoError(t, err)
	must.Eq(t, Answer{
		Objects: []objectstore.Object{{Name: "servers", Revision: 7, Content: []byte("content")}}, Revision: era.Revision(time.Second), Reached: true,
	}, answer)
	// A wait beyond the maximum is capped.
	answer, err = new(Client).Ask(ctx, address, Request{Wait: time.Hour})
	must.NoError(t, err)
	must.Eq(t, era.Revision(maxWait), answer.Revision)
}

// TestMalformedMessagesAreIgnored guards against a server that stops after malformed messages.
func TestMalformedMessagesAreIgnored(t *testing.T) {
	address := startServer(t)
	for _, malformed := range [][]byte{{}, {0, 0}, {255, 255, 255, 255, 1}, {0, 0, 0, 9, 1}, {0, 0, 0, 2, 0xc1, 0xc1}} {
		connection, err := net.Dial("tcp4", address)
		must.NoError(t, err)
		_, _ = connection.Write(malformed)
		must.NoError(t, connection.Close())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := new(Client).Ask(ctx, address, Request{Server: "s"})
	must.NoError(t, err)
}

func TestUnreachableNodeIsAnError(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	_, err = new(Client).Ask(t.Context(), listener.Addr().String(), Request{Server: "s"})
	must.Error(t, err)
}

// TestLinkCarriesBytes guards against a link that does not carry bytes both ways.
func TestLinkCarriesBytes(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	link, err := new(Client).Link(ctx, startServer(t))
	must.NoError(t, err)
	_, err = link.Write([]byte("frame"))
	must.NoError(t, err)
	answer := make([]byte, 5)
	_, err = link.Read(answer)
	must.NoError(t, err)
	must.Eq(t, "frame", string(answer))
	must.NoError(t, link.Close())
}

// TestTunnelCarriesBytesAndCloses guards against a tunnel that loses bytes or stays open, and
// against a missing error for a server that does not exist.
func TestTunnelCarriesBytesAndCloses(t *testing.T) {
	address := startServer(t)
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	closed := make(chan struct{})
	go func() {
		connection, err := server.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 64)
		for {
			size, err := connection.Read(buffer)
			if err != nil {
				close(closed)
				return
			}
			_, _ = connection.Write(buffer[:size])
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	tunnel, err := new(Client).Tunnel(ctx, address, server.Addr().String())
	must.NoError(t, err)
	for range 3 {
		_, err = tunnel.Write([]byte("hello"))
		must.NoError(t, err)
		answer := make([]byte, 5)
		_, err = tunnel.Read(answer)
		must.NoError(t, err)
		must.Eq(t, "hello", string(answer))
	}
	must.NoError(t, tunnel.Close())
	<-closed
	must.NoError(t, server.Close())
	_, err = new(Client).Tunnel(ctx, address, server.Addr().String())
	must.ErrorIs(t, err, ErrNotReached)
}

// TestAnswersAreCompressed guards against large answers of similar entries, compressed answers that
// the client does not accept, and malformed compressed answers that are accepted.
func TestAnswersAreCompressed(t *testing.T) {
	sent := Answer{Revision: 7}
	for i := range 300 {
		sent.Objects = append(sent.Objects, objectstore.Object{
			Name: fmt.Sprintf("node-%d", i), Revision: era.Revision(i), Content: fmt.Appendf(nil, `{"address":"10.6.0.%d:7102","zone":"a"}`, i),
		})
	}
	sizes := map[bool]int{}
	for _, accepted := range []bool{false, true} {
		local, remote := net.Pipe()
		go func() {
			_ = sendAnswer(remote, &Request{AcceptCompressed: accepted}, sent)
			_ = remote.Close()
		}()
		content, err := io.ReadAll(local)
		must.NoError(t, err)
		sizes[accepted] = len(content)
		var received Answer
		must.NoError(t, receive(bytes.NewReader(content), &received))
		if accepted {
			received, err = decompress(received.Compressed)
			must.NoError(t, err)
		}
		must.Eq(t, sent, received)
	}
	must.Less(t, sizes[false]/3, sizes[true])
	for _, malformed := range [][]byte{{}, {0xff, 0xff, 0xff, 0xff, 0x0f, 1}, []byte("rubbish")} {
		_, err := decompress(malformed)
		must.Error(t, err)
	}
}
