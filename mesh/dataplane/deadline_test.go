package dataplane

import (
	"net/http"
	"testing"
	"time"

	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	"firplank/mesh/config"
)

// The time-out of the route /quick/ in replayConfig.
const (
	routeMillis  = 800
	routeTimeout = routeMillis * time.Millisecond
)

// Guards against a client that waits no longer, with a deadline of 0, being taken for one that states none: its request would be handed to
// servers with the route's whole time-out.
func TestPassedDeadlineIsADeadline(t *testing.T) {
	cfg, err := config.Parse([]byte(replayConfig))
	if err != nil {
		t.Fatal(err)
	}
	outgoing := newSidecarUnderTest(t.Context(), t, cfg, nil, nil)
	incoming := incomingDialect{config: &(&Proxy{}).cfg, service: &(&Proxy{}).serviceName}
	for _, c := range []struct {
		header                 string
		outgoing, fromASidecar float64
	}{
		{"", routeMillis, defaultRemainingMillis},
		{"soon", routeMillis, defaultRemainingMillis},
		{"NaN", routeMillis, defaultRemainingMillis},
		{"0", 0, 0},
		{"0.0", 0, 0},
		{"-3", 0, 0},
		{"120", 120, 120},
		{"900", routeMillis, 900},
	} {
		r := &httpfront.Request{Method: http.MethodGet, Target: "/quick/x", Path: "/quick/x", Host: "h", Header: http.Header{}}
		if c.header != "" {
			r.Header.Set(deadlineHeader, c.header)
		}
		fromClient, fromSidecar := &core.Call{}, &core.Call{}
		if rejection := outgoing.route(fromClient, r); rejection != nil {
			t.Fatalf("%q: rejected with %d", c.header, rejection.Status)
		}
		if rejection, err := incoming.Fill(fromSidecar, r, nil); rejection != nil || err != nil {
			t.Fatalf("%q: rejected with %v, %v", c.header, rejection, err)
		}
		if got := fromClient.Request.Remaining; got != c.outgoing {
			t.Errorf("%q: %v ms are left of a client's request, want %v", c.header, got, c.outgoing)
		}
		if got := fromSidecar.Request.Remaining; got != c.fromASidecar {
			t.Errorf("%q: %v ms are left of a sidecar's request, want %v", c.header, got, c.fromASidecar)
		}
	}
}

// answerChannel is a core.Client that passes the answer on.
type answerChannel chan *core.Answer

// Answer implements core.Client.
func (c answerChannel) Answer(_ *core.Call, answer *core.Answer) { c <- answer }

// A request without time left ends at once, without having been sent.
func TestPassedDeadlineIsAnsweredAtOnce(t *testing.T) {
	cfg, err := config.Parse([]byte(replayConfig))
	if err != nil {
		t.Fatal(err)
	}
	outgoing := newSidecarUnderTest(t.Context(), t, cfg, nil, nil)
	r := &httpfront.Request{Method: http.MethodGet, Target: "/quick/x", Path: "/quick/x", Host: "h", Header: http.Header{}}
	r.Header.Set(deadlineHeader, "0")
	answered := make(answerChannel, 1)
	call := &core.Call{Client: answered}
	if rejection := outgoing.route(call, r); rejection != nil {
		t.Fatalf("rejected with %d", rejection.Status)
	}
	call.Exchange.Submit(call)
	select {
	case answer := <-answered:
		if answer.Kind == core.Served {
			t.Errorf("answered by %+v", answer)
		}
	case <-time.After(routeTimeout / 2):
		t.Fatal("held for half of the route's time-out")
	}
}
