package dataplane

import (
	"context"
	"net/http"
	"testing"
	"time"

	kitlog "github.com/go-kit/log"

	"firplank/balance"
	"firplank/internal/bodypipe"
	"firplank/internal/core"
	"firplank/mesh/admission"
	"firplank/mesh/attempts"
	"firplank/mesh/dataplane/lasthop"
	"firplank/mesh/timing"
)

// stubPool is a pool of connections to a server, whose attempts the test ends.
type stubPool struct{ begun []*core.Attempt }

func (p *stubPool) Begin(a *core.Attempt)                   { p.begun = append(p.begun, a) }
func (p *stubPool) Cancel(*core.Attempt)                    {}
func (p *stubPool) Probe(*core.Endpoint, func(core.Result)) {}
func (p *stubPool) CloseIdle(*core.Endpoint)                {}
func (p *stubPool) Run(context.Context)                     {}
func (p *stubPool) Close()                                  {}

// recordingClient is a client of the last hop, that is another sidecar, and records the answer.
type recordingClient struct{ answer *core.Answer }

func (c *recordingClient) Answer(_ *core.Call, got *core.Answer) { c.answer = got }

func newTestLastHop(server *stubPool) (*lastHop, func(field, text string) *recordingClient) {
	start := time.Now()
	l := newLastHop(context.Background(), kitlog.NewNopLogger(), func() time.Duration { return time.Since(start) }, "h:1",
		lasthop.Gate[*core.Call, *core.Answer]{
			Admission: admission.New(timing.Server{HeartbeatTimeout: time.Hour, RestoredTimeout: time.Hour}),
			Link:      admission.NewLink(1000),
			Outcomes:  attempts.New[*core.Call, *core.Answer](7),
		})
	l.pool = server
	l.gate.Admission.HandleHeartbeat(0, admission.Heartbeat{ServerID: "i1", Service: "one", Slots: 9, Sequence: admission.NewSequence(1)})
	l.gate.Admission.ResponseReceived(0)
	return l, func(field, text string) *recordingClient {
		a := &recordingClient{}
		l.Submit(&core.Call{Client: a, Received: time.Now(), Request: balance.Request{Remaining: 1000},
			Message: core.Message{Trace: "x", Object: "i1", Meta: header(field, text, "Try-Id", "x")}})
		return a
	}
}

// The last hop starts an attempt at most once, also after a query about it, and answers the queries by the outcome.
func TestLastHopAnswersQueries(t *testing.T) {
	server := &stubPool{}
	_, arrive := newTestLastHop(server)
	outcomeOf := func(a *recordingClient) attempts.Outcome {
		if a.answer == nil {
			return "(waits)"
		}
		return attempts.Outcome(http.Header(a.answer.Meta).Get("Firplank-Fate"))
	}
	step := func(name string, a *recordingClient, want attempts.Outcome, begun int) {
		t.Helper()
		if outcomeOf(a) != want || len(server.begun) != begun {
			t.Errorf("%s: %q with %d begun, want %q with %d", name, outcomeOf(a), len(server.begun), want, begun)
		}
	}
	step("query before the attempt", arrive(queryHeader, "s.1.7"), attempts.Barred, 0)
	step("attempt after the query", arrive(attemptHeader, "s.1.7"), attempts.NotReceived, 0)
	first := arrive(attemptHeader, "s.2.7")
	step("first copy", first, "(waits)", 1)
	step("second copy", arrive(attemptHeader, "s.2.7"), attempts.Indeterminate, 1)
	query := arrive(queryHeader, "s.2.7")
	step("query while it runs", query, "(waits)", 1)
	server.begun[0].End(core.Result{Outcome: balance.OK, Answer: &core.Answer{Status: 200, Meta: header("Postmark", "p"), Body: []byte("b")}})
	step("the attempt ends", first, attempts.Executed, 1)
	step("the waiting query is answered", query, attempts.Executed, 1)
	step("query after its end", arrive(queryHeader, "s.2.7"), attempts.Executed, 1)
	notReached := arrive(attemptHeader, "s.3.7")
	server.begun[1].End(core.Result{Outcome: balance.ConnectFailed})
	step("the server is not reached", notReached, attempts.NotReceived, 2)
	step("query about an attempt that did not reach the server", arrive(queryHeader, "s.3.7"), attempts.Barred, 2)
	step("attempt to another incarnation", arrive(attemptHeader, "s.4.6"), attempts.NotReceived, 2)
	step("query to another incarnation", arrive(queryHeader, "s.4.6"), attempts.Indeterminate, 2)
	step("query with an invalid ID", arrive(queryHeader, "nonsense"), attempts.Indeterminate, 2)
}

// A streamed body is forwarded while it is received. The deadline of its request counts from its last byte, also at the last hop.
func TestStreamedBodyDeadlineStartsAtLastByte(t *testing.T) {
	server := &stubPool{}
	l, _ := newTestLastHop(server)
	l.Submit(&core.Call{Client: &recordingClient{}, Received: time.Now(), Request: balance.Request{Remaining: 1000},
		Message: core.Message{Trace: "x", Object: "i1", Meta: header("Try-Id", "x"), Stream: bodypipe.New(100 << 10)}})
	if len(server.begun) != 1 {
		t.Fatalf("%d begun", len(server.begun))
	}
	a := server.begun[0]
	if a.Message.Remaining != time.Second || time.Until(a.Deadline) < 10*time.Second {
		t.Errorf("%v after the last byte, %v in total", a.Message.Remaining, time.Until(a.Deadline))
	}
}
