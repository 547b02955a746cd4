package judge

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"dewknot/internal/proxy/command"
)

// recordingSession acknowledges all commands and keeps their texts.
type recordingSession struct {
	texts map[string]int
	kinds map[command.Kind]int
}

func (s *recordingSession) Ask(cmd command.Command) (Answer, bool) {
	s.texts[cmd.Text]++
	s.kinds[cmd.Kind]++
	return Answer{}, true
}

func (s *recordingSession) Close() {}

// TestCallersSendUnusualTexts: the callers must send what fields may contain, but no line end, which
// would make two messages of one.
func TestCallersSendUnusualTexts(t *testing.T) {
	session := &recordingSession{texts: map[string]int{}, kinds: map[command.Kind]int{}}
	c := NewCaller(CallerConfig{Name: "c", Random: rand.New(rand.NewPCG(1, 1)), Judge: New()})
	c.values, c.prepared = map[string]string{}, map[string]command.PreparedStatement{}
	for range 5000 {
		must.True(t, c.prepareStatements(session))
		must.True(t, c.setValue(session))
		session.Ask(c.statement(c.nextID(), c.Random.IntN(2) == 0))
	}
	for _, kind := range []command.Kind{command.Read, command.Write, command.SetValue, command.Prepare, command.Execute, command.Deallocate} {
		must.Greater(t, 400, session.kinds[kind], must.Sprint(kind))
	}
	for _, part := range append(textParts, " \r", "READ  ", "PREPARE s1 READ  q1", strings.Repeat("\n", longTextRepeat)) {
		found := false
		for text := range session.texts {
			found = found || strings.Contains(text, part)
		}
		must.True(t, found, must.Sprintf("no text contains %q", part))
	}
	for text := range session.texts {
		must.StrNotContains(t, text, lineEnd)
	}
}
