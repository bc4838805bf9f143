package tabulator

import "testing"

func TestTable(t *testing.T) {
	table := New("CUSTOMER", "RATE", "NOTE")
	table.AddRow("kutch", 40, "café")
	table.AddRow("diu", 7.5, "")
	want := "CUSTOMER  RATE  NOTE\n" +
		"kutch       40  café\n" +
		"diu        7.5\n"
	if got := table.String(); got != want {
		t.Errorf("got\n%q, want\n%q", got, want)
	}
}
