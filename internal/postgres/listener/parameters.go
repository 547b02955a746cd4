package listener

import (
	"io"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/postgres/statement"
)

// parameterPrefix starts the names of parameters that the node handles itself.
const parameterPrefix = "dewknot."

// maxParameterBytes bounds a parameter's value.
const maxParameterBytes = 256

func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// setParameter sets one of the caller's parameters.
func (s *session) setParameter(name, value string) *failure.Error {
	if len(value) > maxParameterBytes {
		return failure.New(failure.BadParameter, parameterPrefix+name+" is longer than 256 bytes")
	}
	switch name {
	case "session":
		s.name = value
	case "kind":
		s.kind = value
	case "repeatable":
		s.repeatable = value
	case "position":
		return s.setPosition(value)
	default:
		return failure.New(failure.BadParameter, "there is no parameter "+parameterPrefix+name)
	}
	return nil
}

// setPosition takes the position that a caller brings from another connection.
// From then on the caller carries its session's position: this connection's own
// writes raise it.
func (s *session) setPosition(value string) *failure.Error {
	if value == "" {
		s.carries = false
		return nil
	}
	token, err := position.ParseToken(value)
	if err != nil {
		return failure.New(failure.BadParameter, err.Error())
	}
	if token.Group != s.group {
		return failure.New(failure.BadParameter, "the position belongs to service "+token.Group)
	}
	s.carries = true
	s.floor = position.Max(s.floor, token.Position)
	return nil
}

func (s *session) parameterValue(name string) (string, bool) {
	switch name {
	case "session":
		return s.name, true
	case "kind":
		return s.kind, true
	case "repeatable":
		return s.repeatable, true
	case "position":
		if s.floor.IsZero() {
			return "", true
		}
		return position.Token{Group: s.group, Position: s.floor}.String(), true
	default:
		return "", false
	}
}

// serveParameter answers a simple query that sets or shows a parameter.
func (s *session) serveParameter(parameter statement.Parameter) bool {
	description, execution, problem := s.parameterAnswer(parameter, true)
	if problem != nil {
		return s.answerFailure(problem)
	}
	if parameter.Show {
		s.protocol.Send(description)
	}
	for _, part := range execution {
		s.protocol.Send(part)
	}
	return s.ready()
}

// textOID is the type of parameter values (PostgreSQL's pg_type catalogue).
const textOID = 25

// parameterAnswer carries out a SET, if it is to be run, and returns the
// description of the answer and the answer itself.
func (s *session) parameterAnswer(parameter statement.Parameter, run bool) (pgproto3.BackendMessage, []pgproto3.BackendMessage, *failure.Error) {
	if !parameter.Show {
		if run {
			if problem := s.setParameter(parameter.Name, parameter.Value); problem != nil {
				return nil, nil, problem
			}
		}
		return &pgproto3.NoData{}, []pgproto3.BackendMessage{&pgproto3.CommandComplete{CommandTag: []byte("SET")}}, nil
	}
	value, ok := s.parameterValue(strings.TrimSpace(parameter.Name))
	if !ok {
		return nil, nil, failure.New(failure.BadParameter, "there is no parameter "+parameterPrefix+parameter.Name)
	}
	description := &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name: []byte(parameterPrefix + parameter.Name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1,
	}}}
	return description, []pgproto3.BackendMessage{
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SHOW")},
	}, nil
}
