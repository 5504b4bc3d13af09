// Package core is the exchange: the event loop (in the mesh, one for each service) between fronts, which serve clients,
// and backends, which connect to servers. It owns the balancer (package balance) and the state of each request: a front
// submits a Call and receives one Answer; a backend receives Attempts and ends each with one Result. The exchange knows
// no protocol: no status, header, frame or socket. The content of a request passes through it as a Message.
//
// One goroutine, Loop.Run, owns all state and never blocks on a socket; the rest of the program sends it events. Start
// reading at Loop. Another protocol needs a front that calls Loop.Submit, a type that implements Backend, and a case
// where the program is put together. Times of type float64 are in milliseconds.
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

// Message is the content of a request as it is sent to servers. The exchange does not interpret it. Each front sets
// the fields that its protocol has; each backend uses those that its own needs, with a rule for absent ones.
type Message struct {
	Trace          string // trace id; empty: none
	Class, Tenant  string
	Object         string // what the request is about; empty: unknown
	IdempotencyKey string
	Safe           bool // idempotent without a key

	Target        string // path and query, where servers are called by paths
	Method        string // method, where servers are called by names of methods
	Verb          string // HTTP method, where it does not follow from Safe
	Priority      int    // 0 is the most urgent
	ForwardCount  int    // how often the request was forwarded before
	ConfigVersion uint64 // of the configuration by which it was routed; 0: none
	Authority     string // that the client named; empty: none

	// Meta holds the headers by name; nil where the front's protocol has none. It includes the fields above as they were
	// received, so that a backend of the same protocol forwards them unchanged.
	Meta        map[string][]string
	ContentType string
	Body        []byte
	// Stream is a body that is still being received, in place of Body; nil: there is none. Remaining is the time to the
	// deadline from when its last byte is written.
	Stream    *bodypipe.Pipe
	Remaining time.Duration
	// AcceptsStream is whether the client can receive a streamed answer.
	AcceptsStream bool
}

// Call is a client's request on its way through the exchange. The front fills it in and changes nothing after Submit.
type Call struct {
	Name     string // by which its client identifies it, unique among the open calls; empty: none
	Message  Message
	Request  balance.Request // without ID; Remaining counts from Received
	Received time.Time
	Client   Client
	Exchange Exchange        // that serves it, where a front has several; nil: the front's own
	State    atomic.Value    // for the exchange's own use
	Claim    *contract.Claim // the sender's identity besides its tenant; nil where it is not required
}

// Exchange is where a front submits calls; *Loop is one.
type Exchange interface {
	// Submit hands in a call, whose client gets one answer unless the exchange ends before.
	Submit(*Call)
	// Disconnect reports that the client of a call has left.
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

// Reason is why an answer is Failed or Refused.
type Reason uint8

// The reasons.
const (
	NotServed        Reason = iota // no server gave a good answer; of Refused: there was no capacity
	DeadlineExceeded               // its deadline has passed
	ClientGone                     // its client left
	DuplicateName                  // another open call has its Name; nothing was executed
	Forbidden                      // its sender has no permission; nothing was executed
	RateLimited                    // of Refused: its sender has exceeded its quota
)

// Answer is the final answer of a call.
type Answer struct {
	Kind       Kind
	Reason     Reason        // of Refused and Failed
	RetryAfter time.Duration // of Refused: how long the client should wait before a retry; 0: not given
	Text       string        // of Refused and Failed: for humans

	// Status is the server's status, where the front's protocol has one; 0: it follows from the fields above. An answer with
	// a status is written as one that is Served.
	Status int
	// The fields below are of Served.
	ApplicationError bool // the server answered with an error of the application
	Meta             map[string][]string
	ContentType      string
	Body             []byte
	Stream           *bodypipe.Pipe // a body still being received, in place of Body; its receiver reads or closes it
}

// Result is how an attempt or a probe ended.
type Result struct {
	Outcome      balance.Result
	Answer       *Answer   // of OK; of a failure: the server's own answer, where it may be passed on
	Report       []float32 // load report, may be empty
	NotDelivered bool      // the attempt was rejected by a proxy in front of the server
	Detail       string    // of a rejection: its reason, for the log; may be empty
}

// Gate admits calls before the balancer does. The exchange calls it from its own goroutine, with the time since the
// exchange began.
type AdmissionController interface {
	// Admit admits a call with a grant, or returns its final answer. It may change the call's request.
	Admit(now time.Duration, c *Call) (contract.Grant, *Answer)
	// Release returns a grant when the call has its final answer; ran is false where no server can have begun it.
	Release(now time.Duration, g contract.Grant, mayHaveRun bool)
}

// Tally counts requests for the fleet.
type FleetQuota interface {
	// Take counts a request and reports whether this sidecar may serve it.
	Take(now time.Duration, class, tenant int, retry bool) bool
	// End counts how a request ended that was taken, by a counter of package fleet. It is safe for concurrent use.
	End(class, tenant, counter int)
}

// Backend makes attempts at servers of one protocol. The exchange calls it from its own goroutine: no method may block.
type Backend interface {
	// Begin starts an attempt, which ends with one call of its End. Nothing may be sent once it is Obsolete or after its
	// Deadline, and no attempt may be sent twice.
	Begin(*Attempt)
	// Cancel cancels an attempt: its End has still to be called.
	Cancel(*Attempt)
	// Probe requests a server's load report, and calls done once.
	Probe(e *Endpoint, done func(Result))
	// CloseIdle closes idle connections to a server.
	CloseIdle(*Endpoint)
}

// Endpoint is one server as backends see it. The exchange changes it, backends read it: the methods are safe for
// concurrent use.
type Endpoint struct {
	id      balance.ServerID
	name    string
	addr    atomic.Pointer[string]
	closed  atomic.Bool
	backend Backend
	member  roster.Member // as last listed; for the exchange only

	inFlight int          // attempts; for the exchange only
	streams  atomic.Int64 // answers of its attempts that are still coming
}

// NewEndpoint returns an open server, for tests of backends.
func NewEndpoint(name, addr string) *Endpoint {
	e := &Endpoint{name: name}
	e.addr.Store(&addr)
	return e
}

// Name returns the server's id in the roster.
func (e *Endpoint) Name() string { return e.name }

// Addr returns the server's present address.
func (e *Endpoint) Addr() string { return *e.addr.Load() }

// trackStream counts an answer of the server's until its end.
func (e *Endpoint) trackStream(body *bodypipe.Pipe) {
	e.streams.Add(1)
	body.OnEnd(func(bool) { e.streams.Add(-1) })
}

// Closed reports whether the server is draining or gone: nothing new may be sent.
func (e *Endpoint) Closed() bool { return e.closed.Load() }

// Close marks the server as closed.
func (e *Endpoint) Close() { e.closed.Store(true) }
