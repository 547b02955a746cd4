// Package trace records the events and effects of a state machine and replays such
// recordings: the same events must give the same effects, byte for byte.
//
// A trace is a file of JSON lines: a header with the kind of the machine and its settings,
// followed by one line per step with its time, event and effects.
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

// version is the version of the file format.
const version = 1

// header is the first line of a trace.
type header struct {
	Version int `json:"version"`
	// Machine is the kind of the machine; empty means a group's machine.
	Machine  string          `json:"machine,omitempty"`
	Settings json.RawMessage `json:"settings"`
}

// encodedItem is an encoded event or effect with the name of its Go type.
type encodedItem struct {
	Type string          `json:"type"`
	Data json.RawMessage `json:"data"`
}

// step is one line of a trace.
type step struct {
	At      time.Duration `json:"at"`
	Event   encodedItem   `json:"event"`
	Effects []encodedItem `json:"effects"`
}

// stepper is a state machine with events of type E and effects of type F.
type stepper[E, F any] interface {
	Step(at time.Duration, event E) []F
}

// kind describes a kind of machine with settings of type S.
type kind[S, E, F any] struct {
	name string
	// events holds the types of events by name.
	events     map[string]reflect.Type
	newMachine func(settings S) stepper[E, F]
	// record adds the effects of a replayed step to the result.
	record func(result *Result, effects []F)
}

func typesByName[E any](events ...E) map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, event := range events {
		types[typeName(event)] = reflect.TypeOf(event)
	}
	return types
}

func typeName(value any) string { return reflect.TypeOf(value).Name() }

func encodeItem(value any) (encodedItem, error) {
	data, err := json.Marshal(value)
	return encodedItem{Type: typeName(value), Data: data}, errors.Wrap(err, "encode trace")
}

func encodeItems[F any](effects []F) ([]encodedItem, error) {
	items := make([]encodedItem, 0, len(effects))
	for _, effect := range effects {
		encoded, err := encodeItem(effect)
		if err != nil {
			return nil, err
		}
		items = append(items, encoded)
	}
	return items, nil
}

// Writer records a machine with events of type E and effects of type F. The first error ends
// the recording, and Close returns it.
type Writer[E, F any] struct {
	out *bufio.Writer
	err error
}

// newWriter returns a Writer and writes the header.
func newWriter[E, F, S any](out io.Writer, machine string, settings S) *Writer[E, F] {
	writer := &Writer[E, F]{out: bufio.NewWriter(out)}
	encoded, err := json.Marshal(settings)
	writer.err = errors.Wrap(err, "encode trace")
	writer.writeLine(header{Version: version, Machine: machine, Settings: encoded})
	return writer
}

func (w *Writer[E, F]) writeLine(value any) {
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
	encodedEvent, err := encodeItem(event)
	if err != nil {
		w.err = err
		return
	}
	encodedEffects, err := encodeItems(effects)
	if err != nil {
		w.err = err
		return
	}
	w.writeLine(step{At: at, Event: encodedEvent, Effects: encodedEffects})
}

// Close flushes the trace and returns the first error.
func (w *Writer[E, F]) Close() error {
	if w.err != nil {
		return w.err
	}
	return errors.Wrap(w.out.Flush(), "write trace")
}

// Outcome is the outcome of a request in a trace.
type Outcome struct {
	Request string
	Kind    failure.Kind
	// Server is the index of the server that ran the request, -1 if none did.
	Server int
}

// Result is the result of a replay.
type Result struct {
	Steps int
	// Outcomes holds the outcomes of requests, if the trace is of a group's machine.
	Outcomes []Outcome
	// Orders holds the orders that were given, if the trace is of a failover machine.
	Orders []failover.Order
	// Difference describes the first step whose effects differ; empty if there is none.
	Difference string
}

// maxLine is the maximum length of a line of a trace in bytes.
const maxLine = 16 << 20

// Replay runs the events of a trace through a new machine and compares the effects with the
// recorded ones.
func Replay(in io.Reader) (*Result, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	first := header{}
	if !lines.Scan() {
		return nil, errors.New("the trace is empty; record one with 'dewknot sim --trace'")
	}
	if err := decodeStrict(lines.Bytes(), &first); err != nil || first.Version != version {
		return nil, errors.Errorf("the trace does not begin with a header of version %d; record it again", version)
	}
	switch first.Machine {
	case "":
		return replay(groupKind, first.Settings, lines)
	case failoverKind.name:
		return replay(failoverKind, first.Settings, lines)
	default:
		return nil, errors.Errorf("unknown kind of machine %q; use the program that recorded it", first.Machine)
	}
}

func replay[S, E, F any](machineKind kind[S, E, F], settings json.RawMessage, lines *bufio.Scanner) (*Result, error) {
	var decoded S
	if err := decodeStrict(settings, &decoded); err != nil {
		return nil, errors.Wrap(err, "decode settings of the trace; record it again")
	}
	machine := machineKind.newMachine(decoded)
	result := &Result{}
	for lines.Scan() {
		result.Steps++
		if err := replayLine(machineKind, machine, lines.Bytes(), result); err != nil {
			return nil, errors.Wrapf(err, "line %d", result.Steps+1)
		}
	}
	return result, errors.Wrap(lines.Err(), "read trace")
}

// decodeStrict decodes JSON and rejects unknown fields.
func decodeStrict(line []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

func replayLine[S, E, F any](machineKind kind[S, E, F], machine stepper[E, F], line []byte, result *Result) error {
	recorded := step{}
	if err := decodeStrict(line, &recorded); err != nil {
		return errors.Wrap(err, "decode step")
	}
	event, err := decodeEvent[E](machineKind.events, recorded.Event)
	if err != nil {
		return err
	}
	effects := machine.Step(recorded.At, event)
	items, err := encodeItems(effects)
	if err != nil {
		return err
	}
	machineKind.record(result, effects)
	if result.Difference == "" {
		result.Difference = difference(result.Steps, recorded.Effects, items)
	}
	return nil
}

func decodeEvent[E any](events map[string]reflect.Type, encoded encodedItem) (E, error) {
	var none E
	eventType, found := events[encoded.Type]
	if !found {
		return none, errors.Errorf("unknown event %q", encoded.Type)
	}
	value := reflect.New(eventType)
	if err := decodeStrict(encoded.Data, value.Interface()); err != nil {
		return none, errors.Wrapf(err, "event %s", encoded.Type)
	}
	event, ok := value.Elem().Interface().(E)
	if !ok {
		return none, errors.Errorf("%q is not an event of this kind of machine", encoded.Type)
	}
	return event, nil
}

// difference describes the first difference between recorded and replayed effects; empty if
// there is none.
func difference(number int, want, got []encodedItem) string {
	if len(want) != len(got) {
		return fmt.Sprintf("step %d: %d effects recorded, %d replayed", number, len(want), len(got))
	}
	for index := range want {
		if want[index].Type != got[index].Type || !bytes.Equal(want[index].Data, got[index].Data) {
			return fmt.Sprintf("step %d, effect %d: recorded %s %s, replayed %s %s",
				number, index+1, want[index].Type, want[index].Data, got[index].Type, got[index].Data)
		}
	}
	return ""
}
