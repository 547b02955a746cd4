package traffic

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// TestBytesAreCountedOnceTheirPurposeIsKnown: what comes before the first message has told
// what a connection is for is counted with the rest, on both sides.
func TestBytesAreCountedOnceTheirPurposeIsKnown(t *testing.T) {
	m := new(Meter)
	m.Locate(func(string) Distance { return OtherRegion })
	near, far := net.Pipe()
	counted := m.Count(near)
	go func() { _, _ = far.Write([]byte("question")) }()
	buffer := make([]byte, 100)
	read, err := counted.Read(buffer)
	must.NoError(t, err)
	must.MapLen(t, 0, countsOf(m))
	SetKind(counted, Directory)
	go func() { _, _ = far.Read(buffer) }()
	_, err = counted.Write([]byte("answers"))
	must.NoError(t, err)
	must.Eq(t, map[string]uint64{
		"directory other_region received": uint64(read), "directory other_region sent": uint64(len("answers")),
	}, countsOf(m))
}

// TestDatagramsAreCounted: and a meter that is missing counts nothing and wraps nothing.
func TestDatagramsAreCounted(t *testing.T) {
	m := new(Meter)
	m.Add(Tokens, "192.0.2.1:7", Sent, 100)
	m.Add(Tokens, "192.0.2.1:7", Sent, 20)
	must.Eq(t, map[string]uint64{"tokens unplaced sent": 120}, countsOf(m))
	var missing *Meter
	missing.Add(Tokens, "192.0.2.1:7", Sent, 100)
	near, _ := net.Pipe()
	must.Eq(t, near, missing.Count(near))
	SetKind(near, Store)
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
