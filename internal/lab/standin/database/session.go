package database

import (
	"context"
	"database/sql"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"dewknot/internal/postgres/statement"
)

// StatusQuery is the query that reports a server's role, term and positions. Its columns are role,
// term, received and applied; positions are written as term/offset.
const StatusQuery = "SELECT role, term, received, applied FROM group_status"

// SQLSTATE codes (PostgreSQL, appendix A) and the transaction states of ReadyForQuery.
const (
	codeReadOnly           = "25006"
	codeFailedTransaction  = "25P02"
	codeTooManyConnections = "53300"
	codeSyntax             = "42601"
	codeUnique             = "23505"
	codeCanceled           = "57014"
	codeCannotConnect      = "57P03"
	codeUndefinedStmt      = "26000"
	codeInternal           = "XX000"
	transactionIdle        = byte('I')
	transactionOpen        = byte('T')
	transactionAborted     = byte('E')
)

// sqlError is an error with an SQLSTATE.
type sqlError struct {
	code    string
	message string
}

// Error implements the error interface.
func (e *sqlError) Error() string { return e.message }

type prepared struct {
	sql  string
	oids []uint32
}

type portal struct {
	statement prepared
	args      []any
	formats   []int16
	pending   *resultSet
	tag       string
}

// session is a client's connection to a server.
type session struct {
	server  *server
	conn    net.Conn
	backend *pgproto3.Backend
	sql     *sql.Conn
	ctx     context.Context
	cancel  context.CancelFunc
	// cancelStatement cancels the running statement. It is nil if none runs.
	cancelStatement     atomic.Pointer[context.CancelFunc]
	cancelKey           uint32
	status              byte
	inEngineTransaction bool // the engine has an open transaction
	log                 transactionLog
	statements          map[string]prepared
	portals             map[string]*portal
	discardUntilSync    bool
}

var sessionKeys atomic.Uint32

func (s *server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer func() { _ = conn.Close() }()
	current := &session{
		server: s, conn: conn, backend: pgproto3.NewBackend(conn, conn), ctx: ctx, cancel: cancel,
		cancelKey: sessionKeys.Add(1), status: transactionIdle, statements: map[string]prepared{}, portals: map[string]*portal{},
	}
	if !current.startup() {
		return
	}
	defer s.remove(current)
	defer current.closeEngineConn()
	for {
		message, err := current.backend.Receive()
		if err != nil {
			return
		}
		s.waitWhilePaused(ctx)
		if !current.handle(message) {
			return
		}
	}
}

func (s *server) admit(current *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.group.settings.Connections {
		return false
	}
	s.sessions[current] = struct{}{}
	return true
}

func (s *server) remove(current *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, current)
}

func (c *session) startup() bool {
	for {
		message, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return false
		}
		switch request := message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.server.cancelByKey(request.ProcessID)
			return false
		case *pgproto3.StartupMessage:
			return c.completeStartup()
		}
	}
}

func (s *server) cancelByKey(cancelKey uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for current := range s.sessions {
		if stop := current.cancelStatement.Load(); current.cancelKey == cancelKey && stop != nil {
			(*stop)()
		}
	}
}

func (c *session) completeStartup() bool {
	c.server.waitWhilePaused(c.ctx)
	time.Sleep(c.server.group.settings.ConnectCost)
	if !c.server.admit(c) {
		c.send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: codeTooManyConnections, Message: "sorry, too many clients already"})
		_ = c.backend.Flush()
		return false
	}
	c.send(&pgproto3.AuthenticationOk{})
	c.send(&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0 (stand-in)"})
	c.send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"})
	c.send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	c.send(&pgproto3.ParameterStatus{Name: "integer_datetimes", Value: "on"})
	c.send(&pgproto3.BackendKeyData{ProcessID: c.cancelKey, SecretKey: []byte{0, 0, 0, 1}})
	return c.sendReady()
}

func (c *session) send(message pgproto3.BackendMessage) { c.backend.Send(message) }

func (c *session) sendReady() bool {
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	return c.backend.Flush() == nil
}

func (c *session) sendError(err *sqlError) {
	c.send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: err.code, Message: err.message})
	if c.status == transactionOpen {
		c.status = transactionAborted
	}
}

func (c *session) handle(message pgproto3.FrontendMessage) bool {
	switch request := message.(type) {
	case *pgproto3.Query:
		c.simpleQuery(request.String)
		return c.sendReady()
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Sync:
		c.discardUntilSync = false
		if c.status == transactionIdle {
			c.portals = map[string]*portal{}
		}
		return c.sendReady()
	case *pgproto3.Flush:
		return c.backend.Flush() == nil
	}
	if c.discardUntilSync {
		return true
	}
	if err := c.extended(message); err != nil {
		c.sendError(err)
		c.discardUntilSync = true
	}
	return true
}

func (c *session) simpleQuery(text string) {
	parts := splitStatements(text)
	if len(parts) == 0 {
		c.send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for _, part := range parts {
		result, tag, err := c.run(part, nil)
		if err != nil {
			c.sendError(err)
			return
		}
		if len(result.Columns) > 0 {
			c.send(rowDescription(result.Columns, nil))
		}
		c.sendRows(result, nil)
		c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	}
}

// splitStatements splits a simple query at semicolons outside quotes and comments.
func splitStatements(text string) []string {
	var parts []string
	start, quote, comment := 0, byte(0), false
	for index := 0; index < len(text); index++ {
		char := text[index]
		switch {
		case comment:
			comment = !strings.HasPrefix(text[index:], "*/")
		case quote != 0:
			if char == quote {
				quote = 0
			}
		case char == '\'' || char == '"':
			quote = char
		case strings.HasPrefix(text[index:], "/*"):
			comment = true
		case char == ';':
			parts = append(parts, text[start:index])
			start = index + 1
		}
	}
	parts = append(parts, text[start:])
	kept := parts[:0]
	for _, part := range parts {
		if !statement.Classify(part).Empty {
			kept = append(kept, strings.TrimSpace(part))
		}
	}
	return kept
}

// run executes a statement and returns its result and command tag.
func (c *session) run(text string, args []any) (*resultSet, string, *sqlError) {
	if text == StatusQuery {
		return c.groupStatus(), "SELECT 1", nil
	}
	c.server.workStarted.Add(1)
	info := statement.Classify(text)
	if c.status == transactionAborted && info.Control != statement.Commit && info.Control != statement.Rollback {
		return nil, "", &sqlError{codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch info.Control {
	case statement.Begin:
		c.status = transactionOpen
		return &resultSet{}, "BEGIN", nil
	case statement.Commit:
		return c.commitTransaction()
	case statement.Rollback:
		c.rollback()
		return &resultSet{}, "ROLLBACK", nil
	}
	return c.runInSlot(text, args, info)
}

func (c *session) groupStatus() *resultSet {
	report := c.server.report()
	names := []string{"role", "term", "received", "applied"}
	result := &resultSet{Rows: [][]any{{report.Role.String(), fmt.Sprint(report.Term), report.Received.String(), report.Applied.String()}}}
	for _, name := range names {
		result.Columns = append(result.Columns, column{Name: name, OID: oidText})
	}
	return result
}

func (c *session) runInSlot(text string, args []any, info statement.Info) (*resultSet, string, *sqlError) {
	ctx, stop := context.WithCancel(c.ctx)
	defer stop()
	c.cancelStatement.Store(&stop)
	defer c.cancelStatement.Store(nil)
	c.server.slots <- struct{}{}
	defer func() { <-c.server.slots }()
	if delay := c.server.group.settings.StatementTime; delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, "", &sqlError{codeCanceled, "canceling statement due to user request"}
		}
	}
	text = convertParameters(text)
	if info.ReadOnly {
		return c.read(ctx, text, args)
	}
	return c.writeStatement(ctx, text, args)
}

func (c *session) read(ctx context.Context, text string, args []any) (*resultSet, string, *sqlError) {
	c.server.engine.mu.RLock()
	defer c.server.engine.mu.RUnlock()
	conn, failure := c.engineConn()
	if failure != nil {
		return nil, "", failure
	}
	result, err := query(ctx, conn, text, args)
	if err != nil {
		return nil, "", toSQLError(ctx, err)
	}
	return result, fmt.Sprintf("SELECT %d", len(result.Rows)), nil
}

func (c *session) engineConn() (*sql.Conn, *sqlError) {
	if c.sql != nil {
		return c.sql, nil
	}
	conn, err := c.server.engine.db.Conn(c.ctx)
	if err != nil {
		return nil, &sqlError{codeCannotConnect, err.Error()}
	}
	c.sql = conn
	return conn, nil
}

// writeStatement executes a write, in a new transaction unless one is open.
func (c *session) writeStatement(ctx context.Context, text string, args []any) (*resultSet, string, *sqlError) {
	if c.server.report().Role.String() != "primary" {
		return nil, "", &sqlError{codeReadOnly, "cannot execute a write in a read-only transaction"}
	}
	if err := c.beginTransaction(ctx); err != nil {
		return nil, "", err
	}
	result, err := c.executeWrite(ctx, text, args)
	if err != nil {
		if c.status == transactionIdle {
			c.rollback()
		}
		return nil, "", toSQLError(ctx, err)
	}
	c.log = append(c.log, loggedStatement{SQL: text, Args: args})
	tag := writeTag(text, result)
	if c.status == transactionIdle {
		_, _, failure := c.commitTransaction()
		return result, tag, failure
	}
	return result, tag, nil
}

func (c *session) executeWrite(ctx context.Context, text string, args []any) (*resultSet, error) {
	c.server.engine.mu.RLock()
	defer c.server.engine.mu.RUnlock()
	if strings.Contains(strings.ToUpper(text), "RETURNING") || strings.HasPrefix(strings.ToUpper(text), "SELECT") {
		return query(ctx, c.sql, text, args)
	}
	return execute(ctx, c.sql, text, args)
}

func writeTag(text string, result *resultSet) string {
	count := result.Affected
	if len(result.Columns) > 0 {
		count = int64(len(result.Rows))
	}
	verb, _, _ := strings.Cut(strings.ToUpper(stripComments(text)), " ")
	switch verb {
	case "INSERT":
		return fmt.Sprintf("INSERT 0 %d", count)
	case "UPDATE", "DELETE", "SELECT":
		return fmt.Sprintf("%s %d", verb, count)
	case "CREATE", "DROP", "ALTER":
		return verb + " TABLE"
	default:
		return verb
	}
}

func stripComments(text string) string {
	for {
		text = strings.TrimSpace(text)
		end := strings.Index(text, "*/")
		if !strings.HasPrefix(text, "/*") || end < 0 {
			return text
		}
		text = text[end+2:]
	}
}

func (c *session) beginTransaction(ctx context.Context) *sqlError {
	if c.inEngineTransaction {
		return nil
	}
	select {
	case c.server.engine.write <- struct{}{}:
	case <-ctx.Done():
		return &sqlError{codeCanceled, "canceling statement due to user request"}
	}
	c.server.engine.mu.RLock()
	defer c.server.engine.mu.RUnlock()
	conn, failure := c.engineConn()
	if failure == nil {
		if _, err := conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
			failure = &sqlError{codeInternal, err.Error()}
		}
	}
	if failure != nil {
		<-c.server.engine.write
		return failure
	}
	c.inEngineTransaction = true
	return nil
}

func (c *session) commitTransaction() (*resultSet, string, *sqlError) {
	aborted := c.status == transactionAborted
	if aborted || !c.inEngineTransaction {
		c.rollback()
		if aborted {
			return &resultSet{}, "ROLLBACK", nil
		}
		return &resultSet{}, "COMMIT", nil
	}
	ok, err := c.server.commit(c.log, func() error {
		_, err := c.sql.ExecContext(context.Background(), "COMMIT")
		return err
	})
	if !ok {
		c.rollback()
		return nil, "", &sqlError{codeReadOnly, "the server is no longer primary; the transaction was rolled back"}
	}
	c.endTransaction()
	if err != nil {
		return nil, "", &sqlError{codeInternal, err.Error()}
	}
	return &resultSet{}, "COMMIT", nil
}

func (c *session) endTransaction() {
	c.status = transactionIdle
	c.log = nil
	if c.inEngineTransaction {
		c.inEngineTransaction = false
		<-c.server.engine.write
	}
}

func (c *session) rollback() {
	if c.inEngineTransaction {
		c.server.engine.mu.RLock()
		_, _ = c.sql.ExecContext(context.Background(), "ROLLBACK")
		c.server.engine.mu.RUnlock()
	}
	c.endTransaction()
}

func (c *session) closeEngineConn() {
	c.rollback()
	if c.sql != nil {
		_ = c.sql.Close()
	}
}

func toSQLError(ctx context.Context, err error) *sqlError {
	text := err.Error()
	switch {
	case ctx.Err() != nil:
		return &sqlError{codeCanceled, "canceling statement due to user request"}
	case strings.Contains(text, "UNIQUE constraint"):
		return &sqlError{codeUnique, text}
	case strings.Contains(text, "syntax error"), strings.Contains(text, "no such"):
		return &sqlError{codeSyntax, text}
	default:
		return &sqlError{codeInternal, text}
	}
}
