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

// echo answers with what it was asked.
type echo struct{}

func (echo) Answer(_ context.Context, question Question) Answer {
	return Answer{
		Objects:  []objectstore.Object{{Name: question.Kind, Revision: question.After, Content: []byte("content")}},
		Revision: era.Revision(question.Wait), Reached: question.Server != "",
	}
}

// ServeLink sends back what it gets.
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

func serve(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go Serve(listener, echo{}, Accounting{})
	return listener.Addr().String()
}

func TestQuestionsAreAnswered(t *testing.T) {
	address := serve(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	answer, err := new(Asker).Ask(ctx, address, Question{Kind: "servers", Changes: true, After: 7, Wait: time.Second, Server: "s1"})
	must.NoError(t, err)
	must.Eq(t, Answer{
		Objects: []objectstore.Object{{Name: "servers", Revision: 7, Content: []byte("content")}}, Revision: era.Revision(time.Second), Reached: true,
	}, answer)
	// A wait beyond what is allowed is cut down.
	answer, err = new(Asker).Ask(ctx, address, Question{Wait: time.Hour})
	must.NoError(t, err)
	must.Eq(t, era.Revision(maxWait), answer.Revision)
}

func TestMeaninglessMessagesHarmNobody(t *testing.T) {
	address := serve(t)
	for _, hostile := range [][]byte{{}, {0, 0}, {255, 255, 255, 255, 1}, {0, 0, 0, 9, 1}, {0, 0, 0, 2, 0xc1, 0xc1}} {
		connection, err := net.Dial("tcp4", address)
		must.NoError(t, err)
		_, _ = connection.Write(hostile)
		must.NoError(t, connection.Close())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := new(Asker).Ask(ctx, address, Question{Server: "s"})
	must.NoError(t, err)
}

func TestNodeThatIsGoneIsAnError(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	_, err = new(Asker).Ask(t.Context(), listener.Addr().String(), Question{Server: "s"})
	must.Error(t, err)
}

// TestLinkIsHandedOver opens the connection of a link.
func TestLinkIsHandedOver(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	link, err := new(Asker).Link(ctx, serve(t))
	must.NoError(t, err)
	_, err = link.Write([]byte("frame"))
	must.NoError(t, err)
	answer := make([]byte, 5)
	_, err = link.Read(answer)
	must.NoError(t, err)
	must.Eq(t, "frame", string(answer))
	must.NoError(t, link.Close())
}

// TestTunnelCarriesBytesBothWaysAndEnds drives a tunnel to a listener that sends
// back what it gets, and to one that does not exist.
func TestTunnelCarriesBytesBothWaysAndEnds(t *testing.T) {
	address := serve(t)
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
	tunnel, err := new(Asker).Tunnel(ctx, address, server.Addr().String())
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
	_, err = new(Asker).Tunnel(ctx, address, server.Addr().String())
	must.ErrorIs(t, err, ErrNotReached)
}

// TestAnswersOfAlikeEntriesAreCompressed: a list of alike entries takes a fraction of its
// size, an asker of an older version gets it as it is, and rubbish is an error.
func TestAnswersOfAlikeEntriesAreCompressed(t *testing.T) {
	told := Answer{Revision: 7}
	for i := range 300 {
		told.Objects = append(told.Objects, objectstore.Object{
			Name: fmt.Sprintf("node-%d", i), Revision: era.Revision(i), Content: fmt.Appendf(nil, `{"address":"10.6.0.%d:7102","zone":"a"}`, i),
		})
	}
	sizes := map[bool]int{}
	for _, packed := range []bool{false, true} {
		here, there := net.Pipe()
		go func() {
			_ = answer(there, &Question{Packed: packed}, told)
			_ = there.Close()
		}()
		content, err := io.ReadAll(here)
		must.NoError(t, err)
		sizes[packed] = len(content)
		var received Answer
		must.NoError(t, receive(bytes.NewReader(content), &received))
		if packed {
			received, err = unpack(received.Packed)
			must.NoError(t, err)
		}
		must.Eq(t, told, received)
	}
	must.Less(t, sizes[false]/3, sizes[true])
	for _, rubbish := range [][]byte{{}, {0xff, 0xff, 0xff, 0xff, 0x0f, 1}, []byte("rubbish")} {
		_, err := unpack(rubbish)
		must.Error(t, err)
	}
}
