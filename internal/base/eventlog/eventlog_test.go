package eventlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(content []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(content)
}

func (b *lockedBuffer) lines() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return strings.Split(strings.TrimSpace(b.buffer.String()), "\n")
}

func countEvents(t *testing.T, lines []string) map[string]int {
	t.Helper()
	counted := map[string]int{}
	for _, line := range lines {
		var read struct{ Event, Node, Time string }
		must.NoError(t, json.Unmarshal([]byte(line), &read))
		must.Eq(t, "node-1", read.Node)
		counted[read.Event]++
	}
	return counted
}

func fixedTime() time.Time { return time.Unix(1_000_000, 0) }

// TestClassesDoNotDisplaceEachOther guards against many failures that displace state changes,
// and against dropped lines that are not counted.
func TestClassesDoNotDisplaceEachOther(t *testing.T) {
	out := &lockedBuffer{}
	log := New(out, Config{Node: "node-1", LinesPerSecond: 100})
	log.clock = fixedTime
	for i := range 500 {
		log.Write(RequestFailed, zap.Int("number", i))
		log.Write(RequestServed)
	}
	for range 40 {
		log.Write(PrimaryProved)
	}
	log.Flush()
	log.Close()
	counted := countEvents(t, out.lines())
	must.Eq(t, map[string]int{"request_failed": 45, "request_served": 15, "primary_proved": 40, "lines_dropped": 1}, counted)
	must.Eq(t, int64(500-45+500-15), log.Dropped())
	must.True(t, strings.Contains(out.lines()[100], `"request_failed":455`))
}

// TestLevels checks that each level excludes the less important classes without counting them
// as dropped.
func TestLevels(t *testing.T) {
	for level, expected := range map[Level]map[string]int{
		"":           {"node_started": 1, "request_failed": 1, "request_served": 1},
		Everything:   {"node_started": 1, "request_failed": 1, "request_served": 1},
		Problems:     {"node_started": 1, "request_failed": 1},
		StateChanges: {"node_started": 1},
	} {
		out := &lockedBuffer{}
		log := New(out, Config{Node: "node-1", LinesPerSecond: 100, Level: level})
		log.Write(NodeStarted)
		log.Write(RequestFailed)
		log.Write(RequestServed)
		log.Flush()
		log.Close()
		must.Eq(t, expected, countEvents(t, out.lines()), must.Sprint(level))
		must.Eq(t, int64(0), log.Dropped())
	}
}

// TestBlockedOutputDoesNotBlockWrite guards against requests that wait for a blocked output.
func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	log := New(writer, Config{Node: "node-1", LinesPerSecond: 1_000_000})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20_000 {
			log.Write(RequestFailed)
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("Write blocked on a blocked output")
	}
	must.Positive(t, log.Dropped())
}

// TestVocabulary guards against unintended changes of events, and against events that are
// missing on the operators' page.
func TestVocabulary(t *testing.T) {
	var entries []string
	for event, class := range Vocabulary {
		entries = append(entries, fmt.Sprintf("%s %d", event, class))
	}
	sort.Strings(entries)
	golden, err := os.ReadFile("testdata/vocabulary.txt")
	must.NoError(t, err)
	must.Eq(t, strings.TrimSpace(string(golden)), strings.Join(entries, "\n"))
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	must.NoError(t, err)
	for event := range Vocabulary {
		must.True(t, strings.Contains(string(page), "`"+string(event)+"`"), must.Sprintf("%s is not on the operators' page", event))
	}
}
