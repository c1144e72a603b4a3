package admission_test

import "flag"

// Fixes the seed of the random tests, so that every CI run draws the same cases.
// The flag -rapid.seed sets another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
