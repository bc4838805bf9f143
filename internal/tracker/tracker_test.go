package tracker

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/parser"
)

const testQuietTime = 30 * time.Second

var (
	testResource = holder.Resource{Name: "rate/pond-a"}
	testManifest = &parser.Manifest{Services: []parser.Service{{Name: "slotboard"}}}
)

// applyViews applies views with these members to t, one record each from offset 2
// on. The record at offset 1 is the manifest.
func applyViews(t *Tracker, views ...[]string) {
	t.ApplyState(time.Unix(0, 0), &folder.State{Offset: 1, Manifest: testManifest}, false)
	for i, names := range views {
		offset := uint64(i + 2)
		s := &folder.State{Offset: offset, ViewOffset: offset, Manifest: testManifest}
		for j, name := range names {
			s.Members = append(s.Members, folder.Member{Name: name, Incarnation: name, JoinOffset: uint64(j + 1)})
		}
		t.ApplyState(time.Unix(0, 0), s, false)
	}
}

// namesByOwnerRank returns the names of the members as candidates for the test
// resource, the owner first.
func namesByOwnerRank() []string {
	var v holder.View
	for _, name := range []string{"a", "b", "c"} {
		v.Members = append(v.Members, folder.Member{Name: name})
	}
	var names []string
	for _, m := range v.OwnerCandidates(testResource) {
		names = append(names, m.Name)
	}
	return names
}

func TestOwnershipPeriods(t *testing.T) {
	ranked := namesByOwnerRank()
	first, second, third := ranked[0], ranked[1], ranked[2]
	type period struct {
		startOffset, endOffset uint64
		first                  bool
		previous, next         string
	}
	tests := []struct {
		name  string
		self  string
		views [][]string
		want  []period
	}{
		{"only member", first, [][]string{{first}}, []period{{startOffset: 2, first: true}}},
		{"other members change", first, [][]string{{first}, {first, second}, {first}}, []period{{startOffset: 2, first: true}}},
		{"never owner", third, [][]string{{first}, {first, third}}, nil},
		{"becomes owner", first, [][]string{{second}, {first, second}}, []period{{startOffset: 3, previous: second}}},
		{"loses ownership", second, [][]string{{second}, {first, second}}, []period{{startOffset: 2, endOffset: 3, first: true, next: first}}},
		{"owner after all have left", first, [][]string{{second}, {}, {first}}, []period{{startOffset: 4}}},
		{"owner twice", second, [][]string{{third}, {second, third}, {first, second, third}, {second, third}}, []period{
			{startOffset: 3, endOffset: 4, previous: third, next: first}, {startOffset: 5, previous: first},
		}},
	}
	for _, tt := range tests {
		tracker := New(holder.Identity{Name: tt.self, Incarnation: tt.self}, func(*parser.Manifest) []holder.Resource {
			return []holder.Resource{testResource}
		}, testQuietTime)
		applyViews(tracker, tt.views...)
		got := tracker.OwnershipPeriods(testResource)
		if len(got) != len(tt.want) {
			t.Errorf("%s: got periods %+v, want %+v", tt.name, got, tt.want)
			continue
		}
		for i, g := range got {
			have := period{g.StartOffset, g.EndOffset, g.IsFirst, g.PreviousOwner.Name, g.NextOwner.Name}
			if have != tt.want[i] {
				t.Errorf("%s: got period %+v, want %+v", tt.name, have, tt.want[i])
			}
		}
		_, owned := tracker.CurrentPeriod(testResource)
		if want := len(got) > 0 && got[len(got)-1].EndOffset == 0; owned != want {
			t.Errorf("%s: got owned %t, want %t", tt.name, owned, want)
		}
	}
}

func TestTrackerAfterJump(t *testing.T) {
	first := namesByOwnerRank()[0]
	tracker := New(holder.Identity{Name: first, Incarnation: first}, func(*parser.Manifest) []holder.Resource {
		return []holder.Resource{testResource}
	}, testQuietTime)
	applyViews(tracker, []string{first})
	s := &folder.State{Offset: 9, ViewOffset: 9, Manifest: testManifest, Members: []folder.Member{{Name: first, Incarnation: first, JoinOffset: 1}}}
	tracker.ApplyState(time.Unix(0, 0), s, true)
	got, owned := tracker.CurrentPeriod(testResource)
	want := OwnershipPeriod{StartOffset: 9}
	if !owned || got != want {
		t.Errorf("got %+v, %t, want %+v, true", got, owned, want)
	}
}

// TestNewResources guards against calling a resource of a later manifest new while
// a former owner may still act. That happens if an earlier manifest contained the
// resource, or records were skipped, within the quiet time.
func TestNewResources(t *testing.T) {
	tests := []struct {
		name    string
		removed bool
		jumped  bool
		after   time.Duration
		want    bool
	}{
		{"never seen", false, false, 0, true},
		{"removed recently", true, false, testQuietTime, false},
		{"removed long ago", true, false, testQuietTime + 1, true},
		{"jumped recently", false, true, testQuietTime, false},
		{"jumped long ago", false, true, testQuietTime + 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			with, without := &parser.Manifest{}, &parser.Manifest{}
			tracker := New(holder.Identity{Name: "a", Incarnation: "a"}, func(m *parser.Manifest) []holder.Resource {
				if m == with {
					return []holder.Resource{testResource}
				}
				return nil
			}, testQuietTime)
			state := func(offset uint64, m *parser.Manifest) *folder.State {
				members := []folder.Member{{Name: "a", Incarnation: "a", JoinOffset: 1}}
				return &folder.State{Offset: offset, ViewOffset: 1, Manifest: m, Members: members}
			}
			start := time.Unix(0, 0)
			if tt.removed {
				tracker.ApplyState(start, state(2, with), false)
			}
			tracker.ApplyState(start, state(3, without), tt.jumped)
			tracker.ApplyState(start.Add(tt.after), state(4, with), false)
			got, owned := tracker.CurrentPeriod(testResource)
			if !owned || got.IsNewResource != tt.want {
				t.Errorf("got new %t, owned %t, want new %t, owned", got.IsNewResource, owned, tt.want)
			}
		})
	}
}
