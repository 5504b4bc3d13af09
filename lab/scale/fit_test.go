package scale

import (
	"math"
	"testing"
)

func assertNear(t *testing.T, what string, got, want, within float64) {
	t.Helper()
	if math.Abs(got-want) > within*max(1, math.Abs(want)) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

func points(sizes []float64, of func(float64) float64) (all []Point) {
	for _, x := range sizes {
		all = append(all, Point{x, of(x)})
	}
	return all
}

func TestFitFindsAPowerLaw(t *testing.T) {
	g, ok := Fit(points([]float64{100, 300, 1000}, func(x float64) float64 { return 3 * math.Pow(x, 1.21) }))
	if !ok {
		t.Fatal("no fit")
	}
	assertNear(t, "power", g.Power, 1.21, 1e-9)
	assertNear(t, "scale", g.Scale, 3, 1e-9)
	assertNear(t, "at 8400", g.ByPower(8400), 3*math.Pow(8400, 1.21), 1e-9)
}

func TestFitFindsALine(t *testing.T) {
	g, ok := Fit(points([]float64{100, 300, 1000, 3000}, func(x float64) float64 { return 5 + 0.25*x }))
	if !ok {
		t.Fatal("no fit")
	}
	assertNear(t, "fixed", g.Intercept, 5, 1e-9)
	assertNear(t, "each", g.Slope, 0.25, 1e-9)
	assertNear(t, "at 8400", g.ByLine(8400), 5+0.25*8400, 1e-9)
}

func TestFitUsesRelativeWeights(t *testing.T) {
	g, ok := Fit([]Point{{100, 10}, {10000, 900}, {10000, 1100}})
	if !ok {
		t.Fatal("no fit")
	}
	assertNear(t, "at the small size", g.ByLine(100), 10, 1e-6)
	assertNear(t, "at the large size, where 200 weigh as much as 2 at the small size", g.ByLine(10000), 980.198, 1e-5)
}

func TestFitRejectsInsufficientPoints(t *testing.T) {
	for name, all := range map[string][]Point{
		"nothing":         nil,
		"one run":         {{100, 5}},
		"one size":        {{100, 5}, {100, 7}},
		"a figure of 0":   {{100, 5}, {300, 0}},
		"a size below 1":  {{0, 5}, {300, 7}},
		"not even number": {{100, 5}, {300, math.NaN()}},
	} {
		if _, ok := Fit(all); ok {
			t.Errorf("%s: fit accepted", name)
		}
	}
}

func TestExtrapolateSpansBothFormsAndSingleRuns(t *testing.T) {
	exact := points([]float64{100, 300, 1000}, func(x float64) float64 { return 2 * x })
	r, ok := Extrapolate(exact, 8400)
	if !ok {
		t.Fatal("no fit")
	}
	assertNear(t, "low", r.Low, 16800, 1e-6)
	assertNear(t, "top", r.High, 16800, 1e-6)
	uneven := append(exact, Point{1000, 3000}) // one outlier among the runs
	r, _ = Extrapolate(uneven, 8400)
	if r.Low > 16801 || r.High < 20000 || r.PowerLow > 1.0001 || r.PowerHigh < 1.1 {
		t.Errorf("the range doesn't include the fits with one run left out: %+v", r)
	}
	bent := points([]float64{100, 300, 1000}, func(x float64) float64 { return 500 + x })
	if r, _ = Extrapolate(bent, 8400); r.High < 8899 || r.Low > 5000 {
		t.Errorf("the range doesn't include both forms: %+v", r)
	}
}

func TestPercentile(t *testing.T) {
	all := []float64{5, 1, 4, 2, 3}
	for share, want := range map[float64]float64{0: 1, 0.2: 1, 0.5: 3, 0.99: 5, 1: 5} {
		if got := Percentile(all, share); got != want {
			t.Errorf("%v of 100: %v, want %v", 100*share, got, want)
		}
	}
	if Percentile(nil, 0.5) != 0 {
		t.Error("percentile of no figures is not 0")
	}
}
