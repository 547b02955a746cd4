package listener

import (
	"fmt"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestStatementsOfASessionAreBounded: a caller that prepares without end must not fill a node's memory,
// and must keep the statements that were accepted.
func TestStatementsOfASessionAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSession(&Server{settings: Settings{MaxMessageBytes: 1 << 20}}, nil)
		kept := map[string]string{}
		query := rapid.SampledFrom([]string{"SELECT 1", "SELECT '" + strings.Repeat("x", 1<<16) + "'", "SELECT '" + strings.Repeat("y", 700<<10) + "'"})
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			name := fmt.Sprint("s", rapid.IntRange(0, 9).Draw(t, "name"))
			s.batch.reset()
			if rapid.IntRange(0, 3).Draw(t, "closes") == 0 {
				s.collect(&pgproto3.Close{ObjectType: 'S', Name: name})
				delete(kept, name)
				continue
			}
			parse := &pgproto3.Parse{Name: name, Query: query.Draw(t, "query")}
			s.collect(parse)
			if s.batch.problem == nil {
				kept[name] = parse.Query
			}
		}
		total := 0
		for name, text := range kept {
			must.Eq(t, text, s.statements[name].definition.Query)
			total += len(name) + len(text)
		}
		must.MapLen(t, len(kept), s.statements)
		must.LessEq(t, 2<<20, total)
		must.Eq(t, total, s.statementBytes)
	})
}
