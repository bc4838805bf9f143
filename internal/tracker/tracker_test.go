package tracker

import (
	"testing"
	"time"

	"github.com/flamingotack/flamingotack/internal/folder"
	"github.com/flamingotack/flamingotack/internal/holder"
	"github.com/flamingotack/flamingotack/internal/parser"
)

const testQuiet = 30 * time.Second

var (
	testResource = holder.Resource{Name: "rate/pond-a"}
	testManifest = &parser.Manifest{Services: []parser.Service{{Name: "slotboard"}}}
)

// walk gives t the views that consist of these members, one record each from
// offset 2 on; the record at offset 1 is the manifest.
func walk(t *Tracker, views ...[]string) {
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

// ranked returns the names in the order in which they own the test resource.
func ranked() []string {
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
	r := ranked()
	first, second, third := r[0], r[1], r[2]
	type tenure struct {
		since, until   uint64
		first          bool
		previous, next string
	}
	tests := []struct {
		name  string
		self  string
		views [][]string
		want  []tenure
	}{
		{"alone", first, [][]string{{first}}, []tenure{{since: 2, first: true}}},
		{"others change", first, [][]string{{first}, {first, second}, {first}}, []tenure{{since: 2, first: true}}},
		{"never", third, [][]string{{first}, {first, third}}, nil},
		{"takes over", first, [][]string{{second}, {first, second}}, []tenure{{since: 3, previous: second}}},
		{"loses", second, [][]string{{second}, {first, second}}, []tenure{{since: 2, until: 3, first: true, next: first}}},
		{"after all have left", first, [][]string{{second}, {}, {first}}, []tenure{{since: 4}}},
		{"in between", second, [][]string{{third}, {second, third}, {first, second, third}, {second, third}}, []tenure{
			{since: 3, until: 4, previous: third, next: first}, {since: 5, previous: first},
		}},
	}
	for _, tt := range tests {
		k := New(holder.Identity{Name: tt.self, Incarnation: tt.self}, func(*parser.Manifest) []holder.Resource {
			return []holder.Resource{testResource}
		}, testQuiet)
		walk(k, tt.views...)
		got := k.OwnershipPeriods(testResource)
		if len(got) != len(tt.want) {
			t.Errorf("%s: got tenures %+v, want %+v", tt.name, got, tt.want)
			continue
		}
		for i, g := range got {
			have := tenure{g.StartOffset, g.EndOffset, g.IsFirst, g.PreviousOwner.Name, g.NextOwner.Name}
			if have != tt.want[i] {
				t.Errorf("%s: got tenure %+v, want %+v", tt.name, have, tt.want[i])
			}
		}
		_, owned := k.CurrentPeriod(testResource)
		if want := len(got) > 0 && got[len(got)-1].EndOffset == 0; owned != want {
			t.Errorf("%s: got owned %t, want %t", tt.name, owned, want)
		}
	}
}

func TestTrackerAfterJump(t *testing.T) {
	first := ranked()[0]
	k := New(holder.Identity{Name: first, Incarnation: first}, func(*parser.Manifest) []holder.Resource {
		return []holder.Resource{testResource}
	}, testQuiet)
	walk(k, []string{first})
	s := &folder.State{Offset: 9, ViewOffset: 9, Manifest: testManifest, Members: []folder.Member{{Name: first, Incarnation: first, JoinOffset: 1}}}
	k.ApplyState(time.Unix(0, 0), s, true)
	got, owned := k.CurrentPeriod(testResource)
	want := OwnershipPeriod{StartOffset: 9}
	if !owned || got != want {
		t.Errorf("got %+v, %t, want %+v, true", got, owned, want)
	}
}

// A resource that comes with a later manifest is new, unless a manifest that
// had it, or records that the node does not know, were in force too lately.
func TestNewResources(t *testing.T) {
	tests := []struct {
		name    string
		removed bool
		jumped  bool
		after   time.Duration
		want    bool
	}{
		{"never seen", false, false, 0, true},
		{"removed lately", true, false, testQuiet, false},
		{"removed long ago", true, false, testQuiet + 1, true},
		{"jumped lately", false, true, testQuiet, false},
		{"jumped long ago", false, true, testQuiet + 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			with, without := &parser.Manifest{}, &parser.Manifest{}
			k := New(holder.Identity{Name: "a", Incarnation: "a"}, func(m *parser.Manifest) []holder.Resource {
				if m == with {
					return []holder.Resource{testResource}
				}
				return nil
			}, testQuiet)
			state := func(offset uint64, m *parser.Manifest) *folder.State {
				members := []folder.Member{{Name: "a", Incarnation: "a", JoinOffset: 1}}
				return &folder.State{Offset: offset, ViewOffset: 1, Manifest: m, Members: members}
			}
			begin := time.Unix(0, 0)
			if tt.removed {
				k.ApplyState(begin, state(2, with), false)
			}
			k.ApplyState(begin, state(3, without), tt.jumped)
			k.ApplyState(begin.Add(tt.after), state(4, with), false)
			got, owned := k.CurrentPeriod(testResource)
			if !owned || got.IsNewResource != tt.want {
				t.Errorf("got new %t, owned %t, want new %t, owned", got.IsNewResource, owned, tt.want)
			}
		})
	}
}
