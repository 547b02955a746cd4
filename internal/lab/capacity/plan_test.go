package capacity

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

func TestFit(t *testing.T) {
	line, err := Fit("x", "B", "node", "c", []float64{1, 2, 3, 4}, []float64{12, 14, 16, 18})
	must.NoError(t, err)
	must.Eq(t, 10, line.Intercept)
	must.Eq(t, 2, line.Slope)
	must.True(t, line.Linear())
	curve, err := Fit("x", "B", "node", "c", []float64{1, 2, 3, 40}, []float64{1, 4, 900, 16})
	must.NoError(t, err)
	must.False(t, curve.Linear())
	_, err = Fit("x", "B", "node", "c", []float64{1, 2}, []float64{1, 2})
	must.Error(t, err)
}

func write(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestInvalidFilesAreRejected(t *testing.T) {
	_, err := LoadSize(write(t, "size.toml", "nodes = 3\nnodez = 4\n"))
	must.StrContains(t, err.Error(), ":2: unknown key \"nodez\"")
	_, err = LoadSize(write(t, "size.toml", "nodes = 3\n"))
	must.StrContains(t, err.Error(), "groups")
	_, err = LoadSlopes(write(t, "slopes.toml", "machine = \"x\"\n"))
	must.StrContains(t, err.Error(), "dewknot measure")
	must.StrContains(t, err.Error(), CallerMemory)
}

func TestPlanReportsExceededLimits(t *testing.T) {
	slopes := Slopes{}
	for _, name := range Names {
		slopes.Slope = append(slopes.Slope, Slope{Name: name, Intercept: 1, Slope: 1})
	}
	size := Size{
		Nodes: 10, Groups: 20, ServersPerGroup: 3, ClientConnections: 100, StatementsPerSecond: 10, ConnectionsPerServer: 4,
		PollSeconds: 1, ControlCorePercent: 1, ControlMegabytes: 1, ControlKilobytes: 0.001, PrimaryChangeSeconds: 6, MeasuredGapSeconds: 7, ConfigurationSeconds: 60,
	}
	plan := New(size, slopes)
	fits := map[string]bool{}
	for _, verdict := range plan.Verdicts {
		fits[verdict.Name] = verdict.Satisfied
	}
	must.False(t, fits["control traffic"])
	must.False(t, fits["change of primary"])
	must.True(t, fits["configuration in force"])
	var out bytes.Buffer
	plan.Print(&out)
	must.StrContains(t, out.String(), "DOES NOT FIT")
}
