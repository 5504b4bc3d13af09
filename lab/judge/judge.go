// Package judge finds broken rules. It is told what clients and servers saw of a run, each from its own side, and never
// what a sidecar says of itself; from that alone it decides whether each request got exactly one final answer in time,
// whether an effect happened twice, whether drains were kept, whether a cold server was pushed over, and whether an
// answer belongs to its request. It does no I/O and has no clock: every call carries the time since the run's start.
//
// Its memory is bounded by the requests of the plan, which is bounded itself, and by MostFindings.
package judge

import (
	"cmp"
	"fmt"
	"slices"
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
	Classes    []Class
	Slack      time.Duration // an answer so long after the deadline still counts
	DrainGrace time.Duration
	ToldAfter  time.Duration // a change counts as told so long after the roster had it, even if it did not arrive; 0: never
	AskWithin  time.Duration // where sidecars ask: the limit for asking, and Telling judges; 0: ToldAfter does
	After      time.Duration // work that arrives so long after the answer was on its way already
	Blind      bool          // nothing is known of what servers saw
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

type try struct {
	Try
	answers  int
	answer   Answer
	at       time.Duration // of the answer
	gone     bool          // the client left first, or never sent all of it
	received []attempt
	ran      []run
	finished int // executions that came to an end with an answer, or repeats answered from memory
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

type told struct {
	sidecar int
	server  string
}

type outage struct {
	sidecar  int
	from, to time.Duration
}

// Judge collects what was seen. It is safe for concurrent use.
type Judge struct {
	cfg Config

	mu       sync.Mutex
	tries    map[string]*try
	tolds    map[told][]span // when a sidecar knew that it must not send there
	changes  []change
	tellings map[int]*Telling // by sidecar
	outages  []outage
	findings map[Rule][]Finding
	counts   map[Rule]int
	unknown  int
}

type span struct{ from, to time.Duration }

type change struct {
	server string
	ready  bool
	at     time.Duration
}

const forever = time.Duration(1<<63 - 1)

// New returns a judge that has seen nothing.
func New(cfg Config) *Judge {
	return &Judge{
		cfg: cfg, tries: map[string]*try{}, tolds: map[told][]span{}, tellings: map[int]*Telling{},
		findings: map[Rule][]Finding{}, counts: map[Rule]int{},
	}
}

// Sent says that a client has sent the whole of a request.
func (j *Judge) Sent(t Try) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tries[t.Trace] = &try{Try: t}
}

// Answered says that a client has read the last byte of an answer. made is the id that the answer's maker wrote into a
// served answer.
func (j *Judge) Answered(trace string, at time.Duration, a Answer, made string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.tries[trace]
	if t == nil {
		return
	}
	if t.answers++; t.answers > 1 {
		j.find(Lost, at, "%s: a second answer", trace)
		return
	}
	t.answer, t.at = a, at
	if a == Served && made != trace {
		j.find(Foreign, at, "%s: was given the answer made for %q", trace, made)
	}
}

// Extra says that bytes came on a client's connection behind the answer to a request.
func (j *Judge) Extra(trace string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.find(Lost, at, "%s: something came behind its answer", trace)
}

// Gone says that the client has left before the answer; nothing is owed.
func (j *Judge) Gone(trace string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.tries[trace]; t != nil && t.answers == 0 {
		t.gone, t.at = true, at
	}
}

// Received says that the first byte of a request has come to a server through a sidecar, and later all of it.
func (j *Judge) Received(trace, server string, sidecar int, first time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.tries[trace]
	if t == nil {
		j.unknown++
		return
	}
	t.received = append(t.received, attempt{first, server})
	for _, s := range j.tolds[told{sidecar, server}] {
		if first > s.from+j.cfg.DrainGrace && first < s.to {
			j.find(Drain, first, "%s: sent by sidecar %d to %s, %v after it was told to stop", trace, sidecar, server, first-s.from)
			return
		}
	}
	if j.cfg.AskWithin > 0 {
		if change := j.closedBy(server); change >= 0 {
			if due := j.telling(sidecar).ToldAt(change); first > due+j.cfg.DrainGrace && due != forever {
				j.find(Drain, first, "%s: sent by sidecar %d to %s, which counts as told to be closed for %v", trace, sidecar, server, first-due)
			}
		}
		return
	}
	if since, closed := j.closedSince(server); closed && j.cfg.ToldAfter > 0 && first > since+j.cfg.ToldAfter+j.cfg.DrainGrace {
		j.find(Drain, first, "%s: sent by sidecar %d to %s, which the roster had as closed for %v", trace, sidecar, server, first-since)
	}
}

// closedSince returns since when the roster has had a server as draining or gone.
func (j *Judge) closedSince(server string) (at time.Duration, closed bool) {
	for _, c := range j.changes {
		if c.server != server {
			continue
		}
		if c.ready {
			closed = false
		} else if !closed {
			at, closed = c.at, true
		}
	}
	return at, closed
}

// closedBy returns the change with which the roster closed a server; -1: it is open.
func (j *Judge) closedBy(server string) int {
	by := -1
	for i, c := range j.changes {
		if c.server != server {
			continue
		}
		if c.ready {
			by = -1
		} else if by < 0 {
			by = i
		}
	}
	return by
}

// telling returns what counts as told to a sidecar.
func (j *Judge) telling(sidecar int) *Telling {
	t := j.tellings[sidecar]
	if t == nil {
		t = j.newTelling(0)
		j.tellings[sidecar] = t
	}
	return t
}

func (j *Judge) newTelling(since time.Duration) *Telling {
	t := &Telling{AskWithin: j.cfg.AskWithin, Since: since}
	for _, c := range j.changes {
		t.Changed(max(c.at, since))
	}
	return t
}

// Call says that a call has reached the roster, and returns its number; ends is told of its end.
func (j *Judge) Call(sidecar int, at, hold time.Duration, waits bool) (ends func(CallEnd, time.Duration)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.telling(sidecar)
	call := t.Called(at, hold, waits)
	return func(how CallEnd, at time.Duration) {
		j.mu.Lock()
		defer j.mu.Unlock()
		switch how {
		case CallWritten:
			t.Wrote(call, at)
		case CallBroken:
			t.Broke(call, at)
		case CallTurnedAway:
			t.Failed(call, at)
		case CallLeft:
			t.Left(call, at)
		}
	}
}

// CallEnd is how a call to the roster ended.
type CallEnd int

// The ends.
const (
	CallWritten CallEnd = iota
	CallBroken
	CallTurnedAway
	CallLeft
)

// Ran says that a server has begun the work of a request, which it did not know from its key.
func (j *Judge) Ran(trace, server string, cell int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.tries[trace]; t != nil {
		t.ran = append(t.ran, run{at, server, cell})
	}
}

// Finished says that a server has made an answer of success for a request.
func (j *Judge) Finished(trace string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.tries[trace]; t != nil {
		t.finished++
	}
}

// Changed says that the roster knows of a server's state since at.
func (j *Judge) Changed(server string, ready bool, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.changes = append(j.changes, change{server, ready, at})
	for _, t := range j.tellings {
		t.Changed(at)
	}
}

// Told says that the roster has written a server's state to a sidecar.
func (j *Judge) Told(sidecar int, server string, ready bool, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	key := told{sidecar, server}
	spans := j.tolds[key]
	open := len(spans) > 0 && spans[len(spans)-1].to == forever
	switch {
	case ready && open:
		spans[len(spans)-1].to = at
	case !ready && !open:
		j.tolds[key] = append(spans, span{at, forever})
	}
}

// Down says that a sidecar does not run from now on: what it holds is the clients' to retry.
func (j *Judge) Down(sidecar int, from time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outages = append(j.outages, outage{sidecar, from, forever})
}

// Started says that a sidecar starts anew: it holds the list of its configuration, and has asked nothing yet.
func (j *Judge) Started(sidecar int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tellings[sidecar] = j.newTelling(at)
}

// Up says that a sidecar runs again.
func (j *Judge) Up(sidecar int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.outages {
		if o := &j.outages[i]; o.sidecar == sidecar && o.to == forever {
			o.to = at
		}
	}
}

// PushedOver says that a cold server fell over.
func (j *Judge) PushedOver(server string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.find(PushedOver, at, "%s", server)
}

func (j *Judge) find(rule Rule, at time.Duration, format string, args ...any) {
	j.counts[rule]++
	if len(j.findings[rule]) < MostFindings {
		j.findings[rule] = append(j.findings[rule], Finding{rule, at, fmt.Sprintf(format, args...)})
	}
}

// Verdict is what a run comes to.
type Verdict struct {
	Counts   map[Rule]int `json:"counts"` // broken, by rule
	Findings []Finding    `json:"findings"`
	Tries    int          `json:"tries"`
	Excused  int          `json:"excused"` // unanswered, as their sidecar was down
	// Repeats is how often a key ran again for a client's retry: no sidecar's doing where the tries went through two
	// sidecars, or where the client came back after the window.
	Repeats int `json:"repeats"`
	Unknown int `json:"unknown"` // requests at servers that no client sent
}

// Kept reports whether no rule was broken.
func (v *Verdict) Kept() bool { return len(v.Findings) == 0 }

// Close ends the run at a time and judges it. Nothing may be told to the judge afterwards.
func (j *Judge) Close(at time.Duration) *Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := &Verdict{Counts: j.counts, Tries: len(j.tries), Unknown: j.unknown}
	byKey := map[string]int{}
	traces := make([]string, 0, len(j.tries))
	for trace := range j.tries {
		traces = append(traces, trace)
	}
	slices.Sort(traces)
	for _, trace := range traces {
		t := j.tries[trace]
		if !j.answered(t, at) {
			v.Excused++
		}
		j.once(t)
		j.nothingAfter(t)
		if t.Key != "" {
			byKey[t.Key] += len(t.ran)
		}
	}
	for _, n := range byKey {
		v.Repeats += max(0, n-1)
	}
	for _, r := range Rules {
		v.Findings = append(v.Findings, j.findings[r]...)
	}
	slices.SortStableFunc(v.Findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return v
}

// answered judges the first rule; false if the sidecar was down and nothing is owed.
func (j *Judge) answered(t *try, end time.Duration) bool {
	owed := t.Deadline + j.cfg.Slack
	switch {
	case t.gone || t.answers > 0 && t.answer != Broken && t.at <= owed:
	case t.answers == 0 && end < owed: // the run ended first
	case j.wasDown(t):
		return false
	case t.answers == 0:
		j.find(Lost, owed, "%s: no answer by its deadline", t.Trace)
	case t.answer == Broken:
		j.find(Lost, t.at, "%s: its connection ended with no whole answer", t.Trace)
	default:
		j.find(Lost, t.at, "%s: answered %v after its deadline", t.Trace, t.at-t.Deadline)
	}
	if t.answers > 0 && t.answer == Served && t.finished == 0 && !t.gone && !j.cfg.Blind {
		j.find(Foreign, t.at, "%s: served, but no server has answered it", t.Trace)
	}
	return true
}

func (j *Judge) wasDown(t *try) bool {
	until := t.Deadline
	if t.answers > 0 {
		until = t.at
	}
	// A client may see the connection end a moment before the laboratory has noted the kill.
	const moment = 100 * time.Millisecond
	for _, o := range j.outages {
		if o.sidecar == t.Sidecar && o.from-moment <= until && t.Sent <= o.to {
			return true
		}
	}
	return false
}

// once judges the second rule by what the servers ran.
func (j *Judge) once(t *try) {
	c := j.cfg.Classes[t.Class]
	if c.Effect == "safe" {
		return
	}
	slices.SortFunc(t.ran, func(a, b run) int { return cmp.Compare(a.at, b.at) })
	if len(t.ran) > 1 {
		second := t.ran[1]
		j.find(Twice, second.at, "%s (%s): ran on %s and again on %s %v later",
			t.Trace, c.Effect, t.ran[0].server, second.server, second.at-t.ran[0].at)
	}
	if t.answers > 0 && t.answer == Refused && len(t.ran) > 0 && !(c.Effect == "keyed" && c.Group != "cell") {
		j.find(Twice, t.at, "%s (%s): refused, but %s has run it", t.Trace, c.Effect, t.ran[0].server)
	}
}

func (j *Judge) nothingAfter(t *try) {
	over := t.Deadline + j.cfg.Slack
	if t.answers > 0 || t.gone {
		over = min(over, t.at)
	}
	for _, a := range t.received {
		if a.at > over+j.cfg.After {
			j.find(After, a.at, "%s: sent to %s %v after its answer or its deadline", t.Trace, a.server, a.at-over)
		}
	}
}
