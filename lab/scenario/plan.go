package scenario

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"firplank/lab/model"
)

// Quirk is an unusual behaviour of a client.
type Quirk int

// The quirks.
const (
	NoQuirk Quirk = iota
	HangsUp
	HalfCloses
	ReadsSlowly
)

// Arrival is the first try of a request. All arrivals are drawn before the run, so that a slow response doesn't delay later
// ones (open loop).
type Arrival struct {
	Number      int
	At          time.Duration
	Class       int
	Tenant      int
	Sidecar     int
	Key         string // the idempotency key of a keyed class
	Object      string
	Held        int // number of the held connection that it uses, from 1; 0: none
	Quirk       Quirk
	HangUpAfter time.Duration // delay after sending, if Quirk is HangsUp
}

// Trace returns the id of a try of the arrival. Each try has its own id.
func (a *Arrival) Trace(seed uint64, try int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%d/%d", seed, a.Number, try) // a hash's Write does not fail
	return fmt.Sprintf("%016x", h.Sum64())
}

// Plan holds everything that is drawn before a run.
type Plan struct {
	Arrivals []Arrival
}

// maxArrivals bounds a plan's memory.
const maxArrivals = 2_000_000

// Draw draws the plan of a scenario that has passed Check. It returns an error if the plan would have too many arrivals.
func (s *Scenario) Draw() (*Plan, error) {
	r := model.Rand(s.Seed, "arrivals")
	peakRate := s.Rate * s.maxArrivalFactor()
	if peakRate*s.LengthS > maxArrivals {
		return nil, fmt.Errorf("%s: about %.0f arrivals: want at most %d", s.Name, peakRate*s.LengthS, maxArrivals)
	}
	p := &Plan{}
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / peakRate * float64(time.Second))
		if at >= s.Length() {
			s.drawRushes(p)
			return p, nil
		}
		if keep := s.Rate * s.arrivalFactor(at) / peakRate; r.Float64() >= keep {
			continue
		}
		p.Arrivals = append(p.Arrivals, s.drawOne(r, len(p.Arrivals), at))
	}
}

// drawRushes adds the requests on held connections.
func (s *Scenario) drawRushes(p *Plan) {
	for i := range s.Faults {
		f := &s.Faults[i]
		if f.Kind != "rush" {
			continue
		}
		r := model.Rand(s.Seed, "rush", strconv.Itoa(i))
		n := s.Clients.Held * s.Sidecars
		for position, conn := range r.Perm(n) {
			a := s.drawOne(r, len(p.Arrivals), f.At()+f.For()*time.Duration(position)/time.Duration(n))
			a.Sidecar, a.Held, a.Quirk = conn%s.Sidecars, conn/s.Sidecars+1, NoQuirk
			p.Arrivals = append(p.Arrivals, a)
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range p.Arrivals {
		p.Arrivals[i].Number = i
	}
}

func (s *Scenario) drawOne(r *rand.Rand, number int, at time.Duration) Arrival {
	a := Arrival{Number: number, At: at, Sidecar: r.IntN(s.Sidecars)}
	a.Class = pick(r, len(s.Classes), func(i int) float64 { return s.Classes[i].Share })
	a.Tenant = pick(r, len(s.Tenants), func(i int) float64 { return s.tenantShare(i, at) })
	a.Object = fmt.Sprintf("%016x", r.Uint64())
	key, quirk, goes := r.Uint64(), r.Float64(), r.Float64()
	c := &s.Classes[a.Class]
	if c.Effect == "keyed" {
		a.Key = fmt.Sprintf("%016x%08x", key, number)
	}
	switch h := &s.Clients; {
	case quirk < h.HangUp:
		a.Quirk, a.HangUpAfter = HangsUp, time.Duration(goes*0.2*float64(MS(c.DeadlineMS)))
	case quirk < h.HangUp+h.HalfClose:
		a.Quirk = HalfCloses
	case quirk < h.HangUp+h.HalfClose+h.SlowReader:
		a.Quirk = ReadsSlowly
	}
	return a
}

func pick(r *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// arrivalFactor returns the factor of the arrival rate at a time, over all tenants.
func (s *Scenario) arrivalFactor(at time.Duration) float64 {
	usual, now := 0.0, 0.0
	for i := range s.Tenants {
		usual += s.Tenants[i].Share * s.Tenants[i].Usage
		now += s.tenantShare(i, at)
	}
	return s.surgeFactor("", at) * (now / usual)
}

// tenantShare returns a tenant's weight among the arrivals at a time, without the surges of all tenants.
func (s *Scenario) tenantShare(tenant int, at time.Duration) float64 {
	t := &s.Tenants[tenant]
	return t.Share * t.Usage * s.surgeFactor(t.Name, at)
}

// surgeFactor returns the product of the surges of one tenant at a time, or of those that affect all if tenant is empty.
func (s *Scenario) surgeFactor(tenant string, at time.Duration) float64 {
	factor := 1.0
	for i := range s.Faults {
		if f := &s.Faults[i]; f.Kind == "surge" && f.Tenant() == tenant && at >= f.At() && at < f.At()+f.For() {
			factor *= f.Size
		}
	}
	return factor
}

func (s *Scenario) maxArrivalFactor() float64 {
	highest := 1.0
	for i := range s.Faults {
		if s.Faults[i].Kind == "surge" { // with sizes above 1 the factor rises only when a surge begins
			highest = max(highest, s.arrivalFactor(s.Faults[i].At()))
		}
	}
	return highest
}

// Work returns the core time of a try and its wait on other services. They depend on the seed, the class and the trace only,
// not on the server or the time.
func (s *Scenario) Work(class int, trace string) (work, wait time.Duration) {
	c := &s.Classes[class]
	r := model.Rand(s.Seed, "work", trace)
	work = model.Dist{Kind: c.Dist, Mean: MS(c.WorkMS), CV: c.CV}.Draw(r)
	wait = time.Duration(float64(MS(c.WaitMS)) * (0.7 + 0.6*r.Float64()))
	return work, wait
}

// Outcome is the outcome of a try for the client.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
	Lost // no final response: the connection ended or the client gave up
)

// RetryDelay decides whether a client retries after the try with this number (from 0), and returns the delay before the retry. left
// is the remaining time until the deadline. An unsafe request that may have run is not retried.
func (c *Clients) RetryDelay(r *rand.Rand, effect string, try int, end Outcome, retryAfter, left time.Duration) (time.Duration, bool) {
	if end == Served || try >= c.Retries || effect == "unsafe" && end != Refused {
		return 0, false
	}
	wait := time.Duration(float64(MS(c.BackoffMS)) * float64(int(1)<<try) * (0.5 + r.Float64()))
	if end == Refused && c.HonorRetryAfter {
		wait = max(wait, retryAfter)
	}
	return wait, wait < left
}

// Candidate is a server or sidecar that a fault can affect.
type Candidate struct {
	Number int // in the order of start
	Cell   int
	Kind   string
}

type target struct {
	scope string
	value string
	share float64
}

func parseTarget(text string) (target, error) {
	scope, value, _ := strings.Cut(text, ":")
	t := target{scope: scope, value: value}
	var err error
	switch scope {
	case "all", "":
		t.scope = "all"
	case "kind", "tenant":
	case "server", "cell", "sidecar":
		_, err = strconv.Atoi(value)
	case "share":
		t.share, err = strconv.ParseFloat(value, 64)
		if err == nil && !(t.share > 0 && t.share <= 1) {
			err = fmt.Errorf("not in 0 to 1")
		}
	default:
		err = fmt.Errorf("want all, server:N, cell:N, kind:NAME, share:X, sidecar:N or tenant:NAME")
	}
	if err != nil {
		return t, fmt.Errorf("target %q: %w", text, err)
	}
	return t, nil
}

// AffectedBy returns the numbers of the candidates that the fault affects. A random choice depends on the seed and the fault's
// position in the file only.
func (s *Scenario) AffectedBy(fault int, candidates []Candidate) (numbers []int) {
	t, err := parseTarget(s.Faults[fault].Target)
	if err != nil {
		return nil
	}
	r := model.Rand(s.Seed, "fault", strconv.Itoa(fault))
	if t.scope == "share" {
		n := max(1, int(t.share*float64(len(candidates))+0.5))
		for _, i := range r.Perm(len(candidates))[:min(n, len(candidates))] {
			numbers = append(numbers, candidates[i].Number)
		}
		return numbers
	}
	for _, c := range candidates {
		if t.scope == "all" || t.scope == "kind" && c.Kind == t.value || t.scope == "cell" && strconv.Itoa(c.Cell) == t.value ||
			(t.scope == "server" || t.scope == "sidecar") && strconv.Itoa(c.Number) == t.value {
			numbers = append(numbers, c.Number)
		}
	}
	return numbers
}
