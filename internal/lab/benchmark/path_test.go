package benchmark

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkForwarded drives statements through a node that forwards; use it with
// -cpuprofile.
func BenchmarkForwarded(b *testing.B) { benchmarkPath(b, "forwarded") }

// BenchmarkOwner drives statements through the owner.
func BenchmarkOwner(b *testing.B) { benchmarkPath(b, "owner") }

func benchmarkPath(b *testing.B, name string) {
	ctx := context.Background()
	paths, closeAll, err := Paths(ctx)
	must.NoError(b, err)
	defer closeAll()
	for _, path := range paths {
		if path.Name != name {
			continue
		}
		b.ResetTimer()
		_, err := drive(ctx, path, 8, b.N/8+1)
		must.NoError(b, err)
	}
}

// The comparison serves whole statements over every way.
func TestCompareServes(t *testing.T) {
	ctx := context.Background()
	paths, closeAll, err := Paths(ctx)
	must.NoError(t, err)
	defer closeAll()
	samples, err := Compare(ctx, paths, 2, 20, 1)
	must.NoError(t, err)
	must.Len(t, 3, samples)
	for _, sample := range samples {
		must.Eq(t, 40, sample.Statements)
	}
}
