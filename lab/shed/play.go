package shed

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"firplank/lab/model"
	"firplank/lab/scenario"
	"firplank/overload"
)

// Policy is a load shedding policy.
type Policy interface {
	// Offer reports whether a try of a class is admitted. End reports the outcome of an admitted try as its sidecar sees it.
	Offer(now time.Duration, class int) bool
	End(now time.Duration, class int, took time.Duration, how overload.Outcome)
	Tick(now time.Duration)
}

// Policies lists the names of all policies in the order in which Compare runs them.
var Policies = []string{"none", "codel", "dagor", "gradient", "limit"}

// NewPolicy returns a policy by name.
func NewPolicy(name string, s *scenario.Scenario) (Policy, error) {
	switch name {
	case "none":
		return admitAll{}, nil
	case "codel":
		return &codel{s: s, rng: rand.New(rand.NewPCG(s.Seed, 1))}, nil
	case "dagor":
		return newDagor(s), nil
	case "gradient":
		return overload.NewLimit(make([]overload.Class, 1)), nil // with a single class it ignores the worth
	case "limit":
		return overload.NewLimit(Classes(s)), nil
	}
	return nil, fmt.Errorf("unknown load shedding policy %q: want one of %v", name, Policies)
}

// Classes returns a scenario's classes as the configuration of overload.NewLimit.
func Classes(s *scenario.Scenario) (all []overload.Class) {
	for i := range s.Classes {
		all = append(all, overload.Class{Value: s.Classes[i].Worth, LatencyTarget: scenario.MS(s.Classes[i].AimMS)})
	}
	return all
}

// Outcome is the result of a simulated policy.
type Outcome struct {
	Policy         string
	Worth, Offered float64 // served and offered
	Share          float64 // Worth / Offered
	OfClassBound   float64 // Worth / MaxWorth by class
	OfRequestBound float64 // Worth / MaxWorth by request
	InAim, Late    int
	Refused        int
	Tries          int
	// RecoveredAfter is the time from the end of the last surge to the first second in which at least 0.9 of the usually offered
	// worth is served. NewServedAfter is the same for a second of whose newly offered worth at least 0.9 is served. Negative:
	// there is no such second. Both are meaningless without a surge.
	RecoveredAfter, NewServedAfter time.Duration
}

// event is an event of the simulation: a try, or an event of a server.
type event struct {
	at      time.Duration
	order   int // among events at the same time
	arrival int // the arrival of a try, if server is negative
	server  int // the server to advance, unless version is outdated
	version int
	try     int
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// job is a try that a server has accepted.
type job struct {
	arrival, try int
	began        time.Duration
}

// simulation is the state of a plan that is being simulated.
type simulation struct {
	s              *scenario.Scenario
	plan           *scenario.Plan
	policy         Policy
	servers        []*model.Server
	held           []int
	versions       []int
	jobs           map[uint64]job
	nextJob        uint64
	events         events
	order          int
	outcome        Outcome
	worthByArrival []float64 // worth, in buckets by arrival
	worthByService []float64 // worth, in buckets by service
	offeredWorth   []float64
	served         []bool
}

const bucketLength = 100 * time.Millisecond

// Play simulates a plan under a policy. Each admitted try goes to the server with the fewest requests for its capacity, as if the
// load of all servers were known.
func Play(s *scenario.Scenario, plan *scenario.Plan, name string) (*Outcome, error) {
	policy, err := NewPolicy(name, s)
	if err != nil {
		return nil, err
	}
	d := &simulation{
		s: s, plan: plan, policy: policy, jobs: map[uint64]job{}, served: make([]bool, len(plan.Arrivals)), outcome: Outcome{Policy: name},
	}
	f := &s.Fleet
	for _, k := range f.Kinds {
		for range k.Count {
			d.servers = append(d.servers, model.NewServer(model.Spec{
				Cores: k.Cores, Speed: k.Speed, Slots: int(k.Cores * float64(k.SlotsPerCore)), Queue: int(k.Cores * float64(k.QueuePerCore)),
				Thrash: f.Thrash, ThrashAt: f.ThrashAt, DropsExpired: f.DropsExpired,
			}, -time.Hour, false))
		}
	}
	d.held, d.versions = make([]int, len(d.servers)), make([]int, len(d.servers))
	n := int(s.Length()/bucketLength) + 1
	d.worthByArrival, d.worthByService, d.offeredWorth = make([]float64, n), make([]float64, n), make([]float64, n)
	for i := range plan.Arrivals {
		a := &plan.Arrivals[i]
		d.push(event{at: a.At, arrival: i, server: -1})
		d.offeredWorth[a.At/bucketLength] += s.Classes[a.Class].Worth
		d.outcome.Offered += s.Classes[a.Class].Worth
	}
	tick := time.Duration(0)
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		for ; tick+20*time.Millisecond <= e.at; tick += 20 * time.Millisecond {
			policy.Tick(tick)
		}
		if e.server < 0 {
			d.runTry(e.at, e.arrival, e.try)
		} else if d.versions[e.server] == e.version {
			d.advance(e.at, e.server)
		}
	}
	d.outcome.Share = d.outcome.Worth / d.outcome.Offered
	d.measureRecovery()
	return &d.outcome, nil
}

func (d *simulation) push(e event) {
	d.order++
	e.order = d.order
	heap.Push(&d.events, e)
}

func (d *simulation) runTry(now time.Duration, arrival, try int) {
	a := &d.plan.Arrivals[arrival]
	d.outcome.Tries++
	if !d.policy.Offer(now, a.Class) {
		d.endTry(now, arrival, try, scenario.Refused)
		return
	}
	best := 0
	for i := range d.servers {
		if float64(d.held[i])/d.capacity(i) < float64(d.held[best])/d.capacity(best) {
			best = i
		}
	}
	d.advance(now, best)
	c := &d.s.Classes[a.Class]
	work, wait := d.s.Work(a.Class, a.Trace(d.s.Seed, try))
	d.nextJob++
	j := model.Job{ID: d.nextJob, Work: work, Wait: wait, Expires: a.At + scenario.MS(c.DeadlineMS)}
	if d.servers[best].Offer(now, j) != model.Accepted {
		d.policy.End(now, a.Class, 0, overload.NoCapacity)
		d.endTry(now, arrival, try, scenario.Refused)
		return
	}
	d.held[best]++
	d.jobs[j.ID] = job{arrival, try, now}
	d.scheduleServer(best)
}

func (d *simulation) capacity(i int) float64 { return d.servers[i].Capacity(0) }

// scheduleServer queues the server's next event and invalidates its earlier one.
func (d *simulation) scheduleServer(i int) {
	d.versions[i]++
	if at, ok := d.servers[i].Next(); ok {
		d.push(event{at: at, server: i, version: d.versions[i]})
	}
}

// advance advances a server to now and ends the tries that it has completed.
func (d *simulation) advance(now time.Duration, i int) {
	for _, done := range d.servers[i].Advance(now) {
		j := d.jobs[done.ID]
		delete(d.jobs, done.ID)
		d.held[i]--
		a := &d.plan.Arrivals[j.arrival]
		end, how := scenario.Served, overload.Answered
		if done.Expired {
			end, how = scenario.Failed, overload.Inconclusive
		}
		d.policy.End(now, a.Class, now-j.began, how)
		d.endTry(now, j.arrival, j.try, end)
	}
	d.scheduleServer(i)
}

// endTry records the end of a try and schedules the client's retry, if any.
func (d *simulation) endTry(now time.Duration, arrival, try int, end scenario.Outcome) {
	a := &d.plan.Arrivals[arrival]
	c := &d.s.Classes[a.Class]
	if end == scenario.Served && !d.served[arrival] {
		d.served[arrival] = true
		worth := 0.0
		switch took := now - a.At; {
		case took <= scenario.MS(c.AimMS):
			worth = c.Worth
			d.outcome.InAim++
		case took <= scenario.MS(c.DeadlineMS):
			worth = c.Worth * c.LateWorth
			d.outcome.Late++
		}
		d.outcome.Worth += worth
		d.worthByArrival[a.At/bucketLength] += worth
		d.worthByService[min(len(d.worthByService)-1, int(now/bucketLength))] += worth
		return
	}
	r := model.Rand(d.s.Seed, "tries", strconv.Itoa(arrival), strconv.Itoa(try))
	wait, retry := d.s.Clients.RetryDelay(r, c.Effect, try, end,
		time.Duration(float64(bucketLength)*(1+r.Float64())), a.At+scenario.MS(c.DeadlineMS)-now)
	if retry {
		d.push(event{at: now + wait, arrival: arrival, try: try + 1, server: -1})
	} else if end == scenario.Refused {
		d.outcome.Refused++
	}
}

// measureRecovery sets RecoveredAfter and NewServedAfter of the outcome.
func (d *simulation) measureRecovery() {
	first, last := d.s.Length(), time.Duration(0)
	for i := range d.s.Faults {
		if f := &d.s.Faults[i]; f.Kind == "surge" {
			first, last = min(first, f.At()), max(last, f.At()+f.For())
		}
	}
	const second = int(time.Second / bucketLength)
	usualWorth := sum(d.offeredWorth[:max(1, int(first/bucketLength))]) / max(1, float64(int(first/bucketLength))) * float64(second)
	d.outcome.RecoveredAfter, d.outcome.NewServedAfter = -1, -1
	from := int(last / bucketLength)
	for i := len(d.offeredWorth) - 1 - second; i >= from; i-- { // the last bucket is incomplete
		after := time.Duration(i-from) * bucketLength
		if sum(d.worthByService[i:i+second]) >= 0.9*min(usualWorth, sum(d.offeredWorth[i:i+second])) {
			d.outcome.RecoveredAfter = after
		}
		if sum(d.worthByArrival[i:i+second]) >= 0.9*sum(d.offeredWorth[i:i+second]) {
			d.outcome.NewServedAfter = after
		}
	}
}

func sum(all []float64) (s float64) {
	for _, v := range all {
		s += v
	}
	return s
}

// Compare simulates each policy and computes its shares of the upper bounds.
func Compare(s *scenario.Scenario, plan *scenario.Plan) (all []Outcome, err error) {
	byClass, _ := MaxWorth(s, plan, true, 0)
	byRequest, _ := MaxWorth(s, plan, false, 0)
	for _, name := range Policies {
		o, err := Play(s, plan, name)
		if err != nil {
			return nil, err
		}
		o.OfClassBound, o.OfRequestBound = o.Worth/byClass, o.Worth/byRequest
		all = append(all, *o)
	}
	return all, nil
}
