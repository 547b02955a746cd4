// Package propertytest makes property tests reproducible: importing it fixes the seed of
// pgregory.net/rapid. The flag -rapid.seed overrides it.
package propertytest

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flags set below
)

// Seed is the default seed of all property tests.
const Seed = "20261202"

func init() {
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
