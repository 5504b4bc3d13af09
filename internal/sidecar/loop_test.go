package sidecar

import (
	"log/slog"
	"testing"

	"cedararch/balance"
)

// A request that the module forgets is failed soon after its deadline, and what comes later is not sent.
func TestOneFinalAnswer(t *testing.T) {
	l := newLoop(t.Context(), testConfig(t), slog.New(slog.DiscardHandler))
	c := &call{answers: make(chan *answer, 1)}
	r := &request{id: 1, call: c}
	l.requests[1], l.byCall[c] = r, r
	l.timers = timers{{at: l.now, request: r}}
	l.fire()
	l.do([]balance.Action{{Kind: balance.Refuse, Request: 1}, {Kind: balance.Fail, Request: 1}})
	l.finish(r, plain(200, "late"))
	if a := next(t, c.answers); a.status != 504 {
		t.Errorf("answered %d", a.status)
	}
	if len(c.answers) != 0 || len(l.requests) != 0 || len(l.byCall) != 0 {
		t.Errorf("%d more answers, %d requests kept", len(c.answers), len(l.requests))
	}
}
