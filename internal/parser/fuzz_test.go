package parser

import (
	"encoding/json"
	"testing"
)

// FuzzManifest checks that a manifest that parses is still valid after it was
// encoded and decoded, as on its way through the log.
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
			t.Errorf("got %v, want a valid copy", err)
		}
	})
}

// FuzzSettings checks that settings of a node or of the client that parse also
// parse after they were encoded again.
func FuzzSettings(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		if n, err := ParseSettings("n", data, nil); err == nil {
			checkParsesAgain(t, n, func(data []byte) error {
				_, err := ParseSettings("n", data, nil)
				return err
			})
		}
		if c, err := ParseClientSettings("c", data, nil); err == nil {
			checkParsesAgain(t, c, func(data []byte) error {
				_, err := ParseClientSettings("c", data, nil)
				return err
			})
		}
	})
}

func checkParsesAgain(t *testing.T, v any, parse func(data []byte) error) {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if err := parse(data); err != nil {
		t.Errorf("%s: got %v, want no error", data, err)
	}
}
