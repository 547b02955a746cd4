package trace

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Recorded traces replay to the recorded effects, and to the outcomes stated
// beside them.
func TestRecordedTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.trace")
	must.NoError(t, err)
	must.SliceNotEmpty(t, paths)
	for _, path := range paths {
		recorded, err := os.ReadFile(path)
		must.NoError(t, err)
		result, err := Replay(bytes.NewReader(recorded))
		must.NoError(t, err)
		must.Eq(t, "", result.Difference, must.Sprint(path))
		stated, err := os.ReadFile(strings.TrimSuffix(path, ".trace") + ".outcomes")
		must.NoError(t, err)
		counts := map[string]int{}
		for _, outcome := range result.Outcomes {
			counts[outcome.Kind.String()]++
		}
		for _, line := range strings.Split(strings.TrimSpace(string(stated)), "\n") {
			kind, count, _ := strings.Cut(line, " ")
			must.Eq(t, count, strconv.Itoa(counts[kind]), must.Sprint(path, kind))
			delete(counts, kind)
		}
		must.MapEmpty(t, counts)
	}
}

// A changed effect is found.
func TestChangedTraceDiffers(t *testing.T) {
	recorded, err := os.ReadFile("testdata/cut_primary.trace")
	must.NoError(t, err)
	changed := bytes.Replace(recorded, []byte(`"type":"Run"`), []byte(`"type":"Ask"`), 1)
	result, err := Replay(bytes.NewReader(changed))
	must.NoError(t, err)
	must.StrContains(t, result.Difference, "recorded Ask")
	_, err = Replay(strings.NewReader("{\"version\":9}\n"))
	must.Error(t, err)
}

// Recorded failover machines of simulated fleets give the stated orders again: a
// deputy's while the store was down, its successor's, and a holder's before synchronous
// replicas.
func TestRecordedFailovers(t *testing.T) {
	paths, err := filepath.Glob("testdata/failover/*.trace")
	must.NoError(t, err)
	must.Len(t, 3, paths)
	for _, path := range paths {
		recorded, err := os.ReadFile(path)
		must.NoError(t, err)
		result, err := Replay(bytes.NewReader(recorded))
		must.NoError(t, err)
		must.Eq(t, "", result.Difference, must.Sprint(path))
		var orders strings.Builder
		for _, order := range result.Orders {
			_, _ = fmt.Fprintf(&orders, "order %s token %d\n", order.Target, order.Token)
		}
		stated, err := os.ReadFile(strings.TrimSuffix(path, ".trace") + ".outcomes")
		must.NoError(t, err)
		must.Eq(t, string(stated), orders.String(), must.Sprint(path))
	}
}

// A trace of a machine that is not known is refused.
func TestUnknownMachineIsRefused(t *testing.T) {
	_, err := Replay(strings.NewReader("{\"version\":1,\"machine\":\"other\",\"settings\":{}}\n"))
	must.ErrorContains(t, err, "use the program that recorded it")
}
