package folder

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/flamingotack/flamingotack/internal/parser"
	"github.com/flamingotack/flamingotack/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Run(m)
}

// drawRecord draws a change, often a repeat of an earlier record or one against an
// old version.
func drawRecord(t *rapid.T, s *State, earlier []Record) Record {
	if len(earlier) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
		return earlier[rapid.IntRange(0, len(earlier)-1).Draw(t, "earlier")]
	}
	r := NewRecord(rapid.SampledFrom([]Kind{KindManifest, KindDomain, KindServer, KindJoin, KindLeave, KindEvict, KindSnapshot}).Draw(t, "kind"))
	r.ID = fmt.Sprint("id", len(earlier))
	r.BaseVersion = s.ConfigVersion
	if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		r.BaseVersion = uint64(rapid.IntRange(0, int(s.ConfigVersion)).Draw(t, "base"))
	}
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
	r.OutOfServiceChange = &OutOfServiceChange{Name: name, OutOfService: rapid.Bool().Draw(t, "out")}
	r.Member = &Member{Name: name, Incarnation: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "incarnation"), PeerAddress: name}
	if r.Kind == KindManifest {
		m, err := parser.ParseManifest("sample", []byte(sampleManifest))
		if err != nil {
			t.Fatal(err)
		}
		m.Services[0].Name = name
		r.Manifest = m
	}
	r.Snapshot = s
	return r
}

func TestFoldNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &State{}
		var log []Record
		var states []*State
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			r := drawRecord(t, s, log)
			log = append(log, r)
			next, outcome := s.Fold(uint64(len(log)), r)
			if next.ConfigVersion < s.ConfigVersion || next.ViewOffset < s.ViewOffset || next.Offset != s.Offset+1 {
				t.Fatalf("state after record %d: got %s, want offset %d and no lower version or view than %s", len(log), next, s.Offset+1, s)
			}
			changed := next.ConfigVersion != s.ConfigVersion || next.ViewOffset != s.ViewOffset
			if changed != (outcome == OutcomeAccepted) {
				t.Fatalf("state changed from %s to %s: got outcome %s, want %s exactly on a change", s, next, outcome, OutcomeAccepted)
			}
			if again, outcome := next.Fold(uint64(len(log)), r); again != next || outcome != OutcomeRepeated {
				t.Fatalf("same offset again: got outcome %s, want %s and the same state", outcome, OutcomeRepeated)
			}
			s = next
			states = append(states, s)
		}
		replayed := replayFromSnapshot(t, states[rapid.IntRange(0, len(states)-1).Draw(t, "snapshot")], log)
		got, err := replayed.Digest()
		if err != nil {
			t.Fatal(err)
		}
		want, err := s.Digest()
		if err != nil {
			t.Fatal(err)
		}
		if got != want {
			t.Fatalf("replay from a snapshot: got %+v, want %+v", replayed, s)
		}
	})
}

// replayFromSnapshot encodes and decodes a state and folds the whole log into it.
func replayFromSnapshot(t *rapid.T, from *State, log []Record) *State {
	data, err := json.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	s := &State{}
	if err := json.Unmarshal(data, s); err != nil {
		t.Fatal(err)
	}
	for i := range log {
		s, _ = s.Fold(uint64(i+1), log[i])
	}
	return s
}

func TestOneConcurrentChangeIsAccepted(t *testing.T) {
	s := &State{}
	for i := range 5 {
		s, _ = s.Fold(uint64(i+1), manifestRecord(t, 0))
	}
	accepted := 0
	for _, seen := range s.RecentRecords {
		if seen.Outcome == OutcomeAccepted {
			accepted++
		}
	}
	if accepted != 1 || s.ConfigVersion != 1 {
		t.Errorf("got %d accepted and version %d, want 1 and 1", accepted, s.ConfigVersion)
	}
}

func TestRecentRecordsAreBounded(t *testing.T) {
	s := &State{}
	for i := range maxRecentRecords + 10 {
		r := NewRecord(KindDomain)
		r.OutOfServiceChange = &OutOfServiceChange{Name: "a", OutOfService: i%2 == 0}
		r.BaseVersion = s.ConfigVersion
		s, _ = s.Fold(uint64(i+1), r)
	}
	if got := len(s.RecentRecords); got != maxRecentRecords {
		t.Errorf("recent records: got %d, want %d", got, maxRecentRecords)
	}
}

func TestDecodeErrors(t *testing.T) {
	tests := []struct {
		name, data string
		format     bool
	}{
		{"another format", `{"format":2,"kind":"domain","id":"x","outage":{"name":"a","out":true}}`, true},
		{"no content", `{"format":1,"kind":"domain","id":"x"}`, false},
		{"unknown kind", `{"format":1,"kind":"wish","id":"x"}`, false},
		{"no id", `{"format":1,"kind":"domain","outage":{"name":"a"}}`, false},
		{"no JSON", "\x00\x01", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode([]byte(tt.data))
			var format *UnsupportedFormatError
			if err == nil || errors.As(err, &format) != tt.format {
				t.Errorf("error: got %v, want one with format error %v", err, tt.format)
			}
		})
	}
}

// FuzzDecode decodes fuzzed records and folds those that are valid into a small
// state with a manifest, a member and a failure domain out of service.
func FuzzDecode(f *testing.F) {
	m, err := parser.ParseManifest("sample", []byte(sampleManifest))
	if err != nil {
		f.Fatal(err)
	}
	member := Member{Name: "a", Incarnation: "x", PeerAddress: "p", JoinOffset: 5}
	s := &State{Offset: 9, ConfigVersion: 7, ViewOffset: 5, Manifest: m, DomainsOutOfService: []string{"north"}, Members: []Member{member}}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		for _, offset := range []uint64{s.Offset, s.Offset + 1} {
			next, outcome := s.Fold(offset, r)
			if next.Offset != offset || next.ConfigVersion < s.ConfigVersion || next.ViewOffset < s.ViewOffset {
				t.Errorf("%s at %d: got %s (%s), want offset %d and no lower version or view than %s", data, offset, next, outcome, offset, s)
			}
		}
	})
}

func TestFoldRefusesIncompleteManifest(t *testing.T) {
	format := `{"format":1,"kind":"manifest","id":"i","manifest":{"services":[{"name":"a","replay":"1s",` +
		`"policy":"adaptive","objective":{"good":0.9},%s"routes":[{"path":"/",%s"deadline":"1s"}]}],"customers":null}}`
	tests := []struct {
		name     string
		attempts string
		priority string
		want     Outcome
	}{
		{"complete", `"attempts":3,`, `"priority":"low",`, OutcomeAccepted},
		{"no attempts", "", `"priority":"low",`, OutcomeInvalid},
		{"no priority", `"attempts":3,`, "", OutcomeInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := Decode(fmt.Appendf(nil, format, tt.attempts, tt.priority))
			if err != nil {
				t.Fatal(err)
			}
			if _, got := (&State{}).Fold(1, r); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// BenchmarkFold measures folding joins of one member among 420, with the maximum
// number of recent records.
func BenchmarkFold(b *testing.B) {
	s := &State{}
	offset := uint64(0)
	fold := func(name, incarnation string) {
		offset++
		s, _ = s.Fold(offset, Record{
			Format: RecordFormat, Kind: KindJoin, ID: fmt.Sprint(offset),
			Member: &Member{Name: name, Incarnation: incarnation, PeerAddress: name},
		})
	}
	for i := range maxRecentRecords {
		fold(fmt.Sprint("node", i%420), fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := range b.N {
		fold("node7", fmt.Sprint("run", i))
	}
}
