package placement

import (
	"fmt"
	"testing"
)

// BenchmarkAssign assigns the servers of a zone of a large fleet to nodes: 300 servers, 49 nodes.
func BenchmarkAssign(b *testing.B) {
	keys := make([]string, 300)
	for i := range keys {
		keys[i] = fmt.Sprintf("server-%d", i)
	}
	nodes := make([]Candidate, 49)
	for i := range nodes {
		nodes[i] = Candidate{ID: fmt.Sprintf("node-%d", i), Weight: 0.2 + float64(i%3)/3}
	}
	b.ReportAllocs()
	for b.Loop() {
		Assign(keys, nodes)
	}
}
