package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"firplank/lab/mesh"
)

// Shares of the requests, and their times.
const (
	unsafeShare    = 0.35
	markerShare    = 0.15
	longShare      = 0.06
	longWork       = 1500 * time.Millisecond
	clientDeadline = 2500 * time.Millisecond
	thinkTime      = 25 * time.Millisecond
	maxBodyBytes   = 20000
	earlyLeave     = 40 * time.Millisecond
)

// load is the clients of all branch machines.
type load struct {
	run      *run
	requests atomic.Int64
	leaving  atomic.Bool // clients give requests up early

	mu     sync.Mutex
	unsafe []string // ids
}

// client sends requests to one machine, one after the other, until ctx ends.
func (l *load) client(ctx context.Context, x *mesh.Machine, number int) {
	random := rand.New(rand.NewPCG(l.run.cfg.Seed, uint64(number)+1000))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		if !l.run.wantsClients(x) {
			sleep(ctx, 10*thinkTime)
			continue
		}
		l.send(ctx, client, x, random)
		sleep(ctx, time.Duration(random.Int64N(int64(2*thinkTime))))
	}
}

// send sends one request and records what becomes of it.
func (l *load) send(ctx context.Context, client *http.Client, x *mesh.Machine, random *rand.Rand) {
	e := exchange{
		id: fmt.Sprintf("r%d", l.requests.Add(1)), machine: x.Name, life: l.run.lifeOf(x), deadline: clientDeadline,
	}
	method, path := http.MethodGet, safePrefix+"x"
	var body []byte
	switch kind := random.Float64(); {
	case kind < unsafeShare:
		e.unsafe = true
		method, path = http.MethodPost, filePrefix+"x"
		body = bytes.Repeat([]byte("b"), random.IntN(maxBodyBytes))
	case kind < unsafeShare+markerShare:
		if e.marker = l.run.judge.Newest(); e.marker > 0 {
			path = marker(e.marker) + "x"
		}
	}
	if random.Float64() < longShare {
		path += fmt.Sprintf("?work=%d", longWork.Milliseconds())
	}
	if e.unsafe {
		l.mu.Lock()
		l.unsafe = append(l.unsafe, e.id)
		l.mu.Unlock()
	}
	patience := clientDeadline + heldFor // by its own deadline the client has an answer
	if l.leaving.Load() && random.IntN(3) == 0 {
		patience = earlyLeave
	}
	e.sent = l.run.now()
	l.run.judge.Sent(e.sent, e.id, x.Name, clientDeadline)
	l.exchange(ctx, client, method, x.OutgoingURL(path), body, patience, &e)
	e.ended = l.run.now()
	l.run.judge.Ended(e)
}

// exchange makes a request's exchange, and enters its answer.
func (l *load) exchange(
	ctx context.Context, client *http.Client, method, url string, body []byte, patience time.Duration, e *exchange,
) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body))) // which the transport can't send again
	if err != nil {
		panic(err) // the address is the mesh's own
	}
	if method == http.MethodPost {
		r.ContentLength = int64(len(body))
	}
	r.Host = host
	r.Header.Set("Try-Id", e.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		e.ending = endingOf(err, patience)
		return
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	_ = response.Body.Close() // it was read
	if err != nil {
		e.ending = endingOf(err, patience)
		return
	}
	e.status, e.body = response.StatusCode, string(text)
	if e.status == http.StatusOK {
		service := safeLine
		if e.unsafe {
			service = unsafeLine
		}
		want := fmt.Sprintf("%s from %s for %s", e.id, service, l.run.serviceOf(e.machine))
		e.wrong = e.body != want || response.Header.Get("Postmark") == ""
	}
}

// endingOf is why a request has no answer, whose client waits for so long.
func endingOf(err error, patience time.Duration) ending {
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return unreached
	case !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled):
		return broken
	case patience < clientDeadline || errors.Is(err, context.Canceled):
		return left
	}
	return expired
}
