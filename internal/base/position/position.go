// Package position defines the log positions on which session consistency is based.
//
// A position identifies an entry of a database group's replicated log by the term in which the
// entry was written and its offset. Positions are ordered by term, then by offset. The order is
// meaningful for positions that a majority of the group has received: by majority intersection,
// every later primary's log contains them (docs/DESIGN.md, "Positions").
package position

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Position is a position in the log of one group. The zero value precedes every entry.
type Position struct {
	// Term is the term of the log entry at Offset.
	Term uint64 `json:"term" msgpack:"t"`
	// Offset counts from the start of the log, in entries or bytes as the group defines.
	Offset uint64 `json:"offset" msgpack:"o"`
}

// Less reports whether p comes before other.
func (p Position) Less(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.Offset < other.Offset
}

// Covers reports whether a server that has applied p has also applied minimum.
func (p Position) Covers(minimum Position) bool { return !p.Less(minimum) }

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

// Parse parses the format of Position.String.
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

// Token is a position with its group. Callers pass it from one connection to another in the
// parameter dewknot.position.
type Token struct {
	Group    string
	Position Position
}

// String formats the token as "group@term/offset".
func (t Token) String() string { return t.Group + "@" + t.Position.String() }

// ParseToken parses the format of Token.String.
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
