// Package roster follows the list of servers at a deployment's discovery service. It defines the list's wire format, validates lists, and
// makes the calls. Package follow decides when to call, and Events is notified of each list; the exchange implements Events.
//
// Start reading at Follower.
package roster

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"firplank/balance"
	"firplank/internal/roster/follow"
	"firplank/internal/strictjson"
)

// maxListBytes bounds the body of a response.
const maxListBytes = 4 << 20

// List is the list of servers, or of those that changed, in discovery's wire format.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	// ZonePreference is passed on as balance.ServerList.ZonePreference. It is set by sources other than discovery only.
	ZonePreference float64 `json:"-"`
}

// Member is a server in the list.
type Member struct {
	ID              string  `json:"id"`
	HostPort        string  `json:"host_port"`
	Locality        string  `json:"locality"`
	Flavor          string  `json:"flavor"`
	Cell            int     `json:"cell"`
	Phase           string  `json:"phase"`
	Size            float64 `json:"size"`
	UpSince         float64 `json:"up_since_ms"`
	PathIncarnation uint64  `json:"-"` // as in balance.Server

	Candidate bool `json:"-"` // as in balance.Server
}

// State returns the member's state. The list must have passed Check.
func (m *Member) State() balance.State { return phases[m.Phase] }

var phases = map[string]balance.State{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}

// Check returns the first fault of a list. A faulty list is rejected as a whole, as a skipped entry could be a server that is draining.
func (l *List) Check() error {
	for _, m := range l.Members {
		if m.ID == "" {
			return errors.New("a member without id")
		}
		state, ok := phases[m.Phase]
		if !ok {
			return errors.Errorf("member %q: unknown phase %q", m.ID, m.Phase)
		}
		if _, _, err := net.SplitHostPort(m.HostPort); err != nil && state != balance.Gone {
			return errors.Wrapf(err, "member %q", m.ID)
		}
	}
	return nil
}

// Events is notified of the list, on the follower's goroutine.
type Events interface {
	// Listed delivers a list, or changes to the last one.
	Listed(*List)
	// ListFailed reports the error of a failed call.
	ListFailed(error)
	// Valid reports until when the delivered list contains every change that counts as acknowledged. From then on no listed server may be
	// used, until lapsed, when the restriction ends. Zero times: the list stays valid.
	Valid(until, lapsed time.Time)
}

// Config configures a Follower.
type Config struct {
	Addr   string
	Pushed bool  // the address is a local agent's, to which the list is pushed
	Known  *List // the last list

	Number, Sidecars int           // this sidecar's number, and how many use the same discovery; 0: not known
	RefreshLimit     time.Duration // the longest time between two calls; 0: none
}

// Follower executes the decisions of a follow.Plan: it makes the calls and reports their outcome to the plan. Move and Behind are
// safe for concurrent use.
type Follower struct {
	client         *http.Client
	events         Events
	plan           *follow.Plan
	results        chan callResult
	moves          chan string   // holds the latest address
	publishedValid time.Duration // as last reported to Events

	started time.Time
	addr    string
	moveMu  sync.Mutex // serializes Move

	mu    sync.Mutex
	calls map[int]*call // in progress; written by Run only
}

// call is a call in progress, or one that has just ended and whose list may be applied.
type call struct {
	cancel    context.CancelFunc
	responded atomic.Bool              // part of the response has arrived
	conn      atomic.Pointer[net.Conn] // used by the call
	list      *List
	err       error
}

// callResult is an event of a call, with the list or the error of one that has ended.
type callResult struct {
	event follow.Event
	list  *List
	err   error
}

const (
	resultQueue  = 16 // events of calls that the follower has not handled
	maxConns     = 4  // to discovery: a plan has three calls at most
	maxIdleConns = 2
)

// never is the latest time.
const never = time.Duration(1<<63 - 1)

// New returns a follower. Run makes the first call.
func New(cfg Config, events Events) *Follower {
	return &Follower{
		addr:   cfg.Addr,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: maxConns, MaxIdleConns: maxIdleConns}},
		plan: follow.New(follow.Config{
			Number:       cfg.Number,
			Sidecars:     cfg.Sidecars,
			Pushed:       cfg.Pushed,
			RefreshLimit: cfg.RefreshLimit,
			HasList:      cfg.Known.Complete,
			Revision:     cfg.Known.Revision,
		}),
		events:         events,
		results:        make(chan callResult, resultQueue),
		moves:          make(chan string, 1),
		calls:          map[int]*call{},
		publishedValid: never,
	}
}

// Behind reports whether discovery has sent anything that Events has not been notified of: a process that was suspended may not have
// read it. It makes a system call for each call in progress.
func (f *Follower) Behind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.calls {
		if conn := c.conn.Load(); c.responded.Load() || conn != nil && hasUnread(*conn) {
			return true
		}
	}
	return false
}

// Move changes discovery's address at once; responses from the old one are dropped.
func (f *Follower) Move(addr string) {
	f.moveMu.Lock()
	defer f.moveMu.Unlock()
	select {
	case <-f.moves: // supersede an earlier move
	default:
	}
	f.moves <- addr
}

// Run follows the list until ctx ends, and waits for its calls. It is called once.
func (f *Follower) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	defer f.client.CloseIdleConnections()
	timer := time.NewTimer(0)
	defer timer.Stop()
	f.started = time.Now()
	next := follow.Event{Kind: follow.Started}
	for {
		for _, a := range f.plan.Handle(time.Since(f.started), next) {
			f.apply(ctx, a, &tasks)
		}
		if next.Kind >= follow.ListReceived && next.Kind <= follow.ConnectFailed {
			f.removeCall(next.Call)
		}
		f.publishValid()
		next = follow.Event{Kind: follow.Tick}
		if at := f.plan.Next(); at == never {
			timer.Reset(time.Hour)
		} else {
			timer.Reset(time.Until(f.started.Add(at)))
		}
		select {
		case r := <-f.results:
			next = r.event
			if c := f.calls[next.Call]; c != nil {
				c.list, c.err = r.list, r.err
			}
		case addr := <-f.moves:
			if addr != f.addr {
				f.addr, next.Kind = addr, follow.AddressChanged
				f.client.CloseIdleConnections()
			}
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// apply executes an action of the plan.
func (f *Follower) apply(ctx context.Context, a follow.Action, tasks *sync.WaitGroup) {
	c := f.calls[a.Call]
	switch a.Kind {
	case follow.StartCall:
		ctx, stop := context.WithCancel(ctx)
		c = &call{cancel: stop}
		f.mu.Lock()
		f.calls[a.Call] = c
		f.mu.Unlock()
		addr := f.addr
		tasks.Go(func() {
			defer stop()
			f.perform(ctx, addr, a, c)
		})
	case follow.CancelCall:
		c.cancel()
		f.removeCall(a.Call)
	case follow.ApplyList:
		f.events.Listed(c.list)
	case follow.ReportFailure:
		err := errTimeout
		if c != nil {
			err = c.err
		}
		f.events.ListFailed(err)
	}
}

// removeCall removes a call that has ended or was cancelled.
func (f *Follower) removeCall(call int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, call)
}

// publishValid reports to Events until when the list is valid, if that has changed.
func (f *Follower) publishValid() {
	until, lapsed := f.plan.Valid()
	if until == f.publishedValid {
		return
	}
	f.publishedValid = until
	if until == never {
		f.events.Valid(time.Time{}, time.Time{})
	} else {
		f.events.Valid(f.started.Add(until), f.started.Add(lapsed))
	}
}

// errTimeout is a call without a complete response in time, errStatus a response without a list.
var (
	errTimeout = errors.New("discovery: no complete response in time")
	errStatus  = errors.New("discovery")
)

// perform makes a call and reports its progress and outcome to Run.
func (f *Follower) perform(ctx context.Context, addr string, a follow.Action, c *call) {
	var query url.Values
	if a.From >= 0 {
		query = url.Values{"from": {strconv.FormatInt(a.From, 10)}, "hold_ms": {strconv.FormatInt(a.Hold.Milliseconds(), 10)}}
	}
	send := func(r callResult) {
		r.event.Call = a.Call
		select {
		case f.results <- r:
		case <-ctx.Done():
		}
	}
	received := func() {
		c.responded.Store(true)
		send(callResult{event: follow.Event{Kind: follow.DataReceived}})
	}
	trace := &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { c.conn.Store(&i.Conn) },
		GotFirstResponseByte: received,
	}
	l, err := f.fetch(httptrace.WithClientTrace(ctx, trace), addr, query, received)
	send(callResult{event: outcome(l, err, c.responded.Load()), list: l, err: err})
}

// outcome returns the event that ends a call. responded is whether some bytes of the response have been received.
func outcome(l *List, err error, responded bool) follow.Event {
	var network *net.OpError
	switch {
	case err == nil:
		return follow.Event{Kind: follow.ListReceived, Revision: l.Revision, Complete: l.Complete}
	case errors.Is(err, errStatus):
		return follow.Event{Kind: follow.Rejected}
	case responded:
		return follow.Event{Kind: follow.Truncated}
	case errors.As(err, &network) && network.Op == "dial":
		return follow.Event{Kind: follow.ConnectFailed}
	}
	return follow.Event{Kind: follow.ConnectionReset}
}

// notifyingReader calls on after each read that returned bytes.
type notifyingReader struct {
	from io.Reader
	on   func()
}

func (r notifyingReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.on()
	}
	return n, err
}

// fetch makes a request and reads the list of its response. It calls received after each piece of the body.
func (f *Follower) fetch(ctx context.Context, addr string, query url.Values, received func()) (*List, error) {
	target := url.URL{Scheme: "http", Host: addr, Path: "/discovery/hosts", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "discovery")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "discovery")
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, or is ignored
	body, err := io.ReadAll(io.LimitReader(notifyingReader{from: resp.Body, on: received}, maxListBytes))
	if err != nil {
		return nil, errors.Wrap(err, "discovery")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", errStatus, resp.Status)
	}
	l := &List{}
	if err := strictjson.UnmarshalNullable(body, l); err != nil {
		return nil, errors.Wrap(err, "discovery")
	}
	if err := l.Check(); err != nil {
		return nil, errors.Wrap(err, "discovery")
	}
	return l, nil
}
