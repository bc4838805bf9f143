package throttler

import (
	"testing"
	"time"
)

// TestUnresponsiveLenderIsAskedLast guards against refused requests because the only
// lender that knows the customer's rate answered late once.
func TestUnresponsiveLenderIsAskedLast(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name                string
		unresponsive, tried []string
		want                string
	}{
		{"nearest first", nil, nil, "a"},
		{"unresponsive lender after the others", []string{"a"}, nil, "b"},
		{"unresponsive lender when the others have no token", []string{"a"}, []string{"b", "c"}, "a"},
		{"earliest unresponsive lender first", []string{"c", "a", "b"}, nil, "c"},
		{"all lenders tried", []string{"a"}, []string{"a", "b", "c"}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := LenderList{Names: []string{"a", "b", "c"}}
			for i, name := range tt.unresponsive {
				l.MarkUnresponsive(now.Add(time.Duration(i)*time.Millisecond), name)
			}
			got, found := l.Next(now.Add(10*time.Millisecond), tt.tried)
			if got != tt.want || found != (tt.want != "") {
				t.Errorf("got %q, %t, want %q", got, found, tt.want)
			}
		})
	}
}
