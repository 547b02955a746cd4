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

// lockedBuffer is a writer for concurrent use.
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

func events(t *testing.T, lines []string) map[string]int {
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

func frozen() time.Time { return time.Unix(1_000_000, 0) }

// TestClassesDoNotDisplaceEachOther: a flood of failures leaves room for what
// the node believes, and every line above a bound is counted.
func TestClassesDoNotDisplaceEachOther(t *testing.T) {
	out := &lockedBuffer{}
	log := New(out, Config{Node: "node-1", LinesPerSecond: 100})
	log.clock = frozen
	for i := range 500 {
		log.Write(RequestFailed, zap.Int("number", i))
		log.Write(RequestServed)
	}
	for range 40 {
		log.Write(PrimaryProved)
	}
	log.Flush()
	log.Close()
	counted := events(t, out.lines())
	must.Eq(t, map[string]int{"request_failed": 45, "request_served": 15, "primary_proved": 40, "lines_dropped": 1}, counted)
	must.Eq(t, int64(500-45+500-15), log.Dropped())
	must.True(t, strings.Contains(out.lines()[100], `"request_failed":455`))
}

// TestLevels: each level leaves out the classes below it, uncounted.
func TestLevels(t *testing.T) {
	for level, expected := range map[Level]map[string]int{
		"":         {"node_started": 1, "request_failed": 1, "request_served": 1},
		Everything: {"node_started": 1, "request_failed": 1, "request_served": 1},
		Problems:   {"node_started": 1, "request_failed": 1},
		Beliefs:    {"node_started": 1},
	} {
		out := &lockedBuffer{}
		log := New(out, Config{Node: "node-1", LinesPerSecond: 100, Level: level})
		log.Write(NodeStarted)
		log.Write(RequestFailed)
		log.Write(RequestServed)
		log.Flush()
		log.Close()
		must.Eq(t, expected, events(t, out.lines()), must.Sprint(level))
		must.Eq(t, int64(0), log.Dropped())
	}
}

// TestOutputThatNobodyReadsDoesNotBlock: the writer hangs, requests go on.
func TestOutputThatNobodyReadsDoesNotBlock(t *testing.T) {
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
		t.Fatal("a log that nobody reads held its writers up")
	}
	must.Positive(t, log.Dropped())
}

// TestVocabulary: events do not change silently; the operators' page lists each.
func TestVocabulary(t *testing.T) {
	var words []string
	for event, class := range Vocabulary {
		words = append(words, fmt.Sprintf("%s %d", event, class))
	}
	sort.Strings(words)
	golden, err := os.ReadFile("testdata/vocabulary.txt")
	must.NoError(t, err)
	must.Eq(t, strings.TrimSpace(string(golden)), strings.Join(words, "\n"))
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	must.NoError(t, err)
	for event := range Vocabulary {
		must.True(t, strings.Contains(string(page), "`"+string(event)+"`"), must.Sprintf("%s is not on the operators' page", event))
	}
}
