package expertbalance_test

import "flag"

// Fixes the seed of the property tests, so that CI runs are repeatable. The flag
// -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
