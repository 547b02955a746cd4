package policy

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against rules that differ from those of the program.
func TestCompile(t *testing.T) {
	table, err := Compile("p.star", []byte(`
service("bookings")
default(read = session(), wait = "1s")
kind("timetable", read = lag("2s"), replica_wait = "0s")
kind("report", refuse = True, retry_after = "1h")
for name in ["a", "b"]:
    pass
`))
	must.Error(t, err) // Starlark has no for loop at the top level
	must.Nil(t, table)

	table, err = Compile("p.star", []byte(`
service("bookings")
default(read = session(), wait = "1s")
kind("timetable", read = lag("2s"), replica_wait = "0s")
kind("report", refuse = True, retry_after = "1h")
[share(name, 4) for name in ["passenger", "driver"]]
`))
	must.NoError(t, err)
	must.Eq(t, Rule{Freshness: Bounded, MaxLag: 2 * time.Second, Wait: time.Second}, table.Rule("timetable"))
	must.True(t, table.Rule("report").Refuse)
	must.Eq(t, Session, table.Rule("unheard of").Freshness)
	must.Eq(t, 4, table.Weight("driver"))
	must.Eq(t, 1, table.Weight("reseller"))
}

// Guards against invalid programs that are accepted, or rejected without position and
// remedy, and against programs that use unbounded time or memory.
func TestCompileRejects(t *testing.T) {
	cases := map[string]string{
		`service("a"`:                                    "p.star:1:",
		"service(\"a\")\nkinds(\"x\")":                   "p.star:2:1",
		"service(\"a\")\nkind(\"x\", read = 4)":          "is not a freshness",
		`service("a"); kind("x", wait = "soon")`:         "not a duration",
		`service("a"); kind("x"); kind("x")`:             "defined twice",
		`kind("x")`:                                      "names no service",
		`service("a"); kind("x", refuse = True)`:         "requires retry_after",
		`service("a"); x = [i for i in range(10000000)]`: "too many steps",
		`service("a"); x = "a" * 1000000000`:             "not allowed",
		`service("a"); share("x", 0)`:                    "weight 0",
		`service("a"); x = "a" + "b"`:                    "not allowed",
		"def f():\n    pass":                             "not allowed",
		`service("a"); x = "a".replace("a", "b")`:        "not allowed",
		`service("a"); x = {(1, 2): 3}`:                  "not allowed",
		`service("a"); x = str([1])`:                     "not allowed",
		`load("os", "x")`:                                "not allowed",
	}
	for source, want := range cases {
		_, err := Compile("p.star", []byte(source))
		must.Error(t, err, must.Sprint(source))
		must.StrContains(t, err.Error(), want)
		must.StrContains(t, err.Error(), "remedy: ")
	}
	_, err := Compile("p.star", []byte(strings.Repeat("#", MaxSourceBytes+1)))
	must.Error(t, err)
}

// Guards against changes that a diff leaves out or invents.
func TestDiff(t *testing.T) {
	before := DefaultTable("a")
	after := DefaultTable("a")
	after.Kinds = map[string]Rule{"x": {Freshness: Any}}
	after.Shares = map[string]int{"reseller": 3}
	must.Len(t, 2, Diff(before, after))
	must.Len(t, 0, Diff(before, before))
}
