package fleet

import (
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// startup returns an encoded startup message.
func startup(t must.T) []byte {
	message := pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "mallory", "database": "bookings"}}
	encoded, err := message.Encode(nil)
	must.NoError(t, err)
	return encoded
}

// frame returns a message with the given type byte and length field, which may be wrong.
func frame(kind byte, length uint32, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, length), body...)
}

// sendRaw writes bytes to a new connection and reads until the node closes it or a deadline passes.
func sendRaw(t must.T, address string, data []byte) {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(t, conn.SetDeadline(time.Now().Add(300*time.Millisecond)))
	_, _ = conn.Write(data)
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// Truncated frames, unknown types, huge lengths and messages out of order must not affect other
// connections or use unbounded memory.
func TestMalformedInputDoesNotAffectOthers(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	address := f.Nodes[0].Address
	conn := connect(t, f, 0, "ann")
	const gigabyte = 1 << 30
	inputs := [][]byte{
		nil,
		{0, 0, 0, 200, 0, 3},
		frame(0xff, 0xffffffff, ""),
		append(startup(t), frame('Q', gigabyte, "SELECT 1")...),
		append(startup(t), frame('Q', 3, "")...),
		append(startup(t), frame('~', 8, "abcd")...),
		append(startup(t), frame('B', 12, "\x00x\x00\x00\x00\x00\x00\x00")...),
		append(startup(t), frame('P', 6, "xy")...),
		append(startup(t), frame('E', 9, "\x00\x00\x00\x00\x00")...),
		append(startup(t), frame('p', 8, "abcd")...),
		append(startup(t), append(frame('P', 8, "\x00\x00\x00\x00"), frame('Q', 5, "\x00")...)...),
	}
	before := liveHeap()
	for round := range 20 {
		sendRaw(t, address, inputs[round%len(inputs)])
		var one int64
		must.NoError(t, conn.QueryRow(ctx, "SELECT 1").Scan(&one))
	}
	const allowed = 64 << 20
	must.Less(t, before+allowed, liveHeap())
}

func liveHeap() uint64 {
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Random bytes after a startup message must not affect other connections.
func TestRandomBytes(t *testing.T) {
	f := start(t, nil)
	other := connect(t, f, 0, "ann")
	kinds := []byte("QPBDECSHXFdcfp~\x00")
	rapid.Check(t, func(t *rapid.T) {
		data := startup(t)
		for range rapid.IntRange(0, 6).Draw(t, "messages") {
			body := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "body")
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			length := uint32(len(body) + 4 + rapid.IntRange(-2, 2).Draw(t, "off"))
			data = append(data, frame(kind, length, string(body))...)
		}
		conn, err := net.Dial("tcp", f.Nodes[0].Address)
		must.NoError(t, err)
		_, _ = conn.Write(data)
		_ = conn.Close()
		var one int64
		must.NoError(t, other.QueryRow(context.Background(), "SELECT 1").Scan(&one))
	})
}
