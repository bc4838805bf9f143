package admitter

import (
	"fmt"
	"testing"

	"github.com/flamingotack/flamingotack/internal/linker"
	"github.com/flamingotack/flamingotack/internal/rationer"
	"github.com/flamingotack/flamingotack/internal/selector"
)

// TestLimitHolders checks that a limit has only as many holders as leave each a usable
// burst, at least one in every failure domain, and that all nodes agree on them.
func TestLimitHolders(t *testing.T) {
	const domains = 5
	var nodes []selector.Node
	for i := range 96 {
		nodes = append(nodes, selector.Node{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%domains)})
	}
	delegates := selector.NewRing(nodes).Delegates()
	connected := map[string]bool{}
	for _, names := range delegates.NamesByDomain {
		for _, name := range names {
			connected[name] = true
		}
	}
	tests := []struct {
		name  string
		burst float64
		count int
		whole bool
	}{
		{"small customer", 27, domains, true},
		{"burst smaller than the number of failure domains", 4, domains, false},
		{"larger customer", 40, 2 * domains, true},
		{"large customer", 400, 4 * domains, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limit := rationer.Limit{RatePerSecond: 10, BurstRequests: tt.burst}
			holderCount := 0
			for _, n := range nodes {
				d := &linker.DelegateView{Delegates: delegates, LocalNode: n, Connected: connected}
				h := newLimitHolders("pond", limit, d)
				selfCount := 0
				if h.shareCount > 0 {
					holderCount++
					selfCount = 1
				}
				if got := len(h.sameDomain) + len(h.otherDomains) + selfCount; got != tt.count || h.wholeTokens != tt.whole {
					t.Errorf("node %s: got %d holders, whole tokens %t, want %d, %t", n.Name, got, h.wholeTokens, tt.count, tt.whole)
				}
				if h.shareCount != 0 && h.shareCount != tt.count {
					t.Errorf("node %s: got %d shares, want %d", n.Name, h.shareCount, tt.count)
				}
				if len(h.sameDomain)+selfCount == 0 {
					t.Errorf("node %s: got no holder in its failure domain, want at least one", n.Name)
				}
			}
			if holderCount != tt.count {
				t.Errorf("got %d nodes with a share, want %d", holderCount, tt.count)
			}
		})
	}
}
