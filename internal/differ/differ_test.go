package differ

import (
	"slices"
	"testing"

	"github.com/flamingotack/flamingotack/internal/parser"
)

func TestCompare(t *testing.T) {
	const before = `{"services":[{"name":"a","routes":[{"path":"/x","methods":["GET"]},{"path":"/y"}]}],"customers":[{"name":"k","rate":5,"keys":[]}]}`
	tests := []struct {
		name  string
		after string
		want  []string
	}{
		{"same fields in another order",
			`{"services":[{"name":"a","routes":[{"path":"/y"},{"path":"/x","methods":["GET"]}]}],"customers":[{"name":"k","rate":5,"keys":[]}]}`,
			nil},
		{"changed priority and rate",
			`{"services":[{"name":"a","routes":[{"path":"/x","methods":["GET"],"priority":"low"},{"path":"/y"}]}],"customers":[{"name":"k","rate":6,"burst":5,"keys":[]}]}`,
			[]string{`~ customers[k].rate  5 -> 6`, `~ services[a].routes[GET /x].priority  "normal" -> "low"`}},
		{"added objective for a class",
			`{"services":[{"name":"a","routes":[{"path":"/x","methods":["GET"]},{"path":"/y"}],"objectives":[{"class":"large","good":0.9}]}],"customers":[{"name":"k","class":"large","rate":5,"keys":[]}]}`,
			[]string{`+ customers[k].class  "large"`, `+ services[a].objectives[large].class  "large"`, `+ services[a].objectives[large].good  0.9`}},
		{"removed customer",
			`{"services":[{"name":"a","routes":[{"path":"/x","methods":["GET"]},{"path":"/y"}]}],"customers":[]}`,
			[]string{`- customers[k].burst  5`, `- customers[k].name  "k"`, `- customers[k].rate  5`}},
	}
	from, err := parser.ParseManifest("before", []byte(before))
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			to, err := parser.ParseManifest("after", []byte(tt.after))
			if err != nil {
				t.Fatal(err)
			}
			changes, err := Compare(from, to)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, c := range changes {
				got = append(got, c.String())
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}
