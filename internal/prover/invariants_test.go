package prover

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/flamingotack/flamingotack/internal/checker"
)

const (
	repositoryRoot  = "../.."
	promisesHeading = "## Promises"
)

var (
	testDefinition = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	testMention    = regexp.MustCompile("`((?:Test|Fuzz)\\w+)`")
)

// definedTests returns the names of all tests in the repository.
func definedTests(t *testing.T) (names map[string]bool) {
	t.Helper()
	names = map[string]bool{}
	err := filepath.WalkDir(repositoryRoot, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, found := range testDefinition.FindAllSubmatch(data, -1) {
			names[string(found[1])] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

func TestInvariantsPageListsExistingTests(t *testing.T) {
	data, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "INVARIANTS.md"))
	if err != nil {
		t.Fatal(err)
	}
	defined := definedTests(t)
	for _, found := range testMention.FindAllSubmatch(data, -1) {
		if name := string(found[1]); !defined[name] {
			t.Errorf("test %s: got no definition, want one", name)
		}
	}
	_, rest, _ := strings.Cut(string(data), promisesHeading)
	table, _, _ := strings.Cut(rest, "\n## ")
	rows := slices.DeleteFunc(strings.Split(table, "\n"), func(line string) bool {
		return !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| Promise ")
	})
	if got, want := len(rows), len(checker.Guarantees()); got != want {
		t.Errorf("guarantees in the table: got %d, want %d", got, want)
	}
	for _, row := range rows {
		if !testMention.MatchString(row) {
			t.Errorf("guarantee without a test: %s", row)
		}
	}
}
