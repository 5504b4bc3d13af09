// Package core implements the exchange: the event loop (in the mesh, one for each service) between fronts, which serve
// clients, and backends, which connect to servers. It owns the balancer (package balance) and the state of each request.
// A front submits a Call and receives one Answer; a backend receives Attempts and ends each with one Result. The exchange
// is independent of protocols: it handles no status, header, frame or socket, and forwards the content of a request as
// a Message.
//
// One goroutine, Loop.Run, owns all state and never blocks on a socket; the rest of the program sends events to it. Start
// reading at Loop. To add a protocol, write a front that calls Loop.Submit and a type that implements Backend, and add
// them where the program is assembled. Times of type float64 are in milliseconds.
package core

import (
	"sync/atomic"
	"time"

	"firplank/balance"
	"firplank/contract"
	"firplank/internal/bodypipe"
	"firplank/internal/roster"
)

// MessagePack is the content type of a body in MessagePack.
const MessagePack = "application/msgpack"

// Message is the content of a request as it is sent to servers. Each front sets the fields that its protocol has; each
// backend uses those that its protocol needs and defines how it handles absent ones. Of its fields the exchange uses
// only Trace, Target, Safe, Stream and Remaining.
type Message struct {
	Trace          string // trace id; empty: none
	Class, Tenant  string
	Object         string // the object that the request concerns; empty: unknown
	IdempotencyKey string
	Safe           bool // idempotent without a key

	Target        string // path and query, for protocols with paths
	Method        string // method name, for protocols with named methods
	Verb          string // HTTP method, if it does not follow from Safe
	Priority      int    // 0 is the most urgent
	ForwardCount  int    // number of times that the request was forwarded before
	ConfigVersion uint64 // version of the configuration by which it was routed; only the mesh sets it
	Authority     string // authority in the client's request; empty: none

	// Meta holds the headers by name; nil if the front's protocol has none. It includes the headers of the fields above as
	// received, so that a backend of the same protocol forwards them unchanged.
	Meta        map[string][]string
	ContentType string
	Body        []byte
	// Stream is a body that is still being received, instead of Body; nil: none. Remaining is then the time from when its
	// last byte is written until the deadline.
	Stream    *bodypipe.Pipe
	Remaining time.Duration
	// AcceptsStream is whether the client can receive a streamed answer.
	AcceptsStream bool
}

// Call is a client's request in the exchange. The front sets its fields and does not change them after Submit.
type Call struct {
	Name     string // the client's identifier of the call, unique among the open calls; empty: none
	Message  Message
	Request  balance.Request // without ID; Remaining counts from Received
	Received time.Time
	Client   Client
	Exchange Exchange        // the exchange that serves the call, if a front has several; nil: the front's default
	State    atomic.Value    // for use by the exchange only
	Claim    *contract.Claim // the sender's identity besides its tenant; nil if it is not required
}

// Exchange is where a front submits calls; *Loop is one.
type Exchange interface {
	// Submit submits a call. Its client gets one answer unless the exchange ends before.
	Submit(*Call)
	// Disconnect reports that the client of a call has disconnected.
	Disconnect(*Call)
	// Ready reports whether calls can be served.
	Ready() bool
	// Done is closed when the exchange gives no more answers.
	Done() <-chan struct{}
}

// Client receives the one final answer of each of its calls.
type Client interface {
	// Answer is called once for a call, from the exchange's goroutine: it must not block.
	Answer(*Call, *Answer)
}

// Kind is the kind of an answer.
type Kind uint8

// The kinds.
const (
	Served  Kind = iota // a server's answer
	Refused             // nothing was executed: a retry is harmless
	Failed              // the request may have been executed
)

// Reason is the reason of an answer that is Failed or Refused.
type Reason uint8

// The reasons.
const (
	NotServed        Reason = iota // no server gave a successful answer; of Refused: there was no capacity
	DeadlineExceeded               // the deadline has passed
	ClientGone                     // the client has disconnected
	DuplicateName                  // another open call has the same Name; nothing was executed
	Forbidden                      // the sender has no permission; nothing was executed
	RateLimited                    // of Refused: the sender has exceeded its quota
)

// Answer is the final answer of a call.
type Answer struct {
	Kind       Kind
	Reason     Reason        // of Refused and Failed
	RetryAfter time.Duration // of Refused: how long the client should wait before a retry; 0: not given
	Text       string        // of Refused and Failed: explanation for human readers

	// Status is the server's status, if the front's protocol has one; 0: the status follows from the fields above. An answer
	// with a status is written like one of kind Served.
	Status int
	// The fields below are of Served.
	ApplicationError bool // the server answered with an error of the application
	Meta             map[string][]string
	ContentType      string
	Body             []byte
	Stream           *bodypipe.Pipe // a body still being received, instead of Body; its receiver reads or closes it
}

// Result is how an attempt or a probe ended.
type Result struct {
	Outcome      balance.Result
	Answer       *Answer   // of OK; of a failure: the server's own answer, if it may be forwarded
	Report       []float32 // load report, may be empty
	NotDelivered bool      // a proxy in front of the server rejected the attempt
	Detail       string    // of a rejection: its reason, for the log; may be empty
}

// AdmissionController admits calls before they reach the balancer. The exchange calls it from its own goroutine, with the
// time since the exchange started.
type AdmissionController interface {
	// Admit returns a grant for a call that is admitted, or the final answer of one that is not. It may change the call's
	// request.
	Admit(now time.Duration, c *Call) (contract.Grant, *Answer)
	// Release returns a grant when the call has its final answer. mayHaveRun is false if no server can have begun to execute
	// the call.
	Release(now time.Duration, g contract.Grant, mayHaveRun bool)
}

// FleetQuota counts requests and limits them over the whole fleet.
type FleetQuota interface {
	// Take counts a request and reports whether this sidecar may serve it.
	Take(now time.Duration, class, tenant int, retry bool) bool
	// End counts the end of a request for which Take reported true, by a counter of package fleet. It is safe for concurrent
	// use.
	End(class, tenant, counter int)
}

// Backend sends attempts to servers by one protocol. The exchange calls it from its own goroutine: no method may block.
type Backend interface {
	// Begin starts an attempt. The backend calls the attempt's End once. It must not send an attempt that is Obsolete, or
	// send one twice.
	Begin(*Attempt)
	// Cancel cancels an attempt. The backend still has to call its End.
	Cancel(*Attempt)
	// Probe requests a server's load report and calls done once.
	Probe(e *Endpoint, done func(Result))
	// CloseIdle closes idle connections to a server.
	CloseIdle(*Endpoint)
}

// Endpoint is a listed server, for use by backends. The exchange changes it and backends read it; its methods are safe for
// concurrent use.
type Endpoint struct {
	id      balance.ServerID
	name    string
	addr    atomic.Pointer[string]
	closed  atomic.Bool
	backend Backend
	member  roster.Member // as last listed; for the exchange only

	inFlight int          // attempts; for the exchange only
	streams  atomic.Int64 // answers that are still being received
}

// NewEndpoint returns an endpoint that is not closed, for tests of backends.
func NewEndpoint(name, addr string) *Endpoint {
	e := &Endpoint{name: name}
	e.addr.Store(&addr)
	return e
}

// Name returns the server's ID in the roster.
func (e *Endpoint) Name() string { return e.name }

// Addr returns the server's present address.
func (e *Endpoint) Addr() string { return *e.addr.Load() }

// trackStream counts an answer of the server as being received until its end.
func (e *Endpoint) trackStream(body *bodypipe.Pipe) {
	e.streams.Add(1)
	body.OnEnd(func(bool) { e.streams.Add(-1) })
}

// Closed reports whether no new attempts may be sent to the server, as it is draining, gone or excluded, or the server list
// may not be used.
func (e *Endpoint) Closed() bool { return e.closed.Load() }

// Close marks the server as closed.
func (e *Endpoint) Close() { e.closed.Store(true) }
