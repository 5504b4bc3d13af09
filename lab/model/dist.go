// Package model models the behaviour of the laboratory's stand-ins: how long work takes, the capacity of a server, when a cold
// server fails from overload, and which keyed repeats a cell drops. It does no I/O and has no goroutines and no clock of its
// own: each call takes the time since the start of the run, so that a test can simulate a whole scenario without sockets.
// Begin with Server.
package model

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"
)

// Dist is a distribution of durations with a given mean.
type Dist struct {
	Kind string        // "fixed", "exp", "lognormal" or "pareto"
	Mean time.Duration // 0 or more
	CV   float64       // standard deviation over mean; of "lognormal" and "pareto"
}

// maxDrawMeans bounds a draw, as a multiple of the mean, so that no request of a heavy tail outlasts the run.
const maxDrawMeans = 50

// Check returns an error that says what makes d invalid.
func (d Dist) Check() error {
	switch d.Kind {
	case "fixed", "exp", "lognormal", "pareto":
	default:
		return fmt.Errorf("unknown distribution %q: want fixed, exp, lognormal or pareto", d.Kind)
	}
	if d.Mean < 0 || !(d.CV >= 0) || math.IsInf(d.CV, 0) {
		return fmt.Errorf("distribution %s: mean %v and cv %v have to be 0 or more", d.Kind, d.Mean, d.CV)
	}
	return nil
}

// Draw returns a duration of d, at most 50 times its mean.
func (d Dist) Draw(r *rand.Rand) time.Duration {
	factor := 1.0
	switch d.Kind {
	case "exp":
		factor = r.ExpFloat64()
	case "lognormal":
		s2 := math.Log(1 + d.CV*d.CV)
		factor = math.Exp(r.NormFloat64()*math.Sqrt(s2) - s2/2)
	case "pareto":
		if d.CV > 0 {
			// The shape whose standard deviation over mean is CV: 1/sqrt(a(a-2)).
			a := 1 + math.Sqrt(1+1/(d.CV*d.CV))
			factor = (a - 1) / a * math.Pow(1-r.Float64(), -1/a)
		}
	}
	return time.Duration(float64(d.Mean) * min(factor, maxDrawMeans))
}

// Rand returns a source that depends on the seed and the names only, so that the draws for one purpose don't change when
// another purpose draws more often.
func Rand(seed uint64, names ...string) *rand.Rand {
	h := fnv.New64a()
	for _, n := range names {
		h.Write([]byte(n))
		h.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}
