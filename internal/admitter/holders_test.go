package admitter

import (
	"fmt"
	"testing"

	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/rationer"
	"github.com/flamingotack/flamingotack/internal/selector"
)

// TestHoldersOfALimit checks that a limit has as many holders as leave each a burst
// that it can give from, in every failure domain, and that all nodes see the same.
func TestLimitHolders(t *testing.T) {
	const domains = 5
	var nodes []selector.Node
	for i := range 96 {
		nodes = append(nodes, selector.Node{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%domains)})
	}
	delegates := selector.NewRing(nodes).Delegates()
	up := map[string]bool{}
	for _, names := range delegates.Names {
		for _, name := range names {
			up[name] = true
		}
	}
	tests := []struct {
		name  string
		burst float64
		count int
		whole bool
	}{
		{"small customer", 27, domains, true},
		{"smaller than the failure domains", 4, domains, false},
		{"larger customer", 40, 2 * domains, true},
		{"large customer", 400, 4 * domains, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limit := rationer.Limit{Rate: 10, Burst: tt.burst}
			holding := 0
			for _, n := range nodes {
				d := &linker.Delegates{Delegates: delegates, Node: n, Up: up}
				h := newHolders("pond", limit, d)
				self := 0
				if h.parts > 0 {
					holding++
					self = 1
				}
				if got := len(h.near) + len(h.far) + self; got != tt.count || h.whole != tt.whole {
					t.Errorf("node %s: got %d holders, whole %t, want %d, %t", n.Name, got, h.whole, tt.count, tt.whole)
				}
				if h.parts != 0 && h.parts != tt.count {
					t.Errorf("node %s: got %d parts, want %d", n.Name, h.parts, tt.count)
				}
				if len(h.near)+self == 0 {
					t.Errorf("node %s: got no holder in its failure domain, want one", n.Name)
				}
			}
			if holding != tt.count {
				t.Errorf("got %d nodes with a part, want %d", holding, tt.count)
			}
		})
	}
}
