package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/lab/judge"
	"firplank/lab/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitTimeout bounds every wait. Only a failing test takes that long.
const waitTimeout = 20 * time.Second

// recorder records the events of servers and rosters.
type recorder struct {
	mu         sync.Mutex
	received   []string
	ran        []string
	pushedOver []string
	notified   []string
}

func (w *recorder) note(list *[]string, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, fmt.Sprintf(format, args...))
}

func (w *recorder) Received(trace, server string, sidecar int, _ time.Duration) {
	w.note(&w.received, "%s %s %d", trace, server, sidecar)
}

func (w *recorder) Ran(trace, server string, _ int, _ time.Duration) {
	w.note(&w.ran, "%s %s", trace, server)
}
func (w *recorder) Finished(string)                           {}
func (w *recorder) PushedOver(server string, _ time.Duration) { w.note(&w.pushedOver, "%s", server) }
func (w *recorder) Changed(string, bool, time.Duration)       {}
func (w *recorder) RosterCall(int, time.Duration, time.Duration, bool) func(judge.CallEnd, time.Duration) {
	return func(judge.CallEnd, time.Duration) {}
}

func (w *recorder) Notified(sidecar int, server string, ready bool, _ time.Duration) {
	w.note(&w.notified, "%d %s %v", sidecar, server, ready)
}

func (w *recorder) list(list *[]string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), *list...)
}

// testServer starts a server with one core, one slot and a queue of one, whose requests each take the given work.
func testServer(t *testing.T, work time.Duration, change func(*ServerConfig)) (*Server, *recorder) {
	t.Helper()
	w, cell := &recorder{}, NewCell()
	cost := func(string) (time.Duration, time.Duration) { return work, 0 }
	cfg := ServerConfig{
		ID: "s-1", Spec: model.Spec{Cores: 1, Speed: 1, Slots: 1, Queue: 1}, Clock: StartClock(), Observer: w, Probes: true,
		Classes: map[string]ServerClass{
			"read": {Work: cost}, "keyed": {Keyed: true, Cell: cell, Window: time.Minute, Work: cost},
		},
	}
	if change != nil {
		change(&cfg)
	}
	s, err := NewServer(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, w
}

type conn struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, addr string) *conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	t.Cleanup(func() { _ = c.Close() })
	return &conn{t, c, bufio.NewReader(c)}
}

func (c *conn) send(trace, class, key string) {
	c.t.Helper()
	text := "GET /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + trace + "\r\nX-Qos: " + class + "\r\n"
	if key != "" {
		text += "Idempotency-Key: " + key + "\r\n"
	}
	if _, err := io.WriteString(c, text+"\r\n"); err != nil {
		c.t.Fatal(err)
	}
}

func (c *conn) read() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(body)
}

func TestServerServes(t *testing.T) {
	s, w := testServer(t, time.Millisecond, func(c *ServerConfig) {
		c.Reports = []string{"util", "qps"}
		c.Spec.ReportEvery = time.Millisecond
	})
	c := dial(t, s.Addr(0))
	for i := range 3 {
		trace := fmt.Sprint("t", i)
		c.send(trace, "read", "")
		resp, body := c.read()
		if resp.StatusCode != http.StatusOK || body != trace+" by s-1.\n" {
			t.Errorf("%s: %q", resp.Status, body)
		}
		if i == 2 && !strings.HasPrefix(resp.Header.Get("Endpoint-Load-Metrics"), "TEXT util=") {
			t.Errorf("report %q", resp.Header.Get("Endpoint-Load-Metrics"))
		}
	}
	if got := w.list(&w.ran); len(got) != 3 {
		t.Errorf("ran %v", got)
	}
	c.send("", "read", "")
	if resp, _ := c.read(); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("without an id: %s", resp.Status)
	}
	_, _ = io.WriteString(c, "GET /alive HTTP/1.1\r\nHost: s\r\n\r\n")
	if resp, _ := c.read(); resp.StatusCode != http.StatusOK {
		t.Errorf("probe: %s", resp.Status)
	}
}

// A repeat of a keyed request must not run, whether it arrives during or after the first one. It gets the same result.
func TestServerDropsRepeats(t *testing.T) {
	s, w := testServer(t, 30*time.Millisecond, nil)
	a, b := dial(t, s.Addr(0)), dial(t, s.Addr(0))
	a.send("t1", "keyed", "k")
	b.send("t2", "keyed", "k")
	_, first := a.read()
	_, second := b.read()
	a.send("t3", "keyed", "k")
	_, third := a.read()
	if first != "t1 by s-1.\n" || second != "t2 by s-1.\n" || third != "t3 by s-1.\n" {
		t.Errorf("answers %q %q %q", first, second, third)
	}
	if got := w.list(&w.ran); len(got) != 1 {
		t.Errorf("ran %v", got)
	}
}

func TestServerRejectsWithoutRunning(t *testing.T) {
	s, w := testServer(t, 200*time.Millisecond, nil)
	var busy []*conn
	for i := range 2 { // one slot and a queue of one
		c := dial(t, s.Addr(0))
		c.send(fmt.Sprint("t", i), "read", "")
		busy = append(busy, c)
		awaitHeld(t, s, i+1)
	}
	c := dial(t, s.Addr(0))
	c.send("t9", "keyed", "k")
	resp, _ := c.read()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Never-Ran") != "1" {
		t.Errorf("answer %v", resp)
	}
	s.SetDraining(true)
	c.send("t10", "read", "")
	if resp, _ := c.read(); resp.Header.Get("X-Never-Ran") != "1" {
		t.Errorf("draining: %v", resp)
	}
	s.SetDraining(false)
	for _, c := range busy {
		c.read()
	}
	c.send("t11", "keyed", "k") // the key of a rejected request is not kept
	if resp, _ := c.read(); resp.StatusCode != http.StatusOK {
		t.Errorf("repeat after the rejection: %s", resp.Status)
	}
	for _, line := range w.list(&w.ran) {
		if strings.HasPrefix(line, "t9 ") || strings.HasPrefix(line, "t10 ") {
			t.Errorf("%s ran", line)
		}
	}
}

func awaitHeld(t *testing.T, s *Server, n int) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		if got, _ := s.Held(); got == n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for the server to hold %d requests", n)
		}
	}
}

// A connection beyond the limit is not reset: its requests are rejected without running.
func TestServerRejectsBeyondConnectionCap(t *testing.T) {
	s, w := testServer(t, time.Millisecond, func(c *ServerConfig) { c.MaxConns = 1 })
	first := dial(t, s.Addr(0))
	first.send("t1", "read", "")
	first.read()
	second := dial(t, s.Addr(0))
	second.send("t2", "read", "")
	if resp, _ := second.read(); resp.Header.Get("X-Never-Ran") != "1" {
		t.Errorf("beyond the limit: %s", resp.Status)
	}
	if got := w.list(&w.ran); len(got) != 1 {
		t.Errorf("ran %v", got)
	}
}

// An unused connection is closed after the idle time-out, one with an open request is not.
func TestServerClosesIdleConnections(t *testing.T) {
	s, _ := testServer(t, 100*time.Millisecond, func(c *ServerConfig) { c.IdleTimeout = 20 * time.Millisecond })
	c := dial(t, s.Addr(0))
	c.send("t1", "read", "")
	c.read()
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection ended with %v", err)
	}
}

// A queued request is dropped when its client closes the connection. A running one continues.
func TestServerDropsAbandonedQueuedWork(t *testing.T) {
	s, w := testServer(t, 100*time.Millisecond, nil)
	first, second := dial(t, s.Addr(0)), dial(t, s.Addr(0))
	first.send("t1", "read", "")
	awaitHeld(t, s, 1)
	second.send("t2", "read", "")
	awaitHeld(t, s, 2)
	_ = second.Close()
	awaitHeld(t, s, 1)
	_ = first.Close()
	awaitHeld(t, s, 0)
	if got := w.list(&w.ran); len(got) != 1 || got[0] != "t1 s-1" {
		t.Errorf("ran %v", got)
	}
}

// A crash resets open connections and refuses new ones, and running requests count as executed. A restarted server and a
// replacement listen on the same address.
func TestServerCrashesAndReturns(t *testing.T) {
	s, w := testServer(t, time.Hour, func(c *ServerConfig) { c.Spec.Slots = 0 })
	c := dial(t, s.Addr(0))
	c.send("t1", "read", "")
	awaitHeld(t, s, 1)
	s.Crash()
	if _, err := c.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("an open connection ended with %v", err)
	}
	if _, err := net.Dial("tcp", s.Addr(0)); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v", err)
	}
	if got := w.list(&w.ran); len(got) != 1 {
		t.Errorf("ran %v", got)
	}
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	dial(t, s.Addr(0)).send("t2", "read", "")
	awaitHeld(t, s, 1)
	s.Crash()
	n, err := s.Replace("s-2")
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	dial(t, s.Addr(0)).send("t3", "read", "")
	awaitHeld(t, n, 1)
	if got := w.list(&w.received); len(got) != 3 || got[2] != "t3 s-2 0" {
		t.Errorf("received %v", got)
	}
}

// A cut link receives and sends nothing. When it is restored, open connections are reset.
func TestSilentLinkReceivesNothing(t *testing.T) {
	s, w := testServer(t, time.Millisecond, nil)
	c := dial(t, s.Addr(0))
	c.send("t1", "read", "")
	c.read()
	s.SetSilent(0, true)
	c.send("t2", "read", "")
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.in.ReadByte(); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("read on the cut link: %v", err)
	}
	s.SetSilent(0, false)
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := c.in.ReadByte(); err == nil {
		t.Error("the connection is still open after the cut")
	}
	if got := w.list(&w.received); len(got) != 1 {
		t.Errorf("received %v", got)
	}
}

func TestOverloadedColdServerCrashes(t *testing.T) {
	s, w := testServer(t, time.Second, func(c *ServerConfig) {
		c.Cold = true
		c.Spec = model.Spec{Cores: 1, Speed: 1, ColdFrom: 0.1, ColdFor: time.Minute, FallMultiple: 2, FallFor: time.Second}
	})
	c := dial(t, s.Addr(0))
	c.send("t1", "read", "")
	if _, err := c.in.ReadByte(); err == nil {
		t.Error("the server responded after its crash")
	}
	if got := w.list(&w.pushedOver); len(got) != 1 {
		t.Errorf("pushed over %v", got)
	}
}

// spoiltForms checks each form of a corrupted response.
var spoiltForms = map[string]func(*conn) error{
	"noise": func(c *conn) error {
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := http.ReadResponse(c.in, nil)
		return expect(err != nil, "a valid response")
	},
	"endless_head": func(c *conn) error { n, _ := io.CopyN(io.Discard, c.in, 1<<20); return expect(n == 1<<20, "an end") },
	"short_length": func(c *conn) error { c.read(); return expect(c.in.Buffered() > 0, "no data after the body") },
	"long_length": func(c *conn) error {
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return err
		}
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err = io.ReadAll(resp.Body)
		return expect(err != nil, "a complete body")
	},
	"huge_length": func(c *conn) error {
		resp, err := http.ReadResponse(c.in, nil)
		return expect(err == nil && resp.ContentLength == 3<<30, "another length")
	},
	"cut_off": func(c *conn) error {
		resp, err := http.ReadResponse(c.in, nil)
		if err != nil {
			return err
		}
		_, err = io.ReadAll(resp.Body)
		return expect(errors.Is(err, io.ErrUnexpectedEOF), "a complete body")
	},
	"interim": func(c *conn) error {
		resp, _ := c.read()
		return expect(resp.StatusCode == http.StatusEarlyHints, "no interim response")
	},
	"bad_report": func(c *conn) error {
		resp, _ := c.read()
		return expect(strings.Contains(resp.Header.Get("Endpoint-Load-Metrics"), "NaN"), "a valid report")
	},
	"pieces": func(c *conn) error { _, body := c.read(); return expect(body == "t by s-1.\n", "another body") },
	"second_copy": func(c *conn) error {
		_, a := c.read()
		_, b := c.read()
		return expect(a == b, "no second copy")
	},
}

// Each form corrupts the response in the way that its name says.
func TestSpoiltAnswers(t *testing.T) {
	for form, check := range spoiltForms {
		t.Run(form, func(t *testing.T) {
			s, _ := testServer(t, time.Millisecond, nil)
			s.SetSpoil(Spoil{Form: form, Share: 1, Delay: 5 * time.Millisecond})
			c := dial(t, s.Addr(0))
			c.send("t", "read", "")
			if err := check(c); err != nil {
				t.Error(err)
			}
		})
	}
}

func expect(ok bool, otherwise string) error {
	if !ok {
		return errors.New("there is " + otherwise)
	}
	return nil
}

func testRoster(t *testing.T, change func(*RosterConfig)) (*Roster, *recorder) {
	t.Helper()
	w := &recorder{}
	cfg := RosterConfig{Clock: StartClock(), Observer: w}
	if change != nil {
		change(&cfg)
	}
	r, err := NewRoster(cfg, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return r, w
}

func entry(id string) Entry {
	return Entry{ID: id, Addr: func(sidecar int) string { return fmt.Sprintf("127.0.0.1:%d", 7000+sidecar) }, Size: 1}
}

func ask(t *testing.T, addr, query string) (List, error) {
	t.Helper()
	client := &http.Client{Timeout: waitTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + addr + "/discovery/hosts" + query)
	if err != nil {
		return List{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var l List
	if resp.StatusCode != http.StatusOK {
		return l, errors.New(resp.Status)
	}
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

func TestRosterListsAndWatches(t *testing.T) {
	r, w := testRoster(t, nil)
	r.Set(entry("a"), "ready")
	r.Set(entry("b"), "ready")
	whole, err := ask(t, r.Addr(1), "")
	if err != nil || !whole.Complete || len(whole.Members) != 2 || whole.Members[0].HostPort != "127.0.0.1:7001" {
		t.Fatalf("%+v, %v", whole, err)
	}
	awaitNotified(t, w, 2)
	got := make(chan List, 1)
	go func() {
		l, _ := ask(t, r.Addr(1), fmt.Sprintf("?from=%d&hold_ms=20000", whole.Revision))
		got <- l
	}()
	for r.Calls() < 2 {
		time.Sleep(time.Millisecond)
	}
	r.Set(entry("b"), "gone")
	select {
	case l := <-got:
		if l.Complete || len(l.Members) != 1 || l.Members[0].Phase != "gone" || l.Revision <= whole.Revision {
			t.Errorf("change list %+v", l)
		}
	case <-time.After(waitTimeout):
		t.Fatal("timed out waiting for the watch to end")
	}
	if l, err := ask(t, r.Addr(0), fmt.Sprintf("?from=%d&hold_ms=1", whole.Revision+1)); err != nil || len(l.Members) != 0 {
		t.Errorf("without changes: %+v, %v", l, err)
	}
	if told := awaitNotified(t, w, 3); told[len(told)-1] != "1 b false" {
		t.Errorf("notified %v", told)
	}
}

// awaitNotified waits until the recorder has count notifications. The roster reports them only after it has sent the response.
func awaitNotified(t *testing.T, w *recorder, count int) (told []string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if told = w.list(&w.notified); len(told) >= count {
			return told
		}
	}
	t.Fatalf("notified %v", told)
	return nil
}

// After a restart the revision is lower, and a watch from the old revision must get the complete list.
func TestRosterRestartLowersRevision(t *testing.T) {
	r, _ := testRoster(t, nil)
	for _, id := range []string{"a", "b", "c"} {
		r.Set(entry(id), "ready")
	}
	r.Set(entry("a"), "gone")
	before, err := ask(t, r.Addr(0), "")
	if err != nil {
		t.Fatal(err)
	}
	r.Restart()
	after, err := ask(t, r.Addr(0), fmt.Sprintf("?from=%d&hold_ms=20000", before.Revision))
	if err != nil || !after.Complete || after.Revision >= before.Revision || len(after.Members) != 2 {
		t.Errorf("%+v, %v", after, err)
	}
}

func TestRosterFailsWhenOverloadedDownOrMalformed(t *testing.T) {
	r, _ := testRoster(t, func(c *RosterConfig) { c.ServiceTime, c.MaxQueueWait = 50*time.Millisecond, 20*time.Millisecond })
	failed := make(chan error, 8)
	for range 8 {
		go func() {
			_, err := ask(t, r.Addr(0), "")
			failed <- err
		}()
	}
	n := 0
	for range 8 {
		if <-failed != nil {
			n++
		}
	}
	if n == 0 {
		t.Error("no call beyond the roster's capacity failed")
	}
	r.SetDown(true)
	if _, err := ask(t, r.Addr(0), ""); err == nil {
		t.Error("the roster responds while it is down")
	}
	r.SetDown(false)
	r.SetGarble(true)
	if _, err := ask(t, r.Addr(0), ""); err == nil {
		t.Error("the malformed list was accepted")
	}
}

// An agent responds at once with its last list while discovery is down.
func TestAgentAnswersLastListWhileDown(t *testing.T) {
	r, _ := testRoster(t, func(c *RosterConfig) { c.Push = true })
	r.Set(entry("a"), "ready")
	r.SetDown(true)
	if l, err := ask(t, r.Addr(0), ""); err != nil || len(l.Members) != 1 {
		t.Errorf("%+v, %v", l, err)
	}
}
