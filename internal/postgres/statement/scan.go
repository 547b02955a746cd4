// Package statement classifies SQL text just far enough to route it.
//
// It does not parse SQL. A scanner skips comments, literals and quoted names
// and yields words; from these the classifier derives whether a statement may
// write, whether it controls a transaction, and whether pooling can carry it.
// Whatever is not known to be a plain read counts as a write: a wrong guess then
// costs a trip to the primary and never a wrong answer.
package statement

import (
	"strings"
)

// token is a word, number or single punctuation byte of the SQL text.
type token struct {
	text string // upper case for words
	word bool
}

// scanner yields tokens and collects comments.
type scanner struct {
	text     string
	at       int
	comments []string
}

func (s *scanner) peekIs(prefix string) bool { return strings.HasPrefix(s.text[s.at:], prefix) }

// next returns the next token; ok is false at the end of the text.
func (s *scanner) next() (token, bool) {
	for s.at < len(s.text) {
		char := s.text[s.at]
		switch {
		case char == ' ' || char == '\t' || char == '\n' || char == '\r' || char == '\f':
			s.at++
		case s.peekIs("--"):
			s.skipLineComment()
		case s.peekIs("/*"):
			s.skipBlockComment()
		case char == '\'':
			s.skipQuoted('\'', s.escapeStringBefore())
			return token{text: "'"}, true
		case char == '"':
			s.skipQuoted('"', false)
			return token{text: "\""}, true
		case char == '$':
			return s.dollar(), true
		case isWordByte(char):
			return s.word(), true
		default:
			s.at++
			return token{text: string(char)}, true
		}
	}
	return token{}, false
}

func (s *scanner) skipLineComment() {
	end := strings.IndexByte(s.text[s.at:], '\n')
	if end < 0 {
		end = len(s.text) - s.at
	}
	s.comments = append(s.comments, s.text[s.at+2:s.at+end])
	s.at += end
}

// skipBlockComment skips a comment; PostgreSQL block comments nest.
func (s *scanner) skipBlockComment() {
	start := s.at + 2
	depth := 0
	for s.at < len(s.text) {
		switch {
		case s.peekIs("/*"):
			depth++
			s.at += 2
		case s.peekIs("*/"):
			depth--
			s.at += 2
			if depth == 0 {
				s.comments = append(s.comments, s.text[start:s.at-2])
				return
			}
		default:
			s.at++
		}
	}
}

// escapeStringBefore reports whether the literal at s.at is an E'...' string.
func (s *scanner) escapeStringBefore() bool {
	if s.at == 0 || (s.text[s.at-1] != 'e' && s.text[s.at-1] != 'E') {
		return false
	}
	return s.at == 1 || !isWordByte(s.text[s.at-2])
}

func (s *scanner) skipQuoted(quote byte, backslash bool) {
	s.at++
	for s.at < len(s.text) {
		char := s.text[s.at]
		s.at++
		switch {
		case backslash && char == '\\':
			s.at++
		case char == quote && s.at < len(s.text) && s.text[s.at] == quote:
			s.at++
		case char == quote:
			return
		}
	}
	s.at = min(s.at, len(s.text))
}

// dollar reads a parameter ($1) or skips a dollar-quoted string ($tag$...$tag$).
func (s *scanner) dollar() token {
	end := s.at + 1
	for end < len(s.text) && isWordByte(s.text[end]) {
		end++
	}
	isTag := end < len(s.text) && s.text[end] == '$' && (end == s.at+1 || !isDigit(s.text[s.at+1]))
	if !isTag {
		text := s.text[s.at:end]
		s.at = end
		return token{text: text}
	}
	tag := s.text[s.at : end+1]
	closing := strings.Index(s.text[end+1:], tag)
	if closing < 0 {
		s.at = len(s.text)
	} else {
		s.at = end + 1 + closing + len(tag)
	}
	return token{text: "'"}
}

func (s *scanner) word() token {
	start := s.at
	for s.at < len(s.text) && isWordByte(s.text[s.at]) {
		s.at++
	}
	return token{text: strings.ToUpper(s.text[start:s.at]), word: true}
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

func isWordByte(char byte) bool {
	return char == '_' || isDigit(char) || char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= 0x80
}
