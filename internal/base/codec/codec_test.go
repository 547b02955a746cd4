package codec

import (
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/shoenig/test/must"
)

// TestClaimedLengthsAreNotKept: data that claims gigabytes which it does not have is
// refused, and costs no more the hundredth time than the first: a decoder whose buffer
// grew for it is not used again.
func TestClaimedLengthsAreNotKept(t *testing.T) {
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	const (
		rounds = 100
		// mostBytes is what one such message may cost: the decoder's first buffers.
		mostBytes = 4 << 20
	)
	claimed := []byte{0xc6, 0xc6, 0xc6, 0xc6, 0x81, 1, 2, 3} // 3 GB of bytes, 3 of them there
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range rounds {
		var value []byte
		must.Error(t, Decode(claimed, &value))
	}
	runtime.ReadMemStats(&after)
	must.Less(t, rounds*mostBytes, after.TotalAlloc-before.TotalAlloc)
}

// TestRoundTrip: what Append writes, Decode reads.
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
