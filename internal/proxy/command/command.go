// Package command is the protocol-neutral form of what callers ask.
package command

// Kind is the kind of a command.
type Kind uint8

// The kinds of commands.
const (
	// Unknown commands cannot be understood.
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

// String returns the kind's name in logs.
func (k Kind) String() string { return kindNames[k] }

var kindNames = [...]string{
	"unknown", "begin", "begin_read_only", "commit", "rollback", "read", "write",
	"set_value", "prepare", "execute", "deallocate",
}

// Command is one request of a caller.
type Command struct {
	Kind Kind
	// RequestID is the caller's name for the request.
	RequestID string
	// Text is the command as the caller wrote it.
	Text string
	// Name is the session value's or the prepared statement's name.
	Name string
	// Value is the session value, or the arguments of an execution.
	Value string
	// Statement is what a Prepare names.
	Statement PreparedStatement
}

// PreparedStatement is what a prepared name stands for.
type PreparedStatement struct {
	Writes bool
	Shape  string
}

// Statement is a read or write that a server is to run.
type Statement struct {
	RequestID string
	Writes    bool
	// Text is passed on unchanged, unless Prepared is set.
	Text string
	// Prepared is set for the execution of a prepared statement.
	Prepared bool
	// Definition and Arguments belong to an execution.
	Definition PreparedStatement
	Arguments  string
}
