package listener

import (
	"encoding/binary"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// TestStatementsHaveDifferentNames: a text that ends like the types of another statement's parameters
// must not get the name of that one, under which other callers execute it.
func TestStatementsHaveDifferentNames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		query := rapid.SampledFrom([]string{"SELECT 1", "SELECT $1", ""}).Draw(t, "query")
		oids := rapid.SliceOfN(rapid.SampledFrom([]uint32{23, 25, 0x20202020, 0x2d2d2d2d}), 1, 3).Draw(t, "types")
		name := backendName(query, oids)
		for i, oid := range oids {
			query = string(binary.BigEndian.AppendUint32([]byte(query), oid))
			must.NotEq(t, name, backendName(query, oids[i+1:]))
		}
	})
}
