package backend

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"dewknot/internal/base/position"
	"dewknot/internal/postgres/replication"
)

// StatusQuery is the question to which a server reports its role, term and log
// positions. The columns are role, term, received and applied; positions are
// written term/offset (docs/OPERATIONS.md, "What a database group must report").
const StatusQuery = "SELECT role, term, received, applied FROM group_status"

// Transaction states in ReadyForQuery (PostgreSQL protocol).
const (
	Idle        = byte('I')
	InProgress  = byte('T')
	Failed      = byte('E')
	statusWidth = 4
)

// Address is how to reach a server.
type Address struct {
	Server   string
	User     string
	Password string
	Database string
}

// Conn is a connection to a server. It is used by one goroutine at a time.
type Conn struct {
	net      net.Conn
	frontend *pgproto3.Frontend
	address  Address
	pid      uint32
	secret   []byte
	prepared map[string]struct{}
	lastUsed time.Time
	out      []byte
}

// maxPrepared bounds the statements kept on one connection; past it the
// connection is closed after use.
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
		return nil, errors.Wrap(err, "take over connection")
	}
	return &Conn{
		net: hijacked.Conn, frontend: hijacked.Frontend, address: address,
		pid: hijacked.PID, secret: hijacked.SecretKey, prepared: map[string]struct{}{},
	}, nil
}

// Close ends the connection; a running batch fails. Bytes that the server has not
// acknowledged are dropped, so that they cannot arrive after a cut has healed.
func (c *Conn) Close() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.net.Close()
}

// Cancel asks the server to cancel what runs on the connection.
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

// RunReport is what a batch did.
type RunReport struct {
	// Sent is true when at least one byte may have reached the server.
	Sent bool
	// Status is the transaction state after the batch; meaningful if Synced.
	Status byte
	// Synced is false when the batch ended with Flush, so that the server waits for Sync.
	Synced bool
	// SawCommand is true when some statement completed.
	SawCommand bool
	// FirstError is the SQLSTATE of the first error, or "".
	FirstError string
	// Position is the server's position read after the batch, if it was asked for.
	Position position.Position
}

// Run sends a batch and passes the encoded answer to sink, message by message.
// With withPosition the server's position is read after the batch in the same
// round trip. After an error the connection must be closed.
func (c *Conn) Run(batch Batch, withPosition bool, sink func([]byte) error) (RunReport, error) {
	report := RunReport{Status: Idle}
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

// Status asks the server for its status.
func (c *Conn) Status(deadline time.Time) (replication.Report, error) {
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
	if len(values) != statusWidth {
		return report, errors.Errorf("status has %d columns, want %d", len(values), statusWidth)
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

// answerReader matches a server's answers with what was sent.
type answerReader struct {
	conn   *Conn
	plan   plan
	report *RunReport
	sink   func([]byte) error
	parsed int
	buffer []byte
}

func (r *answerReader) readAll() error {
	for {
		if err := r.emitMade(); err != nil {
			return err
		}
		if len(r.plan.expected) == 0 {
			return nil
		}
		message, err := r.conn.frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "receive answer")
		}
		if err := r.take(message); err != nil {
			return err
		}
	}
}

// emitMade answers for messages that were not sent to the server.
func (r *answerReader) emitMade() error {
	for len(r.plan.expected) > 0 {
		var made pgproto3.BackendMessage
		switch r.plan.expected[0] {
		case madeParseComplete:
			made = &pgproto3.ParseComplete{}
		case madeCloseComplete:
			made = &pgproto3.CloseComplete{}
		default:
			return nil
		}
		r.pop()
		if err := r.emit(made); err != nil {
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

func (r *answerReader) take(message pgproto3.BackendMessage) error {
	head := r.plan.expected[0]
	switch typed := message.(type) {
	case *pgproto3.ParseComplete:
		return r.parseComplete()
	case *pgproto3.RowDescription, *pgproto3.NoData:
		if head == expectDescribe {
			r.pop()
		}
	case *pgproto3.BindComplete, *pgproto3.CloseComplete:
		r.pop()
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		r.report.SawCommand = true
		if head == expectExecute {
			r.pop()
		}
	case *pgproto3.ErrorResponse:
		r.failed(typed)
	case *pgproto3.ReadyForQuery:
		return r.ready(typed)
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return errors.New("the server began COPY, which pooled connections do not carry")
	}
	return r.emit(message)
}

func (r *answerReader) parseComplete() error {
	r.conn.prepared[r.plan.parses[r.parsed]] = struct{}{}
	r.parsed++
	if r.pop() == expectSilentParse {
		return nil
	}
	return r.emit(&pgproto3.ParseComplete{})
}

// failed notes an error; the server skips everything up to the next Sync.
func (r *answerReader) failed(message *pgproto3.ErrorResponse) {
	if r.report.FirstError == "" {
		r.report.FirstError = message.Code
	}
	for len(r.plan.expected) > 0 {
		head := r.plan.expected[0]
		if head == expectSync || head == expectQuery {
			return
		}
		if head == expectParse || head == expectSilentParse {
			r.parsed++
		}
		r.pop()
	}
}

func (r *answerReader) ready(message *pgproto3.ReadyForQuery) error {
	head := r.pop()
	if head != expectSync && head != expectQuery {
		return errors.New("the server became ready while an answer was outstanding")
	}
	r.report.Status = message.TxStatus
	r.report.Synced = true
	return r.emit(message)
}
