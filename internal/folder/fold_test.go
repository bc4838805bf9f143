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

// drawRecord draws a change, often one that repeats an earlier record or that
// was made against an old version.
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
				t.Fatalf("state went from %s to %s", s, next)
			}
			changed := next.ConfigVersion != s.ConfigVersion || next.ViewOffset != s.ViewOffset
			if changed != (outcome == OutcomeAccepted) {
				t.Fatalf("outcome %s took the state from %s to %s", outcome, s, next)
			}
			if again, outcome := next.Fold(uint64(len(log)), r); again != next || outcome != OutcomeRepeated {
				t.Fatalf("the same offset again: got %s", outcome)
			}
			s = next
			states = append(states, s)
		}
		replayed := replay(t, states[rapid.IntRange(0, len(states)-1).Draw(t, "snapshot")], log)
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

// replay takes a state through its encoded form and folds the rest of the log.
func replay(t *rapid.T, from *State, log []Record) *State {
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
	for i := range maxSeen + 10 {
		r := NewRecord(KindDomain)
		r.OutOfServiceChange = &OutOfServiceChange{Name: "a", OutOfService: i%2 == 0}
		r.BaseVersion = s.ConfigVersion
		s, _ = s.Fold(uint64(i+1), r)
	}
	if got := len(s.RecentRecords); got != maxSeen {
		t.Errorf("seen: got %d, want %d", got, maxSeen)
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

// FuzzDecode folds whatever decodes on a small state that holds some of
// everything.
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
				t.Errorf("%s at %d: got %s (%s), want nothing to fall from %s", data, offset, next, outcome, s)
			}
		}
	})
}

func TestFoldRefusesIncompleteManifest(t *testing.T) {
	whole := `{"format":1,"kind":"manifest","id":"i","manifest":{"services":[{"name":"a","replay":"1s",` +
		`"policy":"adaptive","objective":{"good":0.9},%s"routes":[{"path":"/",%s"deadline":"1s"}]}],"customers":null}}`
	tests := []struct {
		name     string
		attempts string
		priority string
		want     Outcome
	}{
		{"whole", `"attempts":3,`, `"priority":"low",`, OutcomeAccepted},
		{"no attempts", "", `"priority":"low",`, OutcomeInvalid},
		{"no priority", `"attempts":3,`, "", OutcomeInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := Decode(fmt.Appendf(nil, whole, tt.attempts, tt.priority))
			if err != nil {
				t.Fatal(err)
			}
			if _, got := (&State{}).Fold(1, r); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// BenchmarkFold folds changes of one member among 420, with a full record of
// seen ids.
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
	for i := range maxSeen {
		fold(fmt.Sprint("node", i%420), fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := range b.N {
		fold("node7", fmt.Sprint("run", i))
	}
}
