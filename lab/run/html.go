package run

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
)

// Dimensions of the plots, in pixels.
const (
	plotWidth, plotHeight = 860.0, 180.0
	plotLeft, plotTop     = 60.0, 12.0
)

// HTML writes the report as one self-contained page.
func (r *Report) HTML(w io.Writer) error {
	if err := page.Execute(w, map[string]any{
		"R": r, "Served": r.servedPlot(), "Latency": r.latencyPlot(), "Load": r.loadPlot(), "Told": r.reportedPlot(),
	}); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return nil
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(x float64) string { return fmt.Sprintf("%.1f %%", 100*x) },
	"ms":      func(x float64) string { return fmt.Sprintf("%.0f", x) },
}).Parse(`<!doctype html><html lang="en"><meta charset="utf-8"><title>{{.R.Scenario}}</title>
<style>body{font:14px/1.4 system-ui,sans-serif;margin:2em auto;max-width:960px;color:#222}
table{border-collapse:collapse}td,th{padding:2px 9px;text-align:right;border-bottom:1px solid #ddd}
svg text{font-size:11px;fill:#555}.broken{color:#b00020;font-weight:bold}h2{font-size:16px;margin-bottom:4px}</style>
<h1>{{.R.Scenario}}</h1><p>Seed {{.R.Seed}}, {{.R.LengthS}} s, through {{.R.Program}}.
{{if .R.Good}}All rules kept.{{else}}<span class="broken">Rules broken or sidecars crashed.</span>{{end}}</p>
<h2>Served share of what was asked for at the time</h2>{{.Served}}
<h2>Time to the answer, ms: p50 and p99</h2>{{.Latency}}
<h2>Attempts a second, by server</h2>{{.Load}}
{{.Told}}
<table><tr><th>class<th>tenant<th>asked<th>in aim<th>late<th>refused<th>failed<th>unanswered
<th>p50 ms<th>p99 ms<th>p99.9 ms<th>worth</tr>
{{range .R.Rows}}<tr><td>{{.Class}}<td>{{.Tenant}}<td>{{.Asked}}<td>{{.InAim}}<td>{{.Late}}<td>{{.Refused}}<td>{{.Failed}}<td>{{.Lost}}
<td>{{ms .P50}}<td>{{ms .P99}}<td>{{ms .P999}}<td>{{percent .Worth}}</tr>
{{end}}</table>
<ul>{{range .R.Verdict.Findings}}<li class="broken">{{.At}} {{.Rule}}: {{.Text}}</li>{{end}}
{{range .R.Crashes}}<li class="broken">crash: <pre>{{.}}</pre></li>{{end}}</ul></html>
`))

type line struct {
	name   string
	colour string
	points [][2]float64
}

func (r *Report) servedPlot() template.HTML {
	l := line{name: "served", colour: "#1565c0"}
	for _, p := range r.Points {
		l.points = append(l.points, [2]float64{p.At, p.Served})
	}
	return r.plot(1, []line{l})
}

func (r *Report) latencyPlot() template.HTML {
	p50, p99 := line{name: "p50", colour: "#1565c0"}, line{name: "p99", colour: "#c62828"}
	top := 1.0
	for _, p := range r.Points {
		p50.points = append(p50.points, [2]float64{p.At, p.P50})
		p99.points = append(p99.points, [2]float64{p.At, p.P99})
		top = max(top, p.P99)
	}
	return r.plot(top, []line{p50, p99})
}

func (r *Report) loadPlot() template.HTML {
	var lines []line
	top, width := 1.0, r.LengthS/buckets
	for i, id := range r.serverOrder {
		// The hues are a golden angle apart, which keeps neighbours distinguishable for any number of servers.
		l := line{name: id, colour: fmt.Sprintf("hsl(%.0f 60%% 45%%)", math.Mod(float64(i)*137.5, 360))}
		const bucketsPerPoint = 4 // averaged for a point; in a single bucket individual requests dominate
		counts := r.Servers[id]
		for at := 0; at+bucketsPerPoint <= len(counts); at += bucketsPerPoint {
			sum := 0
			for _, n := range counts[at : at+bucketsPerPoint] {
				sum += n
			}
			rate := float64(sum) / (bucketsPerPoint * width)
			l.points = append(l.points, [2]float64{(float64(at) + bucketsPerPoint/2) * width, rate})
			top = max(top, rate)
		}
		lines = append(lines, l)
	}
	return r.plot(top, lines)
}

// plot draws lines over the time of the run, with the faults as bands in the background.
func (r *Report) plot(top float64, lines []line) template.HTML {
	x := func(at float64) float64 { return plotLeft + plotWidth*min(1, at/r.LengthS) }
	y := func(v float64) float64 { return plotTop + plotHeight*(1-min(1, v/top)) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%.0f" height="%.0f" role="img">`,
		plotLeft+plotWidth+10, plotTop+plotHeight+40)
	for i, f := range r.Faults {
		from, to := x(f.AtS), x(f.AtS+max(f.ForS, r.LengthS/200))
		fmt.Fprintf(&b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="#f9a825" opacity="0.18"/>`,
			from, plotTop, to-from, plotHeight)
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f">%s</text>`, from+2, plotTop+12+float64(i%4)*12, template.HTMLEscapeString(f.Kind))
	}
	for _, share := range []float64{0, 0.5, 1} {
		fmt.Fprintf(&b, `<line x1="%.0f" x2="%.0f" y1="%.1f" y2="%.1f" stroke="#ddd"/><text x="4" y="%.1f">%.4g</text>`,
			plotLeft, plotLeft+plotWidth, y(share*top), y(share*top), y(share*top)+4, share*top)
	}
	for i := range 11 {
		at := r.LengthS * float64(i) / 10
		fmt.Fprintf(&b, `<text x="%.1f" y="%.1f">%.3g s</text>`, x(at)-8, plotTop+plotHeight+16, at)
	}
	for _, l := range lines {
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.3" points="`, l.colour)
		for _, p := range l.points {
			fmt.Fprintf(&b, "%.1f,%.1f ", x(p[0]), y(p[1]))
		}
		fmt.Fprintf(&b, `"><title>%s</title></polyline>`, template.HTMLEscapeString(l.name))
	}
	b.WriteString("</svg>")
	return template.HTML(b.String())
}
