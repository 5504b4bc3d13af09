package dataplane

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	kitlog "github.com/go-kit/log"

	"firplank/balance"
	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	httpback "firplank/internal/upstream/http"
	"firplank/mesh/admission"
	"firplank/mesh/attempts"
	"firplank/mesh/config"
	"firplank/mesh/dataplane/inflight"
	"firplank/mesh/dataplane/lasthop"
	"firplank/mesh/timing"
)

// This file guards against changes of the protocol between sidecars, which would break upgrades. It compares requests,
// queries and responses of every kind, as written to and read from sockets, with a recording of commit 5126712. Header
// lines are compared byte for byte; forwarded ones are sorted first, as their order is that of a map. Only the
// functions above the line of dashes depend on how the parts are put together and may follow their changes; a
// renaming must not change the transcript or the recording.

// sendingHop is the sending side of a sidecar.
type sendingHop struct {
	dialect  httpback.Dialect
	announce func(addr string, incarnation uint64)
	query    func(a *core.Attempt, sender string, number, incarnation uint64)
}

func newSendingHop() sendingHop {
	inFlight := inflight.New[*core.Attempt]("branch-a.1.ff")
	service := &atomic.Pointer[string]{}
	name := "caller"
	service.Store(&name)
	return sendingHop{
		dialect:  sidecarDialect{inFlight: inFlight, service: service, recordReachable: func(string) {}},
		announce: inFlight.SetAnnouncedIncarnation,
		query: func(a *core.Attempt, sender string, number, incarnation uint64) {
			id := attempts.ID{Sender: sender, Number: number, Incarnation: incarnation}
			inFlight.BeginQuery(a, &inflight.Query{Attempt: inflight.Attempt{ID: id, Addr: a.Endpoint.Addr()}, Number: 1})
		},
	}
}

func newServerDialect() httpback.Dialect { return serverDialect{} }

// receivingHop is the last hop of a sidecar.
type receivingHop struct {
	addr   string
	server *wireServer
	close  func()
}

func newReceivingHop(t *testing.T, state string) *receivingHop {
	ctx, stop := context.WithCancel(context.Background())
	server := &wireServer{begun: make(chan *core.Attempt, 8)}
	start := time.Now()
	l := newLastHop(ctx, kitlog.NewNopLogger(), func() time.Duration { return time.Since(start) }, "h:1",
		lasthop.Gate[*core.Call, *core.Answer]{
			Admission: admission.New(timing.Server{HeartbeatTimeout: time.Hour, RestoredTimeout: time.Hour}),
			Link:      admission.NewLink(1000),
			Outcomes:  attempts.New[*core.Call, *core.Answer](7),
		})
	l.pool = server
	dialect := incomingDialect{config: &atomic.Pointer[config.Config]{}, service: &atomic.Pointer[string]{}}
	name := "one"
	dialect.service.Store(&name)
	dialect.config.Store(parseTestConfig(t, "0000000a", "one"))
	heartbeat := admission.Heartbeat{ServerID: "i1", Service: "one", Slots: 9, Sequence: admission.NewSequence(1)}
	switch state {
	case "closing":
		heartbeat.Closing = true
	case "full":
		heartbeat.Slots = 1
	}
	control := l.gate.Admission
	if state != "empty" {
		control.HandleHeartbeat(0, heartbeat)
		control.ResponseReceived(0)
	}
	switch state {
	case "silent":
		control.ConnectionRefused()
	case "full":
		for control.Admit("i1", 0, 9) == admission.Admit {
		}
	case "ill":
		for range 40 {
			control.RecordResult(0, "i1", admission.Failure)
		}
	}
	f, err := httpfront.NewPoll(httpfront.Config{
		Catalog: &core.Catalog{}, Connections: 16, AcceptGrace: time.Millisecond, IdleTimeout: time.Second, MaxIdleFraction: 0.9,
		Evict: func() bool { return false }, Dialect: dialect, Log: slog.New(slog.DiscardHandler),
	}, l)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.Serve(ln)
	return &receivingHop{addr: ln.Addr().String(), server: server, close: func() { _ = ln.Close(); _ = f.End(0); stop() }}
}

func TestSidecarHeadersMatchRecording(t *testing.T) {
	want, err := os.ReadFile("testdata/sidecar-headers-5126712.txt")
	if err != nil {
		t.Fatal(err)
	}
	got := wireText(t)
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("line %d:\n%s\nwant\n%s", i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%d lines, want %d", len(gotLines), len(wantLines))
}

// ------------------------------------------------------------

// wireServer is a pool of connections to a server, whose attempts the test ends.
type wireServer struct {
	begun chan *core.Attempt
}

func (s *wireServer) Begin(a *core.Attempt)                   { s.begun <- a }
func (s *wireServer) Cancel(*core.Attempt)                    {}
func (s *wireServer) Probe(*core.Endpoint, func(core.Result)) {}
func (s *wireServer) CloseIdle(*core.Endpoint)                {}
func (s *wireServer) Run(context.Context)                     {}
func (s *wireServer) Close()                                  {}

// canonicalMessage returns a message with its header lines sorted, as the order of forwarded ones is that of a map, and
// with times replaced.
func canonicalMessage(raw []byte) string {
	head, body, _ := strings.Cut(string(raw), "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	for i, line := range lines {
		if name, _, _ := strings.Cut(line, ": "); name == "Date" || name == "Deadline-Ms" {
			lines[i] = name + ": (time)"
		}
	}
	slices.Sort(lines[1:])
	return strings.Join(lines, "\n") + "\n\n" + body
}

// wireTranscript collects the text that is compared with the recording.
type wireTranscript struct {
	t    *testing.T
	text strings.Builder
}

func (w *wireTranscript) add(title, format string, args ...any) {
	fmt.Fprintf(&w.text, "== %s\n%s\n", title, strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
}

// clientMessage returns a client's request that also has forged values of the headers that only sidecars set.
func clientMessage(safe bool) *core.Message {
	return &core.Message{
		Trace: "x", Verb: map[bool]string{true: "GET", false: "POST"}[safe], Target: "/a/1?q=1", Authority: "h", Safe: safe,
		ConfigVersion: 0x1f, Priority: 2,
		Body: map[bool][]byte{false: []byte("body")}[safe],
		Meta: http.Header{
			"Try-Id": {"x"}, "Content-Type": {"text/plain"}, "Deadline-Ms": {"9"}, "Deliver-To": {"forged"}, "Sender-Line": {"forged"},
			"Firplank-Fate": {"forged"}, "Firplank-Rank": {"forged"}, "Firplank-Edition": {"forged"}, "Firplank-Send": {"forged"},
			"Firplank-Ask": {"forged"}, "Firplank-Life": {"forged"}, "X-Kept": {"one", "two"},
		},
	}
}

// captureRequest returns what a pool with a dialect writes to a socket for an attempt.
func (w *wireTranscript) captureRequest(dialect httpback.Dialect, m *core.Message, prepare func(*core.Attempt)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	pool, err := httpback.NewPoll(ctx, httpback.Config{ConnectTimeout: time.Second, IdleTimeout: time.Second, MaxConns: 4, Dialect: dialect})
	if err != nil {
		w.t.Fatal(err)
	}
	go pool.Run(ctx)
	got := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		var raw bytes.Buffer
		if r, err := http.ReadRequest(bufio.NewReader(io.TeeReader(c, &raw))); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		got <- raw.String()
	}()
	a := core.NewAttempt(core.NewEndpoint("i1", ln.Addr().String()), m, time.Now().Add(5*time.Second), func(core.Result) {})
	if prepare != nil {
		prepare(a)
	}
	pool.Begin(a)
	select {
	case raw := <-got:
		return canonicalMessage([]byte(raw))
	case <-time.After(10 * time.Second):
		w.t.Fatal("nothing was written")
	}
	return ""
}

// addRequests adds what sidecars write to one another and to their servers.
func (w *wireTranscript) addRequests() {
	for _, c := range []struct {
		name string
		safe bool
	}{{"may run again", true}, {"must not run twice", false}} {
		h := newSendingHop()
		w.add("request that "+c.name+", to a sidecar", "%s", w.captureRequest(h.dialect, clientMessage(c.safe), nil))
		w.add("request that "+c.name+", to the server", "%s", w.captureRequest(newServerDialect(), clientMessage(c.safe), nil))
	}
	h := newSendingHop()
	w.add("query", "%s", w.captureRequest(h.dialect, &core.Message{
		Trace: "x", Verb: "GET", Target: "/", Authority: "h", Safe: true, Meta: http.Header{"Try-Id": {"x"}},
	}, func(a *core.Attempt) { h.query(a, "branch-b.1.fe", 18, 1<<60) }))
	h = newSendingHop()
	h.announce("h:1", 0x18f0e0d0c0b0a090)
	endpoint := core.NewEndpoint("i1", "h:1")
	for _, remaining := range []time.Duration{0, time.Millisecond, 1234560 * time.Microsecond, 59999999 * time.Microsecond, time.Hour} {
		for _, safe := range []bool{true, false} {
			a := core.NewAttempt(endpoint, clientMessage(safe), time.Now(), func(core.Result) {})
			w.add(fmt.Sprintf("fields with %v left, safe %v", remaining, safe), "%q", h.dialect.AppendHeaders(nil, a, remaining))
		}
		a := core.NewAttempt(endpoint, clientMessage(true), time.Now(), func(core.Result) {})
		w.add(fmt.Sprintf("fields to the server with %v left", remaining), "%q", newServerDialect().AppendHeaders(nil, a, remaining))
	}
	for range 20 {
		h.dialect.AppendHeaders(nil, core.NewAttempt(endpoint, clientMessage(false), time.Now(), func(core.Result) {}), time.Second)
	}
	w.add("fields of the 26th attempt", "%q",
		h.dialect.AppendHeaders(nil, core.NewAttempt(endpoint, clientMessage(false), time.Now(), func(core.Result) {}), time.Second))
}

// exchange sends a request to a sidecar's incoming address and ends its attempt with a result; nil leaves the attempt open. The returned
// function waits for the response and adds it.
func (w *wireTranscript) exchange(title string, r *receivingHop, request string, result *core.Result) (wait func()) {
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	_, _ = fmt.Fprint(c, strings.ReplaceAll(request, "\n", "\r\n"))
	if result != nil {
		select {
		case a := <-r.server.begun:
			m := a.Message
			w.add(title+": read as", "object %q rank %d sent %d safe %v class %q target %q verb %q trace %q", m.Object, m.Priority,
				m.ForwardCount, m.Safe, m.Class, m.Target,
				m.Verb, m.Trace)
			a.End(*result)
		case <-time.After(10 * time.Second):
			w.t.Fatalf("%s: does not begin", title)
		}
	}
	return func() {
		w.t.Helper()
		defer func() { _ = c.Close() }()
		var raw bytes.Buffer
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), nil)
		if err != nil {
			w.t.Fatalf("%s: %v", title, err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			w.t.Fatalf("%s: %v", title, err)
		}
		w.add(title+": response", "%s", canonicalMessage(raw.Bytes()))
		w.addJudgements(title, response, body)
	}
}

// addJudgements adds how a sender evaluates a response, if it was to an idempotent request, to another attempt and to a query.
func (w *wireTranscript) addJudgements(title string, response *http.Response, body []byte) {
	for _, kind := range []string{"idempotent", "attempt", "query"} {
		h := newSendingHop()
		h.announce("h:1", 5)
		endpoint := core.NewEndpoint("i1", "h:1")
		a := core.NewAttempt(endpoint, clientMessage(kind != "attempt"), time.Now(), func(core.Result) {})
		if kind == "query" {
			h.query(a, "branch-b.1.fe", 18, 5)
		}
		h.dialect.AppendHeaders(nil, a, time.Second)
		header := http.Header{}
		for name, values := range response.Header {
			if name != "Date" {
				header[name] = values
			}
		}
		passes := h.dialect.Streamable(a, response.StatusCode, header)
		result := h.dialect.Evaluate(a, response.StatusCode, header, body)
		answer := "none"
		if got := result.Answer; got != nil {
			answer = fmt.Sprintf("%d %v %q", got.Status, got.Meta, got.Body)
		}
		nextFields := h.dialect.AppendHeaders(nil, core.NewAttempt(endpoint, clientMessage(false), time.Now(), func(core.Result) {}), time.Second)
		w.add(title+": judged as "+kind, "outcome %d unmet %v passes %v answer %s\nnext %q",
			result.Outcome, result.NotDelivered, passes, answer, nextFields)
	}
}

func wireRequest(fields string) string {
	return "GET /a/1 HTTP/1.1\nHost: h\nTry-Id: x\nDeadline-Ms: 5000.0\nDeliver-To: i1\nSender-Line: caller\n" + fields + "\n"
}

func serverAnswer(status int, fields ...string) *core.Answer {
	h := http.Header{}
	for i := 0; i+1 < len(fields); i += 2 {
		h.Set(fields[i], fields[i+1])
	}
	return &core.Answer{Kind: core.Served, Status: status, Meta: h, Body: []byte("body")}
}

// addResponses adds what the last hop writes, and how a sender evaluates it.
func (w *wireTranscript) addResponses() {
	ok := &core.Result{Outcome: balance.OK, Answer: serverAnswer(200, "Try-Id", "x", "Postmark", "p", "Served-By", "i1")}
	for _, c := range []struct {
		name, state, fields string
		end                 *core.Result
	}{
		{"served", "open", "Firplank-Rank: 0.0\nFirplank-Edition: a\nFirplank-Send: branch-b.1.fe.1.7\n", ok},
		{"served to one that may run again", "open", "Firplank-Rank: 7.3\nFirplank-Edition: a\n", ok},
		{"served to one that names no rank", "open", "", ok},
		{"served to one that names no incarnation", "open", "Firplank-Send: branch-b.1.fe.2.0\n", ok},
		{"served to one whose id cannot be read", "open", "Firplank-Send: nonsense\n", ok},
		{"success without postmark", "open", "Firplank-Rank: 0.0\n", &core.Result{Outcome: balance.OK, Answer: serverAnswer(200, "Try-Id", "x")}},
		{"server's failure", "open", "", &core.Result{Outcome: balance.Failed, Answer: serverAnswer(500, "Try-Id", "x")}},
		{"server's rejection", "open", "", &core.Result{
			Outcome: balance.Rejected, Answer: serverAnswer(503, "Try-Id", "x", "Not-Delivered", "1"),
		}},
		{"connection to the server broke", "open", "", &core.Result{Outcome: balance.Reset}},
		{"given up", "open", "", &core.Result{Outcome: balance.Cancelled}},
		{"out of time", "open", "", &core.Result{Outcome: balance.TimedOut}},
		{"nobody listens", "open", "", &core.Result{Outcome: balance.ConnectFailed}},
		{"never written", "open", "", &core.Result{Outcome: balance.NotSent}},
		{"another server", "open", "Deliver-To: i2\n", nil},
		{"no server is known", "empty", "", nil},
		{"the server drains", "closing", "", nil},
		{"the server is silent", "silent", "", nil},
		{"the server is full", "full", "", nil},
		{"the server is unhealthy", "ill", "", nil},
		{"another incarnation", "open", "Firplank-Send: branch-b.1.fe.1.6\n", nil},
		{"older configuration", "open", "Firplank-Edition: 9\n", nil},
		{"query about what never came", "open", "Firplank-Ask: branch-b.1.fe.1.7\n", nil},
		{"query to another incarnation", "open", "Firplank-Ask: branch-b.1.fe.1.6\n", nil},
		{"query about nobody", "open", "Firplank-Ask: nonsense\n", nil},
		{"query by an older configuration", "open", "Firplank-Edition: 9\nFirplank-Ask: branch-b.1.fe.1.7\n", nil},
		{"malformed request", "open", "Content-Length: 1\nContent-Length: 2\n", nil},
	} {
		r := newReceivingHop(w.t, c.state)
		request := wireRequest(c.fields)
		if strings.HasPrefix(c.fields, "Deliver-To") {
			request = strings.Replace(request, "Deliver-To: i1\n", "", 1)
		}
		if c.name == "older configuration" {
			request = strings.Replace(request, "/a/1", "/gone/1", 1)
		}
		w.exchange(c.name, r, request, c.end)()
		r.close()
	}
	w.addAttemptsAndQueries(ok)
}

// addAttemptsAndQueries adds the responses to attempts that arrive more than once, and to queries about them.
func (w *wireTranscript) addAttemptsAndQueries(ok *core.Result) {
	r := newReceivingHop(w.t, "open")
	defer r.close()
	send, ask := wireRequest("Firplank-Send: branch-b.1.fe.3.7\n"), wireRequest("Firplank-Ask: branch-b.1.fe.3.7\n")
	first := w.exchange("first copy", r, send, nil)
	var a *core.Attempt
	select {
	case a = <-r.server.begun:
	case <-time.After(10 * time.Second):
		w.t.Fatal("the first copy does not begin")
	}
	w.exchange("second copy", r, send, nil)()
	waiting := w.exchange("query while it runs", r, ask, nil)
	time.Sleep(100 * time.Millisecond) // for the query to arrive
	a.End(*ok)
	first()
	waiting()
	w.exchange("query after its end", r, ask, nil)()
	w.exchange("third copy", r, send, nil)()
	w.exchange("query ahead of the attempt", r, wireRequest("Firplank-Ask: branch-b.1.fe.4.7\n"), nil)()
	w.exchange("the attempt after the query", r, wireRequest("Firplank-Send: branch-b.1.fe.4.7\n"), nil)()
}

// wireText returns the transcript of the present code.
func wireText(t *testing.T) string {
	w := &wireTranscript{t: t}
	w.addRequests()
	w.addResponses()
	return w.text.String()
}
