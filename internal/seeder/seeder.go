// Package seeder makes property-based tests the same on every run.
package seeder

import (
	"flag"
	"os"
	"testing"

	// The import defines the flags that Run sets.
	_ "pgregory.net/rapid"
)

// Setting is a flag of the test binary, without its dash, and its default.
type FlagDefault struct {
	Name  string
	Value string
}

// Run runs the tests of a package under a fixed seed and exits. Flags on the
// command line go before the settings: -rapid.seed=0 draws a new seed.
func Run(m *testing.M, settings ...FlagDefault) {
	fixed := []FlagDefault{{"rapid.seed", "1"}, {"rapid.nofailfile", "true"}}
	for _, s := range append(fixed, settings...) {
		if err := flag.Set(s.Name, s.Value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
