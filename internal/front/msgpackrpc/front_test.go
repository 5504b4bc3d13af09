package msgpackrpc

import (
	"bytes"
	"io"
	"log/slog"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/internal/testbed"
	codec "firplank/msgpackrpc"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeExchange delivers calls to the test, which answers them.
type fakeExchange struct {
	submitted    chan *core.Call
	disconnected chan *core.Call
}

func (e *fakeExchange) Submit(c *core.Call)     { e.submitted <- c }
func (e *fakeExchange) Disconnect(c *core.Call) { e.disconnected <- c }

func testMethods(t *testing.T) *Methods {
	t.Helper()
	rules := []balance.Class{{Effect: balance.Safe, Deadline: 2000}, {Effect: balance.Keyed, Deadline: 900},
		{Effect: balance.Unsafe, Deadline: 900}}
	catalog, err := core.NewCatalog(rules, []string{"lookup", "reserve", "pay"}, []string{"north", "south"})
	if err != nil {
		t.Fatal(err)
	}
	ms, err := NewMethods([]Method{
		{Name: "plate.lookup", Class: "lookup", Tenant: "north", Path: "/api/lookup", Notify: true},
		{
			Name: "plate.reserve", Class: "reserve", TenantParam: UnderKey("tenant"), Key: UnderKey("plate"), Idempotency: UnderKey("key"),
			Deadline: UnderKey("ms"), Trace: UnderKey("trace"), Retry: UnderKey("again"),
		},
		{Name: "plate.pay", Class: "pay", TenantParam: AtPosition(1), Key: AtPosition(0), Deadline: AtPosition(2)},
	}, catalog)
	if err != nil {
		t.Fatal(err)
	}
	return ms
}

type testFront struct {
	t        *testing.T
	front    *Front
	addr     string
	exchange *fakeExchange
	log      *testbed.LogBuffer
}

func start(t *testing.T, change func(*Config)) *testFront {
	t.Helper()
	b := &testFront{t: t, exchange: &fakeExchange{make(chan *core.Call, 5000), make(chan *core.Call, 5000)}, log: &testbed.LogBuffer{}}
	cfg := Config{
		Methods: testMethods(t), MaxOpen: 1000, Connections: 10, Evict: func() bool { return false },
		Log: slog.New(slog.NewTextHandler(b.log, nil)),
	}
	if change != nil {
		change(&cfg)
	}
	b.front = New(cfg, b.exchange)
	ln := testbed.Listen(t)
	b.addr = ln.Addr().String()
	b.front.Serve(ln)
	t.Cleanup(b.front.Close)
	return b
}

// client is the client's side of a connection.
type client struct {
	*net.TCPConn
	t  *testing.T
	in *codec.Reader
}

func (b *testFront) dial() *client {
	b.t.Helper()
	c, err := net.Dial("tcp", b.addr)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testbed.Timeout))
	return &client{c.(*net.TCPConn), b.t, codec.NewReader(c, codec.Limits{Frame: 1 << 20})}
}

func pack(t testing.TB, v any) []byte {
	t.Helper()
	b, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func (c *client) send(frames ...[]byte) {
	c.t.Helper()
	if _, err := c.Write(bytes.Join(frames, nil)); err != nil {
		c.t.Fatal(err)
	}
}

// response reads a response and returns its id, the code of its error and its result.
func (c *client) response() (id uint32, code string, result []byte) {
	c.t.Helper()
	f, err := c.in.Next()
	if err != nil {
		c.t.Fatal(err)
	}
	if f.Failed() {
		var e struct {
			Code string `msgpack:"code"`
		}
		if err := msgpack.Unmarshal(f.Error, &e); err != nil {
			c.t.Fatalf("error % x: %v", f.Error, err)
		}
		return f.ID, e.Code, nil
	}
	return f.ID, "", bytes.Clone(f.Result)
}

func (c *client) wantClose(what string) {
	c.t.Helper()
	if f, err := c.in.Next(); err == nil {
		c.t.Errorf("%s: got %+v instead of a close", what, f)
	}
}

func lookupRequest(id uint32) []byte {
	return codec.AppendRequest(nil, id, "plate.lookup", []byte{0x90})
}

func serve(c *core.Call, body []byte) {
	c.Client.Answer(c, &core.Answer{ContentType: core.MessagePack, Body: body})
}

// The fields of a request are read from its parameters, by key and by position. The parameters are forwarded unchanged, also with
// NaN among them, and so is a result with a repeated key.
func TestRequestFields(t *testing.T) {
	b := start(t, nil)
	c := b.dial()
	params := pack(t, []any{map[string]any{
		"tenant": "south", "plate": "あ 12-34", "key": "k-1", "ms": 300, "trace": "t-1", "again": true, "more": math.NaN(),
	}})
	c.send(codec.AppendRequest(nil, 7, "plate.reserve", params))
	got := testbed.Next(t, b.exchange.submitted)
	m, request := &got.Message, &got.Request
	if request.Class != 1 || request.Tenant != 1 || request.Remaining != 300 || !request.Retry || request.Key == 0 || got.Name != "t-1" {
		t.Errorf("request %+v with trace id %q", request, got.Name)
	}
	if m.IdempotencyKey != "k-1" || m.Trace != "t-1" || m.Class != "reserve" || m.Tenant != "south" || m.Safe || !bytes.Equal(m.Body, params) {
		t.Errorf("message %+v", m)
	}
	positions := pack(t, []any{uint64(77), []byte("north"), 1e9, nil})
	c.send(codec.AppendRequest(nil, math.MaxUint32, "plate.pay", positions))
	second := testbed.Next(t, b.exchange.submitted)
	if second.Request.Tenant != 0 || second.Message.Object != "77" || second.Request.Remaining != 900 ||
		second.Message.Trace == "" || second.Name != "" {
		t.Errorf("by position: %+v", second)
	}
	serve(second, []byte{0xc3}) // out of order
	serve(got, []byte{0x82, 0xa1, 'k', 1, 0xa1, 'k', 2})
	if id, code, result := c.response(); id != math.MaxUint32 || code != "" || !bytes.Equal(result, []byte{0xc3}) {
		t.Errorf("first response: %d %q % x", id, code, result)
	}
	if id, _, result := c.response(); id != 7 || len(result) != 7 {
		t.Errorf("second response: %d % x", id, result)
	}
}

// A faulty request is answered with an error at once, reaches no server, and its connection stays open.
func TestBadRequestsAreAnswered(t *testing.T) {
	b := start(t, nil)
	c := b.dial()
	full := func(change map[string]any) []byte {
		m := map[string]any{"tenant": "south", "plate": "7", "key": "k-1"}
		for k, v := range change {
			m[k] = v
			if v == nil {
				delete(m, k)
			}
		}
		return pack(t, []any{m})
	}
	twice := append(bytes.TrimSuffix(pack(t, []any{map[string]any{"key": "a", "tenant": "south"}}), nil), 0)
	twice = append([]byte{0x91, 0x83}, append(twice[2:len(twice)-1], 0xa3, 'k', 'e', 'y', 0xa1, 'b')...)
	for name, frame := range map[string][]byte{
		"unknown_method":            codec.AppendRequest(nil, 1, "plate.sell", []byte{0x90}),
		"no tenant":                 codec.AppendRequest(nil, 1, "plate.reserve", full(map[string]any{"tenant": nil})),
		"tenant of the wrong type":  codec.AppendRequest(nil, 1, "plate.reserve", full(map[string]any{"tenant": []int{1}})),
		"no such tenant":            codec.AppendRequest(nil, 1, "plate.reserve", full(map[string]any{"tenant": "west"})),
		"no key":                    codec.AppendRequest(nil, 1, "plate.reserve", full(map[string]any{"key": nil})),
		"a key with a space":        codec.AppendRequest(nil, 1, "plate.reserve", full(map[string]any{"key": "a b"})),
		"a key that is there twice": codec.AppendRequest(nil, 1, "plate.reserve", twice),
		"a deadline that is text":   codec.AppendRequest(nil, 1, "plate.reserve", full(map[string]any{"ms": "soon"})),
		"a deadline below 0":        codec.AppendRequest(nil, 1, "plate.reserve", full(map[string]any{"ms": -1})),
		"a deadline that is NaN":    codec.AppendRequest(nil, 1, "plate.reserve", full(map[string]any{"ms": math.NaN()})),
		"an id with a space":        codec.AppendRequest(nil, 1, "plate.reserve", full(map[string]any{"trace": "a b"})),
		"too few params":            codec.AppendRequest(nil, 1, "plate.pay", []byte{0x91, 0x01}),
	} {
		c.send(frame)
		want := "bad_request"
		if name == "unknown_method" {
			want = name
		}
		if id, code, _ := c.response(); id != 1 || code != want {
			t.Errorf("%s: %d %q", name, id, code)
		}
	}
	if len(b.exchange.submitted) > 0 {
		t.Errorf("%d reached the exchange", len(b.exchange.submitted))
	}
}

// If a client reuses the id of an open request, the first request gets its answer first, and the duplicates get an error afterwards:
// in the other order the client would take the error for the first one's answer.
func TestDuplicateIDOfOpenRequest(t *testing.T) {
	b := start(t, nil)
	c := b.dial()
	c.send(lookupRequest(5), lookupRequest(5), codec.AppendRequest(nil, 5, "plate.sell", []byte{0x90}), lookupRequest(6))
	first, other := testbed.Next(t, b.exchange.submitted), testbed.Next(t, b.exchange.submitted)
	serve(first, []byte{1})
	serve(other, []byte{2})
	for i, want := range []struct {
		id   uint32
		code string
	}{{5, ""}, {5, "bad_request"}, {5, "bad_request"}, {6, ""}} {
		if id, code, _ := c.response(); id != want.id || code != want.code {
			t.Errorf("response %d: id %d, %q", i, id, code)
		}
	}
	c.send(lookupRequest(5)) // the id may be used again once its request has been answered
	serve(testbed.Next(t, b.exchange.submitted), []byte{3})
	if id, code, _ := c.response(); id != 5 || code != "" {
		t.Errorf("reused id: id %d, %q", id, code)
	}
}

// Requests may be received in any pieces.
func TestRequestsInSegments(t *testing.T) {
	b := start(t, nil)
	c := b.dial()
	_ = c.SetNoDelay(true)
	for _, one := range lookupRequest(1) {
		c.send([]byte{one})
	}
	c.send(lookupRequest(2), lookupRequest(3))
	for range 3 {
		serve(testbed.Next(t, b.exchange.submitted), []byte{0xc0})
	}
	for want := uint32(1); want <= 3; want++ {
		if id, code, _ := c.response(); id != want || code != "" {
			t.Errorf("response %d is of %d: %q", want, id, code)
		}
	}
}

// A malformed frame closes its connection, and the log contains the reason, also for a client that speaks HTTP.
func TestMalformedFramesCloseConnection(t *testing.T) {
	for name, c := range map[string]struct{ text, log string }{
		"HTTP":         {"GET /api HTTP/1.1\r\nHost: x\r\n\r\n", "speaks HTTP"},
		"4 GiB":        {"\x94\x00\x01\xdb\xff\xff\xff\xff", "beyond its limit"},
		"nested":       {strings.Repeat("\x91", 100000), "array of 1"},
		"deep params":  {"\x94\x00\x01\xa1a" + strings.Repeat("\x91", 100000), "nested beyond"},
		"id of 2^32":   {"\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa1m\x90", "32 bits"},
		"a response":   {"\x94\x01\x01\xc0\xc0", "response from a client"},
		"code 0xc1":    {"\x94\x00\x01\xa1a\x91\xc1", "never used"},
		"half and end": {"\x94\x00\x01\xa5ab", "unexpected EOF"},
	} {
		t.Run(name, func(t *testing.T) {
			b := start(t, nil)
			cl := b.dial()
			_, _ = io.WriteString(cl, c.text)
			_ = cl.CloseWrite()
			cl.wantClose(name)
			testbed.Until(t, "the log contains the reason", func() bool { return b.log.Contains(c.log) })
		})
	}
}

// A client that ends its sending gets the responses to its open requests, and then the connection is closed.
func TestHalfClosedClientGetsResponses(t *testing.T) {
	b := start(t, nil)
	c := b.dial()
	c.send(lookupRequest(1), lookupRequest(2))
	_ = c.CloseWrite()
	one, two := testbed.Next(t, b.exchange.submitted), testbed.Next(t, b.exchange.submitted)
	serve(two, []byte{2})
	serve(one, []byte{1})
	for _, want := range []uint32{2, 1} {
		if id, code, _ := c.response(); id != want || code != "" {
			t.Errorf("id %d, %q: want %d", id, code, want)
		}
	}
	c.wantClose("after the last answer")
}

// When a client disconnects, each of its open requests is cancelled once.
func TestDisconnectCancelsOpenRequests(t *testing.T) {
	b := start(t, nil)
	c := b.dial()
	c.send(lookupRequest(1), lookupRequest(2), lookupRequest(3))
	for range 3 {
		testbed.Next(t, b.exchange.submitted)
	}
	_ = c.SetLinger(0)
	_ = c.Close()
	seen := map[*core.Call]bool{}
	for range 3 {
		cancelled := testbed.Next(t, b.exchange.disconnected)
		seen[cancelled] = true
		serve(cancelled, []byte{1}) // the exchange answers cancelled calls too; the answer is dropped
	}
	if len(seen) != 3 {
		t.Errorf("%d requests were cancelled, want 3", len(seen))
	}
}

// Requests beyond Config.MaxOpen are refused at once, with the code which means that a retry is safe.
func TestRequestsBeyondMaxOpenAreRefused(t *testing.T) {
	b := start(t, func(c *Config) { c.MaxOpen = 2 })
	c := b.dial()
	c.send(lookupRequest(1), lookupRequest(2), lookupRequest(3))
	if id, code, _ := c.response(); id != 3 || code != "refused" {
		t.Errorf("id %d, %q", id, code)
	}
	for range 2 {
		serve(testbed.Next(t, b.exchange.submitted), []byte{1})
	}
}

// The connection of a client that sends and never reads is closed when too many responses are queued, which bounds their memory.
func TestClientThatNeverReads(t *testing.T) {
	b := start(t, nil)
	c := b.dial()
	_ = c.SetReadBuffer(4096)
	body := pack(t, strings.Repeat("x", 60<<10))
	ended := false
	for id := uint32(0); id < 2000 && !ended; id++ {
		if _, err := c.Write(lookupRequest(id)); err != nil {
			break
		}
		select {
		case call := <-b.exchange.submitted:
			serve(call, body)
		case <-time.After(testbed.Timeout):
			t.Fatal("no request arrived")
		case <-b.exchange.disconnected:
			ended = true
		}
		ended = ended || b.log.Contains("does not read")
	}
	testbed.Until(t, "the log contains the reason", func() bool { return b.log.Contains("does not read") || b.log.Contains("closed") })
}

// A connection on which a frame stays incomplete is closed after frameTimeout; one without a frame may be idle for longer.
func TestStalledFrame(t *testing.T) {
	t.Parallel()
	b := start(t, nil)
	idle, stalled := b.dial(), b.dial()
	begun := time.Now()
	stalled.send(lookupRequest(1)[:3])
	stalled.wantClose("stalled")
	if took := time.Since(begun); took < frameTimeout/2 || took > testbed.Timeout/2 {
		t.Errorf("ended after %v", took)
	}
	idle.send(lookupRequest(1)) // an idle connection has no time-out
	serve(testbed.Next(t, b.exchange.submitted), []byte{1})
	if id, _, _ := idle.response(); id != 1 {
		t.Errorf("id %d", id)
	}
}

// At the maximum of connections, the one that has been idle for longest is closed for a new one, and one with an open request is kept.
func TestIdleConnectionIsEvicted(t *testing.T) {
	b := start(t, func(c *Config) { c.Connections = 2 })
	busy, idle := b.dial(), b.dial()
	busy.send(lookupRequest(1))
	open := testbed.Next(t, b.exchange.submitted)
	idle.send(lookupRequest(2))
	serve(testbed.Next(t, b.exchange.submitted), []byte{2})
	idle.response()
	third := b.dial()
	idle.wantClose("the idle connection")
	third.send(lookupRequest(3))
	third.t = t
	serve(testbed.Next(t, b.exchange.submitted), []byte{3})
	third.response()
	serve(open, []byte{1})
	if id, code, _ := busy.response(); id != 1 || code != "" {
		t.Errorf("the busy connection: %d %q", id, code)
	}
}

// End answers accepted requests, refuses later ones, and then closes the connections.
func TestEndAnswersOpenRequests(t *testing.T) {
	b := start(t, nil)
	c, idle := b.dial(), b.dial()
	c.send(lookupRequest(1))
	open := testbed.Next(t, b.exchange.submitted)
	ended := make(chan error, 1)
	go func() { ended <- b.front.End(testbed.Timeout) }()
	idle.wantClose("an idle connection")
	c.send(lookupRequest(2))
	if id, code, _ := c.response(); id != 2 || code != "refused" {
		t.Errorf("the late request: %d %q", id, code)
	}
	serve(open, []byte{1})
	if id, code, _ := c.response(); id != 1 || code != "" {
		t.Errorf("the open request: %d %q", id, code)
	}
	c.wantClose("after the last answer")
	if err := testbed.Next(t, ended); err != nil {
		t.Error(err)
	}
}

// A notification is accepted if its method allows it, and is never answered. One that is not accepted is logged.
func TestNotifications(t *testing.T) {
	b := start(t, nil)
	c := b.dial()
	c.send(codec.AppendNotification(nil, "plate.pay", pack(t, []any{1, "north"})),
		codec.AppendNotification(nil, "plate.lookup", []byte{0x90}), lookupRequest(9))
	notification := testbed.Next(t, b.exchange.submitted)
	if notification.Message.Method != "plate.lookup" {
		t.Errorf("accepted %s", notification.Message.Method)
	}
	serve(notification, []byte{1})
	serve(testbed.Next(t, b.exchange.submitted), []byte{1})
	if id, _, _ := c.response(); id != 9 {
		t.Errorf("answered %d", id)
	}
	testbed.Until(t, "the log contains the reason", func() bool { return b.log.Contains("plate.pay") })
}

// Each kind of answer is encoded in its form. Malformed MessagePack of a server must not reach the client's stream.
func TestResponseEncoding(t *testing.T) {
	for name, c := range map[string]struct {
		answer core.Answer
		want   any // error and result
	}{
		"refused": {core.Answer{Kind: core.Refused, Text: "x", RetryAfter: 1500 * time.Microsecond},
			[]any{map[string]any{"code": "refused", "message": "x", "retry_after_ms": int64(1)}, nil}},
		"failed": {core.Answer{Kind: core.Failed, Reason: core.DeadlineExceeded, Text: "x"},
			[]any{map[string]any{"code": "failed", "message": "x"}, nil}},
		"name in use": {core.Answer{Kind: core.Failed, Reason: core.DuplicateName, Text: "x"},
			[]any{map[string]any{"code": "bad_request", "message": "x"}, nil}},
		"text":  {core.Answer{Meta: map[string][]string{}, Body: []byte("plate 7")}, []any{nil, "plate 7"}},
		"bytes": {core.Answer{Meta: map[string][]string{}, Body: []byte{0xff, 1}}, []any{nil, "\xff\x01"}},
		"of HTTP": {core.Answer{Meta: map[string][]string{}, ContentType: core.MessagePack, Body: []byte{0x91, 1}},
			[]any{nil, []any{int64(1)}}},
		"of HTTP, cut": {core.Answer{Meta: map[string][]string{}, ContentType: core.MessagePack, Body: []byte{0x92, 1}},
			[]any{map[string]any{"code": "failed", "message": "the server's answer is no MessagePack, as it says"}, nil}},
		"own error":     {core.Answer{ApplicationError: true, ContentType: core.MessagePack, Body: pack(t, "none")}, []any{"none", nil}},
		"an empty body": {core.Answer{Meta: map[string][]string{}}, []any{nil, ""}},
	} {
		var got []any
		d := msgpack.NewDecoder(bytes.NewReader(appendResponse(nil, 7, &c.answer)))
		d.UseLooseInterfaceDecoding(true)
		if err := d.Decode(&got); err != nil || len(got) != 4 {
			t.Fatalf("%s: %v %v", name, got, err)
		}
		if want := pack(t, c.want); !bytes.Equal(pack(t, got[2:]), want) && !equalMaps(got[2:], c.want.([]any)) {
			t.Errorf("%s: %v, want %v", name, got[2:], c.want)
		}
	}
}

// A body that is not UTF-8 is encoded as bin, not as a string.
func TestInvalidUTF8IsEncodedAsBinary(t *testing.T) {
	got := appendResponse(nil, 7, &core.Answer{Meta: map[string][]string{}, Body: []byte{0xff, 1}})
	if !bytes.HasSuffix(got, []byte{0xc0, 0xc4, 2, 0xff, 1}) {
		t.Errorf("% x", got)
	}
}

// equalMaps compares errors that are maps, whose keys the library encodes in any order.
func equalMaps(got, want []any) bool {
	g, ok := got[0].(map[string]any)
	w, ok2 := want[0].(map[string]any)
	if !ok || !ok2 || len(g) != len(w) {
		return false
	}
	for k := range w {
		if g[k] != w[k] {
			return false
		}
	}
	return true
}

// A table of methods that contradicts the settings is rejected when it is loaded; the error names the method and the key.
func TestInvalidMethodTable(t *testing.T) {
	catalog, _ := core.NewCatalog([]balance.Class{{Effect: balance.Safe}, {Effect: balance.Keyed}},
		[]string{"lookup", "reserve"}, []string{"north"})
	ok := Method{Name: "a", Class: "lookup", Tenant: "north", Path: "/a"}
	for want, change := range map[string]func(*Method){
		"name: it occurs twice":               func(m *Method) { m.Path = "" },
		"path: method \"a\" has the same one": func(m *Method) { m.Name = "b" },
		"class: ":                             func(m *Method) { m.Name, m.Class = "b", "none" },
		"tenant: ":                            func(m *Method) { m.Name, m.Tenant = "b", "none" },
		"tenant_param: ":                      func(m *Method) { m.Name, m.TenantParam = "b", AtPosition(0) },
		"notify: ":                            func(m *Method) { m.Name, m.Class, m.Notify, m.Idempotency = "b", "reserve", true, AtPosition(0) },
		"idempotency_param: ":                 func(m *Method) { m.Name, m.Class = "b", "reserve" },
		"path: \"b\" does not":                func(m *Method) { m.Name, m.Path = "b", "b" },
	} {
		m := ok
		change(&m)
		if _, err := NewMethods([]Method{ok, m}, catalog); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}

// Arbitrary parameters cause no panic, and a lookup yields either a value or an error.
func FuzzParams(f *testing.F) {
	f.Add([]byte{0x91, 0x80}, int64(0), "k")
	f.Add([]byte{0x91, 0x82, 0xa1, 'k', 1, 0xa1, 'k', 2}, int64(-1), "k")
	f.Add([]byte{0xdd, 0, 0, 0, 2, 0xc0, 0xd6, 0xff, 1, 2, 3, 4}, int64(1), "")
	f.Fuzz(func(t *testing.T, params []byte, pos int64, key string) {
		if codec.CheckParams(params, codec.Limits{}) != nil {
			return
		}
		p := UnderKey(key)
		if pos >= 0 {
			p = AtPosition(int(min(pos, 70000)))
		}
		if b, err := p.find(params); err == nil && len(b) == 0 {
			t.Error("found nothing without an error")
		}
		_, _ = p.text(params)
		if v, err := p.number(params); err != nil && v != 0 {
			t.Errorf("%v with %v", v, err)
		}
	})
}
