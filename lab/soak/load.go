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
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"firplank/lab/mesh"
)

// Shares of the requests, and their times.
const (
	unsafeShare    = 0.3
	markerShare    = 0.15
	splitShare     = 0.12
	pullShare      = 0.06
	callShare      = 0.12 // of those that work on a server for no longer than usual
	maxCallDepth   = 4
	longShare      = 0.06
	chunkedShare   = 0.3 // of the bodies
	maxPullBytes   = 200_000
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
	o := l.draw(&e, random)
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
	l.exchange(ctx, client, x, o, patience, &e)
	e.ended = l.run.now()
	l.run.judge.Ended(e)
}

// outgoing is a request as a client sends it.
type outgoing struct {
	method, path string
	body         []byte
	chunked      bool // the body is sent without its length
}

// draw draws a request, and notes in its exchange what is to be known of it.
func (l *load) draw(e *exchange, random *rand.Rand) outgoing {
	o := outgoing{method: http.MethodGet, path: safePrefix + "x"}
	e.services = []string{safeLine}
	switch kind := random.Float64(); {
	case kind < unsafeShare:
		e.unsafe, e.services = true, []string{unsafeLine}
		o = outgoing{http.MethodPost, filePrefix + "x", bytes.Repeat([]byte("b"), random.IntN(maxBodyBytes)), random.Float64() < chunkedShare}
	case kind < unsafeShare+splitShare:
		e.services = []string{safeLine, unsafeLine}
		o.path = splitPrefix + "x"
	case kind < unsafeShare+splitShare+pullShare:
		e.padding = random.IntN(maxPullBytes)
		o.path = fmt.Sprintf("%sx?bytes=%d", pullPrefix, e.padding)
		return o
	case kind < unsafeShare+splitShare+pullShare+markerShare:
		if e.marker = l.run.judge.Newest(); e.marker > 0 {
			o.path = marker(e.marker) + "x"
		}
	}
	switch extra := random.Float64(); {
	case extra < longShare:
		o.path += fmt.Sprintf("?work=%d", longWork.Milliseconds())
	case extra < longShare+callShare:
		o.path += fmt.Sprintf("?calls=%d", 1+random.IntN(maxCallDepth))
	}
	return o
}

// exchange makes a request's exchange, and enters its answer.
func (l *load) exchange(
	ctx context.Context, client *http.Client, x *mesh.Machine, o outgoing, patience time.Duration, e *exchange,
) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	body := io.NopCloser(bytes.NewReader(o.body)) // which the transport can't send again
	r, err := http.NewRequestWithContext(ctx, o.method, x.OutgoingURL(o.path), body)
	if err != nil {
		panic(err) // the address is the mesh's own
	}
	if o.method == http.MethodPost && !o.chunked {
		r.ContentLength = int64(len(o.body))
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
	e.byServer = response.Header.Get("Postmark") != ""
	if e.status == http.StatusOK {
		e.by = slices.IndexFunc(e.services, func(service string) bool {
			want := fmt.Sprintf("%s from %s for %s", e.id, service, l.run.serviceOf(e.machine))
			return e.body == want+mesh.Padding(e.padding)
		})
		e.wrong = e.by < 0 || !e.byServer
		e.body = e.body[:min(len(e.body), maxQuoted)]
	}
}

// maxQuoted is how much of a wrong body a violation quotes.
const maxQuoted = 200

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
