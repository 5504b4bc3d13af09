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
	"firplank/mesh/configversion"
)

// Shares of the kinds of requests, and the clients' times and sizes.
const (
	unsafeShare    = 0.3
	markerShare    = 0.15
	splitShare     = 0.12
	pullShare      = 0.06
	callShare      = 0.12 // requests whose server makes a call of its own; never combined with longWork
	maxCallDepth   = 4
	longShare      = 0.06
	chunkedShare   = 0.3 // of the requests with a body
	uploadShare    = 0.1 // of the requests with a body: those with a long one
	maxUploadBytes = 400_000
	maxPullBytes   = 200_000
	longWork       = 1500 * time.Millisecond
	clientDeadline = 2500 * time.Millisecond
	thinkTime      = 25 * time.Millisecond
	maxBodyBytes   = 20000
	earlyCancel    = 40 * time.Millisecond
)

// load runs the clients of all branch machines.
type load struct {
	run        *run
	requests   atomic.Int64
	cancelling atomic.Bool // clients cancel a third of their requests after earlyCancel

	mu        sync.Mutex
	unsafeIDs []string // ids of all unsafe requests
}

// client sends requests to one machine, one at a time, until ctx ends.
func (l *load) client(ctx context.Context, x *mesh.Machine, number int) {
	random := rand.New(rand.NewPCG(l.run.cfg.Seed, uint64(number)+1000))
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		if !l.run.acceptsClients(x) {
			sleep(ctx, 10*thinkTime)
			continue
		}
		l.send(ctx, client, x, random)
		sleep(ctx, time.Duration(random.Int64N(int64(2*thinkTime))))
	}
}

// send sends one request and records its outcome with the judge.
func (l *load) send(ctx context.Context, client *http.Client, x *mesh.Machine, random *rand.Rand) {
	e := exchange{
		id: fmt.Sprintf("r%d", l.requests.Add(1)), machine: x.Name, incarnation: l.run.incarnationOf(x), deadline: clientDeadline,
	}
	o := l.drawRequest(&e, random)
	if e.unsafe {
		l.mu.Lock()
		l.unsafeIDs = append(l.unsafeIDs, e.id)
		l.mu.Unlock()
	}
	timeout := clientDeadline + lateAnswerLimit // a correct mesh answers by clientDeadline
	if l.cancelling.Load() && random.IntN(3) == 0 {
		timeout = earlyCancel
	}
	e.sent = l.run.now()
	l.run.judge.Sent(e.sent, e.id, x.Name, clientDeadline)
	l.roundTrip(ctx, client, x, o, timeout, &e)
	e.ended = l.run.now()
	l.run.judge.Ended(e)
}

// clientRequest is a request as a client sends it.
type clientRequest struct {
	method, path string
	body         []byte
	chunked      bool // the body is sent without a Content-Length
}

// drawRequest draws a random request, and records in e what the judge needs to check its response.
func (l *load) drawRequest(e *exchange, random *rand.Rand) clientRequest {
	o := clientRequest{method: http.MethodGet, path: safePrefix + "x"}
	e.services = []string{safeService}
	switch kind := random.Float64(); {
	case kind < unsafeShare:
		e.unsafe, e.services = true, []string{unsafeService}
		if random.Float64() < uploadShare {
			return drawUpload(random)
		}
		o = clientRequest{
			http.MethodPost, filePrefix + "x", bytes.Repeat([]byte("b"), random.IntN(maxBodyBytes)), random.Float64() < chunkedShare,
		}
	case kind < unsafeShare+splitShare:
		e.services = []string{safeService, unsafeService}
		o.path = splitPrefix + "x"
	case kind < unsafeShare+splitShare+pullShare:
		e.paddingBytes = random.IntN(maxPullBytes)
		o.path = fmt.Sprintf("%sx?bytes=%d", pullPrefix, e.paddingBytes)
		return o
	case kind < unsafeShare+splitShare+pullShare+markerShare:
		if e.markerVersion = l.run.judge.Newest(); e.markerVersion != configversion.None {
			o.path = markerPrefix(e.markerVersion) + "x"
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

// drawUpload draws a request with a long body and how its server handles it: some servers run it by its head, and end the
// connection without a response.
func drawUpload(random *rand.Rand) clientRequest {
	behaviour := mesh.UploadBehaviour(random.IntN(int(mesh.ResetAtHead) + 1))
	body := bytes.Repeat([]byte("b"), random.IntN(maxUploadBytes))
	return clientRequest{http.MethodPost, filePrefix + "x" + mesh.UploadQuery(behaviour), body, random.Float64() < chunkedShare}
}

// roundTrip sends a request and records its response in e.
func (l *load) roundTrip(
	ctx context.Context, client *http.Client, x *mesh.Machine, o clientRequest, timeout time.Duration, e *exchange,
) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body := io.NopCloser(bytes.NewReader(o.body)) // a type that the transport can't send again in a retry
	r, err := http.NewRequestWithContext(ctx, o.method, x.OutgoingURL(o.path), body)
	if err != nil {
		panic(err) // not reached: the URL is valid
	}
	if o.method == http.MethodPost && !o.chunked {
		r.ContentLength = int64(len(o.body))
	}
	r.Host = host
	r.Header.Set("Try-Id", e.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := client.Do(r)
	if err != nil {
		e.ending = endingOf(err, timeout)
		return
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	_ = response.Body.Close() // the body was read
	if err != nil {
		e.ending = endingOf(err, timeout)
		return
	}
	e.status, e.body = response.StatusCode, string(text)
	e.fromServer = response.Header.Get("Postmark") != ""
	if e.status == http.StatusOK {
		e.serviceIndex = slices.IndexFunc(e.services, func(service string) bool {
			want := fmt.Sprintf("%s from %s for %s", e.id, service, l.run.serviceOf(e.machine))
			return e.body == want+mesh.Padding(e.paddingBytes)
		})
		e.mismatched = e.serviceIndex < 0 || !e.fromServer
		e.body = e.body[:min(len(e.body), maxQuotedBytes)]
	}
}

// maxQuotedBytes bounds how much of a wrong body is quoted in a violation.
const maxQuotedBytes = 200

// endingOf returns why a request without a response ended, given its error and how long its client waits.
func endingOf(err error, timeout time.Duration) ending {
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return unreachable
	case !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled):
		return broken
	case timeout < clientDeadline || errors.Is(err, context.Canceled):
		return cancelled
	}
	return expired
}
