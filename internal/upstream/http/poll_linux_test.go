package http

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/httpwire"
	"firplank/internal/testbed"
)

func newPollSubject(t *testing.T, reuseDelay time.Duration) *subject {
	t.Helper()
	b, err := NewPoll(t.Context(), Config{ConnectTimeout: testbed.Timeout, IdleTimeout: testbed.Timeout, ReuseDelay: reuseDelay, MaxConns: 64})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return &subject{b.up, b}
}

// writeBytewise writes a text in single bytes, each in a packet of its own.
func writeBytewise(text string) testbed.Step {
	return func(c net.Conn) bool {
		for i := range len(text) {
			if _, err := io.WriteString(c, text[i:i+1]); err != nil {
				return false
			}
			if i%16 == 0 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		return true
	}
}

// A response that arrives in fragments is the same as a whole one, and its connection is reused.
func TestFragmentedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nse\r\n4;x=y\r\nrved\r\n0\r\nT: u\r\n\r\n",
		"bare LF": "HTTP/1.1 200 OK\nContent-Length: 6\n\nserved",
	} {
		t.Run(name, func(t *testing.T) {
			s, u := testbed.NewScriptedServer(t, writeBytewise(text), writeBytewise(text)), newPollSubject(t, 0)
			for range 2 {
				r := u.want(t, newAttempt(endpointAt(s.Addr), testbed.Timeout), balance.OK)
				if r.Answer == nil || string(r.Answer.Body) != "served" {
					t.Fatalf("got %+v", r.Answer)
				}
			}
		})
	}
}

// A request whose last byte was not sent never ran, even if it timed out.
func TestIncompletelyWrittenRequestIsNotSent(t *testing.T) {
	u := newPollSubject(t, 0)
	e, conns := silentServer(t, "s-1")
	a := newAttempt(e, 150*time.Millisecond)
	a.Message.Body = make([]byte, 32<<20) // exceeds the socket buffers
	u.want(t, a, balance.NotSent)
	testbed.Next(t, conns)
	testbed.Until(t, "the connection closes", func() bool { return u.openConns() == 0 })
}

// Bytes that arrive long after the response make the server a late sender; bytes within the reuse delay do not.
func TestPolledLateData(t *testing.T) {
	for name, reuseDelay := range map[string]time.Duration{"late": 0, "within the reuse delay": time.Hour} {
		t.Run(name, func(t *testing.T) {
			u := newPollSubject(t, reuseDelay)
			e, conns := silentServer(t, "s-1")
			a := newAttempt(e, testbed.Timeout)
			u.poll.Begin(a.Attempt)
			c := testbed.Next(t, conns)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			if r := testbed.Next(t, a.done); r.Outcome != balance.OK {
				t.Fatalf("outcome %v", r.Outcome)
			}
			// Another round of the poller, so that it has handled all earlier events.
			other := testbed.NewScriptedServer(t, testbed.Respond(200, ""))
			u.want(t, newAttempt(endpointAt(other.Addr), testbed.Timeout), balance.OK)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			testbed.Until(t, "the connection closes", func() bool {
				u.pool.mu.Lock()
				defer u.pool.mu.Unlock()
				return len(u.pool.idle[e]) == 0
			})
			u.pool.mu.Lock()
			_, caught := u.pool.lateSenders[e]
			u.pool.mu.Unlock()
			if caught != (reuseDelay == 0) {
				t.Errorf("late sender: %v", caught)
			}
		})
	}
}

// readStream reads a streamed response to its end.
func readStream(t *testing.T, a *core.Answer) []byte {
	t.Helper()
	var got []byte
	buf := make([]byte, 10_000)
	for {
		n, err := a.Stream.ReadTimeout(buf, testbed.Timeout)
		got = append(got, buf[:n]...)
		if errors.Is(err, io.EOF) {
			return got
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// A response that is long, or may be, is streamed to the client on a goroutine. Afterwards its connection is polled
// again.
func TestLongResponsesAreStreamed(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20<<10)
	slow := func(c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")
		time.Sleep(2 * holdTimeout)
		_, err := io.WriteString(c, "3\r\ndef\r\n0\r\n\r\n")
		return err == nil
	}
	late := func(c net.Conn) bool { // no body for a while, and then for longer than the attempt may take
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		time.Sleep(2 * holdTimeout)
		for _, text := range []string{"3\r\nabc\r\n", "3\r\ndef\r\n", "0\r\n\r\n"} {
			if _, err := io.WriteString(c, text); err != nil {
				return false
			}
			time.Sleep(4 * holdTimeout)
		}
		return true
	}
	s := testbed.NewScriptedServer(t, testbed.Respond(200, long), slow, late, testbed.Respond(200, "short"))
	u := newPollSubject(t, 0)
	e := endpointAt(s.Addr)
	for i, want := range []string{long, "abcdef", "abcdef"} {
		within := testbed.Timeout
		if i == 2 {
			within = 5 * holdTimeout
		}
		a := newAttempt(e, within)
		a.Message.AcceptsStream = true
		r := u.want(t, a, balance.OK)
		if r.Answer == nil || r.Answer.Stream == nil {
			t.Fatalf("no stream in %+v", r.Answer)
		}
		if got := readStream(t, r.Answer); string(got) != want {
			t.Errorf("%d bytes, want %d", len(got), len(want))
		}
		testbed.Until(t, "the connection is idle", func() bool {
			u.pool.mu.Lock()
			defer u.pool.mu.Unlock()
			return len(u.pool.idle[e]) == 1
		})
	}
	r := u.want(t, newAttempt(e, testbed.Timeout), balance.OK)
	if _, _, conns := s.Received(); conns != 1 || r.Answer == nil || string(r.Answer.Body) != "short" {
		t.Errorf("%d connections, last response %+v", conns, r.Answer)
	}
}

// Attempts end at their deadline, not before, and close their connections.
func TestAttemptsEndAtDeadline(t *testing.T) {
	u := newPollSubject(t, 0)
	e, _ := silentServer(t, "s-1")
	var all []*testAttempt
	begun := time.Now()
	for i := range 50 {
		a := newAttempt(e, time.Duration(20+i)*time.Millisecond)
		all = append(all, a)
		u.poll.Begin(a.Attempt)
	}
	for i, a := range all {
		r := testbed.Next(t, a.done)
		if took := time.Since(begun); r.Outcome != balance.TimedOut || took < time.Duration(20+i)*time.Millisecond {
			t.Errorf("attempt %d: %v after %v", i, r.Outcome, took)
		}
	}
	if n := u.openConns(); n != 0 {
		t.Errorf("%d connections left", n)
	}
}

// For any input in any fragments, what the parser accepts the standard library accepts with the same status, header and
// body.
func FuzzAnswerAgainstLibrary(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved",
		"HTTP/1.1 200\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 503 Full\nX-Never-Ran: 1\nContent-Length: 1\n\nx",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\nT: u\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nuntil the end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end",
		"HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 500 Oops\r\n\r\nmore",
	} {
		f.Add([]byte(text), uint8(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		var in responseParser
		whole, err := false, error(nil)
		n := 0
		for !whole && err == nil && n < len(text) {
			n = min(len(text), n+int(step)+1)
			whole, err = in.parse(text[:n], false)
		}
		if !whole && err == nil {
			whole, err = in.parse(text[:n], true)
		}
		if err != nil || !whole {
			return
		}
		body, _ := in.body(text[:n])
		resp, theirs, err := newResponseReader(bytes.NewReader(text)).readWhole(http.MethodPost)
		if err != nil {
			if len(body) > httpwire.MaxBufferedBody {
				return // the library reader bounds the body, the parser's caller does
			}
			t.Fatalf("library: %v, parser accepted %+v", err, in.head)
		}
		h := headOf(resp)
		if in.head.status != h.status || !bytes.Equal(body, theirs) || in.head.willClose != h.willClose {
			t.Fatalf("parser %+v with %q, library %+v with %q", in.head, body, h, theirs)
		}
		delete(in.head.header, "Connection") // which the library keeps or drops, and which is not forwarded
		delete(resp.Header, "Connection")
		if got, want := fmt.Sprint(in.head.header), fmt.Sprint(resp.Header); got != want {
			t.Fatalf("parser %s, library %s", got, want)
		}
	})
}

// An encoded request is parsed by the standard library with the same content.
func TestEncodedRequestParses(t *testing.T) {
	a := newAttempt(endpointAt("127.0.0.1:1"), testbed.Timeout)
	a.Message.Class, a.Message.Safe = "gold", false
	a.Message.Meta = http.Header{"X-Qos": {"silver"}, "Accept": {"a", "b"}, "Expect": {"100-continue"}, "Content-Length": {"99"}}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(appendRequest(nil, a.Message, time.Second))))
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(r.Body)
	want := http.Header{"X-Qos": {"gold"}, "Accept": {"a", "b"}, "Content-Length": {"7"}, "X-Expires-In": {"1000000u"}}
	if r.Method != "POST" || r.RequestURI != "/api" || r.Host != "app.svc" || string(body) != "order 7" ||
		fmt.Sprint(r.Header) != fmt.Sprint(want) {
		t.Errorf("%s %s %s %v %q", r.Method, r.RequestURI, r.Host, r.Header, body)
	}
}

// If the client abandons a streamed response, the connection to the server closes at once, even if the next bytes would
// come much later.
func TestAbandonedStreamClosesServerConnection(t *testing.T) {
	for name, polled := range map[string]bool{"polled": true, "with goroutines": false} {
		t.Run(name, func(t *testing.T) {
			e, conns := silentServer(t, "s-1")
			ended := make(chan core.Result, 1)
			m := &core.Message{Target: "/", AcceptsStream: true}
			a := core.NewAttempt(e, m, time.Now().Add(testbed.Timeout), func(r core.Result) { ended <- r })
			if polled {
				newPollSubject(t, 0).poll.Begin(a)
			} else {
				New(t.Context(), Config{ConnectTimeout: testbed.Timeout, IdleTimeout: testbed.Timeout, MaxConns: 4}).Begin(a)
			}
			c := testbed.Next(t, conns)
			_, _ = c.Read(make([]byte, 1<<10))
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfirst", 2*httpwire.MaxBufferedBody); err != nil {
				t.Fatal(err)
			}
			r := testbed.Next(t, ended)
			if r.Answer == nil || r.Answer.Stream == nil {
				t.Fatalf("got %+v", r)
			}
			r.Answer.Stream.CloseRead(errors.New("client disconnected"))
			_ = c.SetReadDeadline(time.Now().Add(stallTimeout / 4))
			if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("connection still open: %v", err)
			}
		})
	}
}
