// Package peer is what a user would take in place of firplank, for comparison: the standard library's reverse proxy
// with a common way of choosing a server. It follows the same roster and answers in the same words, tries once, and
// keeps none of the rules on purpose. It owns no decision of firplank's.
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

// Policies are the ways of choosing.
var Policies = []string{"round_robin", "random", "least_of_two"}

// pollEvery is how often the roster is asked, as such proxies are commonly set up.
const pollInterval = time.Second

type backend struct {
	addr     string
	inFlight atomic.Int64
}

type backendKey struct{}

// proxy is a reverse proxy over a list that is asked for again and again.
type proxy struct {
	policy string
	next   atomic.Uint64

	mu       sync.Mutex
	backends []*backend
}

// Run serves as the configuration that NODE_CONFIG names says, until ctx ends.
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

// patience is how long a server that ends waits for the requests that it has.
const shutdownTimeout = 3 * time.Second

// serveUntil serves until ctx ends, and then ends the server.
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

// left reads the time that a client waits, a little less so that it still gets the answer.
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

// take keeps the servers that are ready; those known before keep their counts.
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
			continue // the last list stays
		}
		var l standin.List
		err = json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&l)
		_ = resp.Body.Close() // the body has been read, or is not wanted
		if err == nil && resp.StatusCode == http.StatusOK && l.Complete {
			p.update(l)
		}
	}
}
