// Package command defines the protocol-neutral form of callers' requests.
package command

// Kind is the kind of a command.
type Kind uint8

// The kinds of commands.
const (
	// Unknown is the kind of a command that cannot be parsed.
	Unknown Kind = iota
	Begin
	BeginReadOnly
	Commit
	Rollback
	Read
	Write
	SetValue
	Prepare
	Execute
	Deallocate
)

// String returns the kind's name for logs.
func (k Kind) String() string { return kindNames[k] }

var kindNames = [...]string{
	"unknown", "begin", "begin_read_only", "commit", "rollback", "read", "write",
	"set_value", "prepare", "execute", "deallocate",
}

// Command is one request of a caller.
type Command struct {
	Kind Kind
	// RequestID is the caller's identifier of the request.
	RequestID string
	// Text is the command as the caller wrote it.
	Text string
	// Name is the name of the session value or of the prepared statement.
	Name string
	// Value is the session value, or the arguments of Execute.
	Value string
	// Statement is the statement that Prepare defines.
	Statement PreparedStatement
}

// PreparedStatement is the definition of a prepared statement.
type PreparedStatement struct {
	Writes bool
	Shape  string
}

// Statement is a read or write to run on a server.
type Statement struct {
	RequestID string
	Writes    bool
	// Text is passed on unchanged, unless Prepared is set.
	Text string
	// Prepared is set for the execution of a prepared statement.
	Prepared bool
	// Definition and Arguments are set for the execution of a prepared statement.
	Definition PreparedStatement
	Arguments  string
}
