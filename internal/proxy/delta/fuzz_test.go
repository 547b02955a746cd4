package delta

import (
	"testing"

	"dewknot/internal/base/codec"
)

// FuzzPatch guards against panics and wrong sizes from patches of other nodes.
func FuzzPatch(f *testing.F) {
	base := entries(20, -1, -1, -1)
	for _, target := range [][]byte{nil, base, entries(20, 3, 5, 7)} {
		patch := Make(base, target)
		content, err := codec.Append(nil, &patch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var patch Patch
		if codec.Decode(content, &patch) != nil {
			return
		}
		target, err := patch.Apply(base)
		if err == nil && len(target) != patch.TargetBytes {
			t.Fatalf("target has %d bytes, want %d", len(target), patch.TargetBytes)
		}
	})
}
