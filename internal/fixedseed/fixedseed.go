// Package fixedseed makes random tests give the same verdict every run. A test
// package imports it; with SOAK_SEEDS set, seeds are drawn and printed instead.
package fixedseed

import (
	"flag"
	"os"
)

// seed of all property tests in CI.
const seed = "20261202"

// Set fixes the seed of the property tests; call it from an init function.
func Set() {
	if os.Getenv("SOAK_SEEDS") == "" {
		_ = flag.Set("rapid.seed", seed)
	}
}
