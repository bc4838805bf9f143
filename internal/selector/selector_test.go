package selector

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

// deployment returns nodes of services with the given numbers of nodes, spread over failure
// domains.
func deployment(domains int, services ...int) (nodes []Node) {
	for s, count := range services {
		for i := range count {
			nodes = append(nodes, Node{
				Name:    fmt.Sprintf("node-%d-%d", s, i),
				Service: fmt.Sprint("s", s),
				Domain:  fmt.Sprint("d", (i+s)%domains),
			})
		}
	}
	return nodes
}

// TestSmallDeploymentsLinkToAll checks that the bound on links has no effect where few
// backend servers offer a service.
func TestSmallDeploymentsLinkToAll(t *testing.T) {
	nodes := deployment(4, TargetLinksPerService, 4, 3, 1)
	for _, n := range nodes {
		total := 0
		for _, order := range NewRing(nodes).LinkOrders(n) {
			total += min(TargetLinksPerService, len(order))
		}
		if total != len(nodes) {
			t.Errorf("node %s: got links to %d nodes, want all %d", n.Name, total, len(nodes))
		}
	}
}

// TestLinksAreBoundedAndBalanced guards against links that grow with the deployment and
// against uneven load in one of hundreds of instances. Every backend server has about as many
// callers as the others of its service and failure domain, and each node links to backend
// servers in its own and in other failure domains.
func TestLinksAreBoundedAndBalanced(t *testing.T) {
	tests := []struct {
		name     string
		domains  int
		services []int
		// maxLinks is the maximum number of links of a node.
		maxLinks int
	}{
		{"302 nodes, 4 services, 5 domains", 5, []int{132, 79, 25, 66}, 4 * TargetLinksPerService},
		{"420 nodes, 11 services, 10 domains", 10, []int{60, 60, 50, 50, 40, 40, 40, 30, 20, 20, 10}, 11 * TargetLinksPerService},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			nodes := deployment(tt.domains, tt.services...)
			byName := map[string]Node{}
			for _, n := range nodes {
				byName[n.Name] = n
			}
			near, far := map[string]int{}, map[string]int{}
			for _, n := range nodes {
				links := 0
				for _, order := range NewRing(nodes).LinkOrders(n) {
					own := 0
					for _, name := range order[:min(TargetLinksPerService, len(order))] {
						links++
						if byName[name].Domain == n.Domain {
							own++
							near[name]++
						} else {
							far[name]++
						}
					}
					if own == 0 || own == min(TargetLinksPerService, len(order)) {
						t.Errorf("node %s: got %d of %d servers in the own failure domain, want some and not all", n.Name, own, len(order))
					}
				}
				if links > tt.maxLinks {
					t.Errorf("node %s: got %d links, want at most %d", n.Name, links, tt.maxLinks)
				}
			}
			most, least := map[string]int{}, map[string]int{}
			for _, n := range nodes {
				callers := near[n.Name] + far[n.Name]
				group := n.Service + n.Domain
				most[group] = max(most[group], callers)
				if known, found := least[group]; !found || callers < known {
					least[group] = callers
				}
			}
			for group := range most {
				if most[group] > 2*least[group] {
					t.Errorf("%s: got servers with %d and with %d callers, want at most twice as many", group, least[group], most[group])
				}
			}
		})
	}
}

// TestLinkOrdersContainEachNodeOnce checks that link orders omit no node, so that a node that
// can use few backend servers eventually tries all.
func TestLinkOrdersContainEachNodeOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []Node
		for i := range rapid.IntRange(1, 60).Draw(t, "nodes") {
			nodes = append(nodes, Node{
				Name:    fmt.Sprint("n", i),
				Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
				Domain:  rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "domain"),
			})
		}
		self := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "self")]
		var got, want []string
		for _, order := range NewRing(nodes).LinkOrders(self) {
			got = append(got, order...)
		}
		for _, n := range nodes {
			want = append(want, n.Name)
		}
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// TestJoiningNodeChangesFewLinks checks that the other nodes keep most links when a node
// joins.
func TestJoiningNodeChangesFewLinks(t *testing.T) {
	nodes := deployment(5, 132, 79, 25, 66)
	joined := append(slices.Clone(nodes), Node{Name: "late", Service: "s1", Domain: "d2"})
	changed, links := 0, 0
	for _, n := range nodes {
		before, after := NewRing(nodes).LinkOrders(n), NewRing(joined).LinkOrders(n)
		for service, order := range after {
			for _, name := range order[:min(TargetLinksPerService, len(order))] {
				links++
				if !slices.Contains(before[service][:min(TargetLinksPerService, len(before[service]))], name) {
					changed++
				}
			}
		}
	}
	if got, want := float64(changed)/float64(links), 0.1; got > want {
		t.Errorf("got %.3f of all links changed by a joining node, want at most %.2f", got, want)
	}
}
