package delta

import (
	"testing"

	"dewknot/internal/base/codec"
)

// FuzzPatch: whatever another node sends as a patch, applying it ends without a
// panic, and a target that it makes has the size and checksum that it claims.
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
			t.Fatalf("%d bytes, %d claimed", len(target), patch.TargetBytes)
		}
	})
}
