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

// parameterPrefix is the prefix of the parameters that the node handles itself.
const parameterPrefix = "dewknot."

// maxParameterBytes is the maximum length of a parameter's value.
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

// setPosition sets the minimum position that reads must see, which the caller got on
// another connection. Writes on this connection raise it from then on.
func (s *session) setPosition(value string) *failure.Error {
	if value == "" {
		s.carriesPosition = false
		return nil
	}
	token, err := position.ParseToken(value)
	if err != nil {
		return failure.New(failure.BadParameter, err.Error())
	}
	if token.Group != s.group {
		return failure.New(failure.BadParameter, "the position belongs to service "+token.Group)
	}
	s.carriesPosition = true
	s.minPosition = position.Max(s.minPosition, token.Position)
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
		if s.minPosition.IsZero() {
			return "", true
		}
		return position.Token{Group: s.group, Position: s.minPosition}.String(), true
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

// textOID is the OID of PostgreSQL's type text, the type of parameter values.
const textOID = 25

// parameterAnswer executes a SET if run is true. It returns the answer to a
// Describe message and the answer to the execution.
func (s *session) parameterAnswer(
	parameter statement.Parameter, run bool,
) (pgproto3.BackendMessage, []pgproto3.BackendMessage, *failure.Error) {
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
