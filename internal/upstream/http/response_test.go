package http

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/httpwire"
	"firplank/internal/testbed"
)

// repeatForever writes start and then repeated, until the peer closes the connection.
func repeatForever(start, repeated string) testbed.Step {
	return func(c net.Conn) bool {
		for text := start; ; text = strings.Repeat(repeated, 100) {
			if _, err := io.WriteString(c, text); err != nil {
				return false
			}
		}
	}
}

// writeAndHold writes a text, such as part of a response, and keeps the connection open.
func writeAndHold(text string) testbed.Step {
	return func(c net.Conn) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// A malformed response fails at once. Waiting for the rest, which never comes or never ends, would use up the deadline,
// and buffering it would exhaust memory.
func TestMalformedResponsesFailAtOnce(t *testing.T) {
	forEachBackend(t, testMalformedResponsesFailAtOnce)
}

func testMalformedResponsesFailAtOnce(t *testing.T, newUpstream func(int) *subject) {
	for name, c := range map[string]struct {
		answer testbed.Step
		want   balance.Result
	}{
		"noise":               {writeAndHold("\x80\x8a\xf9\xcf\r\n\r\n"), balance.Reset},
		"no status":           {writeAndHold("HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n"), balance.Reset},
		"no colon":            {writeAndHold("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n"), balance.Reset},
		"head without end":    {repeatForever("HTTP/1.1 200 OK\r\n", "X-Pad: pppppppp\r\n"), balance.Reset},
		"line without end":    {repeatForever("HTTP/1.1 200 OK\r\nX-Pad: ", "pppppppp"), balance.Reset},
		"interim without end": {repeatForever("", "HTTP/1.1 102 Processing\r\n\r\n"), balance.Reset},
		"two lengths":         {writeAndHold("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"), balance.Reset},
		"announced too long":  {writeAndHold("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n"), balance.Reset},
		"chunks without end":  {repeatForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"), balance.Reset},
		"bad chunk":           {writeAndHold("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"), balance.Reset},
		"no length":           {writeAndHold("HTTP/1.1 200 OK\r\n\r\nserved"), balance.Reset},
		"error, no length":    {writeAndHold("HTTP/1.1 500 Oops\r\n\r\nmore to come"), balance.Failed},
		"rejected, no length": {writeAndHold("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\n\r\n"), balance.Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			s, u := testbed.NewScriptedServer(t, c.answer), newUpstream(1024)
			start := time.Now()
			u.want(t, newAttempt(endpointAt(s.Addr), 2*testbed.Timeout), c.want)
			if took := time.Since(start); took > testbed.Timeout {
				t.Errorf("failed after %v, want at once", took)
			}
			if u.openConns() != 0 {
				t.Error("connection was not closed")
			}
		})
	}
}

// A valid response is accepted, and a connection with surplus bytes after the response is not reused.
func TestValidResponses(t *testing.T) { forEachBackend(t, testValidResponses) }

func testValidResponses(t *testing.T, newUpstream func(int) *subject) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n"
	for name, c := range map[string]struct {
		text string
		kept int
	}{
		"plain":           {answer + "\r\nserved", 1},
		"interim":         {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + answer + "\r\nserved", 1},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nserved\r\n0\r\n\r\n", 1},
		"duplicate":       {strings.Repeat(answer+"\r\nserved", 2), 0},
		"noise":           {answer + "\r\nserved\x01\x02\x03", 0},
		"report unusable": {answer + loadHeader + ": TEXT busy=-1, rate=3\r\n\r\nserved", 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, u := testbed.NewScriptedServer(t, writeAndHold(c.text)), newUpstream(1024)
			r := u.want(t, newAttempt(endpointAt(s.Addr), testbed.Timeout), balance.OK)
			if r.Answer == nil || string(r.Answer.Body) != "served" || r.Report != nil {
				t.Errorf("got %+v", r)
			}
			if u.openConns() != c.kept {
				t.Errorf("%d connections open, want %d", u.openConns(), c.kept)
			}
		})
	}
}

// A malformed load report must not hide a valid one.
func TestUnreadableReportDoesNotHideNext(t *testing.T) {
	h := http.Header{loadHeader: {"TEXT ?", "TEXT busy=0.5, rate=3"}}
	if got := loadReport(h, []string{"busy", "rate"}); len(got) != 2 || got[0] != 0.5 {
		t.Errorf("got %v", got)
	}
}

func newReuseDelayUpstream(t *testing.T) *upstream {
	p := newPool(testbed.Timeout, testbed.Timeout, time.Hour, 1024)
	t.Cleanup(p.closeAll)
	return &upstream{pool: p}
}

// A duplicate response may arrive in a packet of its own, after the connection was found to have no input. A request
// written at once would receive it as its response.
func TestReuseDelay(t *testing.T) {
	s, u := testbed.NewScriptedServer(t, testbed.Respond(200, "")), newReuseDelayUpstream(t)
	e := endpointAt(s.Addr)
	if r := u.perform(newAttempt(e, testbed.Timeout).attempt); r.Outcome != balance.OK {
		t.Fatalf("outcome %v", r.Outcome)
	}
	if c := u.pool.takeIdle(e, 0); c != nil {
		t.Error("connection taken within the reuse delay")
	}
	u.pool.idle[e][0].idleSince = time.Now().Add(-2 * time.Hour)
	if c := u.pool.takeIdle(e, 0); c == nil {
		t.Error("connection not taken after the reuse delay")
	} else {
		u.pool.put(c)
	}
}

// For any input, parsing ends and no more is buffered than a body may hold.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"))
	f.Add([]byte("HTTP/1.1 103 E\r\n\r\nHTTP/1.0 200 OK\r\n\r\nserved"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := newResponseReader(bytes.NewReader(text))
		resp, body, err := r.readWhole(http.MethodPost)
		if (resp == nil) != (err != nil) || len(body) > httpwire.MaxBufferedBody {
			t.Errorf("%v with %d bytes and %v", resp, len(body), err)
		}
	})
}

// A load report has all fields with valid values, or there is none.
func FuzzReports(f *testing.F) {
	f.Add("TEXT busy=0.5, rate=3")
	f.Add("TEXT busy=-1, rate=3")
	f.Add("TEXT busy=1e300, rate=NaN")
	f.Add("TEXT ?")
	f.Fuzz(func(t *testing.T, text string) {
		report := parseReport(text, []string{"busy", "rate"})
		if report != nil && len(report) != 2 {
			t.Errorf("%d values", len(report))
		}
		for _, v := range report {
			if !(v >= 0 && v <= maxReportValue) {
				t.Errorf("%q: got %v", text, report)
			}
		}
	})
}

// An unsafe request must not use a connection that has been idle for so long that the server may have dropped it. A safe
// request may.
func TestUnsafeRequestsAvoidLongIdleConnections(t *testing.T) {
	p := newPool(time.Second, time.Minute, 0, 4)
	p.maxUnsafeIdle = 800 * time.Millisecond
	e, now := core.NewEndpoint("s", "h:1"), time.Now()
	for _, c := range []struct {
		name string
		safe bool
		idle time.Duration
		want bool
	}{
		{"safe, idle for long", true, 10 * time.Second, true}, {"unsafe, idle for long", false, 10 * time.Second, false},
		{"unsafe, just used", false, 100 * time.Millisecond, true},
	} {
		p.idle[e] = []*conn{{endpoint: e, idleSince: now.Add(-c.idle)}}
		if got := p.takeIdle(e, p.maxIdle(&core.Message{Safe: c.safe})) != nil; got != c.want {
			t.Errorf("%s: taken: %v", c.name, got)
		}
	}
	if p.maxUnsafeIdle = 0; p.maxIdle(&core.Message{}) != 0 {
		t.Error("idle time bounded without MaxUnsafeIdle")
	}
}
