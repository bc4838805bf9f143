// Package tabulator lays text out in columns for people.
package tabulator

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const gap = "  "

// Table is rows of cells under a head. Columns of numbers are aligned to the
// right.
type Table struct {
	// Head names the columns.
	Header []string
	// Rows have a cell for each column, at most.
	Rows [][]string
}

// New returns a Table without rows.
func New(head ...string) *Table {
	return &Table{Header: head}
}

// Add adds a row. Cells are printed as fmt.Sprint prints them.
func (t *Table) AddRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, fmt.Sprint(c))
	}
	t.Rows = append(t.Rows, row)
}

// String returns the lines of the table, each with its line end.
func (t *Table) String() string {
	widths := t.widths()
	var b strings.Builder
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		var line strings.Builder
		for i, cell := range row {
			pad := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell))
			if t.numeric(i) {
				line.WriteString(pad + cell + gap)
			} else {
				line.WriteString(cell + pad + gap)
			}
		}
		b.WriteString(strings.TrimRight(line.String(), " ") + "\n")
	}
	return b.String()
}

// numeric reports whether all cells of a column start like numbers.
func (t *Table) numeric(column int) bool {
	for _, row := range t.Rows {
		if column < len(row) && !strings.ContainsAny(row[column][:min(1, len(row[column]))], "0123456789-") {
			return false
		}
	}
	return len(t.Rows) > 0
}

func (t *Table) widths() []int {
	widths := make([]int, len(t.Header))
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	return widths
}
