package link_test

import "flag"

// Fixes the seed of the random tests, so that CI runs are reproducible. The flag
// -rapid.seed chooses another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
