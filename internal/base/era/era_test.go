package era

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, later := rapid.Uint64Range(0, maxEra-1).Draw(t, "era"), uint64(0)
		later = rapid.Uint64Range(era+1, maxEra).Draw(t, "later")
		number, lower := rapid.Uint64Range(0, maxNumber).Draw(t, "number"), uint64(0)
		lower = rapid.Uint64Range(0, number).Draw(t, "lower")
		before, err := New(era, number)
		must.NoError(t, err)
		after, err := New(later, lower)
		must.NoError(t, err)
		must.Less(t, after, before)
		must.Eq(t, later, after.Era())
		must.Eq(t, lower, after.Number())
	})
}

func TestRevisionsOutOfRangeAreRejected(t *testing.T) {
	for _, invalid := range [][2]uint64{{maxEra + 1, 0}, {0, maxNumber + 1}} {
		_, err := New(invalid[0], invalid[1])
		must.ErrorContains(t, err, "widen the revision")
	}
}

func TestRevisionText(t *testing.T) {
	bare, err := New(0, 7)
	must.NoError(t, err)
	must.Eq(t, "7", bare.String())
	later, err := New(3, 7)
	must.NoError(t, err)
	must.Eq(t, "3.7", later.String())
}
