package database

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"regexp"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	"dewknot/internal/postgres/statement"
)

// extended handles one message of the extended query protocol.
func (c *session) extended(message pgproto3.FrontendMessage) *sqlError {
	switch request := message.(type) {
	case *pgproto3.Parse:
		oids := append([]uint32(nil), request.ParameterOIDs...)
		c.statements[request.Name] = prepared{sql: request.Query, oids: oids}
		c.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		return c.bind(request)
	case *pgproto3.Describe:
		return c.describe(request)
	case *pgproto3.Execute:
		return c.executePortal(request)
	case *pgproto3.Close:
		if request.ObjectType == 'S' {
			delete(c.statements, request.Name)
		} else {
			delete(c.portals, request.Name)
		}
		c.send(&pgproto3.CloseComplete{})
	default:
		return &sqlError{"0A000", fmt.Sprintf("the stand-in does not know message %T", message)}
	}
	return nil
}

func (c *session) bind(request *pgproto3.Bind) *sqlError {
	found, ok := c.statements[request.PreparedStatement]
	if !ok {
		return &sqlError{codeUndefinedStmt, fmt.Sprintf("prepared statement %q does not exist", request.PreparedStatement)}
	}
	args := make([]any, len(request.Parameters))
	for index, raw := range request.Parameters {
		oid := uint32(0)
		if index < len(found.oids) {
			oid = found.oids[index]
		}
		args[index] = decodeParameter(raw, formatAt(request.ParameterFormatCodes, index), oid)
	}
	formats := append([]int16(nil), request.ResultFormatCodes...)
	c.portals[request.DestinationPortal] = &portal{statement: found, args: args, formats: formats}
	c.send(&pgproto3.BindComplete{})
	return nil
}

// formatAt returns the format code of a value. No code means text, a single code applies to all
// values.
func formatAt(codes []int16, index int) int16 {
	switch {
	case len(codes) == 0:
		return pgproto3.TextFormat
	case len(codes) == 1:
		return codes[0]
	default:
		return codes[index]
	}
}

func decodeParameter(raw []byte, format int16, oid uint32) any {
	switch {
	case raw == nil:
		return nil
	case format == pgproto3.BinaryFormat && oid == oidText:
		return string(raw)
	case format == pgproto3.BinaryFormat && oid == oidFloat:
		return math.Float64frombits(binary.BigEndian.Uint64(raw))
	case format == pgproto3.BinaryFormat && len(raw) == 8:
		return int64(binary.BigEndian.Uint64(raw))
	case format == pgproto3.BinaryFormat && len(raw) == 4:
		return int64(int32(binary.BigEndian.Uint32(raw)))
	case format == pgproto3.BinaryFormat:
		return append([]byte(nil), raw...)
	}
	text := string(raw)
	if number, err := strconv.ParseInt(text, 10, 64); err == nil && strconv.FormatInt(number, 10) == text {
		return number
	}
	return text
}

func (c *session) describe(request *pgproto3.Describe) *sqlError {
	if request.ObjectType == 'P' {
		found, ok := c.portals[request.Name]
		if !ok {
			return &sqlError{"34000", fmt.Sprintf("portal %q does not exist", request.Name)}
		}
		return c.describeRows(found.statement.sql, found.formats)
	}
	found, ok := c.statements[request.Name]
	if !ok {
		return &sqlError{codeUndefinedStmt, fmt.Sprintf("prepared statement %q does not exist", request.Name)}
	}
	oids := make([]uint32, parameterCount(found.sql))
	copy(oids, found.oids)
	c.send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	return c.describeRows(found.sql, nil)
}

func (c *session) describeRows(text string, formats []int16) *sqlError {
	columns, err := c.columns(text)
	if err != nil {
		return err
	}
	if len(columns) == 0 {
		c.send(&pgproto3.NoData{})
		return nil
	}
	c.send(rowDescription(columns, formats))
	return nil
}

// returningPattern matches the table and the RETURNING list of a write.
var returningPattern = regexp.MustCompile(`(?is)^\s*(?:INSERT\s+INTO|UPDATE|DELETE\s+FROM)\s+(\w+).*\bRETURNING\s+(.*)$`)

// columns returns the columns of a statement without running it. It queries a read, or the
// RETURNING list of a write, with LIMIT 0.
func (c *session) columns(text string) ([]column, *sqlError) {
	if text == StatusQuery {
		return c.groupStatus().Columns, nil
	}
	probe := ""
	if found := returningPattern.FindStringSubmatch(stripComments(text)); found != nil {
		probe = fmt.Sprintf("SELECT %s FROM %s LIMIT 0", found[2], found[1])
	} else if info := statement.Classify(text); info.ReadOnly && info.Control == statement.NoControl && !info.Empty {
		probe = fmt.Sprintf("SELECT * FROM (%s) LIMIT 0", convertParameters(text))
	}
	if probe == "" {
		return nil, nil
	}
	c.server.engine.mu.RLock()
	defer c.server.engine.mu.RUnlock()
	conn, failure := c.engineConn()
	if failure != nil {
		return nil, failure
	}
	result, err := query(context.Background(), conn, probe, make([]any, parameterCount(text)))
	if err != nil {
		return nil, toSQLError(context.Background(), err)
	}
	return result.Columns, nil
}

func (c *session) executePortal(request *pgproto3.Execute) *sqlError {
	found, ok := c.portals[request.Portal]
	if !ok {
		return &sqlError{"34000", fmt.Sprintf("portal %q does not exist", request.Portal)}
	}
	if statement.Classify(found.statement.sql).Empty {
		c.send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if found.pending == nil {
		result, tag, err := c.run(found.statement.sql, found.args)
		if err != nil {
			return err
		}
		found.pending, found.tag = result, tag
	}
	rows := found.pending.Rows
	if limit := int(request.MaxRows); limit > 0 && len(rows) > limit {
		c.sendRows(&resultSet{Columns: found.pending.Columns, Rows: rows[:limit]}, found.formats)
		found.pending.Rows = rows[limit:]
		c.send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.sendRows(found.pending, found.formats)
	c.send(&pgproto3.CommandComplete{CommandTag: []byte(found.tag)})
	return nil
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for index, current := range columns {
		size := int16(-1)
		if current.OID == oidInt8 || current.OID == oidFloat {
			size = 8
		}
		fields[index] = pgproto3.FieldDescription{
			Name: []byte(current.Name), DataTypeOID: current.OID, DataTypeSize: size, TypeModifier: -1, Format: formatAt(formats, index),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}

func (c *session) sendRows(result *resultSet, formats []int16) {
	for _, row := range result.Rows {
		values := make([][]byte, len(row))
		for index, value := range row {
			values[index] = encodeValue(value, formatAt(formats, index), result.Columns[index].OID)
		}
		c.send(&pgproto3.DataRow{Values: values})
	}
}

func encodeValue(value any, format int16, oid uint32) []byte {
	if value == nil {
		return nil
	}
	if format == pgproto3.BinaryFormat {
		if encoded, ok := encodeBinary(value, oid); ok {
			return encoded
		}
	}
	switch typed := value.(type) {
	case []byte:
		return typed
	case string:
		return []byte(typed)
	default:
		return []byte(fmt.Sprint(typed))
	}
}

func encodeBinary(value any, oid uint32) ([]byte, bool) {
	switch typed := value.(type) {
	case int64:
		if oid == oidInt8 {
			return binary.BigEndian.AppendUint64(nil, uint64(typed)), true
		}
	case float64:
		if oid == oidFloat {
			return binary.BigEndian.AppendUint64(nil, math.Float64bits(typed)), true
		}
	case bool:
		if typed {
			return []byte{1}, true
		}
		return []byte{0}, true
	}
	return nil, false
}
