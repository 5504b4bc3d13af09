package run

import (
	"fmt"
	"html/template"
	"math"
	"strings"
	"time"

	"firplank/lab/receiver"
	"firplank/lab/scenario"
	"firplank/report"
)

// graphitePrefix is the prefix of the Graphite paths of a run's sidecars.
const graphitePrefix = "lab"

// ReportedClass is what the stand-in for Graphite received about a class, over all sidecars.
type ReportedClass struct {
	Class   string       `json:"class"`
	Served  int          `json:"served"` // tries, summed over the reporting intervals
	Refused int          `json:"refused"`
	Failed  int          `json:"failed"`
	Points  [][2]float64 `json:"points"` // second of the run, and the tries served in the second before it
}

// reportedClasses reads the receiver's series. begin is the time at which the clients began.
func reportedClasses(s *scenario.Scenario, carbon *receiver.Carbon, begin time.Time) (all []ReportedClass) {
	for _, c := range s.Classes {
		t := ReportedClass{Class: c.Name, Points: make([][2]float64, int(s.LengthS)+1)}
		for i := range t.Points {
			t.Points[i][0] = float64(i)
		}
		for i := range s.Sidecars {
			path := fmt.Sprintf("%s.n%d.requests.%s.", graphitePrefix, i+1, report.Escape(c.Name, math.MaxInt))
			t.Refused += int(carbon.Sum(path + "refused.count"))
			t.Failed += int(carbon.Sum(path + "failed.count"))
			for _, p := range carbon.Series(path + "served.count") {
				t.Served += int(p.Value)
				if at := int(p.At.Sub(begin).Seconds()); at >= 0 && at < len(t.Points) {
					t.Points[at][1] += p.Value
				}
			}
		}
		all = append(all, t)
	}
	return all
}

// reportedPlot draws what the receiver got; it is empty without a receiver.
func (r *Report) reportedPlot() template.HTML {
	if len(r.Reported) == 0 {
		return ""
	}
	var lines []line
	var table strings.Builder
	top := 1.0
	for i, t := range r.Reported {
		for _, p := range t.Points {
			top = max(top, p[1])
		}
		lines = append(lines, line{name: t.Class, colour: fmt.Sprintf("hsl(%.0f 60%% 45%%)", math.Mod(float64(i)*137.5, 360)), points: t.Points})
		fmt.Fprintf(&table, "<tr><td>%s<td>%d<td>%d<td>%d</tr>", template.HTMLEscapeString(t.Class), t.Served, t.Refused, t.Failed)
	}
	return "<h2>Tries served a second, by class, as reported to Graphite</h2>" + r.plot(top, lines) +
		template.HTML("<table><tr><th>class<th>served<th>refused<th>failed</tr>"+table.String()+"</table>")
}
