package report

import (
	"math"
	"time"
)

// Reading holds the values of all rows for one interval.
type Reading struct {
	End      time.Time
	Duration time.Duration // longer than one interval if several were merged
	Rows     []RowReading
}

// RowReading holds a row's values in the order of its family's Fields: Totals and Deltas of the shown counters, and Gauges for
// gauges and derived gauges, which are NaN where they have no value.
type RowReading struct {
	*Row
	Totals, Deltas []int64
	Gauges         []float64
}

// Render makes a reading of the counters' growth in an interval, and of their totals and the gauges at its end. A row that was
// added to the table after the interval is left out, or has zeros.
func (t *Table) Render(end time.Time, duration time.Duration, deltas, totals []int64, gauges []float64) *Reading {
	r := &Reading{End: end, Duration: duration}
	for _, row := range t.rows {
		f := row.Family
		if row.firstCounter+len(f.Counters) > len(totals) || row.firstGauge+len(f.Gauges) > len(gauges) {
			continue
		}
		d := deltas[row.firstCounter : row.firstCounter+len(f.Counters)]
		out := RowReading{
			Row: row, Totals: totals[row.firstCounter+f.HiddenCounters : row.firstCounter+len(f.Counters)], Deltas: d[f.HiddenCounters:],
		}
		if len(f.Gauges)+len(f.Derived) > 0 {
			out.Gauges = append(make([]float64, 0, len(f.Gauges)+len(f.Derived)), gauges[row.firstGauge:row.firstGauge+len(f.Gauges)]...)
			for range f.Derived {
				out.Gauges = append(out.Gauges, math.NaN())
			}
			if f.derive != nil {
				f.derive(d, out.Gauges[len(f.Gauges):])
			}
		}
		if len(f.ShownCounters()) > 0 || hasValue(out.Gauges) {
			r.Rows = append(r.Rows, out)
		}
	}
	return r
}

func hasValue(gauges []float64) bool {
	for _, g := range gauges {
		if !math.IsNaN(g) {
			return true
		}
	}
	return false
}
