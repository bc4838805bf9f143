package exchanger

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

func TestCallersPageListsEveryReason(t *testing.T) {
	source, err := os.ReadFile("exchanger.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	reasons := regexp.MustCompile(`Reason = "([a-z-]+)"`).FindAllStringSubmatch(string(source), -1)
	if len(reasons) == 0 {
		t.Fatal("got no reason in exchanger.go, want at least one")
	}
	for _, r := range reasons {
		if !strings.Contains(string(page), "`"+r[1]+"`") {
			t.Errorf("reason %q: got no mention in docs/CALLERS.md, want one", r[1])
		}
	}
}
