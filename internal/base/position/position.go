// Package position defines the log position that session consistency is built on.
//
// A position names an entry of a database group's replicated log by the term
// in which the entry was written and its offset in that log. Positions are
// ordered first by term, then by offset. The order is meaningful for positions
// that a majority of the group has received: by majority intersection every
// later primary's log contains them (docs/DESIGN.md, "Positions").
package position

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Position is a place in one group's log. The zero value precedes every entry.
type Position struct {
	// Term is the term of the log entry at Offset.
	Term uint64 `json:"term" msgpack:"t"`
	// Offset counts log entries (or bytes, as the group defines) from the start.
	Offset uint64 `json:"offset" msgpack:"o"`
}

// Less reports whether p comes before other.
func (p Position) Less(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.Offset < other.Offset
}

// Covers reports whether a server that has applied p also has applied floor.
func (p Position) Covers(floor Position) bool { return !p.Less(floor) }

// IsZero reports whether p is the zero position.
func (p Position) IsZero() bool { return p == Position{} }

// Max returns the later of two positions.
func Max(first, second Position) Position {
	if first.Less(second) {
		return second
	}
	return first
}

// String formats p as "term/offset".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }

// Parse reads the format that String writes.
func Parse(text string) (Position, error) {
	termText, offsetText, found := strings.Cut(text, "/")
	if !found {
		return Position{}, errors.Errorf("position %q is not of the form term/offset", text)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "term of position %q", text)
	}
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "offset of position %q", text)
	}
	return Position{Term: term, Offset: offset}, nil
}

// Token is a position together with the group it belongs to. Callers carry it
// between connections as the parameter dewknot.position.
type Token struct {
	Group    string
	Position Position
}

// String formats the token as "group@term/offset".
func (t Token) String() string { return t.Group + "@" + t.Position.String() }

// ParseToken reads the format that Token.String writes.
func ParseToken(text string) (Token, error) {
	at := strings.LastIndexByte(text, '@')
	if at <= 0 {
		return Token{}, errors.Errorf("position %q is not of the form group@term/offset", text)
	}
	parsed, err := Parse(text[at+1:])
	if err != nil {
		return Token{}, err
	}
	return Token{Group: text[:at], Position: parsed}, nil
}
