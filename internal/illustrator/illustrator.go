// Package illustrator writes the burn report as a self-contained web page.
package illustrator

import (
	_ "embed"
	"fmt"
	"html"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-analyze/charts"

	"github.com/flamingotack/flamingotack/internal/meter"
	"github.com/flamingotack/flamingotack/internal/reporter"
)

const (
	percent = 100

	// The sizes of the charts. barChartFramePixels is the height of a horizontal
	// bar chart without its bars.
	barHeightPixels       = 28
	barChartFramePixels   = 110
	burnChartHeightPixels = 320
	chartWidthPixels      = 900

	// maxBars bounds the customers in the chart; the table lists all of them.
	maxBars = 20
)

var (
	//go:embed page.gohtml
	pageSource string

	pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
		"percent": func(share float64) string { return fmt.Sprintf("%.2f%%", percent*share) },
		"total":   func(t reporter.Tally) uint64 { return t.Good + t.Bad },
	}).Parse(pageSource))

	windowNames = []string{"5m", "30m", "1h", "6h", "3d"}
)

// pageData is what the page's template reads.
type pageData struct {
	CreatedAt     string
	Report        *reporter.Report
	Worst         *reporter.CustomerReport
	WindowNames   []string
	BurnChart     template.HTML
	CustomerChart template.HTML
	ReasonChart   template.HTML
}

// WritePage writes the page of a report. createdAt is when the report was built.
func WritePage(w io.Writer, r *reporter.Report, createdAt time.Time) (err error) {
	defer func() { err = errors.Wrap(err, "write burn page") }()
	data := pageData{CreatedAt: createdAt.UTC().Format(time.DateTime) + " UTC", Report: r, WindowNames: windowNames}
	if worst, found := r.WorstCustomer(); found {
		data.Worst = &worst
	}
	if data.BurnChart, err = burnChart(r); err != nil {
		return err
	}
	if data.CustomerChart, err = customerChart(r); err != nil {
		return err
	}
	if data.ReasonChart, err = reasonChart(r); err != nil {
		return err
	}
	return pageTemplate.Execute(w, data)
}

// burnChart draws the burn rates of each service and class over each window.
func burnChart(r *reporter.Report) (template.HTML, error) {
	lines := r.Lines()
	categories := make([]string, 0, len(lines))
	values := make([][]float64, len(meter.Windows))
	for _, l := range lines {
		categories = append(categories, html.EscapeString(l.Service+" "+l.Class))
		for i, b := range l.BurnRates {
			values[i] = append(values[i], b)
		}
	}
	o := charts.NewBarChartOptionWithData(values)
	o.Title.Text = "Burn rate"
	o.CategoryAxis.Labels = categories
	o.CategoryAxis.LabelCount = len(categories)
	o.Legend.SeriesNames = windowNames
	return renderChart(o, burnChartHeightPixels)
}

// customerChart draws the percentage of good requests of the worst-served
// customers.
func customerChart(r *reporter.Report) (template.HTML, error) {
	var (
		names  []string
		shares []float64
	)
	for _, c := range r.Customers {
		if c.Good+c.Bad > 0 && len(names) < maxBars {
			names = append(names, c.Name)
			shares = append(shares, percent*c.GoodFraction)
		}
	}
	return horizontalBarChart("Requests that ended well, %", names, shares, charts.ValueAxisOption{Min: charts.Ptr(0.0), Max: charts.Ptr(float64(percent))})
}

// reasonChart draws the requests that were not answered well, by reason.
func reasonChart(r *reporter.Report) (template.HTML, error) {
	names := make([]string, 0, len(r.Reasons))
	counts := make([]float64, 0, len(r.Reasons))
	for _, o := range slices.Sorted(maps.Keys(r.Reasons)) {
		names = append(names, string(o))
		counts = append(counts, float64(r.Reasons[o]))
	}
	return horizontalBarChart("Requests not answered well", names, counts, charts.ValueAxisOption{Min: charts.Ptr(0.0)})
}

// horizontalBarChart draws one horizontal bar for each name; without names it
// draws nothing.
func horizontalBarChart(title string, names []string, values []float64, axis charts.ValueAxisOption) (template.HTML, error) {
	if len(names) == 0 {
		return "", nil
	}
	labels := make([]string, 0, len(names))
	for _, n := range names {
		labels = append(labels, html.EscapeString(n))
	}
	o := charts.NewBarChartOptionWithData([][]float64{values})
	o.Horizontal = true
	o.ValueAxis = []charts.ValueAxisOption{axis}
	o.Title.Text = title
	o.CategoryAxis.Labels = labels
	o.CategoryAxis.LabelCount = len(labels)
	o.Legend.Show = charts.Ptr(false)
	return renderChart(o, barChartFramePixels+barHeightPixels*len(names))
}

func renderChart(o charts.BarChartOption, heightPixels int) (template.HTML, error) {
	p := charts.NewPainter(charts.PainterOptions{
		OutputFormat: charts.ChartOutputSVG,
		Width:        chartWidthPixels,
		Height:       heightPixels,
	})
	if err := p.BarChart(o); err != nil {
		return "", err
	}
	data, err := p.Bytes()
	return template.HTML(data), err
}
