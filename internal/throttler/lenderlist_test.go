package throttler

import (
	"testing"
	"time"
)

// TestLateLenderIsAskedAgain guards against requests that are refused because the only
// lender that knows the rate was late once.
func TestUnresponsiveLenderIsAskedLast(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name           string
		avoided, tried []string
		want           string
	}{
		{"nearest first", nil, nil, "a"},
		{"late ones after the others", []string{"a"}, nil, "b"},
		{"late one when the others have none", []string{"a"}, []string{"b", "c"}, "a"},
		{"the one that was late first", []string{"c", "a", "b"}, nil, "c"},
		{"all asked in vain", []string{"a"}, []string{"a", "b", "c"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := LenderList{Names: []string{"a", "b", "c"}}
			for i, name := range tt.avoided {
				l.MarkUnresponsive(now.Add(time.Duration(i)*time.Millisecond), name)
			}
			got, found := l.Next(now.Add(10*time.Millisecond), tt.tried)
			if got != tt.want || found != (tt.want != "") {
				t.Errorf("got %q, %t, want %q", got, found, tt.want)
			}
		})
	}
}
