package traffic

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// TestBytesAreCountedOnceKindIsSet guards against losing the bytes exchanged before SetKind.
func TestBytesAreCountedOnceKindIsSet(t *testing.T) {
	m := new(Meter)
	m.Locate(func(string) Distance { return OtherRegion })
	local, remote := net.Pipe()
	counted := m.Count(local)
	go func() { _, _ = remote.Write([]byte("question")) }()
	buffer := make([]byte, 100)
	read, err := counted.Read(buffer)
	must.NoError(t, err)
	must.MapLen(t, 0, countsOf(m))
	SetKind(counted, Directory)
	go func() { _, _ = remote.Read(buffer) }()
	_, err = counted.Write([]byte("answers"))
	must.NoError(t, err)
	must.Eq(t, map[string]uint64{
		"directory other_region received": uint64(read), "directory other_region sent": uint64(len("answers")),
	}, countsOf(m))
}

// TestDatagramsAndNilMeter guards against uncounted datagrams, and against a nil meter that counts
// or wraps connections.
func TestDatagramsAndNilMeter(t *testing.T) {
	m := new(Meter)
	m.Add(Tokens, "192.0.2.1:7", Sent, 100)
	m.Add(Tokens, "192.0.2.1:7", Sent, 20)
	must.Eq(t, map[string]uint64{"tokens unplaced sent": 120}, countsOf(m))
	var missing *Meter
	missing.Add(Tokens, "192.0.2.1:7", Sent, 100)
	conn, _ := net.Pipe()
	must.Eq(t, conn, missing.Count(conn))
	SetKind(conn, Store)
}

func countsOf(m *Meter) map[string]uint64 {
	counts := map[string]uint64{}
	m.Each(func(kind Kind, distance Distance, direction Direction, bytes uint64) {
		if bytes > 0 {
			counts[kind.String()+" "+distance.String()+" "+direction.String()] = bytes
		}
	})
	return counts
}
