package check

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"dewknot/internal/lab/history"
)

// registerInput is an operation on one record.
type registerInput struct {
	write bool
	value string
}

// registerModel is a record that holds the identifier of its last write.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		asked := input.(registerInput)
		if asked.write {
			return true, asked.value
		}
		return output.(string) == state.(string), state
	},
}

// Linearizable reports whether the writes of a record and the reads of it that
// promise current data can be put in one order that agrees with real time. A
// write of unknown outcome may have taken effect at any later time, or never; one
// that never did is left out by the log that won. ok is false if the search took
// longer than the limit.
func Linearizable(recorded *history.History, group, key string, limit time.Duration) (linearizable, ok bool) {
	kept := map[string]bool{}
	final := map[string]bool{}
	for _, at := range recorded.Final[group] {
		final[at.String()] = true
	}
	for _, commit := range recorded.Commits {
		for _, operation := range commit.Operations {
			kept[operation] = kept[operation] || commit.Group == group && final[commit.Position.String()]
		}
	}
	var operations []porcupine.Operation
	for index, operation := range recorded.Operations {
		if operation.Group != group || operation.Keys[0] != key {
			continue
		}
		if converted, use := registerOperation(operation, kept[operation.ID]); use {
			converted.ClientId = index
			operations = append(operations, converted)
		}
	}
	switch porcupine.CheckOperationsTimeout(registerModel, operations, limit) {
	case porcupine.Ok:
		return true, true
	case porcupine.Illegal:
		return false, true
	default:
		return false, false
	}
}

func registerOperation(operation history.Operation, kept bool) (porcupine.Operation, bool) {
	converted := porcupine.Operation{Call: int64(operation.Start), Return: int64(operation.End)}
	switch {
	case operation.Type == history.Read:
		converted.Input, converted.Output = registerInput{}, operation.Value
		return converted, operation.Outcome == history.OK && operation.Freshness == "current"
	case operation.Outcome == history.OK:
		converted.Input, converted.Output = registerInput{true, operation.ID}, ""
		return converted, true
	default:
		converted.Input, converted.Output = registerInput{true, operation.ID}, ""
		converted.Return = math.MaxInt64
		return converted, operation.Outcome == history.Unknown && kept
	}
}
