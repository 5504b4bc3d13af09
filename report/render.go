package report

import (
	"math"
	"time"
)

// Reading is what an interval comes to.
type Reading struct {
	End      time.Time
	Duration time.Duration // more than an interval where some were put together
	Rows     []RowReading
}

// RowReading holds a row's figures, in the order of its family's Fields: Totals and Deltas for the shown counters, Gauges for
// the gauges and those derived, NaN where there is none.
type RowReading struct {
	*Row
	Totals, Deltas []int64
	Gauges         []float64
}

// Render makes a reading of what counters have grown by in an interval, what they came to at its end, and the gauges then.
// What a sample knew no place for, as the row came later, is 0 or missing.
func (t *Table) Render(end time.Time, duration time.Duration, deltas, totals []int64, gauges []float64) *Reading {
	r := &Reading{End: end, Duration: duration}
	for _, row := range t.rows {
		f := row.Family
		if row.firstCounter+len(f.Counters) > len(totals) || row.firstGauge+len(f.Gauges) > len(gauges) {
			continue
		}
		d := deltas[row.firstCounter : row.firstCounter+len(f.Counters)]
		out := RowReading{Row: row, Totals: totals[row.firstCounter+f.HiddenCounters : row.firstCounter+len(f.Counters)], Deltas: d[f.HiddenCounters:]}
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
