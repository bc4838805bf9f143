package loader

import (
	"testing"

	"github.com/flamingotack/flamingotack/internal/parser"
)

// FuzzScenario checks that every scenario that parses gives a valid manifest.
func FuzzScenario(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := ParseScenario("s", data)
		if err != nil {
			return
		}
		if _, err := s.manifest(parser.PolicyAdaptive); err != nil {
			t.Errorf("got %v, want a manifest", err)
		}
	})
}
