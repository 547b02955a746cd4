package delta

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/codec"
	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// TestPatchProducesTarget guards against a patch that, after encoding and decoding, does not
// produce the target.
func TestPatchProducesTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.Custom(func(t *rapid.T) []byte {
			parts := rapid.SliceOfN(rapid.SampledFrom([]string{"}", "{a}", "{bb}", "longer text without end", strings.Repeat("x", 5000)}), 0, 30).Draw(t, "parts")
			return []byte(strings.Join(parts, ""))
		})
		base, target := text.Draw(t, "base"), text.Draw(t, "target")
		patch := Make(base, target)
		content, err := codec.Append(nil, &patch)
		must.NoError(t, err)
		var received Patch
		must.NoError(t, codec.Decode(content, &received))
		applied, err := received.Apply(base)
		must.NoError(t, err)
		must.True(t, bytes.Equal(target, applied))
	})
}

// entries returns a text of count entries. The arguments changed, inserted and omitted are the
// positions of such an entry, or -1.
func entries(count, changed, inserted, omitted int) []byte {
	var text strings.Builder
	for i := range count {
		if i == inserted {
			text.WriteString(`{"name":"new","timeout_ms":900},`)
		}
		if i == omitted {
			continue
		}
		timeout := 800
		if i == changed {
			timeout = 750
		}
		fmt.Fprintf(&text, `{"name":"route-%d","timeout_ms":%d},`, i, timeout)
	}
	return []byte(text.String())
}

// TestSmallChangeMakesSmallPatch guards against patches whose size grows with the text.
func TestSmallChangeMakesSmallPatch(t *testing.T) {
	base := entries(3000, -1, -1, -1)
	for _, target := range [][]byte{entries(3000, 1500, -1, -1), entries(3000, -1, 20, -1), entries(3000, 7, 1000, 2999)} {
		patch := Make(base, target)
		must.Less(t, 300, patch.Bytes())
	}
}

// TestInvalidPatchIsRejected guards against a wrong text or a panic from a patch that does not fit.
func TestInvalidPatchIsRejected(t *testing.T) {
	base, target := entries(10, -1, -1, -1), entries(10, 3, -1, -1)
	valid := Make(base, target)
	_, err := valid.Apply(target)
	must.ErrorIs(t, err, ErrBase)
	for name, damage := range map[string]func(*Patch){
		"range":    func(p *Patch) { p.Steps[0].Length = len(base) + 1 },
		"negative": func(p *Patch) { p.Steps[0].From = -1 },
		"overflow": func(p *Patch) { p.Steps[0].Length = int(^uint(0) >> 1) },
		"missing":  func(p *Patch) { p.Steps = p.Steps[1:] },
		"longer":   func(p *Patch) { p.Steps = append(p.Steps, Step{Insert: []byte("more")}) },
		"size":     func(p *Patch) { p.TargetBytes = MaxTargetBytes + 1 },
		"sum":      func(p *Patch) { p.TargetSum++ },
	} {
		patch := Make(base, target)
		damage(&patch)
		_, err := patch.Apply(base)
		must.ErrorIs(t, err, ErrInvalid, must.Sprint(name))
	}
}
