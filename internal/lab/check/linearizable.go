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

// registerModel models a record that holds the ID of its last write.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		operation := input.(registerInput)
		if operation.write {
			return true, operation.value
		}
		return output.(string) == state.(string), state
	},
}

// Linearizable reports whether the writes of a record and its reads with current freshness
// are linearizable. A write of unknown outcome may take effect at any time after its start;
// it is left out if it isn't in the group's final log. ok is false if the check timed out.
func Linearizable(
	recorded *history.History, group, key string, timeout time.Duration,
) (linearizable, ok bool) {
	inFinalLog := map[string]bool{}
	final := map[string]bool{}
	for _, at := range recorded.Final[group] {
		final[at.String()] = true
	}
	for _, commit := range recorded.Commits {
		for _, operation := range commit.Operations {
			inFinalLog[operation] = inFinalLog[operation] || commit.Group == group && final[commit.Position.String()]
		}
	}
	var operations []porcupine.Operation
	for index, operation := range recorded.Operations {
		if operation.Group != group || operation.Keys[0] != key {
			continue
		}
		if converted, relevant := registerOperation(operation, inFinalLog[operation.ID]); relevant {
			converted.ClientId = index
			operations = append(operations, converted)
		}
	}
	switch porcupine.CheckOperationsTimeout(registerModel, operations, timeout) {
	case porcupine.Ok:
		return true, true
	case porcupine.Illegal:
		return false, true
	default:
		return false, false
	}
}

// registerOperation converts an operation for the model. It returns false if the operation
// doesn't take part in the check.
func registerOperation(operation history.Operation, inFinalLog bool) (porcupine.Operation, bool) {
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
		return converted, operation.Outcome == history.Unknown && inFinalLog
	}
}
