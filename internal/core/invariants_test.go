package core

import (
	"slices"
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/invariant"
)

// violations records the invariants that a loop has reported as violated, in order.
type violations []invariant.Name

func (v *violations) Violated(name invariant.Name, _ ...any) { *v = append(*v, name) }

// newCheckedLoop returns a loop and the violations that it reports.
func newCheckedLoop(t *testing.T) (*Loop, *violations) {
	l, v := newLoop(t, &fakeBackend{}), &violations{}
	l.cfg.Invariants = v
	return l, v
}

// newTestAttempt returns an attempt at a server that has ended with a result; a nil result: it is in flight.
func newTestAttempt(e *Endpoint, r *Result) *Attempt {
	a := &Attempt{Endpoint: e}
	if r != nil {
		a.result, a.recorded = *r, true
	}
	return a
}

// The checks report attempts that the balancer must never start, and no others.
func TestInvariantsOfAttemptsAreChecked(t *testing.T) {
	one, two, three := NewEndpoint("1", "h:1"), NewEndpoint("2", "h:2"), NewEndpoint("3", "h:3")
	reset, refused := &Result{Outcome: balance.Reset}, &Result{Outcome: balance.ConnectFailed}
	denied := &Result{Outcome: balance.Failed, NotDelivered: true}
	now := time.Now()
	for _, c := range []struct {
		name     string
		safe     bool
		before   []*Attempt
		next     *Endpoint
		deadline time.Duration // of the attempt, after the request's beginning
		want     []invariant.Name
	}{
		{"first attempt", false, nil, one, time.Second, nil},
		{"after one that reached no server", false, []*Attempt{newTestAttempt(one, refused)}, two, time.Second, nil},
		{"after one that the last hop rejected", false, []*Attempt{newTestAttempt(one, denied)}, two, time.Second, nil},
		{"after a reset", false, []*Attempt{newTestAttempt(one, reset)}, two, time.Second,
			[]invariant.Name{invariant.NotResentAfterPossibleStart}},
		{"while one is in flight", false, []*Attempt{newTestAttempt(one, nil)}, two, time.Second,
			[]invariant.Name{invariant.NotResentAfterPossibleStart}},
		{"idempotent, after a reset", true, []*Attempt{newTestAttempt(one, reset)}, two, time.Second, nil},
		{"a third server of two", true, []*Attempt{newTestAttempt(one, reset), newTestAttempt(two, reset)}, three, time.Second,
			[]invariant.Name{invariant.AttemptsWithinLimit}},
		{"the second server again", true, []*Attempt{newTestAttempt(one, reset), newTestAttempt(two, reset)}, two, time.Second, nil},
		{"a little longer than the request, by the loop's clock", true, nil, one, time.Second + deadlineTolerance, nil},
		{"longer than the request", true, nil, one, time.Second + 2*deadlineTolerance, []invariant.Name{invariant.DeadlineNotExtended}},
	} {
		l, got := newCheckedLoop(t)
		call := &Call{Message: Message{Safe: c.safe}, Received: now, Request: balance.Request{Remaining: 1000, MaxAttempts: 2}}
		l.checkAttempt(&request{call: call, attempts: c.before}, &Attempt{Endpoint: c.next, Deadline: now.Add(c.deadline)})
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, *got, c.want)
		}
	}
}

// A refusal guarantees that a request was not executed and will not be.
func TestInvariantsOfRefusalsAreChecked(t *testing.T) {
	server := NewEndpoint("1", "h:1")
	ran, unsent := newTestAttempt(server, &Result{Outcome: balance.Reset}), newTestAttempt(server, &Result{Outcome: balance.NotSent})
	for _, c := range []struct {
		name    string
		safe    bool
		attempt *Attempt
		kind    Kind
		want    []invariant.Name
	}{
		{"refused, and may have been executed", false, ran, Refused, []invariant.Name{invariant.RefusedNeverStarted}},
		{"refused while an attempt is in flight", false, newTestAttempt(server, nil), Refused, []invariant.Name{invariant.RefusedNeverStarted}},
		{"failed, and may have been executed", false, ran, Failed, nil},
		{"refused, and was not sent", false, unsent, Refused, nil},
		{"refused, idempotent", true, ran, Refused, nil},
	} {
		l, got := newCheckedLoop(t)
		call := &Call{Message: Message{Safe: c.safe}}
		l.checkAnswer(&request{call: call, attempts: []*Attempt{c.attempt}}, &Answer{Kind: c.kind})
		if !slices.Equal(*got, c.want) {
			t.Errorf("%s: %v, want %v", c.name, *got, c.want)
		}
	}
}

// A request that the balancer does not end is answered and reported after its deadline; an answered one is not.
func TestRequestsOpenPastDeadlineAreReported(t *testing.T) {
	l, got := newCheckedLoop(t)
	answers := &recordingClient{}
	c := &Call{Client: answers}
	r := &request{id: 1, call: c}
	l.requests[1], l.byCall[c] = r, r
	l.expire(r)
	l.expire(r)
	if want := []invariant.Name{invariant.AnsweredByDeadline}; !slices.Equal(*got, want) || len(*answers) != 1 {
		t.Errorf("%v, want %v; %d answers", *got, want, len(*answers))
	}
}
