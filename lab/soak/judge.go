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
	inTouch     = 3 * time.Second
	inForce     = 2500 * time.Millisecond
	backSlack   = 250 * time.Millisecond
	lastPost    = 2500 * time.Millisecond
	grace       = 6 * time.Second
	receipt     = 5 * time.Second
	recovery    = 15 * time.Second
	timingSlack = 400 * time.Millisecond
	// cutShare is the part of its time that a request has to have left for its broken connection to count.
	abortShare = 0.7
)

// Violation is a broken promise.
type Violation struct {
	At   time.Duration `json:"at"` // since the start of traffic
	Rule string        `json:"rule"`
	What string        `json:"what"`
}

// exchange is a request of a client and what became of it.
type exchange struct {
	id            string
	machine       string // that took it
	incarnation   int    // of its process
	unsafe        bool
	markerVersion uint32   // the version whose route it is for; 0: none
	mismatched    bool     // a success whose body or headers are not the server's
	services      []string // that may run it
	serviceIndex  int      // which of them has, of a success
	paddingBytes  int      // bytes of the body behind its text
	fromServer    bool     // the answer is a server's own
	body          string
	sent          time.Duration
	ended         time.Duration
	deadline      time.Duration // how long the client waits
	status        int           // 0: the connection ended without a complete answer
	ending        ending        // where there is no answer
}

// ending is why an exchange has no answer.
type ending uint8

const (
	answered    ending = iota
	broken             // the connection ended
	cancelled          // the client left early
	unreachable        // no connection was made: nobody listens
	expired            // the client has waited for all of its time
)

// span is a time in which something was disturbed.
type span struct{ from, to time.Duration }

// Judge records what clients, servers and operators see, and tells which promises were broken. It knows nothing of the
// programs. It is safe for concurrent use.
type Judge struct {
	mu         sync.Mutex
	violations []Violation

	requests   map[string]*request
	arrivals   map[string][]arrival     // by service
	runs       map[string]int           // by request
	aborted    map[string]bool          // requests whose server broke off
	lastServer map[string]string        // the last server of each request
	serverEnds map[string]time.Duration // when servers ended
	rejectedBy map[string]string        // requests that were refused, which promises that they have not run, and by whom
	faults     map[string][]span        // unplanned troubles by machine; of the core and of all links under core
	shutdowns  map[string][]span        // SIGTERMs by machine, until the process has ended
	markers    map[[2]string]seenMarker
	split      map[string]int // successes on the split route in calm times, by service

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
		requests: map[string]*request{}, arrivals: map[string][]arrival{}, runs: map[string]int{}, aborted: map[string]bool{},
		lastServer: map[string]string{}, serverEnds: map[string]time.Duration{}, rejectedBy: map[string]string{}, faults: map[string][]span{},
		shutdowns: map[string][]span{}, markers: map[[2]string]seenMarker{}, acked: map[uint32]ack{}, split: map[string]int{},
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
func (j *Judge) Report(at time.Duration, rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report(at, rule, format, args...)
}

func (j *Judge) report(at time.Duration, rule, format string, args ...any) {
	j.violations = append(j.violations, Violation{at, rule, fmt.Sprintf(format, args...)})
}

// Disturbed records an unplanned trouble of machines.
func (j *Judge) AddFault(from, to time.Duration, machines ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, m := range machines {
		j.faults[m] = append(j.faults[m], span{from, to})
	}
}

// Disturb records an unplanned trouble of machines from a time on, until end is called.
func (j *Judge) BeginFault(from time.Duration, machines ...string) (end func(at time.Duration)) {
	return j.openSpans(j.faults, from, machines)
}

// Stop records a SIGTERM of a machine, until end is called.
func (j *Judge) BeginShutdown(from time.Duration, machine string) (end func(at time.Duration)) {
	return j.openSpans(j.shutdowns, from, []string{machine})
}

// open adds a span without an end to each machine.
func (j *Judge) openSpans(spans map[string][]span, from time.Duration, machines []string) (end func(at time.Duration)) {
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
func (j *Judge) faultFree(from, to time.Duration, machines ...string) bool {
	for _, m := range append(machines, core) {
		for _, s := range j.faults[m] {
			if s.from <= to && s.to >= from-inTouch-timingSlack {
				return false
			}
		}
	}
	return true
}

// calmEverywhere reports whether nothing at all was disturbed.
func (j *Judge) faultFreeEverywhere(from, to time.Duration) bool {
	return j.faultFree(from, to, slices.Collect(maps.Keys(j.faults))...)
}

// stopping returns the SIGTERM of a machine during which a request was taken.
func (j *Judge) shutdownAt(machine string, at time.Duration) (span, bool) {
	for _, s := range j.shutdowns[machine] {
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
	j.recordArrival(at, machine, &a)
	j.runs[a.RequestID]++
	j.lastServer[a.RequestID] = a.Server
	if a.Aborted {
		j.aborted[a.RequestID] = true
	}
	if a.SinceClosing <= lastPost+timingSlack {
		return
	}
	if !j.faultFree(at, at, machine) {
		j.tolerated++
		return
	}
	j.report(at, "DRAIN", "request %s reaches server %s %v after its closing was acknowledged", a.RequestID, a.Server, a.SinceClosing)
}

// ServerGone records the end of a server, which breaks off what it is at work on.
func (j *Judge) ServerEnded(at time.Duration, server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.serverEnds[server] = at
}
