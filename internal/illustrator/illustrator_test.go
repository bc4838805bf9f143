package illustrator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/html"

	"github.com/flamingotack/flamingotack/internal/exchanger"
	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/reporter"
)

func testReport() *reporter.Report {
	m := &parser.Manifest{
		Services: []parser.Service{
			{Name: "slotboard", Objective: parser.Objective{Good: 0.99}},
			{Name: "bookdesk", Objective: parser.Objective{Good: 0.999}},
		},
		Customers: []parser.Customer{{Name: "kutch", RatePerSecond: 1, BurstRequests: 1}, {Name: "diu", RatePerSecond: 1, BurstRequests: 1}},
	}
	key := meter.SeriesKey{Service: "slotboard", Customer: "kutch", Priority: exchanger.PriorityHigh}
	good, bad := meter.Series{SeriesKey: key}, meter.Series{SeriesKey: key}
	good.Outcome, bad.Outcome = meter.OutcomeGood, "<script>overload</script>"
	for i := range meter.Windows {
		good.Counts[i], bad.Counts[i] = 90, 10
	}
	r := reporter.Build(m, []meter.Counts{{Series: []meter.Series{good, bad}}})
	r.Missing = []string{"bookdesk-2"}
	return r
}

// walkNodes calls visit for a node and all its descendants.
func walkNodes(n *html.Node, visit func(*html.Node)) {
	visit(n)
	for c := range n.ChildNodes() {
		walkNodes(c, visit)
	}
}

// elementText returns the text in the elements of that name and id; an empty id
// matches the elements without one.
func elementText(root *html.Node, name, id string) string {
	var b strings.Builder
	walkNodes(root, func(n *html.Node) {
		if n.Type != html.ElementNode || n.Data != name || attribute(n, "id") != id {
			return
		}
		walkNodes(n, func(n *html.Node) {
			if n.Type == html.TextNode {
				b.WriteString(n.Data + " ")
			}
		})
	})
	return b.String()
}

func attribute(n *html.Node, key string) string {
	for _, a := range n.Attr {
		if a.Key == key {
			return a.Val
		}
	}
	return ""
}

func TestPage(t *testing.T) {
	var page bytes.Buffer
	if err := WritePage(&page, testReport(), time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	root, err := html.Parse(&page)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, element, id string
		want              []string
	}{
		{"services", "table", "services", []string{"slotboard", "99.00%", "10.0", "page", "bookdesk"}},
		{"customers", "table", "customers", []string{"kutch", "90.00%", "diu", "100.00%"}},
		{"reasons", "table", "reasons", []string{"<script>overload</script>", "10"}},
		{"charts", "svg", "", []string{"Burn rate", "slotboard", "bookdesk", "3d", "kutch", "Requests not answered well"}},
		{"notes", "p", "", []string{"bookdesk-2", "Worst served", "kutch"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := elementText(root, tt.element, tt.id)
			for _, want := range tt.want {
				if !strings.Contains(got, want) {
					t.Errorf("got %q, want %q in it", got, want)
				}
			}
		})
	}
}

func TestPageIsSelfContained(t *testing.T) {
	var page bytes.Buffer
	if err := WritePage(&page, testReport(), time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	root, err := html.Parse(&page)
	if err != nil {
		t.Fatal(err)
	}
	charts := 0
	walkNodes(root, func(n *html.Node) {
		switch n.Data {
		case "script", "link", "img", "iframe":
			if n.Type == html.ElementNode {
				t.Errorf("got <%s>, want none", n.Data)
			}
		case "svg":
			charts++
		}
		for _, key := range []string{"src", "href", "xlink:href"} {
			if got := attribute(n, key); got != "" {
				t.Errorf("%s of <%s>: got %q, want none", key, n.Data, got)
			}
		}
	})
	if charts != 3 {
		t.Errorf("charts: got %d, want 3", charts)
	}
}
