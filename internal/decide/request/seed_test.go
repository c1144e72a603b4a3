package request_test

import "flag"

// Fixes the seed of the random tests, so that CI results are reproducible. The
// flag -rapid.seed selects another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
