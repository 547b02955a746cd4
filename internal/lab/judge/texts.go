package judge

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"dewknot/internal/proxy/command"
)

// lineEnd ends a message of the line protocol. It is the only text that fields cannot contain.
const lineEnd = "\r\n"

// textParts are parts of last fields, which may contain everything but lineEnd.
var textParts = []string{
	" ", "  ", "\r", "\n", "\n\r", "\t", "\x00", "\xff\xfe", "x", "-", ";v0=1;",
	"DONE x", "ERR BUSY", "READY I 1.1", "ROW x", "QUERY 9 WRITE a b", "READ x", "\nQUERY 9 WRITE t1 b\n", "COMMIT", "\nREADY I -\n",
}

// fieldSuffixes make a field that is followed by others unusual. They contain no blank.
var fieldSuffixes = []string{"", "\r", "\n", "\n\r", "\t", "\x00", "\xff", ";", "=", "DONE"}

// Bounds of random texts.
const (
	maxTextParts = 5
	// One of longTextOneOf texts is longer than the buffers of connections, which are of some KB.
	longTextOneOf  = 24
	longTextRepeat = 1500
	oddOneOf       = 3 // one of this many fields is unusual
)

// text returns a random last field. It is not empty.
func text(random *rand.Rand) string {
	var joined strings.Builder
	for range 1 + random.IntN(maxTextParts) {
		part := textParts[random.IntN(len(textParts))]
		if random.IntN(longTextOneOf*maxTextParts) == 0 {
			part = strings.Repeat(part, longTextRepeat)
		}
		joined.WriteString(part)
	}
	return withoutLineEnds(joined.String())
}

func withoutLineEnds(text string) string {
	for strings.Contains(text, lineEnd) {
		text = strings.ReplaceAll(text, lineEnd, "\n")
	}
	return text
}

// field returns a field that may be followed by others.
func field(random *rand.Rand, plain string) string {
	if random.IntN(oddOneOf) > 0 {
		return plain
	}
	return plain + fieldSuffixes[random.IntN(len(fieldSuffixes))]
}

// shapes are shapes of prepared statements. Some look like names, fields or the names under which
// statements are prepared on servers.
var shapes = []string{
	"q", "q1", " q1", "q1 ", "q1 READ q2", "q1 WRITE q1", "q2 READ q1", "READ", "READ q1", "\n", "q1\r", "\rq1", "q\t1", "\x00", "\xff",
	"r_q1", "w_q1", "p", "-", "DONE x", "t1 READ r_q1", "q1\nQUERY 9 WRITE a b",
}

// statementNames are callers' names of prepared statements, which clash between callers.
const statementNames = 4

func statementName(random *rand.Rand) string {
	return field(random, fmt.Sprintf("s%d", random.IntN(statementNames)))
}

func definition(random *rand.Rand) command.PreparedStatement {
	return command.PreparedStatement{Writes: random.IntN(2) == 0, Shape: shapes[random.IntN(len(shapes))]}
}
