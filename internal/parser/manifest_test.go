package parser

import (
	"strings"
	"testing"
	"time"
)

func TestParseManifestErrors(t *testing.T) {
	tests := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", "{\n  \"services\": [],\n  \"colour\": 1\n}", "m:3: colour: unknown field"},
		{"wrong type", "{\n  \"services\": [{\"name\": 5}]}", "m:2: services.name: got number, want string"},
		{"bad range", `{"services":[{"name":"a","routes":[{"path":"/"}]}],
"customers":[
{"name":"x","rate":-1,"keys":[]}]}`, "m:3: customers[0].rate: -1 is not above 0"},
		{"duplicate digest", `{"services":[{"name":"a","routes":[{"path":"/"}]}],"customers":[
{"name":"x","rate":1,"keys":["` + strings.Repeat("a", 64) + `"]},
{"name":"y","rate":1,"keys":["` + strings.Repeat("a", 64) + `"]}]}`, `m:3: customers[1].keys[0]: key digest already belongs to customer "x"`},
		{"class of no customer", `{"services":[{"name":"a","routes":[{"path":"/"}],
"objectives":[
{"class":"large"}]}]}`, `m:3: services[0].objectives[0].class: no customer has class "large"`},
		{"class twice", `{"services":[{"name":"a","routes":[{"path":"/"}],"objectives":[{"class":"large"},
{"class":"large"}]}],"customers":[{"name":"x","class":"large","rate":1,"keys":[]}]}`, `m:2: services[0].objectives[1].class: class "large" is defined twice`},
		{"class objective", `{"services":[{"name":"a","routes":[{"path":"/"}],"objectives":[
{"class":"large","good":1}]}],"customers":[{"name":"x","class":"large","rate":1,"keys":[]}]}`, "m:2: services[0].objectives[0].good: 1 is not above 0"},
		{"bad duration", "{\"services\":[{\"name\":\"a\",\"routes\":[{\"path\":\"/\",\n\"deadline\":\"fast\"}]}]}", "m:2: duration \"fast\""},
		{"syntax", "{\n\n  x", "m:3: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseManifest("m", []byte(tt.text))
			if err == nil {
				t.Fatal("got no error")
			}
			if got := err.Error(); !strings.HasPrefix(got, tt.want) {
				t.Errorf("got %q, want prefix %q", got, tt.want)
			}
		})
	}
}

func TestObjectiveForClass(t *testing.T) {
	m, err := ParseManifest("m", []byte(`{"services": [{"name": "a", "routes": [{"path": "/"}],
"objective": {"good": 0.99, "latency": "1s"}, "objectives": [{"class": "large", "good": 0.9}]}],
"customers": [{"name": "x", "class": "large", "rate": 1, "keys": []}]}`))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		class         string
		want          Objective
		classSpecific bool
	}{
		{"", Objective{Good: 0.99, Latency: Duration(time.Second)}, false},
		{"small", Objective{Good: 0.99, Latency: Duration(time.Second)}, false},
		{"large", Objective{Good: 0.9, Latency: Duration(time.Second)}, true},
	}
	for _, tt := range tests {
		if got, classSpecific := m.Services[0].ObjectiveForClass(tt.class); got != tt.want || classSpecific != tt.classSpecific {
			t.Errorf("class %q: got %+v (class-specific %t), want %+v (class-specific %t)", tt.class, got, classSpecific, tt.want, tt.classSpecific)
		}
	}
}
