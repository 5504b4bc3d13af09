package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"firplank/lab/mesh"
)

// Bounds of the rules, as the processes are told them, and how much later than a bound something has to be to break a
// rule with a time bound: the soak's own clocks and connections take some of it.
const (
	inTouch   = 3 * time.Second
	inForce   = 2500 * time.Millisecond
	backSlack = 250 * time.Millisecond
	lastPost  = 2500 * time.Millisecond
	grace     = 6 * time.Second
	receipt   = 5 * time.Second
	recovery  = 15 * time.Second
	tolerance = 400 * time.Millisecond
	// cutShare is the part of its time that a request has to have left for its broken connection to count.
	cutShare = 0.7
)

// Violation is a broken promise.
type Violation struct {
	At   time.Duration `json:"at"` // since the start of traffic
	Rule string        `json:"rule"`
	What string        `json:"what"`
}

// exchange is a request of a client and what became of it.
type exchange struct {
	id       string
	machine  string // that took it
	life     int    // of its process
	unsafe   bool
	marker   uint32   // the version whose route it is for; 0: none
	wrong    bool     // a success whose body or headers are not the server's
	services []string // that may run it
	by       int      // which of them has, of a success
	padding  int      // bytes of the body behind its text
	byServer bool     // the answer is a server's own
	body     string
	sent     time.Duration
	ended    time.Duration
	deadline time.Duration // how long the client waits
	status   int           // 0: the connection ended without a complete answer
	ending   ending        // where there is no answer
}

// ending is why an exchange has no answer.
type ending uint8

const (
	answered  ending = iota
	broken           // the connection ended
	left             // the client left early
	unreached        // no connection was made: nobody listens
	expired          // the client has waited for all of its time
)

// span is a time in which something was disturbed.
type span struct{ from, to time.Duration }

// Judge records what clients, servers and operators see, and tells which promises were broken. It knows nothing of the
// programs. It is safe for concurrent use.
type Judge struct {
	mu         sync.Mutex
	violations []Violation

	requests  map[string]*request
	arrivals  map[string][]arrival     // by service
	runs      map[string]int           // by request
	spoilt    map[string]bool          // requests whose server broke off
	ranOn     map[string]string        // the last server of each request
	gone      map[string]time.Duration // when servers ended
	promised  map[string]string        // requests that were refused, which promises that they have not run, and by whom
	disturbed map[string][]span        // unplanned troubles by machine; of the core and of all links under core
	stops     map[string][]span        // SIGTERMs by machine, until the process has ended
	markers   map[[2]string]seenMarker
	split     map[string]int // successes on the split route in calm times, by service

	acked     map[uint32]ack
	newest    uint32 // of acked
	counts    Counts
	tolerated int // requests at closing servers while machines were disturbed
}

// core is the name under which troubles of the control machines as a group are recorded.
const core = "core"

type ack struct {
	content string
	at      time.Duration
}

type seenMarker struct {
	version uint32
	at      time.Duration
}

// Counts are what was done and seen.
type Counts struct {
	Requests, Served, Refused, Failed  int // by the status
	Broken, Left, Unreached, Expired   int // without one
	Runs, Changes, Acknowledged, Reads int
	// AfterLeaving are arrivals long after the client had left, ExtraTime those with more time than is left.
	AfterLeaving, ExtraTime int
	// Held are requests without an answer heldFor after their client's deadline, Dropped those that a server has run and whose connection
	// ended without an answer, both at machines in touch.
	Held, Dropped int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		requests: map[string]*request{}, arrivals: map[string][]arrival{}, runs: map[string]int{}, spoilt: map[string]bool{},
		ranOn: map[string]string{}, gone: map[string]time.Duration{}, promised: map[string]string{}, disturbed: map[string][]span{},
		stops: map[string][]span{}, markers: map[[2]string]seenMarker{}, acked: map[uint32]ack{}, split: map[string]int{},
	}
}

// Violations returns what was broken so far.
func (j *Judge) Violations() []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations)
}

// Counts returns what was seen so far.
func (j *Judge) Counts() Counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts
}

// Break records a violation that somebody else has found.
func (j *Judge) Break(at time.Duration, rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaks(at, rule, format, args...)
}

func (j *Judge) breaks(at time.Duration, rule, format string, args ...any) {
	j.violations = append(j.violations, Violation{at, rule, fmt.Sprintf(format, args...)})
}

// Disturbed records an unplanned trouble of machines.
func (j *Judge) Disturbed(from, to time.Duration, machines ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, m := range machines {
		j.disturbed[m] = append(j.disturbed[m], span{from, to})
	}
}

// Disturb records an unplanned trouble of machines from a time on, until end is called.
func (j *Judge) Disturb(from time.Duration, machines ...string) (end func(at time.Duration)) {
	return j.open(j.disturbed, from, machines)
}

// Stop records a SIGTERM of a machine, until end is called.
func (j *Judge) Stop(from time.Duration, machine string) (end func(at time.Duration)) {
	return j.open(j.stops, from, []string{machine})
}

// open adds a span without an end to each machine.
func (j *Judge) open(spans map[string][]span, from time.Duration, machines []string) (end func(at time.Duration)) {
	const never = time.Duration(1<<63 - 1)
	j.mu.Lock()
	defer j.mu.Unlock()
	at := map[string]int{}
	for _, m := range machines {
		at[m] = len(spans[m])
		spans[m] = append(spans[m], span{from, never - time.Hour})
	}
	return func(to time.Duration) {
		j.mu.Lock()
		defer j.mu.Unlock()
		for m, i := range at {
			spans[m][i].to = to
		}
	}
}

// calm reports whether machines, and the core, were undisturbed from inTouch before a time until another.
func (j *Judge) calm(from, to time.Duration, machines ...string) bool {
	for _, m := range append(machines, core) {
		for _, s := range j.disturbed[m] {
			if s.from <= to && s.to >= from-inTouch-tolerance {
				return false
			}
		}
	}
	return true
}

// calmEverywhere reports whether nothing at all was disturbed.
func (j *Judge) calmEverywhere(from, to time.Duration) bool {
	return j.calm(from, to, slices.Collect(maps.Keys(j.disturbed))...)
}

// stopping returns the SIGTERM of a machine during which a request was taken.
func (j *Judge) stopping(machine string, at time.Duration) (span, bool) {
	for _, s := range j.stops[machine] {
		if at >= s.from && at <= s.to+time.Second {
			return s, true
		}
	}
	return span{}, false
}

// Arrived records that a server runs a request.
func (j *Judge) Arrived(at time.Duration, machine string, a mesh.Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts.Runs++
	j.arrivedFor(at, machine, &a)
	j.runs[a.RequestID]++
	j.ranOn[a.RequestID] = a.Server
	if a.Spoilt {
		j.spoilt[a.RequestID] = true
	}
	if a.SinceClosing <= lastPost+tolerance {
		return
	}
	if !j.calm(at, at, machine) {
		j.tolerated++
		return
	}
	j.breaks(at, "DRAIN", "request %s reaches server %s %v after its closing was acknowledged", a.RequestID, a.Server, a.SinceClosing)
}

// ServerGone records the end of a server, which breaks off what it is at work on.
func (j *Judge) ServerGone(at time.Duration, server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.gone[server] = at
}
