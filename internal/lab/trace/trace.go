// Package trace records what a reducer was told and what it decided, and replays
// recordings: the same events must give the same effects, byte for byte.
//
// A trace is a file of JSON lines: a header with the kind of machine and its settings,
// then a line a step with its time, event and effects.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/failure"
	"dewknot/internal/proxy/failover"
)

// version is the format's version.
const version = 1

// header is the first line of a trace.
type header struct {
	Version int `json:"version"`
	// Machine names the kind of machine; empty stands for a group's.
	Machine  string          `json:"machine,omitempty"`
	Settings json.RawMessage `json:"settings"`
}

// item is an event or effect with the name of its type.
type item struct {
	Type string          `json:"type"`
	Data json.RawMessage `json:"data"`
}

// step is one line of a trace.
type step struct {
	At      time.Duration `json:"at"`
	Event   item          `json:"event"`
	Effects []item        `json:"effects"`
}

// stepper is a reducer of events of type E to effects of type F.
type stepper[E, F any] interface {
	Step(at time.Duration, event E) []F
}

// kind describes the machines of one kind, with settings of type S.
type kind[S, E, F any] struct {
	name string
	// events lists the events by name.
	events map[string]reflect.Type
	start  func(settings S) stepper[E, F]
	// note takes the effects of a step that was replayed.
	note func(result *Result, effects []F)
}

func typesOf[E any](events ...E) map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, event := range events {
		types[nameOf(event)] = reflect.TypeOf(event)
	}
	return types
}

func nameOf(value any) string { return reflect.TypeOf(value).Name() }

func itemOf(value any) (item, error) {
	data, err := json.Marshal(value)
	return item{Type: nameOf(value), Data: data}, errors.Wrap(err, "encode trace")
}

func itemsOf[F any](effects []F) ([]item, error) {
	items := make([]item, 0, len(effects))
	for _, effect := range effects {
		encoded, err := itemOf(effect)
		if err != nil {
			return nil, err
		}
		items = append(items, encoded)
	}
	return items, nil
}

// Writer records a machine whose events are of type E and effects of type F.
type Writer[E, F any] struct {
	out *bufio.Writer
	err error
}

// newWriter begins a trace.
func newWriter[E, F, S any](out io.Writer, machine string, settings S) *Writer[E, F] {
	writer := &Writer[E, F]{out: bufio.NewWriter(out)}
	encoded, err := json.Marshal(settings)
	writer.err = errors.Wrap(err, "encode trace")
	writer.line(header{Version: version, Machine: machine, Settings: encoded})
	return writer
}

func (w *Writer[E, F]) line(value any) {
	if w.err != nil {
		return
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		w.err = errors.Wrap(err, "encode trace")
		return
	}
	_, w.err = w.out.Write(append(encoded, '\n'))
}

// Step records one step.
func (w *Writer[E, F]) Step(at time.Duration, event E, effects []F) {
	encodedEvent, err := itemOf(event)
	if err != nil {
		w.err = err
		return
	}
	encodedEffects, err := itemsOf(effects)
	if err != nil {
		w.err = err
		return
	}
	w.line(step{At: at, Event: encodedEvent, Effects: encodedEffects})
}

// Close writes what is buffered and returns the first error.
func (w *Writer[E, F]) Close() error {
	if w.err != nil {
		return w.err
	}
	return errors.Wrap(w.out.Flush(), "write trace")
}

// Outcome is what became of a request in a trace.
type Outcome struct {
	Request string
	Kind    failure.Kind
	// Server is the one that ran it, -1 if none did.
	Server int
}

// Result is what a replay showed.
type Result struct {
	Steps int
	// Outcomes are those of the requests of a group's machine.
	Outcomes []Outcome
	// Orders are those of a failover machine.
	Orders []failover.Order
	// Difference describes the first step whose effects differ; empty if none.
	Difference string
}

// maxLine bounds a line of a trace.
const maxLine = 16 << 20

// Replay runs a trace through a new machine and compares every effect.
func Replay(in io.Reader) (*Result, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	first := header{}
	if !lines.Scan() {
		return nil, errors.New("the trace is empty; record one with 'dewknot sim --trace'")
	}
	if err := strict(lines.Bytes(), &first); err != nil || first.Version != version {
		return nil, errors.Errorf("the trace's first line is no header of version %d; record it again", version)
	}
	switch first.Machine {
	case "":
		return replay(groups, first.Settings, lines)
	case failovers.name:
		return replay(failovers, first.Settings, lines)
	default:
		return nil, errors.Errorf("the trace is of a machine %q; use the program that recorded it", first.Machine)
	}
}

func replay[S, E, F any](of kind[S, E, F], settings json.RawMessage, lines *bufio.Scanner) (*Result, error) {
	var decoded S
	if err := strict(settings, &decoded); err != nil {
		return nil, errors.Wrap(err, "the trace's settings cannot be read; record it again")
	}
	machine := of.start(decoded)
	result := &Result{}
	for lines.Scan() {
		result.Steps++
		if err := replayLine(of, machine, lines.Bytes(), result); err != nil {
			return nil, errors.Wrapf(err, "line %d", result.Steps+1)
		}
	}
	return result, errors.Wrap(lines.Err(), "read trace")
}

func strict(line []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

func replayLine[S, E, F any](of kind[S, E, F], machine stepper[E, F], line []byte, result *Result) error {
	recorded := step{}
	if err := strict(line, &recorded); err != nil {
		return errors.Wrap(err, "decode step")
	}
	event, err := decodeEvent[E](of.events, recorded.Event)
	if err != nil {
		return err
	}
	effects := machine.Step(recorded.At, event)
	items, err := itemsOf(effects)
	if err != nil {
		return err
	}
	of.note(result, effects)
	if result.Difference == "" {
		result.Difference = difference(result.Steps, recorded.Effects, items)
	}
	return nil
}

func decodeEvent[E any](events map[string]reflect.Type, encoded item) (E, error) {
	var none E
	eventType, known := events[encoded.Type]
	if !known {
		return none, errors.Errorf("unknown event %q", encoded.Type)
	}
	value := reflect.New(eventType)
	if err := strict(encoded.Data, value.Interface()); err != nil {
		return none, errors.Wrapf(err, "event %s", encoded.Type)
	}
	event, ok := value.Elem().Interface().(E)
	if !ok {
		return none, errors.Errorf("%q is no event of this machine", encoded.Type)
	}
	return event, nil
}

func difference(number int, want, got []item) string {
	if len(want) != len(got) {
		return fmt.Sprintf("step %d: %d effects recorded, %d replayed", number, len(want), len(got))
	}
	for index := range want {
		if want[index].Type != got[index].Type || !bytes.Equal(want[index].Data, got[index].Data) {
			return fmt.Sprintf("step %d, effect %d: recorded %s %s, replayed %s %s", number, index+1, want[index].Type, want[index].Data, got[index].Type, got[index].Data)
		}
	}
	return ""
}
