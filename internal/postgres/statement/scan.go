// Package statement classifies SQL text for routing.
//
// It does not parse SQL. A scanner splits the text into words and skips comments, literals
// and quoted names. From the words the classifier derives whether a statement may write,
// whether it begins or ends a transaction, and whether pooled connections support it.
// A statement that is not known to be a plain read is classified as a write, so that a
// misclassification costs a round trip to the primary but never gives a wrong result.
package statement

import (
	"strings"
)

// token is a word, number or punctuation byte of the SQL text. The text of a literal or a
// quoted name is only its quote.
type token struct {
	text string // upper case for words
	word bool
}

// scanner yields tokens and collects comments.
type scanner struct {
	text     string
	offset   int // byte offset of the next token
	comments []string
}

func (s *scanner) peekIs(prefix string) bool { return strings.HasPrefix(s.text[s.offset:], prefix) }

// next returns the next token, or false at the end of the text.
func (s *scanner) next() (token, bool) {
	for s.offset < len(s.text) {
		char := s.text[s.offset]
		switch {
		case char == ' ' || char == '\t' || char == '\n' || char == '\r' || char == '\f' || char == '\v':
			s.offset++
		case s.peekIs("--"):
			s.skipLineComment()
		case s.peekIs("/*"):
			s.skipBlockComment()
		case char == '\'':
			s.skipQuoted('\'', s.isEscapeString())
			return token{text: "'"}, true
		case char == '"':
			s.skipQuoted('"', false)
			return token{text: "\""}, true
		case char == '$':
			return s.dollar(), true
		case isWordByte(char):
			return s.word(), true
		default:
			s.offset++
			return token{text: string(char)}, true
		}
	}
	return token{}, false
}

func (s *scanner) skipLineComment() {
	end := strings.IndexAny(s.text[s.offset:], "\r\n")
	if end < 0 {
		end = len(s.text) - s.offset
	}
	s.comments = append(s.comments, s.text[s.offset+2:s.offset+end])
	s.offset += end
}

// skipBlockComment skips a comment; PostgreSQL block comments nest.
func (s *scanner) skipBlockComment() {
	start := s.offset + 2
	depth := 0
	for s.offset < len(s.text) {
		switch {
		case s.peekIs("/*"):
			depth++
			s.offset += 2
		case s.peekIs("*/"):
			depth--
			s.offset += 2
			if depth == 0 {
				s.comments = append(s.comments, s.text[start:s.offset-2])
				return
			}
		default:
			s.offset++
		}
	}
}

// isEscapeString reports whether the literal at s.offset is an E'...' string.
func (s *scanner) isEscapeString() bool {
	if s.offset == 0 || (s.text[s.offset-1] != 'e' && s.text[s.offset-1] != 'E') {
		return false
	}
	return s.offset == 1 || !isWordByte(s.text[s.offset-2])
}

func (s *scanner) skipQuoted(quote byte, backslash bool) {
	s.offset++
	for s.offset < len(s.text) {
		char := s.text[s.offset]
		s.offset++
		switch {
		case backslash && char == '\\':
			s.offset++
		case char == quote && s.offset < len(s.text) && s.text[s.offset] == quote:
			s.offset++
		case char == quote:
			return
		}
	}
	s.offset = min(s.offset, len(s.text))
}

// dollar reads a parameter ($1) or skips a dollar-quoted string ($tag$...$tag$).
func (s *scanner) dollar() token {
	end := s.offset + 1
	for end < len(s.text) && isWordByte(s.text[end]) {
		end++
	}
	isTag := end < len(s.text) && s.text[end] == '$' && (end == s.offset+1 || !isDigit(s.text[s.offset+1]))
	if !isTag {
		text := s.text[s.offset:end]
		s.offset = end
		return token{text: text}
	}
	tag := s.text[s.offset : end+1]
	closing := strings.Index(s.text[end+1:], tag)
	if closing < 0 {
		s.offset = len(s.text)
	} else {
		s.offset = end + 1 + closing + len(tag)
	}
	return token{text: "'"}
}

func (s *scanner) word() token {
	start := s.offset
	// A name may contain a dollar sign, a number may not.
	isName := !isDigit(s.text[start])
	for s.offset < len(s.text) && (isWordByte(s.text[s.offset]) || isName && s.text[s.offset] == '$') {
		s.offset++
	}
	return token{text: strings.ToUpper(s.text[start:s.offset]), word: true}
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

func isWordByte(char byte) bool {
	return char == '_' || isDigit(char) || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= 0x80
}
