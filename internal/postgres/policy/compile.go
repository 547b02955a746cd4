package policy

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Limits on a policy program.
const (
	// MaxSourceBytes bounds the program text.
	MaxSourceBytes = 64 << 10
	maxSteps       = 200_000
	maxKinds       = 1000
	maxShares      = 1000
	// maxWait bounds every duration in a policy.
	maxWait = time.Hour
)

// Error is a fault in a policy program, with its place.
type Error struct {
	File    string
	Line    int32
	Column  int32
	Message string
	Remedy  string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; remedy: %s", e.File, e.Line, e.Column, e.Message, e.Remedy)
}

// Remedies for whole classes of faults.
const (
	remedySyntax  = "correct the Starlark syntax at this place"
	remedyName    = "use the vocabulary of docs/POLICIES.md: service, default, kind, share, current, session, lag, any"
	remedySteps   = "shorten the program: it runs once and only states rules"
	remedyShape   = "write values out, and use only calls, lists, comprehensions and conditions"
	remedyGeneral = "see docs/POLICIES.md"
)

// builder collects what the program states.
type builder struct {
	table      Table
	hasDefault bool
}

// freshnessValue is the value of current(), session(), lag("...") and any().
type freshnessValue struct {
	freshness Freshness
	lag       time.Duration
}

// The methods that make freshnessValue a Starlark value.
func (f freshnessValue) String() string        { return f.freshness.String() + "()" }
func (f freshnessValue) Type() string          { return "freshness" }
func (f freshnessValue) Freeze()               {}
func (f freshnessValue) Truth() starlark.Bool  { return true }
func (f freshnessValue) Hash() (uint32, error) { return uint32(f.freshness), nil }

// Compile runs a policy program and returns its table. The error is an *Error.
func Compile(file string, source []byte) (*Table, error) {
	if len(source) > MaxSourceBytes {
		return nil, &Error{File: file, Line: 1, Column: 1, Message: fmt.Sprintf("the program has %d bytes", len(source)), Remedy: fmt.Sprintf("keep it to %d bytes", MaxSourceBytes)}
	}
	if err := checkShape(file, source); err != nil {
		return nil, err
	}
	build := &builder{table: Table{Default: DefaultRule(), Kinds: map[string]Rule{}, Shares: map[string]int{}}}
	thread := &starlark.Thread{Name: file, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	options := &syntax.FileOptions{}
	if _, err := starlark.ExecFileOptions(options, thread, file, source, build.vocabulary()); err != nil {
		return nil, locate(file, err)
	}
	if build.table.Service == "" {
		return nil, &Error{File: file, Line: 1, Column: 1, Message: "the policy names no service", Remedy: `begin with service("name")`}
	}
	return &build.table, nil
}

// checkShape refuses syntax beyond what stating rules needs. With functions,
// arithmetic, attributes and dictionaries left out, no single step of a program
// can allocate or compute without limit, so that the step limit bounds them all.
func checkShape(file string, source []byte) error {
	options := &syntax.FileOptions{}
	parsed, err := options.Parse(file, source, 0)
	if err != nil {
		return locate(file, err)
	}
	var found *Error
	syntax.Walk(parsed, func(node syntax.Node) bool {
		if node == nil || found != nil {
			return false
		}
		if !allowedNode(node) {
			start, _ := node.Span()
			found = &Error{File: file, Line: start.Line, Column: start.Col, Message: "this form of Starlark is not allowed in a policy", Remedy: remedyShape}
		}
		return found == nil
	})
	if found != nil {
		return found
	}
	return nil
}

// allowedNames are the predeclared names of Starlark that a policy may use.
var allowedNames = map[string]bool{"True": true, "False": true, "None": true, "range": true}

func allowedNode(node syntax.Node) bool {
	switch typed := node.(type) {
	case *syntax.File, *syntax.ExprStmt, *syntax.CallExpr, *syntax.Literal, *syntax.ListExpr, *syntax.TupleExpr,
		*syntax.Comprehension, *syntax.ForClause, *syntax.IfClause, *syntax.ParenExpr, *syntax.CondExpr:
		return true
	case *syntax.Ident:
		_, universal := starlark.Universe[typed.Name]
		return !universal || allowedNames[typed.Name] || typed.Name == "any"
	case *syntax.AssignStmt:
		return typed.Op == syntax.EQ
	case *syntax.BinaryExpr:
		return allowedOperators[typed.Op]
	case *syntax.UnaryExpr:
		return typed.Op == syntax.NOT || typed.Op == syntax.MINUS
	default:
		return false
	}
}

// allowedOperators are the binary operators of conditions; EQ is the sign in name=value.
var allowedOperators = map[syntax.Token]bool{
	syntax.EQ: true, syntax.EQL: true, syntax.NEQ: true, syntax.LT: true, syntax.GT: true,
	syntax.LE: true, syntax.GE: true, syntax.AND: true, syntax.OR: true, syntax.IN: true,
}

// locate turns an error of the Starlark library into an *Error with its place.
func locate(file string, err error) error {
	var syntaxError syntax.Error
	if errors.As(err, &syntaxError) {
		return &Error{File: file, Line: syntaxError.Pos.Line, Column: syntaxError.Pos.Col, Message: syntaxError.Msg, Remedy: remedySyntax}
	}
	var resolveErrors resolve.ErrorList
	if errors.As(err, &resolveErrors) {
		first := resolveErrors[0]
		return &Error{File: file, Line: first.Pos.Line, Column: first.Pos.Col, Message: first.Msg, Remedy: remedyName}
	}
	var evalError *starlark.EvalError
	if errors.As(err, &evalError) {
		return locateEval(file, evalError)
	}
	return &Error{File: file, Line: 1, Column: 1, Message: err.Error(), Remedy: remedyGeneral}
}

func locateEval(file string, evalError *starlark.EvalError) error {
	located := &Error{File: file, Line: 1, Column: 1, Message: evalError.Msg, Remedy: remedyGeneral}
	for _, frame := range evalError.CallStack {
		if frame.Pos.Line > 0 {
			located.Line, located.Column = frame.Pos.Line, frame.Pos.Col
		}
	}
	var remedy *remedyError
	if errors.As(evalError, &remedy) {
		located.Remedy = remedy.remedy
	}
	if evalError.Msg == "Starlark computation cancelled: too many steps" {
		located.Remedy = remedySteps
	}
	return located
}

// remedyError is a fault found by the vocabulary itself.
type remedyError struct{ message, remedy string }

// Error implements the error interface.
func (e *remedyError) Error() string { return e.message }

func (b *builder) vocabulary() starlark.StringDict {
	dictionary := starlark.StringDict{
		"current": starlark.NewBuiltin("current", simpleFreshness(Current)),
		"session": starlark.NewBuiltin("session", simpleFreshness(Session)),
		"any":     starlark.NewBuiltin("any", simpleFreshness(Any)),
		"lag":     starlark.NewBuiltin("lag", lag),
		"service": starlark.NewBuiltin("service", b.service),
		"default": starlark.NewBuiltin("default", b.defaultRule),
		"kind":    starlark.NewBuiltin("kind", b.kind),
		"share":   starlark.NewBuiltin("share", b.share),
	}
	return dictionary
}

type builtinFunction = func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error)

func simpleFreshness(freshness Freshness) builtinFunction {
	return func(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		return freshnessValue{freshness: freshness}, starlark.UnpackArgs(fn.Name(), args, kwargs)
	}
}

func lag(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var text string
	if err := starlark.UnpackArgs(fn.Name(), args, kwargs, "bound", &text); err != nil {
		return nil, err
	}
	bound, err := duration("lag", text)
	if err != nil {
		return nil, err
	}
	if bound <= 0 {
		return nil, &remedyError{"lag needs a bound above zero", `use current() for no lag, or lag("2s")`}
	}
	return freshnessValue{freshness: Bounded, lag: bound}, nil
}

func duration(name, text string) (time.Duration, error) {
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 || value > maxWait {
		return 0, &remedyError{fmt.Sprintf("%s: %q is not a duration from 0 to %s", name, text, maxWait), `write it as "250ms" or "2s"`}
	}
	return value, nil
}

func (b *builder) service(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var name string
	if err := starlark.UnpackArgs(fn.Name(), args, kwargs, "name", &name); err != nil {
		return nil, err
	}
	if name == "" || b.table.Service != "" {
		return nil, &remedyError{"a policy names exactly one service", "keep one service() call with a name"}
	}
	b.table.Service = name
	return starlark.None, nil
}

func (b *builder) defaultRule(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if b.hasDefault || len(b.table.Kinds) > 0 {
		return nil, &remedyError{"default() must come once and before every kind()", "move it to the top"}
	}
	rule, err := unpackRule(fn.Name(), args, kwargs, DefaultRule())
	if err != nil {
		return nil, err
	}
	b.hasDefault = true
	b.table.Default = rule
	return starlark.None, nil
}

func (b *builder) kind(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if len(args) != 1 {
		return nil, &remedyError{"kind() needs the name of the kind first", `write kind("seat_booking", ...)`}
	}
	name, ok := starlark.AsString(args[0])
	if !ok || name == "" {
		return nil, &remedyError{"kind() needs the name of the kind first", `write kind("seat_booking", ...)`}
	}
	if _, twice := b.table.Kinds[name]; twice {
		return nil, &remedyError{fmt.Sprintf("kind %q is stated twice", name), "keep one of the two"}
	}
	if len(b.table.Kinds) >= maxKinds {
		return nil, &remedyError{"too many kinds", fmt.Sprintf("keep to %d", maxKinds)}
	}
	rule, err := unpackRule(fn.Name(), nil, kwargs, b.table.Default)
	if err != nil {
		return nil, err
	}
	b.table.Kinds[name] = rule
	return starlark.None, nil
}

func (b *builder) share(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var name string
	var weight int
	if err := starlark.UnpackArgs(fn.Name(), args, kwargs, "caller", &name, "weight", &weight); err != nil {
		return nil, err
	}
	if weight < 1 || weight > 1000 || len(b.table.Shares) >= maxShares {
		return nil, &remedyError{fmt.Sprintf("share(%q) has weight %d", name, weight), "use whole weights from 1 to 1000, for at most 1000 callers"}
	}
	b.table.Shares[name] = weight
	return starlark.None, nil
}

// unpackRule reads the rule arguments; what is not named keeps the base's value.
func unpackRule(name string, args starlark.Tuple, kwargs []starlark.Tuple, base Rule) (Rule, error) {
	var read starlark.Value
	var wait, replicaWait, retryAfter string
	rule := base
	err := starlark.UnpackArgs(
		name, args, kwargs, "read?", &read, "wait?", &wait, "replica_wait?", &replicaWait,
		"refuse?", &rule.Refuse, "retry_after?", &retryAfter, "repeatable?", &rule.Repeatable, "write?", &rule.Write,
	)
	if err != nil {
		return rule, err
	}
	if read != nil {
		fresh, ok := read.(freshnessValue)
		if !ok {
			return rule, &remedyError{fmt.Sprintf("read: a %s is not a freshness", read.Type()), `use current(), session(), lag("2s") or any()`}
		}
		rule.Freshness, rule.MaxLag = fresh.freshness, fresh.lag
	}
	durations := []struct {
		name   string
		text   string
		target *time.Duration
	}{{"wait", wait, &rule.Wait}, {"replica_wait", replicaWait, &rule.ReplicaWait}, {"retry_after", retryAfter, &rule.RetryAfter}}
	for _, current := range durations {
		if current.text == "" {
			continue
		}
		value, err := duration(current.name, current.text)
		if err != nil {
			return rule, err
		}
		*current.target = value
	}
	if rule.Refuse && rule.RetryAfter == 0 {
		return rule, &remedyError{"a refused kind tells callers no time to come back", `add retry_after="10m"`}
	}
	return rule, nil
}
