package timeline

import (
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/lab/explain"
)

const sampleLogs = `
  0.0100 n1 {"time":"2026-04-06T21:23:12.01Z","event":"node_started","node":"n1"}
  0.0200 n1 {"time":"2026-04-06T21:23:12.02Z","event":"configuration_applied","node":"n1","version":4}
  0.0300 n2 {"time":"2026-04-06T21:23:12.03Z","event":"configuration_applied","node":"n2","version":4}
  0.1000 n1 {"time":"2026-04-06T21:23:12.10Z","event":"request_served","node":"n1","took":12}
  0.7000 n1 {"time":"2026-04-06T21:23:12.70Z","event":"request_served","node":"n1","took":1500}
  0.8000 n1 {"time":"2026-04-06T21:23:12.80Z","event":"request_failed","node":"n1","promised_not_kept":true}
  0.9000 n1 {"time":"2026-04-06T21:23:12.90Z","event":"request_failed","node":"n1","promised_not_kept":false}
  1.0000 n1 {"time":"2026-04-06T21:23:13.00Z","event":"lines_dropped","node":"n1","request_served":40,"request_failed":2}
  1.1000 n2 {"time":"2026-04-06T21:23:13.10Z","event":"store_lost","node":"n2"}
  1.2000 n2 {"time":"2026-04-06T21:23:13.20Z","event":"node_degraded","node":"n2","degraded":true}
  1.3000 n2 {"time":"2026-04-06T21:23:13.30Z","event":"node_degraded","node":"n2","degraded":false}
  1.4000 n2 {"time":"2026-04-06T21:23:13.40Z","event":"failover_order","node":"n2","outcome":"accepted"}
  1.4500 n2 {"time":"2026-04-06T21:23:13.45Z","event":"failover_order","node":"n2","outcome":"rejected"}
  1.4900 n2 {"time":"2026-04-06T21:23:13.49Z","event":"node_stopping","node":"n2"}
`

func read(t *testing.T) *explain.Logs {
	t.Helper()
	logs := &explain.Logs{}
	must.NoError(t, logs.Read(strings.NewReader(sampleLogs)))
	return logs
}

// Requests and marks must be counted in the right column, dropped lines included.
func TestEndingsAndMarksAreCounted(t *testing.T) {
	counted, err := Count(read(t), Config{Step: 500 * time.Millisecond, Late: time.Second})
	must.NoError(t, err)
	must.Eq(t, []float64{1, 0, 40}, counted.Requests[Served])
	must.Eq(t, []float64{0, 1, 0}, counted.Requests[Late])
	must.Eq(t, []float64{0, 1, 2}, counted.Requests[Rejected])
	must.Eq(t, []float64{0, 1, 0}, counted.Requests[Unknown])
	for mark, times := range counted.Marked {
		must.Len(t, 1, times, must.Sprint(markNames[mark]))
	}
}

// Errors for invalid input must say how to correct it.
func TestInvalidInputIsExplained(t *testing.T) {
	_, err := Count(&explain.Logs{}, Config{Step: time.Second, Late: time.Second})
	must.ErrorContains(t, err, "give the JSON lines")
	_, err = Count(read(t), Config{Late: time.Second})
	must.ErrorContains(t, err, "above zero")
	counted, err := Count(read(t), Config{Step: time.Second, Late: time.Second})
	must.NoError(t, err)
	must.ErrorContains(t, counted.Draw(filepath.Join(t.TempDir(), "none", "x.png")), "check its folder")
}

// Draw must write a readable picture of the page's size.
func TestDrawWritesPicture(t *testing.T) {
	counted, err := Count(read(t), Config{Step: 500 * time.Millisecond, Late: time.Second})
	must.NoError(t, err)
	path := filepath.Join(t.TempDir(), "page.png")
	must.NoError(t, counted.Draw(path))
	file, err := os.Open(path)
	must.NoError(t, err)
	defer func() { _ = file.Close() }()
	picture, err := png.Decode(file)
	must.NoError(t, err)
	must.Greater(t, 1000, picture.Bounds().Dx())
}
