// Package backend runs batches of protocol messages on pooled connections to
// database servers.
//
// A connection is lent for one batch or for one transaction. It goes back to the
// pool only when it is known to be clean; after any doubt it is closed.
package backend

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Statement is a named prepared statement that a batch refers to.
type Statement struct {
	// Name is derived from the text, so that it means the same on every connection.
	Name  string   `msgpack:"n"`
	Query string   `msgpack:"q"`
	OIDs  []uint32 `msgpack:"o"`
}

// Batch is a caller's messages up to and including a Query, Sync or Flush, with
// statement names already replaced.
type Batch struct {
	// Messages holds encoded frontend messages.
	Messages []byte `msgpack:"m"`
	// Statements defines the statements that Messages refers to.
	Statements []Statement `msgpack:"s"`
}

// expectation is a message sent to the server whose answer is outstanding.
type expectation uint8

const (
	expectParse expectation = iota
	expectSilentParse
	expectBind
	expectDescribe
	expectExecute
	expectClose
	expectSync
	expectQuery
	// The server is not asked for these; the answer is made here.
	madeParseComplete
	madeCloseComplete
)

// Message types of the PostgreSQL protocol (frontend).
const (
	typeParse    = 'P'
	typeBind     = 'B'
	typeDescribe = 'D'
	typeExecute  = 'E'
	typeClose    = 'C'
	typeSync     = 'S'
	typeFlush    = 'H'
	typeQuery    = 'Q'
)

// headerBytes is the length of a message's type and length fields.
const headerBytes = 5

// plan turns a batch into bytes for one connection and the answers to expect.
type plan struct {
	out      []byte
	expected []expectation
	// parses holds the names of the statements prepared by this batch, in order.
	parses []string
}

// planner knows which statements the connection has.
type planner struct {
	prepared   map[string]struct{}
	statements map[string]Statement
	plan       plan
	planned    map[string]struct{}
}

func planBatch(batch Batch, prepared map[string]struct{}) (plan, error) {
	work := &planner{prepared: prepared, statements: map[string]Statement{}, planned: map[string]struct{}{}}
	for _, statement := range batch.Statements {
		work.statements[statement.Name] = statement
	}
	rest := batch.Messages
	for len(rest) > 0 {
		if len(rest) < headerBytes {
			return plan{}, errors.New("batch ends inside a message header")
		}
		size := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if size < headerBytes || size > len(rest) {
			return plan{}, errors.Errorf("batch holds a message of length %d", size)
		}
		if err := work.add(rest[0], rest[:size]); err != nil {
			return plan{}, err
		}
		rest = rest[size:]
	}
	return work.plan, nil
}

func (w *planner) add(kind byte, raw []byte) error {
	body := raw[headerBytes:]
	switch kind {
	case typeQuery:
		w.pass(raw, expectQuery)
	case typeParse:
		message := pgproto3.Parse{}
		if err := message.Decode(body); err != nil {
			return errors.Wrap(err, "decode Parse")
		}
		w.parse(message.Name)
	case typeBind:
		message := pgproto3.Bind{}
		if err := message.Decode(body); err != nil {
			return errors.Wrap(err, "decode Bind")
		}
		w.ensure(message.PreparedStatement)
		w.pass(raw, expectBind)
	case typeDescribe:
		message := pgproto3.Describe{}
		if err := message.Decode(body); err != nil {
			return errors.Wrap(err, "decode Describe")
		}
		if message.ObjectType == 'S' {
			w.ensure(message.Name)
		}
		w.pass(raw, expectDescribe)
	case typeExecute:
		w.pass(raw, expectExecute)
	case typeClose:
		w.close(raw, body)
	case typeSync:
		w.pass(raw, expectSync)
	case typeFlush:
		w.plan.out = append(w.plan.out, raw...)
	default:
		return errors.Errorf("message type %q cannot be part of a batch", kind)
	}
	return nil
}

func (w *planner) pass(raw []byte, expected expectation) {
	w.plan.out = append(w.plan.out, raw...)
	w.plan.expected = append(w.plan.expected, expected)
}

func (w *planner) has(name string) bool {
	_, before := w.prepared[name]
	_, now := w.planned[name]
	return before || now
}

// parse prepares a statement, or answers at once if the connection has it.
func (w *planner) parse(name string) {
	if w.has(name) {
		w.plan.expected = append(w.plan.expected, madeParseComplete)
		return
	}
	w.prepare(name, expectParse)
}

// ensure prepares a statement that an earlier batch prepared elsewhere.
func (w *planner) ensure(name string) {
	if !w.has(name) {
		w.prepare(name, expectSilentParse)
	}
}

func (w *planner) prepare(name string, expected expectation) {
	statement, known := w.statements[name]
	if !known {
		return // the server will answer that the statement does not exist
	}
	message := pgproto3.Parse{Name: name, Query: statement.Query, ParameterOIDs: statement.OIDs}
	encoded, err := message.Encode(nil)
	if err != nil {
		return
	}
	w.planned[name] = struct{}{}
	w.plan.parses = append(w.plan.parses, name)
	w.pass(encoded, expected)
}

// close keeps statements on the connection, where other callers use them too,
// and passes the closing of portals on.
func (w *planner) close(raw, body []byte) {
	if len(body) > 0 && body[0] == 'S' {
		w.plan.expected = append(w.plan.expected, madeCloseComplete)
		return
	}
	w.pass(raw, expectClose)
}
