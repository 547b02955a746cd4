package propertytest

import (
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// Plays returns how many plays a run of a randomized test makes: the usual number, or what
// an environment variable says.
func Plays(t *testing.T, variable string, usual uint64) uint64 {
	t.Helper()
	text, set := os.LookupEnv(variable)
	if !set {
		return usual
	}
	plays, err := strconv.ParseUint(text, 10, 32)
	must.NoError(t, err, must.Sprintf("%s = %q; use a whole number", variable, text))
	return plays
}
