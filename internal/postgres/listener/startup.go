package listener

import (
	"encoding/binary"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"dewknot/internal/base/failure"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/credential"
)

// startup handles the protocol up to the first ReadyForQuery. It reports false if the
// connection is to be closed.
func (s *session) startup() bool {
	_ = s.conn.SetDeadline(time.Now().Add(s.server.settings.StartupTimeout))
	message, ok := s.receiveStartup()
	if !ok {
		return false
	}
	view := s.server.router.View()
	s.user = message.Parameters["user"]
	s.group = message.Parameters["database"]
	if s.group == "" {
		s.group = s.user
	}
	switch {
	case s.server.stopping.Load():
		return s.fatal(failure.New(failure.Stopping, ""))
	case view == nil || !view.Ready:
		return s.fatal(failure.Refuse(failure.NotReady, overloadRetryAfter))
	case !s.authenticate():
		return false
	case view.Config.Groups[s.group] == nil:
		return s.fatal(failure.New(failure.UnknownService, s.group))
	}
	if err := s.applyStartupParameters(message.Parameters); err != nil {
		return s.fatal(err)
	}
	_ = s.conn.SetDeadline(time.Time{})
	return s.completeStartup()
}

func (s *session) receiveStartup() (*pgproto3.StartupMessage, bool) {
	for {
		message, err := s.protocol.ReceiveStartupMessage()
		if err != nil {
			s.server.Counters.ProtocolViolations.Add(1)
			return nil, false
		}
		switch typed := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return nil, false
			}
		case *pgproto3.CancelRequest:
			s.server.cancel(typed.ProcessID, typed.SecretKey)
			return nil, false
		case *pgproto3.StartupMessage:
			return typed, true
		}
	}
}

// applyStartupParameters sets the dewknot.* parameters of the startup message and ignores others.
func (s *session) applyStartupParameters(parameters map[string]string) *failure.Error {
	for name, value := range parameters {
		if len(name) <= len(parameterPrefix) || name[:len(parameterPrefix)] != parameterPrefix {
			continue
		}
		if err := s.setParameter(name[len(parameterPrefix):], value); err != nil {
			return err
		}
	}
	return nil
}

// authenticate verifies the caller's password with SCRAM.
func (s *session) authenticate() bool {
	if !s.server.settings.Authenticate {
		return true
	}
	user := s.server.router.View().Config.Users[s.user]
	if user == nil {
		return s.rejectAuthentication()
	}
	conversation, err := credential.NewConversation(user.Verifier)
	if err != nil {
		return s.rejectAuthentication()
	}
	s.protocol.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{credential.Mechanism}})
	if s.protocol.Flush() != nil || !s.exchangeSASL(conversation) {
		return s.rejectAuthentication()
	}
	return true
}

func (s *session) rejectAuthentication() bool {
	s.server.Counters.AuthenticationFailures.Add(1)
	return s.fatal(failure.New(failure.Authentication, "user "+s.user))
}

func (s *session) exchangeSASL(conversation *credential.Conversation) bool {
	if s.protocol.SetAuthType(pgproto3.AuthTypeSASL) != nil {
		return false
	}
	first, err := s.protocol.Receive()
	if err != nil {
		return false
	}
	initial, ok := first.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != credential.Mechanism {
		return false
	}
	answer, err := conversation.Step(string(initial.Data))
	if err != nil {
		return false
	}
	s.protocol.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	if s.protocol.Flush() != nil || s.protocol.SetAuthType(pgproto3.AuthTypeSASLContinue) != nil {
		return false
	}
	second, err := s.protocol.Receive()
	if err != nil {
		return false
	}
	proof, ok := second.(*pgproto3.SASLResponse)
	if !ok {
		return false
	}
	answer, err = conversation.Step(string(proof.Data))
	if err != nil || !conversation.Valid() {
		return false
	}
	s.protocol.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return true
}

// serverParameters are sent to callers at startup; drivers rely on them.
var serverParameters = [][2]string{
	{"server_version", "16.0 (dewknot)"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"TimeZone", "UTC"},
}

func (s *session) completeStartup() bool {
	s.protocol.Send(&pgproto3.AuthenticationOk{})
	for _, parameter := range serverParameters {
		s.protocol.Send(&pgproto3.ParameterStatus{Name: parameter[0], Value: parameter[1]})
	}
	s.protocol.Send(&pgproto3.BackendKeyData{
		ProcessID: uint32(s.id.Session), SecretKey: binary.BigEndian.AppendUint32(nil, s.secret),
	})
	s.protocol.Send(&pgproto3.ReadyForQuery{TxStatus: backend.Idle})
	return s.protocol.Flush() == nil
}
