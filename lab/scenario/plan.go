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

// Quirk is what is odd about a client.
type Quirk int

// The quirks.
const (
	NoQuirk Quirk = iota
	HangsUp
	HalfCloses
	ReadsSlowly
)

// Arrival is a first try, drawn ahead: a slow answer to one does not put off the next.
type Arrival struct {
	Number      int
	At          time.Duration
	Class       int
	Tenant      int
	Sidecar     int
	Key         string // the idempotency key of a keyed class
	Object      string
	Held        int // the held connection that it goes out on, from 1; 0: any other
	Quirk       Quirk
	HangUpAfter time.Duration // after its sending, when Quirk is HangsUp
}

// Trace is the id of a try of the arrival; each try has its own.
func (a *Arrival) Trace(seed uint64, try int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d/%d/%d", seed, a.Number, try) // a hash's Write does not fail
	return fmt.Sprintf("%016x", h.Sum64())
}

// Plan is all that a day draws ahead.
type Plan struct {
	Arrivals []Arrival
}

// mostArrivals bounds a plan's memory.
const maxArrivals = 2_000_000

// Draw draws the day of a scenario that passed its check.
func (s *Scenario) Draw() (*Plan, error) {
	r := model.Rand(s.Seed, "arrivals")
	peakRate := s.Rate * s.maxArrivalFactor()
	if peakRate*s.LengthS > maxArrivals {
		return nil, fmt.Errorf("%s: some %.0f arrivals: at most %d", s.Name, peakRate*s.LengthS, maxArrivals)
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

// drawRushes adds what held connections send.
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

// surge is what arrivals are multiplied by at a time, over all tenants.
func (s *Scenario) arrivalFactor(at time.Duration) float64 {
	usual, now := 0.0, 0.0
	for i := range s.Tenants {
		usual += s.Tenants[i].Share * s.Tenants[i].Usage
		now += s.tenantShare(i, at)
	}
	return s.surgeFactor("", at) * (now / usual)
}

// pull is a tenant's part of the arrivals at a time, besides what surges all of them.
func (s *Scenario) tenantShare(tenant int, at time.Duration) float64 {
	t := &s.Tenants[tenant]
	return t.Share * t.Usage * s.surgeFactor(t.Name, at)
}

// surgeOf multiplies the surges of one tenant, or those of all.
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
		if s.Faults[i].Kind == "surge" { // factors change only where one begins
			highest = max(highest, s.arrivalFactor(s.Faults[i].At()))
		}
	}
	return highest
}

// Work returns what a try costs the server that runs it. It hangs on the seed, the class and the arrival, not on which
// server asks or when.
func (s *Scenario) Work(class int, trace string) (work, wait time.Duration) {
	c := &s.Classes[class]
	r := model.Rand(s.Seed, "work", trace)
	work = model.Dist{Kind: c.Dist, Mean: MS(c.WorkMS), CV: c.CV}.Draw(r)
	wait = time.Duration(float64(MS(c.WaitMS)) * (0.7 + 0.6*r.Float64()))
	return work, wait
}

// Ending is how a try ended for the client.
type Outcome int

// The endings.
const (
	Served Outcome = iota
	Refused
	Failed
	Lost // no final answer: the connection ended, or time did
)

// Again decides whether a client tries once more after the try of this number (0 is the first) ended, and how long it
// waits first; left is what remains of the class's deadline. A client does not repeat what may have run and is unsafe.
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

// Candidate is a server that a fault could strike.
type Candidate struct {
	Number int // in the order of their start
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

// Strikes returns the numbers of those that the fault strikes. What is drawn hangs on the seed and the fault's place in
// the file.
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
