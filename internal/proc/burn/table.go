package burn

import (
	"fmt"
	"html/template"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// WriteTable writes the report as a plain-text table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORKSPACE\tSERVICE\tCLASS\tOBJECTIVE\tTARGET\tBURN 5M\tBURN 1H\tBURN 6H\tBUDGET LEFT\tALERT")
	for i := range r.Rows {
		row := &r.Rows[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.1f%%\t%.2f\t%.2f\t%.2f\t%.0f%%\t%s\n",
			row.Workspace, row.Service, row.Class, row.Objective, 100*row.Objective.Target(),
			row.Rate(0), row.Rate(1), row.Rate(2), 100*row.Left(), row.Alert())
	}
	fmt.Fprintf(t, "\ncounts of %d VMs\n", len(r.VMs))
	for _, vm := range r.Silent {
		fmt.Fprintf(t, "VM %s did not answer: its counts are missing\n", vm)
	}
	return trace.Wrap(t.Flush())
}

const (
	barWidth = 120.0 // bar width in pixels for burn rates of barRate or more
	barRate  = pageRate
)

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"bar":     func(rate float64) float64 { return barWidth * min(rate, barRate) / barRate },
	"percent": func(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) },
	"rate":    func(x float64) string { return fmt.Sprintf("%.2f", x) },
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}
td,th{padding:.3em .8em;text-align:left;border-bottom:1px solid #ddd}
.page{background:#fbd9d3}.ticket{background:#fdf1cf}
</style>
<h1>Service-level burn</h1>
<p>At {{.At.UTC.Format "2006-01-02 15:04:05"}} UTC, from {{len .VMs}} VMs.
{{range .Silent}}<strong>VM {{.}} did not answer: its counts are missing.</strong> {{end}}</p>
<table><tr><th>Workspace<th>Service<th>Class<th>Objective<th>Target<th>Burn 5m<th>Burn 1h<th>Burn 6h<th>Budget left<th>Alert
{{range .Rows}}<tr class="{{.Alert}}"><td>{{.Workspace}}<td>{{.Service}}<td>{{.Class}}<td>{{.Objective}}<td>{{percent .Objective.Target}}
{{range .Rates}}<td><svg width="120" height="10"><rect width="{{bar .}}" height="10" fill="#c0542e"/></svg> {{rate .}}{{end}}
<td>{{percent .Left}}<td>{{.Alert}}
{{end}}</table></html>
`))

// Rates returns the burn rates over all windows, shortest first.
func (r *Row) Rates() []float64 {
	out := make([]float64, 0, len(Windows))
	for i := range Windows {
		out = append(out, r.Rate(i))
	}
	return out
}

// WritePage writes the report as a self-contained HTML page.
func (r *Report) WritePage(w io.Writer) error {
	rows := make([]*Row, 0, len(r.Rows))
	for i := range r.Rows {
		rows = append(rows, &r.Rows[i])
	}
	return trace.Wrap(pageTemplate.Execute(w, struct {
		*Report
		Rows []*Row
	}{r, rows}))
}
