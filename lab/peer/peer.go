// Package peer is a reference proxy to compare firplank with: the standard library's reverse proxy with a common load balancing
// policy. It uses the same configuration, roster and HTTP headers as firplank, does not retry, and makes no effort to keep the
// laboratory's rules. It shares no code with firplank's load balancing.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"firplank/lab/standin"
)

// Policies are the supported load balancing policies.
var Policies = []string{"round_robin", "random", "least_of_two"}

// pollInterval is the interval of roster queries, a common setting of such proxies.
const pollInterval = time.Second

type backend struct {
	addr     string
	inFlight atomic.Int64
}

type backendKey struct{}

// proxy is a reverse proxy to the servers of a roster that it polls.
type proxy struct {
	policy string
	next   atomic.Uint64

	mu       sync.Mutex
	backends []*backend
}

// Run serves with the configuration that NODE_CONFIG names, until ctx ends.
func Run(ctx context.Context, policy string, getenv func(string) string) error {
	text, err := os.ReadFile(getenv("NODE_CONFIG"))
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	var cfg struct {
		Discovery string       `json:"discovery"`
		Known     standin.List `json:"known"`
		Settings  struct {
			Classes []struct {
				Deadline float64 `json:"hard_limit_ms"`
			} `json:"classes"`
		} `json:"settings"`
	}
	if err := json.Unmarshal(text, &cfg); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	p := &proxy{policy: policy}
	p.update(cfg.Known)
	ln, err := net.Listen("tcp", getenv("NODE_LISTEN"))
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	fmt.Fprintf(os.Stderr, "msg=listening address=%s\n", ln.Addr())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tasks.Go(func() { p.follow(ctx, cfg.Discovery) })
	if policy == Fast {
		return p.serveFast(ctx, ln)
	}
	server := &http.Server{Handler: p.handler()}
	return serveUntil(ctx, ln, server.Serve, server.Shutdown)
}

// shutdownTimeout is how long a shutdown waits for requests in flight.
const shutdownTimeout = 3 * time.Second

// serveUntil serves until ctx ends, and then shuts the server down gracefully.
func serveUntil(ctx context.Context, ln net.Listener, serve func(net.Listener) error, shutdown func(context.Context) error) error {
	failed := make(chan error, 1)
	go func() { failed <- serve(ln) }()
	select {
	case err := <-failed:
		return fmt.Errorf("peer: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := shutdown(shutdownCtx); err != nil && shutdownCtx.Err() == nil {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

func (p *proxy) handler() http.Handler {
	reverse := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			b := r.In.Context().Value(backendKey{}).(*backend)
			r.Out.URL.Scheme, r.Out.URL.Host = "http", b.addr
			r.Out.Host = r.In.Host
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext},
		ErrorLog:  log.New(io.Discard, "", 0),
		ErrorHandler: func(w http.ResponseWriter, _ *http.Request, _ error) {
			w.WriteHeader(http.StatusBadGateway)
		},
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/up" {
			_, _ = io.WriteString(w, "ready\n") // fails only where the client is gone
			return
		}
		b := p.choose()
		if b == nil {
			http.Error(w, "no server", http.StatusBadGateway)
			return
		}
		b.inFlight.Add(1)
		defer b.inFlight.Add(-1)
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), backendKey{}, b), remainingTime(r.Header.Get("X-Expires-In")))
		defer cancel()
		reverse.ServeHTTP(w, r.WithContext(ctx))
	})
}

// remainingTime parses X-Expires-In, the time that a client waits, and subtracts 5 ms so that the response still arrives in time.
func remainingTime(text string) time.Duration {
	if us, err := strconv.ParseFloat(strings.TrimSuffix(text, "u"), 64); err == nil {
		return time.Duration(us)*time.Microsecond - 5*time.Millisecond
	}
	return 5 * time.Second
}

func (p *proxy) choose() *backend {
	p.mu.Lock()
	all := p.backends
	p.mu.Unlock()
	if len(all) == 0 {
		return nil
	}
	switch p.policy {
	case "random":
		return all[rand.IntN(len(all))]
	case "least_of_two":
		a, b := all[rand.IntN(len(all))], all[rand.IntN(len(all))]
		if b.inFlight.Load() < a.inFlight.Load() {
			return b
		}
		return a
	}
	return all[p.next.Add(1)%uint64(len(all))]
}

// update replaces the servers with the ready ones of a list. Servers that were known before keep their counts.
func (p *proxy) update(l standin.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := map[string]*backend{}
	for _, b := range p.backends {
		previous[b.addr] = b
	}
	var next []*backend
	for _, m := range l.Members {
		if m.Phase != "ready" {
			continue
		}
		b := previous[m.HostPort]
		if b == nil {
			b = &backend{addr: m.HostPort}
		}
		next = append(next, b)
	}
	p.backends = next
}

func (p *proxy) follow(ctx context.Context, addr string) {
	client := &http.Client{Timeout: 2 * time.Second}
	for {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			client.CloseIdleConnections()
			return
		}
		resp, err := client.Get("http://" + addr + "/discovery/hosts")
		if err != nil {
			continue // the last list stays in use
		}
		var l standin.List
		err = json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&l)
		_ = resp.Body.Close() // the body has been read or is not needed
		if err == nil && resp.StatusCode == http.StatusOK && l.Complete {
			p.update(l)
		}
	}
}
