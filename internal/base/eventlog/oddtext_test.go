package eventlog

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// TestOddTextMakesNoOddLine: texts of callers with line ends, invalid characters or of any size must
// not break the log into other lines, nor make a line too long to be read.
func TestOddTextMakesNoOddLine(t *testing.T) {
	const maxLineBytes = 64 << 10
	part := rapid.SampledFrom([]string{"\r", "\n", "\r\n", "\x00", "\xff", "\u2028", "\"", "\\", "{", "}", "a", strings.Repeat("\x01", 1<<20), strings.Repeat("\xff", 1<<19)})
	rapid.Check(t, func(t *rapid.T) {
		out := &lockedBuffer{}
		log := New(out, Config{Node: "node-1", LinesPerSecond: 1000})
		texts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
			return strings.Join(rapid.SliceOfN(part, 0, 5).Draw(t, "parts"), "")
		}), 1, 5).Draw(t, "texts")
		for _, text := range texts {
			log.Write(RequestFailed, zap.String("request", text), zap.Error(errors.New(text)), zap.String("last", "here"))
		}
		log.Close()
		<-log.done
		lines := out.lines()
		must.SliceLen(t, len(texts), lines)
		for _, line := range lines {
			must.LessEq(t, maxLineBytes, len(line))
			var read struct{ Event, Last string }
			must.NoError(t, json.Unmarshal([]byte(line), &read))
			must.Eq(t, "request_failed here", read.Event+" "+read.Last)
		}
	})
}
