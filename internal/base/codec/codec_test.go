package codec

import (
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/shoenig/test/must"
)

// TestClaimedLengthsAreNotAllocated guards against decoders that keep large buffers after
// data that claims more bytes than it has.
func TestClaimedLengthsAreNotAllocated(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	const (
		rounds = 100
		// maxBytes bounds the allocations for one such message: the decoder's first buffers.
		maxBytes = 4 << 20
	)
	claimed := []byte{0xc6, 0xc6, 0xc6, 0xc6, 0x81, 1, 2, 3} // claims 3 GB, has 3 bytes
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rounds {
		var value []byte
		must.Error(t, Decode(claimed, &value))
	}
	runtime.ReadMemStats(&after)
	must.Less(t, rounds*maxBytes, after.TotalAlloc-before.TotalAlloc)
}

// TestRoundTrip checks that Decode reads what Append writes, and rejects truncated data.
func TestRoundTrip(t *testing.T) {
	type message struct {
		Name string
		Rows [][]byte
	}
	written := message{Name: "n", Rows: [][]byte{{1}, {}, {2, 3}}}
	content, err := Append(nil, &written)
	must.NoError(t, err)
	var read message
	must.NoError(t, Decode(content, &read))
	must.Eq(t, written, read)
	must.Error(t, Decode(content[:len(content)-1], &read))
}
