package proxy

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/eventlog"
	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/proxy/command"
)

// TestSessionStateIsBounded: a caller must not make a node keep values and statements of any size, and
// what was accepted must not be forgotten because something else was refused.
func TestSessionStateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &session{node: New(Options{DrainBound: time.Second}, Ports{}, eventlog.New(io.Discard, eventlog.Config{Node: "n", LinesPerSecond: 1}))}
		values, prepared := map[string]string{}, map[string]command.PreparedStatement{}
		text := rapid.Custom(func(t *rapid.T) string {
			return strings.Repeat("x", rapid.SampledFrom([]int{0, 1, 1000, 1 << 19, 1<<20 - 20}).Draw(t, "bytes"))
		})
		name := rapid.Custom(func(t *rapid.T) string {
			return fmt.Sprintf("n%d%s", rapid.IntRange(0, 9).Draw(t, "name"), text.Draw(t, "rest"))
		})
		for range rapid.IntRange(1, 30).Draw(t, "commands") {
			received := command.Command{Name: name.Draw(t, "name")}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				received.Value = text.Draw(t, "value")
				if s.setValue(&received).Failure == nil {
					values[received.Name] = received.Value
				}
			case 1:
				received.Statement.Shape = text.Draw(t, "shape")
				if s.prepare(&received).Failure == nil {
					prepared[received.Name] = received.Statement
				}
			default:
				if s.deallocate(&received).Failure == nil {
					delete(prepared, received.Name)
				}
			}
			total := 0
			for name, value := range values {
				must.Eq(t, value, s.values[name])
				total += len(name) + len(value)
			}
			for name, statement := range prepared {
				must.Eq(t, statement, s.prepared[name])
				total += len(name) + len(statement.Shape)
			}
			must.LessEq(t, maxSessionBytes, total)
			must.Eq(t, total, s.stateBytes)
			must.Eq(t, len(values)+len(prepared), len(s.values)+len(s.prepared))
		}
	})
}
