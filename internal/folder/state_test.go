package folder

import (
	"testing"

	"github.com/flamingotack/flamingotack/internal/parser"
)

const sampleManifest = `{"services":[{"name":"slotboard","routes":[{"path":"/"}]}],"customers":[]}`

func manifestRecord(t *testing.T, base uint64) Record {
	t.Helper()
	m, err := parser.ParseManifest("sample", []byte(sampleManifest))
	if err != nil {
		t.Fatal(err)
	}
	r := NewRecord(KindManifest)
	r.BaseVersion = base
	r.Manifest = m
	return r
}

func TestFoldOutcomes(t *testing.T) {
	first := manifestRecord(t, 0)
	state, _ := (&State{}).Fold(1, first)
	out := NewRecord(KindDomain)
	out.BaseVersion = 1
	out.OutOfServiceChange = &OutOfServiceChange{Name: "rajkot", OutOfService: true}
	bad := manifestRecord(t, 1)
	bad.Manifest.Services = nil
	tests := []struct {
		name    string
		record  Record
		want    Outcome
		version uint64
	}{
		{"repeated append", first, OutcomeRepeated, 1},
		{"change against an old version", manifestRecord(t, 0), OutcomeConflict, 1},
		{"change against the current version", manifestRecord(t, 1), OutcomeAccepted, 2},
		{"failure domain out", out, OutcomeAccepted, 2},
		{"invalid manifest", bad, OutcomeInvalid, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			next, got := state.Fold(2, tt.record)
			if got != tt.want {
				t.Errorf("outcome: got %s, want %s", got, tt.want)
			}
			if next.ConfigVersion != tt.version {
				t.Errorf("version: got %d, want %d", next.ConfigVersion, tt.version)
			}
		})
	}
}

func TestConnectsToLog(t *testing.T) {
	other := Record{Kind: KindLeave, Snapshot: &State{Offset: 9}}
	tests := []struct {
		name   string
		record Record
		oldest uint64
		want   bool
	}{
		{"overlaps the log", NewSnapshot(&State{Offset: 9}, 0), 5, true},
		{"ends right before the log", NewSnapshot(&State{Offset: 9}, 0), 10, true},
		{"record in between is missing", NewSnapshot(&State{Offset: 9}, 0), 11, false},
		{"other kind with a snapshot", other, 5, false},
	}
	for _, tt := range tests {
		if got := tt.record.ConnectsToLog(tt.oldest); got != tt.want {
			t.Errorf("%s: got %t, want %t", tt.name, got, tt.want)
		}
	}
}
