package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"firplank/lab/mesh"
	"firplank/mesh/configversion"
)

// Bounds of the rules. Those with the name of a setting (inTouchS, inForceS, ...) equal what the processes get as settings. A rule with a
// time bound is broken only when the bound is exceeded by more than timingSlack, which covers the delays of the soak's own clocks and
// connections.
const (
	inTouch     = 3 * time.Second
	inForce     = 2500 * time.Millisecond
	backSlack   = 250 * time.Millisecond
	lastPost    = 2500 * time.Millisecond
	grace       = 6 * time.Second
	receipt     = 5 * time.Second
	recovery    = 15 * time.Second
	timingSlack = 400 * time.Millisecond
	// abortShare limits which failures during a shutdown count as LOST: only those that end within this share of the request's deadline.
	abortShare = 0.7
)

// Violation is one violation of a rule.
type Violation struct {
	At   time.Duration `json:"at"` // since the start of traffic
	Rule string        `json:"rule"`
	What string        `json:"what"`
}

// exchange is a client's request and its outcome.
type exchange struct {
	id            string
	machine       string // received it from the client
	incarnation   int    // counts the processes of machine
	unsafe        bool
	markerVersion configversion.Version // the version whose marker route is used, or None
	mismatched    bool                  // a success whose body or headers are not those of its server
	services      []string              // services that may run it
	serviceIndex  int                   // index in services of the one that answered with success
	paddingBytes  int                   // bytes of padding after the response's text
	fromServer    bool                  // the response was produced by a server, not by a sidecar
	body          string
	sent          time.Duration
	ended         time.Duration
	deadline      time.Duration // how long the client waits
	status        int           // 0: the connection ended without a complete response
	ending        ending        // why there is no response
}

// ending is why an exchange has no response.
type ending uint8

const (
	answered    ending = iota
	broken             // the connection ended or was reset
	cancelled          // the client gave up early
	unreachable        // no connection was made: no process listens
	expired            // the client waited past its deadline
)

// span is the time of a fault or of a shutdown.
type span struct{ from, to time.Duration }

// Judge records what clients, servers and operators observe, and reports violations of the mesh's rules. It does not use the programs'
// internal state. It is safe for concurrent use.
type Judge struct {
	mu         sync.Mutex
	violations []Violation

	requests   map[string]*request
	arrivals   map[string][]arrival     // by service
	runs       map[string]int           // by request id
	aborted    map[string]bool          // requests whose server closed the connection without a valid response
	lastServer map[string]string        // the last server that ran each request
	serverEnds map[string]time.Duration // by server id
	rejectedBy map[string]string        // machine by id of a rejected request, which must not have run
	faults     map[string][]span        // by machine; those of the control machines as a group under core
	shutdowns  map[string][]span        // by machine, from SIGTERM to the end of the process
	markers    map[[2]string]seenMarker // highest version seen, by machine and incarnation
	split      map[string]int           // successes on the split route without faults, by service

	acked     map[configversion.Version]ack
	newest    configversion.Version // highest version in acked, or None
	counts    Counts
	tolerated int // requests at closing servers during faults
}

// core is the name under which faults of the control machines as a group are recorded.
const core = "core"

type ack struct {
	content string
	at      time.Duration
}

type seenMarker struct {
	version configversion.Version
	at      time.Duration
}

// Counts are the numbers of operations of a run by outcome.
type Counts struct {
	Requests, Served, Refused, Failed  int // by status
	Broken, Left, Unreached, Expired   int // no response
	Runs, Changes, Acknowledged, Reads int
	// AfterLeaving counts arrivals more than cancelLimit after the client gave up, ExtraTime those without a deadline or with one that is more
	// than deadlineSlack later than the client's.
	AfterLeaving, ExtraTime int
	// Held counts requests without a response lateAnswerLimit after their client's deadline, Dropped those that a server ran and whose
	// connection ended without a response, both at machines without faults.
	Held, Dropped int
}

// NewJudge returns a judge without records.
func NewJudge() *Judge {
	return &Judge{
		requests: map[string]*request{}, arrivals: map[string][]arrival{}, runs: map[string]int{}, aborted: map[string]bool{},
		lastServer: map[string]string{}, serverEnds: map[string]time.Duration{}, rejectedBy: map[string]string{}, faults: map[string][]span{},
		shutdowns: map[string][]span{}, markers: map[[2]string]seenMarker{}, acked: map[configversion.Version]ack{}, split: map[string]int{},
	}
}

// Violations returns the violations so far.
func (j *Judge) Violations() []Violation {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.violations)
}

// Counts returns the counts so far.
func (j *Judge) Counts() Counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts
}

// Report records a violation that was found outside the judge.
func (j *Judge) Report(at time.Duration, rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.report(at, rule, format, args...)
}

func (j *Judge) report(at time.Duration, rule, format string, args ...any) {
	j.violations = append(j.violations, Violation{at, rule, fmt.Sprintf(format, args...)})
}

// AddFault records a fault of machines that is over.
func (j *Judge) AddFault(from, to time.Duration, machines ...string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, m := range machines {
		j.faults[m] = append(j.faults[m], span{from, to})
	}
}

// BeginFault records a fault of machines that lasts until end is called.
func (j *Judge) BeginFault(from time.Duration, machines ...string) (end func(at time.Duration)) {
	return j.openSpans(j.faults, from, machines)
}

// BeginShutdown records a SIGTERM of a machine, whose shutdown lasts until end is called.
func (j *Judge) BeginShutdown(from time.Duration, machine string) (end func(at time.Duration)) {
	return j.openSpans(j.shutdowns, from, []string{machine})
}

// openSpans adds a span to each machine that is open until end is called.
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

// faultFree reports whether machines and the core had no faults in the time from inTouch before from until to.
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

// faultFreeEverywhere is faultFree for all machines.
func (j *Judge) faultFreeEverywhere(from, to time.Duration) bool {
	return j.faultFree(from, to, slices.Collect(maps.Keys(j.faults))...)
}

// shutdownAt returns the shutdown of a machine that was under way at a time, or ended at most a second before.
func (j *Judge) shutdownAt(machine string, at time.Duration) (span, bool) {
	for _, s := range j.shutdowns[machine] {
		if at >= s.from && at <= s.to+time.Second {
			return s, true
		}
	}
	return span{}, false
}

// Arrived records that a server on machine runs a request, and checks that the server is not closed.
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

// ServerEnded records the end of a server, which drops its requests in flight.
func (j *Judge) ServerEnded(at time.Duration, server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.serverEnds[server] = at
}
