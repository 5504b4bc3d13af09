package call

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"firplank/internal/testbed"
	codec "firplank/msgpackrpc"
)

func do(t *testing.T, r *Request, to string) (string, error) {
	t.Helper()
	var err error
	if r.URL, err = url.Parse(to); err != nil {
		t.Fatal(err)
	}
	r.Timeout, r.Count = testbed.Timeout, max(r.Count, 1)
	var out bytes.Buffer
	err = Do(t.Context(), r, &out)
	return out.String(), err
}

func TestHTTP(t *testing.T) {
	status, received := http.StatusOK, make(chan *http.Request, 10)
	addr := testbed.ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r
		if status != http.StatusOK {
			w.Header().Set("Retry-After", "0.250")
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, "plate 7\n")
	}))
	out, err := do(t, &Request{Class: "lookup", Tenant: "north"}, "http://"+addr+"/api/x")
	if err != nil || out != "200 OK plate 7\n" {
		t.Errorf("%q, %v", out, err)
	}
	if r := <-received; r.Method != "GET" || r.Header.Get("X-Qos") != "lookup" || r.Header.Get("X-Trace-Id") == "" ||
		r.Header.Get("X-Expires-In") != "30000m" {
		t.Errorf("server received %s with %v", r.Method, r.Header)
	}
	status = http.StatusServiceUnavailable
	out, err = do(t, &Request{Class: "reserve", IdempotencyKey: "k", Count: 3}, "http://"+addr+"/api/x")
	if !errors.Is(err, ErrRefused) || strings.Count(out, "after 0.250") != 3 {
		t.Errorf("%q, %v", out, err)
	}
	if r := <-received; r.Method != "POST" || r.Header.Get("Idempotency-Key") != "k" {
		t.Errorf("server received %s with %v", r.Method, r.Header)
	}
	status = http.StatusBadGateway
	if _, err := do(t, &Request{}, "http://"+addr+"/api/x"); !errors.Is(err, ErrFailed) {
		t.Error(err)
	}
}

func TestMessagePackRPC(t *testing.T) {
	ln := testbed.Listen(t)
	got := make(chan string, 10)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		in := codec.NewReader(c, codec.Limits{})
		for {
			f, err := in.Next()
			if err != nil {
				return
			}
			got <- string(f.Method) + " " + string(f.Params)
			reply := codec.AppendResponse(nil, f.ID, nil, []byte("\x81\xa1a\x07"))
			if f.ID == 2 {
				reply = codec.AppendResponse(nil, f.ID, []byte("\x81\xa4code\xa7refused"), nil)
			}
			_, _ = c.Write(reply)
		}
	}()
	out, err := do(t, &Request{Method: "m", Params: `["a", 5, {"b": null}]`, Count: 2}, "msgpack-rpc://"+ln.Addr().String())
	if !errors.Is(err, ErrRefused) || out != "1 result {\"a\":7}\n2 error {\"code\":\"refused\"}\n" {
		t.Errorf("%q, %v", out, err)
	}
	if text := testbed.Next(t, got); text != "m \x93\xa1a\x05\x81\xa1b\xc0" {
		t.Errorf("sent %q", text)
	}
}

func TestInvalidCalls(t *testing.T) {
	for _, c := range [][2]string{
		{"ftp://127.0.0.1:9", "[]"}, {"msgpack-rpc://127.0.0.1:9", "{}"}, {"msgpack-rpc://127.0.0.1:9", "[] []"},
		{"msgpack-rpc://127.0.0.1:9", "[1"}, {"msgpack-rpc://127.0.0.1:9", "[]]"}, {"msgpack-rpc://127.0.0.1:9", `[{"a":1,"a":2}]`},
	} {
		if out, err := do(t, &Request{Params: c[1]}, c[0]); err == nil || out != "" || strings.Contains(err.Error(), "refused") {
			t.Errorf("%v: %q, %v", c, out, err)
		}
	}
}
