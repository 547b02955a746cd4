package propertytest

import (
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// Runs returns the number of runs of a randomized test: the value of an environment variable,
// or the usual number if it is not set.
func Runs(t *testing.T, variable string, usual uint64) uint64 {
	t.Helper()
	text, set := os.LookupEnv(variable)
	if !set {
		return usual
	}
	runs, err := strconv.ParseUint(text, 10, 32)
	must.NoError(t, err, must.Sprintf("%s = %q; use a whole number", variable, text))
	return runs
}
