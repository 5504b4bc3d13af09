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

// Growth is the growth of a figure with the size of the mesh, as Scale × size^Power and as Intercept + Slope × size.
type Growth struct {
	Scale     float64 `json:"scale"`
	Power     float64 `json:"power"`
	Intercept float64 `json:"fixed"`
	Slope     float64 `json:"each"`
}

// Fit fits both forms to points by least squares: the power law on logarithms, the line with the inverse square of the
// figure as weight, so that relative errors count equally at every size. It reports false if there are fewer than two
// sizes, or if a size or figure is not above 0.
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

// sums accumulates the sums of a weighted linear fit.
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

// ByPower returns the figure that the power law gives for a size.
func (g Growth) ByPower(size float64) float64 { return g.Scale * math.Pow(size, g.Power) }

// ByLine returns the figure that the line gives for a size.
func (g Growth) ByLine(size float64) float64 { return g.Intercept + g.Slope*size }

// Extrapolation is the range of a figure at a size that was not measured.
type Extrapolation struct {
	Growth    Growth  `json:"growth"`
	PowerLow  float64 `json:"powerLow"`
	PowerHigh float64 `json:"powerTop"`
	Low       float64 `json:"low"`
	High      float64 `json:"top"`
}

// Extrapolate fits points and returns the range of all fits at a size: both forms, over all points and with each single
// point left out. The range is not a confidence interval. It shows how much the result depends on the form and on single
// runs. Extrapolate reports false if the points cannot be fitted.
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
	r.Low = max(0, r.Low) // a line through decreasing figures may be below 0
	return r, true
}

// Percentile returns the smallest figure that at least the given share of all figures does not exceed, or 0 if there are none.
func Percentile(all []float64, share float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return sorted[min(len(sorted)-1, max(0, int(math.Ceil(share*float64(len(sorted))))-1))]
}
