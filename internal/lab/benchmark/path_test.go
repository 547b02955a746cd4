package benchmark

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkForwarded runs statements through a node that forwards them. Use it with -cpuprofile.
func BenchmarkForwarded(b *testing.B) { benchmarkPath(b, "forwarded") }

// BenchmarkOwner runs statements through the owner.
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
		_, err := runCallers(ctx, path, 8, b.N/8+1)
		must.NoError(b, err)
	}
}

// Statements must succeed over every path.
func TestStatementsSucceedOverEveryPath(t *testing.T) {
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
