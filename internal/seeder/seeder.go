// Package seeder runs property-based tests with a fixed seed, so that every run
// draws the same values.
package seeder

import (
	"flag"
	"os"
	"testing"

	// The import defines the rapid.* flags that Run sets.
	_ "pgregory.net/rapid"
)

// FlagDefault is the default of a flag of the test binary. Name has no leading
// dash.
type FlagDefault struct {
	Name  string
	Value string
}

// Run runs the tests of a package with a fixed seed and exits. Flags on the
// command line override the defaults: -rapid.seed=0 draws a new seed. It panics
// when a flag is unknown or its value is invalid.
func Run(m *testing.M, defaults ...FlagDefault) {
	fixed := []FlagDefault{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}}
	for _, s := range append(fixed, defaults...) {
		if err := flag.Set(s.Name, s.Value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
