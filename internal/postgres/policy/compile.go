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
	// MaxSourceBytes is the maximum size of a program.
	MaxSourceBytes = 64 << 10
	maxSteps       = 200_000
	maxKinds       = 1000
	maxShares      = 1000
	// maxDuration is the maximum of every duration in a policy.
	maxDuration = time.Hour
)

// Error is an error in a policy program, with its position and a remedy.
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

// Remedies for classes of errors.
const (
	remedySyntax    = "correct the Starlark syntax at this place"
	remedyName      = "use the vocabulary of docs/POLICIES.md: service, default, kind, share, current, session, lag, any"
	remedySteps     = "shorten the program: it runs once and only defines rules"
	remedyForbidden = "write values out, and use only calls, lists, comprehensions and conditions"
	remedyOther     = "see docs/POLICIES.md"
)

// builder collects the rules of a program while it runs.
type builder struct {
	table      Table
	hasDefault bool
}

// freshnessValue is the Starlark value that current(), session(), lag("...") and any()
// return.
type freshnessValue struct {
	freshness Freshness
	lag       time.Duration
}

// Methods of starlark.Value.
func (f freshnessValue) String() string        { return f.freshness.String() + "()" }
func (f freshnessValue) Type() string          { return "freshness" }
func (f freshnessValue) Freeze()               {}
func (f freshnessValue) Truth() starlark.Bool  { return true }
func (f freshnessValue) Hash() (uint32, error) { return uint32(f.freshness), nil }

// Compile runs a policy program and returns its table of rules. The error is an *Error.
func Compile(file string, source []byte) (*Table, error) {
	if len(source) > MaxSourceBytes {
		return nil, &Error{File: file, Line: 1, Column: 1, Message: fmt.Sprintf("the program has %d bytes", len(source)), Remedy: fmt.Sprintf("keep it to %d bytes", MaxSourceBytes)}
	}
	if err := checkSyntax(file, source); err != nil {
		return nil, err
	}
	b := &builder{table: Table{Default: DefaultRule(), Kinds: map[string]Rule{}, Shares: map[string]int{}}}
	thread := &starlark.Thread{Name: file, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	options := &syntax.FileOptions{}
	if _, err := starlark.ExecFileOptions(options, thread, file, source, b.builtins()); err != nil {
		return nil, toError(file, err)
	}
	if b.table.Service == "" {
		return nil, &Error{File: file, Line: 1, Column: 1, Message: "the policy names no service", Remedy: `begin with service("name")`}
	}
	return &b.table, nil
}

// checkSyntax rejects syntax that isn't needed to define rules. Without functions,
// arithmetic, attributes and dictionaries, no single step can allocate memory or compute
// without bound, so that the step limit bounds the whole program.
func checkSyntax(file string, source []byte) error {
	options := &syntax.FileOptions{}
	parsed, err := options.Parse(file, source, 0)
	if err != nil {
		return toError(file, err)
	}
	var violation *Error
	syntax.Walk(parsed, func(node syntax.Node) bool {
		if node == nil || violation != nil {
			return false
		}
		if !allowedNode(node) {
			start, _ := node.Span()
			violation = &Error{File: file, Line: start.Line, Column: start.Col, Message: "this Starlark syntax is not allowed in a policy", Remedy: remedyForbidden}
		}
		return violation == nil
	})
	if violation != nil {
		return violation
	}
	return nil
}

// allowedNames are the predeclared Starlark names that a policy may use. The name "any" is
// allowed too, because builtins defines it as a freshness function.
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

// allowedOperators are the binary operators that conditions may use. The parser represents
// a keyword argument as a binary expression with EQ.
var allowedOperators = map[syntax.Token]bool{
	syntax.EQ: true, syntax.EQL: true, syntax.NEQ: true, syntax.LT: true, syntax.GT: true,
	syntax.LE: true, syntax.GE: true, syntax.AND: true, syntax.OR: true, syntax.IN: true,
}

// toError converts an error of the Starlark library to an *Error with its position.
func toError(file string, err error) error {
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
		return evalToError(file, evalError)
	}
	return &Error{File: file, Line: 1, Column: 1, Message: err.Error(), Remedy: remedyOther}
}

func evalToError(file string, evalError *starlark.EvalError) error {
	result := &Error{File: file, Line: 1, Column: 1, Message: evalError.Msg, Remedy: remedyOther}
	for _, frame := range evalError.CallStack {
		if frame.Pos.Line > 0 {
			result.Line, result.Column = frame.Pos.Line, frame.Pos.Col
		}
	}
	var argumentErr *argumentError
	if errors.As(evalError, &argumentErr) {
		result.Remedy = argumentErr.remedy
	}
	if evalError.Msg == "Starlark computation cancelled: too many steps" {
		result.Remedy = remedySteps
	}
	return result
}

// argumentError is an error that the builtin functions find in their arguments.
type argumentError struct{ message, remedy string }

// Error implements the error interface.
func (e *argumentError) Error() string { return e.message }

func (b *builder) builtins() starlark.StringDict {
	functions := starlark.StringDict{
		"current": starlark.NewBuiltin("current", freshnessFunction(Current)),
		"session": starlark.NewBuiltin("session", freshnessFunction(Session)),
		"any":     starlark.NewBuiltin("any", freshnessFunction(Any)),
		"lag":     starlark.NewBuiltin("lag", lag),
		"service": starlark.NewBuiltin("service", b.service),
		"default": starlark.NewBuiltin("default", b.defaultRule),
		"kind":    starlark.NewBuiltin("kind", b.kind),
		"share":   starlark.NewBuiltin("share", b.share),
	}
	return functions
}

type builtinFunction = func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error)

func freshnessFunction(freshness Freshness) builtinFunction {
	return func(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		return freshnessValue{freshness: freshness}, starlark.UnpackArgs(fn.Name(), args, kwargs)
	}
}

func lag(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var text string
	if err := starlark.UnpackArgs(fn.Name(), args, kwargs, "bound", &text); err != nil {
		return nil, err
	}
	bound, err := parseDuration("lag", text)
	if err != nil {
		return nil, err
	}
	if bound <= 0 {
		return nil, &argumentError{"lag needs a bound above zero", `use current() for no lag, or lag("2s")`}
	}
	return freshnessValue{freshness: Bounded, lag: bound}, nil
}

func parseDuration(name, text string) (time.Duration, error) {
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 || value > maxDuration {
		return 0, &argumentError{fmt.Sprintf("%s: %q is not a duration from 0 to %s", name, text, maxDuration), `write it as "250ms" or "2s"`}
	}
	return value, nil
}

func (b *builder) service(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	var name string
	if err := starlark.UnpackArgs(fn.Name(), args, kwargs, "name", &name); err != nil {
		return nil, err
	}
	if name == "" || b.table.Service != "" {
		return nil, &argumentError{"a policy names exactly one service", "keep one service() call with a name"}
	}
	b.table.Service = name
	return starlark.None, nil
}

func (b *builder) defaultRule(_ *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	if b.hasDefault || len(b.table.Kinds) > 0 {
		return nil, &argumentError{"default() must come once and before every kind()", "move it to the top"}
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
		return nil, &argumentError{"kind() needs the name of the kind first", `write kind("seat_booking", ...)`}
	}
	name, ok := starlark.AsString(args[0])
	if !ok || name == "" {
		return nil, &argumentError{"kind() needs the name of the kind first", `write kind("seat_booking", ...)`}
	}
	if _, duplicate := b.table.Kinds[name]; duplicate {
		return nil, &argumentError{fmt.Sprintf("kind %q is defined twice", name), "keep one of the two"}
	}
	if len(b.table.Kinds) >= maxKinds {
		return nil, &argumentError{"too many kinds", fmt.Sprintf("keep to %d", maxKinds)}
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
		return nil, &argumentError{fmt.Sprintf("share(%q) has weight %d", name, weight), "use whole weights from 1 to 1000, for at most 1000 callers"}
	}
	b.table.Shares[name] = weight
	return starlark.None, nil
}

// unpackRule returns base with the values of the given rule arguments.
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
		level, ok := read.(freshnessValue)
		if !ok {
			return rule, &argumentError{fmt.Sprintf("read: a %s is not a freshness", read.Type()), `use current(), session(), lag("2s") or any()`}
		}
		rule.Freshness, rule.MaxLag = level.freshness, level.lag
	}
	durations := []struct {
		name   string
		text   string
		target *time.Duration
	}{{"wait", wait, &rule.Wait}, {"replica_wait", replicaWait, &rule.ReplicaWait}, {"retry_after", retryAfter, &rule.RetryAfter}}
	for _, argument := range durations {
		if argument.text == "" {
			continue
		}
		value, err := parseDuration(argument.name, argument.text)
		if err != nil {
			return rule, err
		}
		*argument.target = value
	}
	if rule.Refuse && rule.RetryAfter == 0 {
		return rule, &argumentError{"refuse = True requires retry_after", `add retry_after="10m"`}
	}
	return rule, nil
}
