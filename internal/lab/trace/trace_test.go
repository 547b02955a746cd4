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

// Guards against changed decisions of the group's machine: recorded traces must replay to the
// same effects and to the outcomes in the .outcomes files.
func TestRecordedGroupTracesReplay(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.trace")
	must.NoError(t, err)
	must.SliceNotEmpty(t, paths)
	for _, path := range paths {
		recorded, err := os.ReadFile(path)
		must.NoError(t, err)
		result, err := Replay(bytes.NewReader(recorded))
		must.NoError(t, err)
		must.Eq(t, "", result.Difference, must.Sprint(path))
		expected, err := os.ReadFile(strings.TrimSuffix(path, ".trace") + ".outcomes")
		must.NoError(t, err)
		counts := map[string]int{}
		for _, outcome := range result.Outcomes {
			counts[outcome.Kind.String()]++
		}
		for _, line := range strings.Split(strings.TrimSpace(string(expected)), "\n") {
			kind, count, _ := strings.Cut(line, " ")
			must.Eq(t, count, strconv.Itoa(counts[kind]), must.Sprint(path, kind))
			delete(counts, kind)
		}
		must.MapEmpty(t, counts)
	}
}

// A replay must report an effect that differs from the recorded one and reject an unknown
// version.
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

// Guards against changed decisions of the failover machine. The traces are of simulated fleets:
// a deputy's while the store was down, its successor's, and that of a lease holder with
// synchronous replicas.
func TestRecordedFailoverTracesReplay(t *testing.T) {
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
		expected, err := os.ReadFile(strings.TrimSuffix(path, ".trace") + ".outcomes")
		must.NoError(t, err)
		must.Eq(t, string(expected), orders.String(), must.Sprint(path))
	}
}

// A trace of an unknown kind of machine must be rejected.
func TestUnknownMachineIsRejected(t *testing.T) {
	_, err := Replay(strings.NewReader("{\"version\":1,\"machine\":\"other\",\"settings\":{}}\n"))
	must.ErrorContains(t, err, "use the program that recorded it")
}
