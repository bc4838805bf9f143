package parser

import (
	"encoding/json"
	"testing"
)

// FuzzManifest checks that a manifest which parses stays good on its way
// through the log.
func FuzzManifest(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseManifest("m", data)
		if err != nil {
			return
		}
		c, err := CloneManifest(m)
		if err != nil {
			t.Fatalf("got %v, want a copy", err)
		}
		if err := c.Validate(); err != nil {
			t.Errorf("got %v, want no fault in the copy", err)
		}
	})
}

// FuzzSettings checks that settings which parse parse again as they are
// written, those of a node and those of the client.
func FuzzSettings(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		if n, err := ParseSettings("n", data, nil); err == nil {
			again(t, n, func(data []byte) error {
				_, err := ParseSettings("n", data, nil)
				return err
			})
		}
		if c, err := ParseClientSettings("c", data, nil); err == nil {
			again(t, c, func(data []byte) error {
				_, err := ParseClientSettings("c", data, nil)
				return err
			})
		}
	})
}

func again(t *testing.T, v any, parse func(data []byte) error) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := parse(data); err != nil {
		t.Errorf("%s: got %v, want no fault", data, err)
	}
}
