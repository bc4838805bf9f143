package cmd

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/flamingotack/flamingotack/internal/bounder"
	"github.com/flamingotack/flamingotack/internal/parser"
)

// jsonFieldNames returns the JSON names of a struct's fields, without those of
// nested structs.
func jsonFieldNames(v any) (names []string) {
	for f := range reflect.TypeOf(v).Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		names = append(names, name)
	}
	return names
}

func TestEveryNodeSettingHasFlag(t *testing.T) {
	flags := map[string]bool{}
	for _, s := range nodeSettings() {
		flags[s.flag.Names()[0]] = true
	}
	for _, name := range jsonFieldNames(parser.Settings{}) {
		if !flags[name] {
			t.Errorf("setting %q: got no flag, want one", name)
		}
	}
}

func TestExamplesContainEveryField(t *testing.T) {
	tests := []struct {
		file   string
		parse  func(file string, data []byte) error
		values []any
	}{
		{"bound.jsonc", func(file string, data []byte) error {
			_, err := bounder.ParseDemand(file, data)
			return err
		}, []any{bounder.Demand{}, bounder.Service{}, bounder.Kind{}, bounder.Use{}}},
		{"client.jsonc", func(file string, data []byte) error {
			_, err := parser.ParseClientSettings(file, data, nil)
			return err
		}, []any{parser.ClientSettings{}}},
		{"manifest.jsonc", func(file string, data []byte) error {
			_, err := parser.ParseManifest(file, data)
			return err
		}, []any{parser.Manifest{}, parser.Service{}, parser.Route{}, parser.Objective{}, parser.ClassObjective{}, parser.Customer{}}},
		{"node.jsonc", func(file string, data []byte) error {
			_, err := parser.ParseSettings(file, data, nil)
			return err
		}, []any{parser.Settings{}}},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			data, err := os.ReadFile("../../examples/" + tt.file)
			if err != nil {
				t.Fatal(err)
			}
			if err := tt.parse(tt.file, data); err != nil {
				t.Fatal(err)
			}
			for _, v := range tt.values {
				for _, name := range jsonFieldNames(v) {
					if !strings.Contains(string(data), `"`+name+`":`) {
						t.Errorf("field %q of %T: got none in the example, want it there", name, v)
					}
				}
			}
		})
	}
}
