package core

import (
	"container/heap"
	"log/slog"
	"testing"

	"firplank/balance"
	"firplank/internal/bodypipe"
	"firplank/internal/roster"
)

// recordingClient records its answers.
type recordingClient []*Answer

func (c *recordingClient) Answer(_ *Call, a *Answer) { *c = append(*c, a) }

// fakeBackend records the calls of the exchange.
type fakeBackend struct {
	begun      []*Attempt
	cancelled  int
	idleClosed []string // names of servers
}

func (b *fakeBackend) Begin(a *Attempt)              { b.begun = append(b.begun, a) }
func (b *fakeBackend) Cancel(*Attempt)               { b.cancelled++ }
func (b *fakeBackend) Probe(*Endpoint, func(Result)) {}
func (b *fakeBackend) CloseIdle(e *Endpoint)         { b.idleClosed = append(b.idleClosed, e.Name()) }

func newLoop(t *testing.T, b *fakeBackend) *Loop {
	return New(t.Context(), Config{
		Balance: balance.Config{
			Classes: []balance.Class{{Deadline: 20000, LatencyTarget: 4000, Value: 1}}, Tenants: []balance.Tenant{{Share: 1}},
			MaxAttempts: 3, SlowStartInitialFraction: 1, StreamsPerConn: 1, Peers: 1, Cancel: true,
		},
		InitialList: &roster.List{}, Log: slog.New(slog.DiscardHandler), Backend: func(string) Backend { return b },
	})
}

// A request that the balancer does not end fails soon after its deadline, and later answers are not sent.
func TestExpiredRequestGetsOneFinalAnswer(t *testing.T) {
	l, got := newLoop(t, &fakeBackend{}), &recordingClient{}
	c := &Call{Client: got}
	r := &request{id: 1, call: c}
	l.requests[1], l.byCall[c] = r, r
	r.expiry = timer{at: l.now, request: r}
	heap.Push(&l.timers, &r.expiry)
	l.fireTimers()
	l.perform([]balance.Action{{Kind: balance.Refuse, Request: 1}, {Kind: balance.Fail, Request: 1}})
	l.finish(r, &Answer{})
	if len(*got) != 1 || (*got)[0].Reason != DeadlineExceeded {
		t.Errorf("answered %v", *got)
	}
	if len(l.requests) != 0 || len(l.byCall) != 0 {
		t.Errorf("%d requests kept", len(l.requests))
	}
}

// The deadline of an answered request may be far in the future: its timer, headers and body must be released at once.
func TestAnsweredRequestsAreReleased(t *testing.T) {
	b, got := &fakeBackend{}, &recordingClient{}
	l := newLoop(t, b)
	servers := []roster.Member{{ID: "s-1", HostPort: "h:1", Phase: "ready", Size: 1}}
	l.applyList(&roster.List{Complete: true, Members: servers}, balance.ListFull)
	before := len(l.timers)
	c := &Call{Name: "7", Received: l.started, Request: balance.Request{Remaining: 20000}, Client: got}
	l.beginRequest(c)
	second := &Call{Name: "7", Received: l.started, Request: balance.Request{Remaining: 20000}, Client: got}
	l.beginRequest(second)
	if len(*got) != 1 || (*got)[0].Reason != DuplicateName || len(b.begun) != 1 {
		t.Fatalf("a second call with the name of an open one: %v, %d sent", *got, len(b.begun))
	}
	if l.byName["7"] == nil {
		t.Fatal("the second call released the name of the open one")
	}
	b.begun[0].End(Result{Outcome: balance.OK, Answer: &Answer{}})
	b.begun[0].End(Result{Outcome: balance.Reset}) // only the first end has an effect
	l.handle(<-l.inbox)
	if len(*got) != 2 || (*got)[1].Kind != Served || len(l.inbox) != 0 {
		t.Fatalf("answered %v", *got)
	}
	if len(l.requests)+len(l.byCall)+len(l.byName) != 0 {
		t.Errorf("%d requests kept", len(l.requests))
	}
	for _, timer := range l.timers[min(before, len(l.timers)):] {
		if timer.request != nil {
			t.Error("its timer is kept")
		}
	}
}

// If unlisted servers are presumed dead, attempts of idempotent requests are cancelled there. Attempts of other requests
// are not, and none are if the list may only be late.
func TestIdempotentAttemptsAtUnlistedServersAreCancelled(t *testing.T) {
	for _, c := range []struct {
		name                   string
		cancelAtUnlisted, safe bool
		cancelled              int
	}{
		{"unlisted, idempotent", true, true, 1}, {"unlisted, not idempotent", true, false, 0},
		{"unlisted, but the list may be late", false, true, 0},
	} {
		b, got := &fakeBackend{}, &recordingClient{}
		l := newLoop(t, b)
		l.cfg.CancelAtUnlisted = c.cancelAtUnlisted
		servers := []roster.Member{{ID: "s-1", HostPort: "h:1", Phase: "ready", Size: 1}}
		l.applyList(&roster.List{Complete: true, Members: servers}, balance.ListFull)
		l.beginRequest(&Call{Message: Message{Safe: c.safe}, Received: l.started, Request: balance.Request{Remaining: 20000}, Client: got})
		l.applyList(&roster.List{Complete: true}, balance.ListFull)
		if len(b.begun) != 1 || b.cancelled != c.cancelled {
			t.Errorf("%s: %d begun, %d cancelled", c.name, len(b.begun), b.cancelled)
		}
	}
}

// The backend aborts a streamed answer that begins while its attempt is being cancelled. The client must not receive the
// beginning of such an answer.
func TestAnswerOfCancelledAttemptIsNotForwarded(t *testing.T) {
	for _, c := range []struct {
		name           string
		answerFirst    bool // the answer begins before the attempt is cancelled
		sent, answered int
	}{{"cancelled first", false, 2, 0}, {"answered first", true, 1, 1}} {
		b, got := &fakeBackend{}, &recordingClient{}
		l := newLoop(t, b)
		l.cfg.CancelAtUnlisted = true
		servers := []roster.Member{{ID: "s-1", HostPort: "h:1", Phase: "ready", Size: 1}, {ID: "s-2", HostPort: "h:2", Phase: "ready", Size: 1}}
		l.applyList(&roster.List{Complete: true, Members: servers}, balance.ListFull)
		l.beginRequest(&Call{Message: Message{Safe: true}, Received: l.started, Request: balance.Request{Remaining: 20000}, Client: got})
		attempt := b.begun[0]
		unlistServer := func() {
			listed := servers[:1]
			if attempt.Endpoint.Name() == "s-1" {
				listed = servers[1:]
			}
			l.applyList(&roster.List{Complete: true, Members: listed}, balance.ListFull)
		}
		body := bodypipe.New(-1)
		if !c.answerFirst {
			unlistServer()
		}
		attempt.End(Result{Outcome: balance.OK, Answer: &Answer{Stream: body}})
		if c.answerFirst {
			unlistServer()
		}
		l.handle(<-l.inbox)
		if len(b.begun) != c.sent || len(*got) != c.answered {
			t.Errorf("%s: %d sent, answered %v", c.name, len(b.begun), *got)
		}
		if closed := body.Append([]byte("more")) != nil; closed == c.answerFirst {
			t.Errorf("%s: body still accepted: %v", c.name, !closed)
		}
	}
}
