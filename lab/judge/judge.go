// Package judge finds broken rules. It is told what clients and servers saw of a run, each from its own side, and never
// what a sidecar says of itself; from that alone it decides whether each request got exactly one final answer in time,
// whether an effect happened twice, whether drains were kept, whether a cold server was pushed over, and whether an
// answer belongs to its request. It does no I/O and has no clock: every call carries the time since the run's start.
//
// Its memory is bounded by the requests of the plan, which is bounded itself, and by MostFindings.
package judge

import (
	"fmt"
	"sync"
	"time"
)

// Rule is one of the rules.
type Rule string

// The rules.
const (
	Lost       Rule = "lost"        // no final answer in time, or more than one
	Twice      Rule = "twice"       // an effect happened twice, or a refusal of what may have run
	Drain      Rule = "drain"       // work sent to a server that drains or is gone, past the grace
	PushedOver Rule = "pushed over" // a cold server got more than it can stand
	Foreign    Rule = "foreign"     // an answer that was made for another request, or by no server
	After      Rule = "after"       // work sent for a request that had its answer
)

// Rules lists them in the order in which they are shown.
var Rules = []Rule{Lost, Twice, Drain, PushedOver, Foreign, After}

// MostFindings bounds the findings that are kept of each rule; the rest is counted.
const MostFindings = 20

// Finding is a broken rule.
type Finding struct {
	Rule Rule          `json:"rule"`
	At   time.Duration `json:"at_ns"`
	Text string        `json:"text"`
}

// Class is what the judge has to know of a class.
type Class struct {
	Effect string // "safe", "keyed" or "unsafe"
	Group  string // of a keyed one: "all" or "cell"
	Window time.Duration
}

// Config is the deployment's figures.
type Config struct {
	Classes        []Class
	Slack          time.Duration // an answer so long after the deadline still counts
	DrainGrace     time.Duration
	NotifiedAfter  time.Duration // a change counts as told so long after the roster had it, even if it did not arrive; 0: never
	PollWithin     time.Duration // where sidecars ask: the limit for asking, and Telling judges; 0: ToldAfter does
	ArrivalSlack   time.Duration // work that arrives so long after the answer was on its way already
	NoServerEvents bool          // nothing is known of what servers saw
}

// Answer is what a client was given.
type Answer int

// The answers. Broken is none: the connection ended, or nothing came in time.
const (
	Served Answer = iota
	Refused
	Failed
	Broken
)

// Try is a request as its client knows it; each retry is another one.
type Try struct {
	Trace    string
	Arrival  int
	Class    int
	Key      string
	Sidecar  int
	Sent     time.Duration // when its last byte went out
	Deadline time.Duration // when the client gives it up
}

type tryRecord struct {
	Try
	answers    int
	answer     Answer
	endedAt    time.Duration // of the answer
	clientGone bool          // the client left first, or never sent all of it
	received   []attempt
	ran        []run
	finished   int // executions that came to an end with an answer, or repeats answered from memory
}

type attempt struct {
	at     time.Duration
	server string
}

type run struct {
	at     time.Duration
	server string
	cell   int
}

type outage struct {
	sidecar  int
	from, to time.Duration
}

// Judge collects what was seen. It is safe for concurrent use.
type Judge struct {
	cfg Config

	mu          sync.Mutex
	tries       map[string]*tryRecord
	closedSpans map[sidecarServer][]span // when a sidecar knew that it must not send there
	changes     []change
	trackers    map[int]*NotificationTracker // by sidecar
	outages     []outage
	findings    map[Rule][]Finding
	counts      map[Rule]int
	unknown     int
}

// New returns a judge that has seen nothing.
func New(cfg Config) *Judge {
	return &Judge{
		cfg: cfg, tries: map[string]*tryRecord{}, closedSpans: map[sidecarServer][]span{}, trackers: map[int]*NotificationTracker{},
		findings: map[Rule][]Finding{}, counts: map[Rule]int{},
	}
}

func (j *Judge) addFinding(rule Rule, at time.Duration, format string, args ...any) {
	j.counts[rule]++
	if len(j.findings[rule]) < MostFindings {
		j.findings[rule] = append(j.findings[rule], Finding{rule, at, fmt.Sprintf(format, args...)})
	}
}
