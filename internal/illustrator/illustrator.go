// Package illustrator writes the burn report as one web page that needs nothing
// else.
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

	// The sizes of a chart, in pixels. The frame is what a chart of bars needs
	// beside its bars.
	barHeight   = 28
	chartFrame  = 110
	chartHeight = 320
	chartWidth  = 900

	// maxBars is how many customers a chart shows; the table has them all.
	maxBars = 20
)

var (
	//go:embed page.gohtml
	pageText string

	page = template.Must(template.New("page").Funcs(template.FuncMap{
		"percent": func(share float64) string { return fmt.Sprintf("%.2f%%", percent*share) },
		"total":   func(t reporter.Tally) uint64 { return t.Good + t.Bad },
	}).Parse(pageText))

	spanNames = []string{"5m", "30m", "1h", "6h", "3d"}
)

// content is what the page shows.
type content struct {
	Made      string
	Report    *reporter.Report
	Worst     *reporter.CustomerReport
	Spans     []string
	Burn      template.HTML
	Customers template.HTML
	Reasons   template.HTML
}

// Write writes the page of a report that was made at that time.
func WritePage(w io.Writer, r *reporter.Report, made time.Time) (err error) {
	defer func() { err = errors.Wrap(err, "write burn page") }()
	c := content{Made: made.UTC().Format(time.DateTime) + " UTC", Report: r, Spans: spanNames}
	if worst, found := r.WorstCustomer(); found {
		c.Worst = &worst
	}
	if c.Burn, err = burnChart(r); err != nil {
		return err
	}
	if c.Customers, err = customerChart(r); err != nil {
		return err
	}
	if c.Reasons, err = reasonChart(r); err != nil {
		return err
	}
	return page.Execute(w, c)
}

// burnChart draws the burn rates of each service and class over each span.
func burnChart(r *reporter.Report) (template.HTML, error) {
	lines := r.Lines()
	categories := make([]string, 0, len(lines))
	values := make([][]float64, len(meter.Windows))
	for _, l := range lines {
		categories = append(categories, html.EscapeString(l.Service+" "+l.Class))
		for i, b := range l.Burn {
			values[i] = append(values[i], b)
		}
	}
	o := charts.NewBarChartOptionWithData(values)
	o.Title.Text = "Burn rate"
	o.CategoryAxis.Labels = categories
	o.CategoryAxis.LabelCount = len(categories)
	o.Legend.SeriesNames = spanNames
	return draw(o, chartHeight)
}

// customerChart draws the part of good requests of the worst-served customers.
func customerChart(r *reporter.Report) (template.HTML, error) {
	var (
		names  []string
		shares []float64
	)
	for _, c := range r.Customers {
		if c.Good+c.Bad > 0 && len(names) < maxBars {
			names = append(names, c.Name)
			shares = append(shares, percent*c.GoodShare)
		}
	}
	return bars("Requests that ended well, %", names, shares, charts.ValueAxisOption{Min: charts.Ptr(0.0), Max: charts.Ptr(float64(percent))})
}

// reasonChart draws the requests that were not answered well, by reason.
func reasonChart(r *reporter.Report) (template.HTML, error) {
	names := make([]string, 0, len(r.Reasons))
	counts := make([]float64, 0, len(r.Reasons))
	for _, o := range slices.Sorted(maps.Keys(r.Reasons)) {
		names = append(names, string(o))
		counts = append(counts, float64(r.Reasons[o]))
	}
	return bars("Requests not answered well", names, counts, charts.ValueAxisOption{Min: charts.Ptr(0.0)})
}

// bars draws one horizontal bar for each name.
func bars(title string, names []string, values []float64, axis charts.ValueAxisOption) (template.HTML, error) {
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
	return draw(o, chartFrame+barHeight*len(names))
}

func draw(o charts.BarChartOption, height int) (template.HTML, error) {
	p := charts.NewPainter(charts.PainterOptions{
		OutputFormat: charts.ChartOutputSVG,
		Width:        chartWidth,
		Height:       height,
	})
	if err := p.BarChart(o); err != nil {
		return "", err
	}
	data, err := p.Bytes()
	return template.HTML(data), err
}
