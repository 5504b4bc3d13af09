package dataplane

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	httpback "firplank/internal/upstream/http"
	"firplank/mesh/admission"
	"firplank/mesh/codec"
	"firplank/mesh/config"
	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/dataplane/lasthop"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

func header(fields ...string) http.Header {
	h := http.Header{}
	for i := 0; i+1 < len(fields); i += 2 {
		h.Set(fields[i], fields[i+1])
	}
	return h
}

// The sending sidecar must retry a non-idempotent request only if neither the last hop nor the server can have run it. Each case passes a
// server's response through the last hop and the sending sidecar.
func TestResponseOutcomesAcrossHops(t *testing.T) {
	for _, c := range []struct {
		name            string
		status          int
		header          http.Header
		noAnswerOutcome balance.Result // without a response
		want            balance.Result
		notDelivered    bool
		serverAnswer    bool // the server's response is forwarded
	}{
		{"served", 200, header("Try-Id", "x", "Postmark", "p"), 0, balance.OK, false, true},
		{"a success without postmark", 200, header("Try-Id", "x"), 0, balance.Reset, false, false},
		{"a success with an encoding that was not requested", 200,
			header("Try-Id", "x", "Postmark", "p", "Content-Encoding", "gzip"), 0, balance.Reset, false, false},
		{"the server's failure", 500, header("Try-Id", "x"), 0, balance.Failed, false, true},
		{"a failure without request ID", 502, header(), 0, balance.Reset, false, false},
		{"the server is full", 503, header("Try-Id", "x", "Not-Delivered", "1"), 0, balance.Rejected, false, false},
		{"another server has the address", 421, header("Try-Id", "x", "Served-By", "i-2"), 0, balance.Rejected, false, false},
		{"another server has the address, without request ID", 421, header("Served-By", "i-2"), 0, balance.Reset, false, false},
		{"a rejection without request ID", 503, header("Not-Delivered", "1"), 0, balance.Reset, false, false},
		{"a server that sets a sidecar header", 500, header("Try-Id", "x", "Firplank-Fate", "unmet"), 0, balance.Failed, false, true},
		{"connection refused", 0, nil, balance.ConnectFailed, balance.Rejected, true, false},
		{"never sent", 0, nil, balance.NotSent, balance.Rejected, true, false},
		{"connection reset", 0, nil, balance.Reset, balance.Reset, false, false},
		{"deadline exceeded", 0, nil, balance.TimedOut, balance.TimedOut, false, false},
		{"cancelled", 0, nil, balance.Cancelled, balance.Reset, false, false},
	} {
		a := core.NewAttempt(core.NewEndpoint("i-1", "h:1"), &core.Message{Trace: "x"}, time.Now(), func(core.Result) {})
		r := core.Result{Outcome: c.noAnswerOutcome}
		if c.status != 0 {
			r = serverDialect{}.Evaluate(a, c.status, c.header, []byte("body"))
		}
		lastHopResponse := lastHopAnswer(r)
		got := newSidecarDialect().Evaluate(a, lastHopResponse.Status, http.Header(lastHopResponse.Meta), lastHopResponse.Body)
		if got.Outcome != c.want || got.NotDelivered != c.notDelivered {
			t.Errorf("%s: %v, not delivered %v; want %v, %v", c.name, got.Outcome, got.NotDelivered, c.want, c.notDelivered)
		}
		if serverAnswer := got.Answer != nil && got.Answer.Status == c.status; serverAnswer != c.serverAnswer {
			t.Errorf("%s: answered %+v", c.name, got.Answer)
		}
		if got.Answer != nil && got.Answer.Meta["Firplank-Fate"] != nil {
			t.Errorf("%s: a header between sidecars is passed on to the client", c.name)
		}
	}
}

func parseTestConfig(t *testing.T, edition, service string) *config.Config {
	t.Helper()
	parsed, err := config.Parse(fmt.Appendf(nil, `{"edition":"%s","gates":[{"depot":"h","regulations":[
{"name":"r","routeKind":"safe","targetS":1,"precedence":1,
"sorting":{"lanePrefix":"/a/"},"dispatch":{"line":"%s","deadlineS":2,"attempts":2}}]}],
"fleets":[{"name":"one"},{"name":"two"}]}`, edition, service))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// A last hop rejects a request that was routed by an older configuration and would go elsewhere by the present one. It accepts one that was
// routed by a newer configuration.
func TestLastHopRejectsOutdatedRouting(t *testing.T) {
	service := "one"
	for _, c := range []struct {
		name, senderVersion, path, routedTo string
		want                                bool
	}{
		{"the same version", "5", "/a/1", "two", false}, {"an older one with the same route", "4", "/a/1", "one", false},
		{"an older one, now routed elsewhere", "4", "/a/1", "two", true}, {"an older one, now without a route", "4", "/b/1", "one", true},
		{"a newer one", "6", "/b/1", "two", false}, {"without a version", "", "/a/1", "two", false},
	} {
		p := &Proxy{}
		p.serviceName.Store(&service)
		p.cfg.Store(parseTestConfig(t, "00000005", c.routedTo))
		r := &httpfront.Request{Host: "h", Path: c.path, Header: header("Firplank-Edition", c.senderVersion)}
		if got := (incomingDialect{config: &p.cfg, service: &p.serviceName}).routedByOutdatedConfig(r); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A surplus response on a connection must not be taken for that of the next request: it is recognized by its ID, and the response after it
// is used.
func TestSurplusResponseIsSkipped(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }() // an error loses nothing
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }() // the response was read by then
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil || r.Header.Get("Deliver-To") != "i-1" || r.Header.Get("Deadline-Ms") == "" {
			return
		}
		for _, id := range []string{"old", "x"} {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nTry-Id: %s\r\nPostmark: p\r\nContent-Length: %d\r\n\r\n", id, len("for "+id))
			if _, err := fmt.Fprint(c, head+"for "+id); err != nil {
				return
			}
		}
		_, _ = bufio.NewReader(c).ReadByte() // until the other end closes
	}()
	pool, err := httpback.NewPoll(t.Context(), httpback.Config{
		ConnectTimeout: time.Second,
		IdleTimeout:    time.Second,
		MaxConns:       4,
		Dialect:        serverDialect{},
	})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan core.Result, 1)
	m := &core.Message{
		Trace:     "x",
		Verb:      http.MethodGet,
		Target:    "/a/",
		Authority: "h",
		Meta:      header("Try-Id", "x", "Deliver-To", "i-1", "Firplank-Rank", "1"),
	}
	server := core.NewEndpoint("server", ln.Addr().String())
	pool.Begin(core.NewAttempt(server, m, time.Now().Add(5*time.Second), func(r core.Result) { ended <- r }))
	r := <-ended
	if r.Outcome != balance.OK || r.Answer == nil || string(r.Answer.Body) != "for x" {
		t.Errorf("%v: %+v", r.Outcome, r.Answer)
	}
}

func TestServerIDIsReadFromHealthCheck(t *testing.T) {
	for _, c := range []struct{ answer, want string }{
		{"HTTP/1.1 200 OK\r\nServed-By: i-9\r\nContent-Length: 0\r\n\r\n", "i-9"},
		{"HTTP/1.1 503 Service Unavailable\r\nServed-By: i-9\r\nContent-Length: 0\r\n\r\n", ""},
		{"HTTP/1.1 200 OK\r\nServed-By: " + strings.Repeat("i", 300) + "\r\nContent-Length: 0\r\n\r\n", ""},
		{"not HTTP", ""},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if conn, err := ln.Accept(); err == nil {
				_, _ = bufio.NewReader(conn).ReadString('\n') // a request that is cut off fails the check below
				_, _ = fmt.Fprint(conn, c.answer)
				_ = conn.Close()
			}
		}()
		client := &http.Client{Timeout: 5 * time.Second}
		if got := requestServerID(t.Context(), client, "http://"+ln.Addr().String()+"/health"); got != c.want {
			t.Errorf("%.30q: %q", c.answer, got)
		}
		_ = ln.Close() // an error loses nothing
	}
}

// A sidecar that shuts down announces that it drains, not that its server closes. The next sidecar process must find the server in the same
// state as before.
func TestSidecarShutdownDoesNotCloseServer(t *testing.T) {
	for _, c := range []struct {
		name      string
		closing   bool
		announced directory.State
		verdict   admission.Verdict
	}{{"the server stays", false, directory.Draining, admission.Admit}, {"the server closes", true, directory.Closing, admission.Closing}} {
		service := "records"
		newIncarnationProxy := func(incarnation uint64) *Proxy {
			heartbeats := timing.Server{HeartbeatTimeout: time.Second, RestoredTimeout: time.Second}
			gate := lasthop.Gate[*core.Call, *core.Answer]{Admission: admission.New(heartbeats)}
			p := &Proxy{lastHop: &lastHop{gate: gate}}
			p.serviceName.Store(&service)
			durations := timing.Default()
			policy := dissemination.NewSubscriber("b1", "", durations.Dissemination, 0)
			p.node = distribution.New(directory.Entry{Node: "b1", Incarnation: incarnation}, policy, &host{p: p}, durations)
			return p
		}
		first := newIncarnationProxy(1)
		heartbeat := admission.Heartbeat{ServerID: "i1", Service: service, Slots: 4, Closing: c.closing, Sequence: admission.NewSequence(1)}
		first.lastHop.gate.Admission.HandleHeartbeat(0, heartbeat)
		first.shuttingDown.Store(true)
		first.node.Announce(0)
		e, _ := first.node.State().Directory.Get("b1")
		if e.State != c.announced {
			t.Errorf("%s: announced as %v", c.name, e.State)
		}
		second := newIncarnationProxy(2)
		parent := &transport.Conn{}
		second.node.Handle(0, distribution.ParentDialed{Conn: parent})
		update := &wire.FrameT{Kind: wire.Update, AgeMs: 1, Entries: []*wire.EntryT{codec.EntryToWire(&e, 0)}}
		second.node.Handle(0, distribution.FrameReceived{Conn: parent, Frame: update})
		if v := second.lastHop.gate.Admission.Admit("i1", 0, 0); v != c.verdict {
			t.Errorf("%s: the next sidecar's admission verdict is %v", c.name, v)
		}
	}
}
