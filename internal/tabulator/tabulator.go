// Package tabulator formats text as a table with aligned columns.
package tabulator

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

const columnGap = "  "

// Table holds rows of cells under a header. A column is aligned to the right
// when every cell of its rows starts like a number.
type Table struct {
	// Header holds the titles of the columns.
	Header []string
	// Rows holds the rows, each with at most one cell for each column.
	Rows [][]string
}

// New returns a Table without rows.
func New(header ...string) *Table {
	return &Table{Header: header}
}

// AddRow appends a row. Cells are formatted with fmt.Sprint.
func (t *Table) AddRow(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, fmt.Sprint(c))
	}
	t.Rows = append(t.Rows, row)
}

// String returns the lines of the table, each with a newline at its end.
func (t *Table) String() string {
	widths := t.columnWidths()
	var b strings.Builder
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		var line strings.Builder
		for i, cell := range row {
			pad := strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell))
			if t.isNumeric(i) {
				line.WriteString(pad + cell + columnGap)
			} else {
				line.WriteString(cell + pad + columnGap)
			}
		}
		b.WriteString(strings.TrimRight(line.String(), " ") + "\n")
	}
	return b.String()
}

// isNumeric reports whether all cells of a column start with a digit or a minus
// sign. A table without rows has no such column.
func (t *Table) isNumeric(column int) bool {
	for _, row := range t.Rows {
		if column < len(row) && !strings.ContainsAny(row[column][:min(1, len(row[column]))], "0123456789-") {
			return false
		}
	}
	return len(t.Rows) > 0
}

func (t *Table) columnWidths() []int {
	widths := make([]int, len(t.Header))
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	return widths
}
