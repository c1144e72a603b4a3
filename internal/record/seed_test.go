package record_test

import "flag"

// Fixes the seed of the property-based tests, so that CI results are reproducible.
// The flag -rapid.seed sets another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
