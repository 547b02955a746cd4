package rounds

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func write(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestRoundsAreSortedAndPlotted(t *testing.T) {
	paths := []string{
		write(t, "b.json", `{"cmd":"score","site":"s","at":["2","3"],"days":[{"name":"quiet-1","G":0.9,"naive":0.7},{"name":"fresh-1","G":0.1}]}`),
		write(t, "a.json", `{"cmd":"score","site":"s","at":["1","2"],"days":[{"name":"quiet-1","G":0.8,"naive":0.7}]}`),
		write(t, "c.json", `{"cmd":"run","site":"s","at":["0","1"],"days":[{"name":"quiet-1","G":0.5}]}`),
	}
	entries, err := Read(paths, "s")
	must.NoError(t, err)
	must.Len(t, 2, entries)
	must.Eq(t, 0.8, entries[0].Runs[0].Value)
	must.Len(t, 1, standardRuns(&entries[1]))
	out := filepath.Join(t.TempDir(), "plot.png")
	must.NoError(t, Plot(out, entries))
	info, err := os.Stat(out)
	must.NoError(t, err)
	must.Positive(t, info.Size())
	_, err = Read(paths, "other")
	must.ErrorContains(t, err, "name another site")
	_, err = Read([]string{write(t, "d.json", "{")}, "s")
	must.ErrorContains(t, err, "no JSON")
}
