package run

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"firplank/lab/standin"
)

func untilTerminated() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	return ctx
}

// faultyProxy forwards requests and breaks one rule of the judge on purpose.
type faultyProxy struct {
	fault     string
	discovery string

	mu       sync.Mutex
	list     standin.List
	newest   string
	n        int
	previous []byte
	client   *http.Client
}

// runFaultyProxy runs a faulty proxy in this process until SIGTERM.
func runFaultyProxy(name string) {
	text, err := os.ReadFile(os.Getenv("NODE_CONFIG"))
	if err != nil {
		os.Exit(1)
	}
	var cfg struct {
		Discovery string       `json:"discovery"`
		Known     standin.List `json:"known"`
	}
	if json.Unmarshal(text, &cfg) != nil {
		os.Exit(1)
	}
	p := &faultyProxy{
		fault: strings.TrimPrefix(name, "faulty:"), discovery: cfg.Discovery, list: cfg.Known,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	ln, err := net.Listen("tcp", os.Getenv("NODE_LISTEN"))
	if err != nil {
		os.Exit(1)
	}
	fmt.Fprintf(os.Stderr, "msg=listening address=%s\n", ln.Addr())
	switch p.fault {
	case "dies":
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	case "spins":
		go func() {
			//lint:ignore SA5002 the fault is a proxy that uses a whole core
			for {
			}
		}()
	}
	go p.follow()
	server := &http.Server{Handler: p}
	go func() { _ = server.Serve(ln) }()
	<-untilTerminated().Done()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = server.Shutdown(ctx)
}

func (p *faultyProxy) follow() {
	for {
		resp, err := http.Get("http://" + p.discovery + "/discovery/hosts")
		if err == nil {
			var l standin.List
			if json.NewDecoder(resp.Body).Decode(&l) == nil && l.Complete {
				p.update(l)
			}
			_ = resp.Body.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (p *faultyProxy) update(l standin.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range l.Members {
		if m.UpSince > 0 {
			p.newest = m.HostPort
		}
	}
	if p.fault != "ignores_drains" {
		p.list = l
	}
}

func (p *faultyProxy) server(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == "rushes_to_new" && p.newest != "" {
		return p.newest
	}
	var ready []string
	for _, m := range p.list.Members {
		if m.Phase == "ready" && m.UpSince == 0 {
			ready = append(ready, m.HostPort)
		}
	}
	return ready[n%len(ready)]
}

func (p *faultyProxy) forward(r *http.Request, body []byte, server string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), remainingTime(r))
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server+r.RequestURI, bytes.NewReader(body))
	if err != nil {
		return http.StatusBadGateway, nil
	}
	out.Header = r.Header.Clone()
	resp, err := p.client.Do(out)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	if resp.Header.Get("X-Never-Ran") == "1" {
		return http.StatusServiceUnavailable, text
	}
	return resp.StatusCode, text
}

func remainingTime(r *http.Request) time.Duration {
	us, _ := strconv.Atoi(strings.TrimSuffix(r.Header.Get("X-Expires-In"), "u"))
	return time.Duration(us) * time.Microsecond
}

func (p *faultyProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/up" {
		return
	}
	body, _ := io.ReadAll(r.Body)
	p.mu.Lock()
	p.n++
	n, previous := p.n, p.previous
	p.mu.Unlock()
	injectFault := n%5 == 0
	server := p.server(n)
	if injectFault && p.fault == "invents" {
		_, _ = io.WriteString(w, r.Header.Get("X-Trace-Id")+" by nobody.\n")
		return
	}
	status, text := p.forward(r, body, server)
	p.mu.Lock()
	p.previous = text
	p.mu.Unlock()
	if !injectFault {
		w.WriteHeader(status)
		_, _ = w.Write(text)
		return
	}
	if status, text, answered := p.applyFault(w, r, body, n, status, text, previous); !answered {
		w.WriteHeader(status)
		_, _ = w.Write(text)
	}
}

// applyFault applies the proxy's fault to a forwarded request. It returns the response to be written, and whether it has already
// written one.
func (p *faultyProxy) applyFault(
	w http.ResponseWriter, r *http.Request, body []byte, n, status int, text, previous []byte,
) (int, []byte, bool) {
	switch p.fault {
	case "loses":
		panic(http.ErrAbortHandler)
	case "late":
		time.Sleep(remainingTime(r) + 2*extraSlack)
	case "answers_twice":
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			_, _ = io.WriteString(c, answer+answer)
			time.Sleep(time.Second)
			_ = c.Close()
		}
		return 0, nil, true
	case "repeats_unsafe":
		if r.Method == http.MethodPost {
			p.forward(r, body, p.server(n+1))
		}
	case "refuses_what_ran":
		if r.Method == http.MethodPost {
			status = http.StatusServiceUnavailable
		}
	case "mixes_answers":
		text = previous
	case "sends_after":
		if r.Method == http.MethodGet {
			header, to := r.Clone(context.Background()), p.server(n+1)
			time.AfterFunc(2*extraSlack, func() { p.forward(header, body, to) })
		}
	}
	return status, text, false
}
