// Package backend runs batches of protocol messages on pooled connections to
// database servers.
//
// A connection is acquired for one batch or one transaction. It is released to the pool only
// if it is known to be clean; otherwise it is closed.
package backend

import (
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// Statement is a named prepared statement that a batch refers to.
type Statement struct {
	// Name is derived from the text, so that it is the same on every connection.
	Name  string   `msgpack:"n"`
	Query string   `msgpack:"q"`
	OIDs  []uint32 `msgpack:"o"`
}

// Batch holds a caller's messages up to and including a Query, Sync or Flush. Statement
// names are already replaced by those of Statement.
type Batch struct {
	// Messages holds encoded frontend messages.
	Messages []byte `msgpack:"m"`
	// Statements are the definitions of the statements that Messages refers to.
	Statements []Statement `msgpack:"s"`
}

// expectation is an outstanding answer.
type expectation uint8

const (
	expectParse       expectation = iota
	expectSilentParse             // sent by the planner, its answer isn't passed to the caller
	expectBind
	expectDescribe
	expectExecute
	expectClose
	expectSync
	expectQuery
	// These messages aren't sent to the server; the answerReader makes their answers.
	localParseComplete
	localCloseComplete
)

// Types of frontend messages in the PostgreSQL protocol.
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

// headerBytes is the size of a message's type and length fields.
const headerBytes = 5

// plan is a batch encoded for one connection, and the answers to expect.
type plan struct {
	out      []byte
	expected []expectation
	// parses are the names of the statements that the batch prepares, in order.
	parses []string
}

// planner makes the plan of a batch.
type planner struct {
	prepared   map[string]struct{}  // names of the statements on the connection
	statements map[string]Statement // by name
	plan       plan
	planned    map[string]struct{} // names of the statements that the batch prepares
}

func planBatch(batch Batch, prepared map[string]struct{}) (plan, error) {
	builder := &planner{prepared: prepared, statements: map[string]Statement{}, planned: map[string]struct{}{}}
	for _, statement := range batch.Statements {
		builder.statements[statement.Name] = statement
	}
	rest := batch.Messages
	for len(rest) > 0 {
		if len(rest) < headerBytes {
			return plan{}, errors.New("batch ends inside a message header")
		}
		size := int(binary.BigEndian.Uint32(rest[1:])) + 1
		if size < headerBytes || size > len(rest) {
			return plan{}, errors.Errorf("batch has a message of invalid length %d", size)
		}
		if err := builder.add(rest[0], rest[:size]); err != nil {
			return plan{}, err
		}
		rest = rest[size:]
	}
	return builder.plan, nil
}

func (p *planner) add(kind byte, raw []byte) error {
	body := raw[headerBytes:]
	switch kind {
	case typeQuery:
		p.forward(raw, expectQuery)
	case typeParse:
		message := pgproto3.Parse{}
		if err := message.Decode(body); err != nil {
			return errors.Wrap(err, "decode Parse")
		}
		p.parse(message.Name)
	case typeBind:
		message := pgproto3.Bind{}
		if err := message.Decode(body); err != nil {
			return errors.Wrap(err, "decode Bind")
		}
		p.ensurePrepared(message.PreparedStatement)
		p.forward(raw, expectBind)
	case typeDescribe:
		message := pgproto3.Describe{}
		if err := message.Decode(body); err != nil {
			return errors.Wrap(err, "decode Describe")
		}
		if message.ObjectType == 'S' {
			p.ensurePrepared(message.Name)
		}
		p.forward(raw, expectDescribe)
	case typeExecute:
		p.forward(raw, expectExecute)
	case typeClose:
		p.close(raw, body)
	case typeSync:
		p.forward(raw, expectSync)
	case typeFlush:
		p.plan.out = append(p.plan.out, raw...)
	default:
		return errors.Errorf("message type %q cannot be part of a batch", kind)
	}
	return nil
}

func (p *planner) forward(raw []byte, expected expectation) {
	p.plan.out = append(p.plan.out, raw...)
	p.plan.expected = append(p.plan.expected, expected)
}

func (p *planner) isPrepared(name string) bool {
	_, before := p.prepared[name]
	_, now := p.planned[name]
	return before || now
}

// parse prepares a statement unless it is already prepared on the connection.
func (p *planner) parse(name string) {
	if p.isPrepared(name) {
		p.plan.expected = append(p.plan.expected, localParseComplete)
		return
	}
	p.prepare(name, expectParse)
}

// ensurePrepared prepares a statement that an earlier batch prepared on another connection.
func (p *planner) ensurePrepared(name string) {
	if !p.isPrepared(name) {
		p.prepare(name, expectSilentParse)
	}
}

func (p *planner) prepare(name string, expected expectation) {
	statement, defined := p.statements[name]
	if !defined {
		return // the server will answer that the statement does not exist
	}
	message := pgproto3.Parse{Name: name, Query: statement.Query, ParameterOIDs: statement.OIDs}
	encoded, err := message.Encode(nil)
	if err != nil {
		return
	}
	p.planned[name] = struct{}{}
	p.plan.parses = append(p.plan.parses, name)
	p.forward(encoded, expected)
}

// close forwards the closing of portals. Statements stay prepared on the connection, because
// other callers use them.
func (p *planner) close(raw, body []byte) {
	if len(body) > 0 && body[0] == 'S' {
		p.plan.expected = append(p.plan.expected, localCloseComplete)
		return
	}
	p.forward(raw, expectClose)
}
