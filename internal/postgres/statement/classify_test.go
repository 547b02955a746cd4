package statement

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// Guards against statements that are routed wrongly because of their classification.
func TestClassify(t *testing.T) {
	cases := []struct {
		sql  string
		want Info
	}{
		{"SELECT 1", Info{ReadOnly: true}},
		{"select count(*) from seats where id in (1,2)", Info{ReadOnly: true}},
		{"SELECT nextval('s')", Info{}},
		{"SELECT book_seat(4)", Info{}},
		{"SELECT * FROM t FOR UPDATE", Info{}},
		{"WITH x AS (DELETE FROM t RETURNING id) SELECT * FROM x", Info{}},
		{"WITH RECURSIVE n(i) AS (SELECT 1) SELECT i FROM n", Info{ReadOnly: true}},
		{"WITH n(i) AS (SELECT 1) SELECT f(i) FROM n", Info{}},
		{"SELECT * INTO u FROM t", Info{}},
		{"SELECT 'insert into' -- update\n", Info{ReadOnly: true}},
		{"SELECT $$delete$$, \"update\"", Info{ReadOnly: true}},
		{"/*kind='seat_booking',app='web'*/ INSERT INTO t VALUES (1)", Info{Kind: "seat_booking"}},
		{"BEGIN", Info{Control: Begin}},
		{"BEGIN READ ONLY", Info{Control: Begin, ReadOnly: true}},
		{"START TRANSACTION READ WRITE", Info{Control: Begin}},
		{"COMMIT", Info{Control: Commit, MayCommit: true}},
		{"INSERT INTO t VALUES (1); COMMIT", Info{MayCommit: true}},
		{"ROLLBACK", Info{Control: Rollback}},
		{"ROLLBACK TO SAVEPOINT a", Info{}},
		{"LISTEN x", Info{Unsupported: "LISTEN"}},
		{"SET search_path TO x", Info{Unsupported: "session-level SET"}},
		{"SET LOCAL x = 1", Info{}},
		{"CREATE TEMP TABLE x (a int)", Info{Unsupported: "temporary tables"}},
		{"SELECT pg_advisory_lock(1)", Info{Unsupported: "session-level advisory locks"}},
		{"SELECT E'it\\'s', update_count FROM t", Info{ReadOnly: true}},
		{"", Info{ReadOnly: true, Empty: true}},
		{"set dewknot.session = 'abc'", Info{Parameter: &Parameter{Name: "session", Value: "abc"}}},
		{"SET SESSION dewknot.kind TO x;", Info{Parameter: &Parameter{Name: "kind", Value: "x"}}},
		{"SHOW dewknot.position", Info{ReadOnly: true, Parameter: &Parameter{Show: true, Name: "position"}}},
	}
	for _, testCase := range cases {
		t.Run(testCase.sql, func(t *testing.T) {
			must.Eq(t, testCase.want, Classify(testCase.sql))
		})
	}
}

// Guards against writes that are classified as reads because of the literals, comments and
// quoted names around them.
func TestWritesAreNeverReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		noise := rapid.SampledFrom([]string{"'a'", "/* x */", "-- y\n", "\"q\"", "$$z$$", "1", "E'\\''", "$1"})
		before := rapid.SliceOfN(noise, 0, 6).Draw(t, "before")
		after := rapid.SliceOfN(noise, 0, 6).Draw(t, "after")
		verb := rapid.SampledFrom([]string{"INSERT", "update", "Delete", "f("}).Draw(t, "verb")
		sql := "SELECT "
		for _, part := range before {
			sql += part + " "
		}
		sql += verb + " "
		for _, part := range after {
			sql += part + " "
		}
		if Classify(sql).ReadOnly {
			t.Fatalf("%q was classified as a read", sql)
		}
	})
}

// TestDollarSignsInNamesHideNoStatement: a name with dollar signs must not be taken for the beginning of
// a quoted text that hides a statement.
func TestDollarSignsInNamesHideNoStatement(t *testing.T) {
	for _, sql := range []string{"SELECT 1 AS x$$; DELETE FROM t; SELECT 2 AS y$$", "SELECT 1 AS x$t$; DELETE FROM t; SELECT 2 AS y$t$", "SELECT é$$; DELETE FROM t; SELECT y$$"} {
		must.False(t, Classify(sql).ReadOnly, must.Sprint(sql))
	}
	must.True(t, Classify("SELECT $$; DELETE FROM t$$, $t$COMMIT$t$, 1").ReadOnly)
}

// Guards against panics and endless loops on arbitrary text.
func FuzzClassify(f *testing.F) {
	f.Add("SELECT 1")
	f.Add("$a$ /* ' \" E'\\")
	f.Fuzz(func(_ *testing.T, sql string) { Classify(sql) })
}

// TestLineEndsHideNoStatement: what a server takes for the end of a comment or for white space must
// not hide a statement that writes, ends a transaction or changes the session of other callers.
func TestLineEndsHideNoStatement(t *testing.T) {
	for _, end := range []string{"\n", "\r", "\r\n", "\n\r"} {
		must.False(t, Classify("SELECT 1 -- c"+end+"; DELETE FROM t").ReadOnly, must.Sprintf("%q", end))
		must.True(t, Classify("SELECT 1 -- c"+end+"; COMMIT").MayCommit, must.Sprintf("%q", end))
		must.Eq(t, "session-level SET", Classify("-- c"+end+"SET x = 1").Unsupported, must.Sprintf("%q", end))
	}
	for _, blank := range []string{" ", "\t", "\n", "\r", "\f", "\v"} {
		must.Eq(t, "session-level SET", Classify(blank+"SET"+blank+"x = 1").Unsupported, must.Sprintf("%q", blank))
		must.Eq(t, Commit, Classify(blank+"COMMIT"+blank).Control, must.Sprintf("%q", blank))
	}
}
