package scale

import (
	"math"
	"slices"
)

// Point is a figure measured at a size of the mesh.
type Point struct {
	Size   float64 `json:"size"`
	Figure float64 `json:"figure"`
}

// Growth says how a figure grows with the mesh: as Scale × size^Power, and as Fixed + Each × size.
type Growth struct {
	Scale     float64 `json:"scale"`
	Power     float64 `json:"power"`
	Intercept float64 `json:"fixed"`
	Slope     float64 `json:"each"`
}

// Fit fits both forms to points by least squares: the power law over logarithms, the line with weights by the inverse
// square of the figure, so that each size counts alike in both. It reports false where there are fewer than two sizes
// or a figure isn't above 0.
func Fit(points []Point) (Growth, bool) {
	var logs, relative sums
	for _, p := range points {
		if !(p.Size > 0 && p.Figure > 0) {
			return Growth{}, false
		}
		logs.add(math.Log(p.Size), math.Log(p.Figure), 1)
		relative.add(p.Size, p.Figure, 1/(p.Figure*p.Figure))
	}
	intercept, power, ok := logs.line()
	fixed, each, ok2 := relative.line()
	return Growth{Scale: math.Exp(intercept), Power: power, Intercept: fixed, Slope: each}, ok && ok2
}

// sums are what a weighted line is fitted from.
type sums struct{ w, x, y, xx, xy float64 }

func (s *sums) add(x, y, weight float64) {
	s.w += weight
	s.x += weight * x
	s.y += weight * y
	s.xx += weight * x * x
	s.xy += weight * x * y
}

func (s *sums) line() (intercept, slope float64, ok bool) {
	d := s.w*s.xx - s.x*s.x
	if d <= 1e-12*s.w*s.xx {
		return 0, 0, false
	}
	slope = (s.w*s.xy - s.x*s.y) / d
	return (s.y - slope*s.x) / s.w, slope, true
}

// ByPower and ByLine are the figures that the two forms give for a size.
func (g Growth) ByPower(size float64) float64 { return g.Scale * math.Pow(size, g.Power) }

// ByLine is the figure of the straight line.
func (g Growth) ByLine(size float64) float64 { return g.Intercept + g.Slope*size }

// Reach is what a figure comes to at a size that was not measured, and between what bounds.
type Extrapolation struct {
	Growth    Growth  `json:"growth"`
	PowerLow  float64 `json:"powerLow"`
	PowerHigh float64 `json:"powerTop"`
	Low       float64 `json:"low"`
	High      float64 `json:"top"`
}

// Extrapolate fits points and returns the range of what all fits give at a size: both forms, over all points and with
// each one of them left out. That range is no confidence interval: it tells how much hangs on the form and on single
// runs.
func Extrapolate(points []Point, size float64) (Extrapolation, bool) {
	g, ok := Fit(points)
	if !ok {
		return Extrapolation{}, false
	}
	r := Extrapolation{Growth: g, PowerLow: g.Power, PowerHigh: g.Power}
	r.Low, r.High = min(g.ByPower(size), g.ByLine(size)), max(g.ByPower(size), g.ByLine(size))
	for i := range points {
		g, ok := Fit(slices.Delete(slices.Clone(points), i, i+1))
		if !ok {
			continue
		}
		r.PowerLow, r.PowerHigh = min(r.PowerLow, g.Power), max(r.PowerHigh, g.Power)
		r.Low = min(r.Low, g.ByPower(size), g.ByLine(size))
		r.High = max(r.High, g.ByPower(size), g.ByLine(size))
	}
	r.Low = max(0, r.Low) // a line through figures that hardly grow may fall below
	return r, true
}

// Percentile is the figure that a share of all does not pass; 0 of none.
func Percentile(all []float64, share float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, max(0, int(math.Ceil(share*float64(len(sorted))))-1))]
}
