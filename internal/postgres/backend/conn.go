package backend

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"dewknot/internal/base/liveness"
	"dewknot/internal/base/position"
	"dewknot/internal/postgres/replication"
)

// StatusQuery returns a server's role, term and received and applied log positions.
// Positions have the form term/offset (docs/OPERATIONS.md, "What a database group must
// report").
const StatusQuery = "SELECT role, term, received, applied FROM group_status"

// Transaction states in ReadyForQuery (PostgreSQL protocol).
const (
	Idle          = byte('I')
	InProgress    = byte('T')
	Failed        = byte('E')
	statusColumns = 4 // columns of StatusQuery
)

// Address holds the address of a server and the credentials for it.
type Address struct {
	Server   string
	User     string
	Password string
	Database string
}

// Conn is a connection to a server. Except for Close and Cancel it is not safe for
// concurrent use.
type Conn struct {
	net      net.Conn
	frontend *pgproto3.Frontend
	address  Address
	pid      uint32
	secret   []byte
	prepared map[string]struct{} // names of the prepared statements
	// canceled is set once a cancel request may be on its way.
	canceled atomic.Bool
	lastUsed time.Time
	out      []byte // buffer of Status
}

// maxPrepared is the maximum number of prepared statements on a connection. A connection
// with more is closed after use.
const maxPrepared = 500

// Dial connects and authenticates.
func Dial(ctx context.Context, address Address) (*Conn, error) {
	host, port, err := net.SplitHostPort(address.Server)
	if err != nil {
		return nil, errors.Wrapf(err, "server address %q", address.Server)
	}
	config, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "connection defaults")
	}
	portNumber, err := net.LookupPort("tcp", port)
	if err != nil {
		return nil, errors.Wrapf(err, "port of server address %q", address.Server)
	}
	config.Host, config.Port = host, uint16(portNumber)
	config.User, config.Password, config.Database = address.User, address.Password, address.Database
	config.Fallbacks = nil
	connected, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to server %s", address.Server)
	}
	hijacked, err := connected.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "hijack connection")
	}
	return &Conn{
		net: hijacked.Conn, frontend: hijacked.Frontend, address: address,
		pid: hijacked.PID, secret: hijacked.SecretKey, prepared: map[string]struct{}{},
	}, nil
}

// Close closes the connection; a running batch fails. Data that the server has not
// acknowledged is dropped, so that it cannot arrive after a network partition has healed.
func (c *Conn) Close() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.net.Close()
}

// ErrUnexpectedData is returned if a server has sent data or closed the connection while nothing was
// asked. An answer cannot be told from what the server sent before.
var ErrUnexpectedData = errors.New("the server sent data that nothing asked for, or closed the connection; use another connection")

// Quiet reports whether the connection is open and has no unread data. Asynchronous messages of the
// server count as data.
func (c *Conn) Quiet() bool { return c.frontend.ReadBufferLen() == 0 && liveness.Quiet(c.net) }

// ExpectCancel marks a connection for which Cancel will be called. The request may reach the server at
// any later time, so a pool closes the connection instead of giving it to others.
func (c *Conn) ExpectCancel() { c.canceled.Store(true) }

// Cancel asks the server to cancel the running query of the connection. ExpectCancel must have been
// called before the connection could be released.
func (c *Conn) Cancel(ctx context.Context) error {
	dialer := net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", c.address.Server)
	if err != nil {
		return errors.Wrap(err, "connect to cancel")
	}
	defer func() { _ = conn.Close() }()
	request := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	encoded, err := request.Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode cancel request")
	}
	_, err = conn.Write(encoded)
	return errors.Wrap(err, "send cancel request")
}

// RunReport describes the execution of a batch.
type RunReport struct {
	// Sent is true if at least one byte may have reached the server.
	Sent bool
	// Status is the transaction state after the batch; only valid if Synced.
	Status byte
	// Synced is false if the batch ended with Flush, so that the server waits for Sync.
	Synced bool
	// CommandCompleted is true if at least one statement completed.
	CommandCompleted bool
	// FirstError is the SQLSTATE of the first error, or "".
	FirstError string
	// Position is the server's received position after the batch, if it was requested.
	Position position.Position
}

// Run sends a batch and passes the encoded answer to sink, message by message. If
// withPosition is true, the server's position is read after the batch in the same round
// trip. After an error the connection must be closed.
func (c *Conn) Run(batch Batch, withPosition bool, sink func([]byte) error) (RunReport, error) {
	report := RunReport{Status: Idle}
	if !c.Quiet() {
		return report, ErrUnexpectedData
	}
	planned, err := planBatch(batch, c.prepared)
	if err != nil {
		return report, err
	}
	out := planned.out
	if withPosition {
		query := pgproto3.Query{String: StatusQuery}
		if out, err = query.Encode(out); err != nil {
			return report, errors.Wrap(err, "encode position query")
		}
	}
	report.Sent = true
	if _, err := c.net.Write(out); err != nil {
		return report, errors.Wrap(err, "send batch")
	}
	reader := &answerReader{conn: c, plan: planned, report: &report, sink: sink}
	if err := reader.readAll(); err != nil {
		return report, err
	}
	if withPosition {
		status, err := c.readStatus()
		if err != nil {
			return report, err
		}
		report.Position = status.Received
	}
	return report, nil
}

// Status queries the server's status.
func (c *Conn) Status(deadline time.Time) (replication.Report, error) {
	if !c.Quiet() {
		return replication.Report{}, ErrUnexpectedData
	}
	if err := c.net.SetDeadline(deadline); err != nil {
		return replication.Report{}, errors.Wrap(err, "set deadline")
	}
	query := pgproto3.Query{String: StatusQuery}
	encoded, err := query.Encode(c.out[:0])
	if err != nil {
		return replication.Report{}, errors.Wrap(err, "encode status query")
	}
	c.out = encoded
	if _, err := c.net.Write(encoded); err != nil {
		return replication.Report{}, errors.Wrap(err, "send status query")
	}
	return c.readStatus()
}

func (c *Conn) readStatus() (replication.Report, error) {
	report, found := replication.Report{}, false
	for {
		message, err := c.frontend.Receive()
		if err != nil {
			return report, errors.Wrap(err, "receive status")
		}
		switch typed := message.(type) {
		case *pgproto3.DataRow:
			if report, err = parseStatus(typed.Values); err != nil {
				return report, err
			}
			found = true
		case *pgproto3.ErrorResponse:
			return report, errors.Errorf("status query failed: %s %s", typed.Code, typed.Message)
		case *pgproto3.ReadyForQuery:
			if !found {
				return report, errors.New("status query returned no row")
			}
			return report, nil
		}
	}
}

func parseStatus(values [][]byte) (replication.Report, error) {
	report := replication.Report{}
	if len(values) != statusColumns {
		return report, errors.Errorf("status has %d columns, want %d", len(values), statusColumns)
	}
	if string(values[0]) == replication.Primary.String() {
		report.Role = replication.Primary
	}
	term, err := position.Parse(string(values[1]) + "/0")
	if err != nil {
		return report, err
	}
	report.Term = term.Term
	if report.Received, err = position.Parse(string(values[2])); err != nil {
		return report, err
	}
	report.Applied, err = position.Parse(string(values[3]))
	return report, err
}

// answerReader matches a server's answers with the messages of a plan.
type answerReader struct {
	conn        *Conn
	plan        plan
	report      *RunReport
	sink        func([]byte) error
	parsedCount int // count of plan.parses that were answered or skipped
	// failed is set after an error until ReadyForQuery, complete after the result of a query.
	failed, complete bool
	buffer           []byte
}

func (r *answerReader) readAll() error {
	for {
		if err := r.emitLocal(); err != nil {
			return err
		}
		if len(r.plan.expected) == 0 {
			return nil
		}
		message, err := r.conn.frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive answer")
		}
		if err := r.handle(message); err != nil {
			return err
		}
	}
}

// emitLocal answers messages that were not sent to the server.
func (r *answerReader) emitLocal() error {
	for len(r.plan.expected) > 0 {
		var answer pgproto3.BackendMessage
		switch r.plan.expected[0] {
		case localParseComplete:
			answer = &pgproto3.ParseComplete{}
		case localCloseComplete:
			answer = &pgproto3.CloseComplete{}
		default:
			return nil
		}
		r.pop()
		if err := r.emit(answer); err != nil {
			return err
		}
	}
	return nil
}

func (r *answerReader) pop() expectation {
	head := r.plan.expected[0]
	r.plan.expected = r.plan.expected[1:]
	return head
}

func (r *answerReader) emit(message pgproto3.BackendMessage) error {
	encoded, err := message.Encode(r.buffer[:0])
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	r.buffer = encoded
	return r.sink(encoded)
}

func (r *answerReader) handle(message pgproto3.BackendMessage) error {
	head := r.plan.expected[0]
	if !r.fits(message, head) {
		return &OrderError{Message: message}
	}
	switch typed := message.(type) {
	case *pgproto3.ParseComplete:
		return r.handleParseComplete()
	case *pgproto3.RowDescription, *pgproto3.NoData:
		if head == expectDescribe {
			r.pop()
		}
	case *pgproto3.BindComplete, *pgproto3.CloseComplete:
		r.pop()
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		r.report.CommandCompleted = true
		r.complete = true
		if head == expectExecute {
			r.pop()
		}
	case *pgproto3.ErrorResponse:
		r.handleError(typed)
	case *pgproto3.ReadyForQuery:
		return r.handleReady(typed)
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return errors.New("the server began COPY, which is not supported on pooled connections")
	}
	return r.emit(message)
}

// OrderError reports a message that cannot be part of the answer that is awaited, such as a copy of an
// earlier one. The connection must be closed.
type OrderError struct{ Message pgproto3.BackendMessage }

// Error implements the error interface.
func (e *OrderError) Error() string {
	return fmt.Sprintf("the server sent %T out of order; close the connection", e.Message)
}

// fits reports whether a message can be part of the answer that is awaited.
func (r *answerReader) fits(message pgproto3.BackendMessage, head expectation) bool {
	switch message.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse, *pgproto3.NoticeResponse:
		return true
	case *pgproto3.ReadyForQuery:
		// The answer to a query is complete only with its result or error.
		return head == expectSync || (head == expectQuery && (r.complete || r.failed))
	}
	if r.failed {
		return false
	}
	switch message.(type) {
	case *pgproto3.ErrorResponse:
		return true
	case *pgproto3.ParseComplete:
		return head == expectParse || head == expectSilentParse
	case *pgproto3.BindComplete:
		return head == expectBind
	case *pgproto3.CloseComplete:
		return head == expectClose
	case *pgproto3.ParameterDescription, *pgproto3.NoData:
		return head == expectDescribe
	case *pgproto3.RowDescription:
		return head == expectDescribe || head == expectQuery
	case *pgproto3.PortalSuspended:
		return head == expectExecute
	case *pgproto3.DataRow, *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse,
		*pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return head == expectExecute || head == expectQuery
	default:
		return false
	}
}

func (r *answerReader) handleParseComplete() error {
	r.conn.prepared[r.plan.parses[r.parsedCount]] = struct{}{}
	r.parsedCount++
	if r.pop() == expectSilentParse {
		return nil
	}
	return r.emit(&pgproto3.ParseComplete{})
}

// handleError records an error. The server skips all messages up to the next Sync.
func (r *answerReader) handleError(message *pgproto3.ErrorResponse) {
	if r.report.FirstError == "" {
		r.report.FirstError = message.Code
	}
	r.failed = true
	for len(r.plan.expected) > 0 {
		head := r.plan.expected[0]
		if head == expectSync || head == expectQuery {
			return
		}
		if head == expectParse || head == expectSilentParse {
			r.parsedCount++
		}
		r.pop()
	}
}

func (r *answerReader) handleReady(message *pgproto3.ReadyForQuery) error {
	r.pop()
	r.failed, r.complete = false, false
	r.report.Status = message.TxStatus
	r.report.Synced = true
	return r.emit(message)
}
