package balance

// This file is the interface of the package: settings, events and actions. Times and durations are in milliseconds
// unless a comment gives another unit.

// ServerID identifies a server; it carries no other meaning.
type ServerID uint64

// RequestID identifies a request and is below 1<<52. A retry by the client has an ID of its own.
type RequestID uint64

// Effect is whether a request may be executed more than once.
type Effect uint8

// The effects that a class of requests can have.
const (
	Safe   Effect = iota // idempotent: may be retried at any server
	Keyed                // has an idempotency key, by which the servers of its DedupScope recognise a retry for DedupWindow
	Unsafe               // must never be executed twice
)

// DedupScope is the set of servers that recognise the idempotency key of an earlier attempt.
type DedupScope uint8

// The scopes: all servers, or those in the zone or cell of the earlier attempt's server.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class holds the rules of one class of requests. Requests refer to it by its index in Config.Classes.
type Class struct {
	Effect          Effect
	DedupScope      DedupScope // of Keyed
	DedupWindow     float64    // of Keyed: how long the scope's servers store a key, from the first attempt that may have executed
	LatencyTarget   float64    // an answer within this time (the SLO) earns the full Value
	TargetStretch   float64    // the target grows by this multiple of the request's own work
	Deadline        float64    // longest time that a client waits, over all its own attempts
	Value           float64    // of a request served in time, relative to the other classes
	LateValue       float64    // fraction of Value that an answer after the latency target still earns
	Stream          bool       // answers are streamed
	MaxWaitFraction float64    // part of the latency target for which an undelivered request waits for a server; 0: all of it
}

// Tenant is one customer of the service. Requests refer to it by its index in Config.Tenants.
type Tenant struct {
	Quota float64 // requests per second within its share, over all sidecars
	Share float64 // its fraction of the service; 0: unlimited
}

// ReportMode is how servers report their load to a sidecar.
type ReportMode uint8

// The report modes: none, with every answer, or with the answers to probes only.
const (
	ReportNone ReportMode = iota
	ReportPiggyback
	ReportProbe
)

// Field is one figure of a load report.
type Field uint8

// The figures that a load report can hold; FieldUnknown is skipped.
const (
	FieldUnknown   Field = iota
	FieldInFlight        // requests in progress
	FieldQueue           // requests in the queue
	FieldUtil            // CPU utilisation, 0 to 1
	FieldLatency         // recent service time in ms
	FieldRate            // requests served per second
	FieldErrorRate       // errors per second
)

// RatingKind is the meaning of Server.Rating.
type RatingKind uint8

// The meanings of Server.Rating.
const (
	RatingNone    RatingKind = iota // nothing; it is 1
	RatingNominal                   // registered size
	RatingRough                     // approximate size
	RatingLive                      // size over 1 + pending requests per core, sampled earlier
)

// Config holds the settings of one sidecar. Package settings reads them for the program and the simulator; the page of
// settings in the documentation defines them.
type Config struct {
	Seed               uint64 // of the random numbers, which are the only source of randomness in decisions
	Index, Peers       int    // this sidecar's number, and the number of sidecars
	Zone               int    // of this sidecar
	Classes            []Class
	Tenants            []Tenant
	OverShareValue     float64 // value of a request beyond its tenant's share, as a fraction
	MinBatchInterval   float64 // shortest time between two batches of events
	ValueByWork        bool    // value is counted per unit of work instead of per request
	ClientsMarkRetries bool    // clients mark their retries, so that Request.Retry can be trusted

	Subscribe bool       // the server list has to be subscribed to
	Reports   ReportMode // how load reports arrive
	Fields    []Field    // the figures of a report, in order
	Ratings   RatingKind

	MaxAttempts        int         // of a request
	ParallelAttempts   bool        // two attempts of a request may be in flight at once
	Cancel             bool        // attempts may be cancelled
	Probes             bool        // servers may be probed
	Messages           bool        // sidecars may send messages to each other
	RetryAfter         bool        // refused clients are given a retry-after time
	MaxRetryAfter      float64     // the longest retry-after time that clients respect
	ConnectTimeout     float64     // of a connection
	ConnIdle           float64     // an idle connection is closed after this
	StreamsPerConn     int         // concurrent attempts on one connection
	LastHop            bool        // the server's own sidecar rejects requests over capacity, so this one sheds no load
	RetryAfterFraction float64     // part of the latency target that is the retry-after time; 0: the default
	RetryBudget        RetryBudget // limits retries; nil: MaxAttempts alone limits them
	MaxOpenRequests    int         // requests over this number of open ones never reach the balancer; 0: no limit

	DrainGrace               float64 // attempts at a draining or gone server must end within this time
	SlowStartInitialFraction float64 // least part of its capacity that a server has right after its start
	SlowStartTime            float64 // time after its start from which a server has its full capacity
	ColdOverloadFactor       float64 // a server in slow start fails if it is sent this multiple of its capacity ...
	ColdOverloadTime         float64 // ... for this long
	ListRefreshLimit         float64 // longest time between requests for the list where there is no subscription
	AnswerSlack              float64 // an answer this long after the client's deadline still counts

	Goal      Goal
	Penalties Penalties
}

// RetryBudget limits the attempts beyond the first one that reaches a server, over all requests. The balancer calls it
// from Handle, with the time of the event.
type RetryBudget interface {
	// Deposit counts a new request, which earns a part of a retry.
	Deposit(now float64)
	// TryWithdraw withdraws the cost of one retry; it reports false, and withdraws nothing, if the budget is exhausted.
	TryWithdraw(now float64) bool
}

// Goal holds the weights of the parts of a deployment's result, as the page of settings defines them: the value over
// all requests, in the worst time window, of the worst class and of the worst tenant, and "nines_part" of the settings.
// If all are 0, Total alone counts. The present policy does not read it.
type Goal struct {
	Total       float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
	Nines       float64
}

// Penalties reduce the result, each per unit of its own, as "penalties" on the page of settings defines them. The
// present policy reads CrossZone, Handshake and Probe.
type Penalties struct {
	CrossZone  float64 // of an attempt in another zone
	Waste      float64
	Handshake  float64 // of a new connection
	Probe      float64 // of a probe
	Peer       float64
	LateFail   float64
	Connection float64
}

// State is the state of a server in the server list.
type State uint8

// The states of a server. Only Ready servers receive attempts.
const (
	Ready State = iota
	Draining
	Gone
)

// Server is one entry of the server list.
type Server struct {
	ID               ServerID
	State            State
	StartedAt        float64 // when its process started; 0: long ago
	Rating           float64 // relative size as Config.Ratings defines it; 0: unknown, counts as 1
	Cell, Zone, Kind int
	// Candidate is whether the server runs a version under rollout, which only some requests are sent to.
	Candidate bool
	// PathIncarnation increases when the proxy in front of the server restarts, which clears the server's connect failures.
	PathIncarnation uint64
}

// Event is an input of Handle. The interface is sealed: only the types below implement it.
type Event interface{ event() }

// ListKind is the kind of an update of the server list.
type ListKind uint8

// The kinds of updates of the server list.
const (
	ListFull   ListKind = iota // the complete list
	ListCached                 // the complete list as this sidecar last received it
	ListDelta                  // changed entries only
	ListFailed                 // a list request failed or the subscription ended; the servers are unchanged
)

// ServerList is an update of the server list. Handle does not retain Servers.
type ServerList struct {
	Kind    ListKind
	Servers []Server
	// ZonePreference multiplies the weight of servers without errors in this sidecar's zone; 0: the preference follows
	// from Penalties.CrossZone. Ignored in a ListDelta.
	ZonePreference float64
}

// Request is a new request of a client. The balancer gives it one final answer: an attempt's, Refuse or Fail.
type Request struct {
	ID            RequestID
	Class, Tenant int     // Tenant -1: none
	WorkHint      float64 // expected work; 0: unknown
	Key           uint64  // identifies the object of the request; 0: none
	Remaining     float64 // time until its deadline
	Retry         bool    // the client marked it as a retry
	Write         bool
	Upload        bool // its body is still being received: Remaining counts from UploadComplete
	Candidate     bool // its first attempt goes to a Candidate server if one is eligible; all other attempts do not
	MaxAttempts   int  // limit of attempts that reach a server; 0: Config.MaxAttempts alone
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results. ProvesNotExecuted reports which of them prove that nothing was executed.
const (
	OK            Result = iota
	Failed               // the server answered with an error
	Rejected             // the server or its proxy rejected the attempt before executing it
	TimedOut             // no answer in time
	ConnectFailed        // no connection
	Reset                // the connection broke
	Cancelled            // by Cancel
	NotSent              // abandoned before anything was written
)

// ProvesNotExecuted reports whether the result proves that the attempt was not executed.
func (r Result) ProvesNotExecuted() bool { return r == Rejected || r.ProvesNotSent() }

// ProvesNotSent reports whether the result proves that no byte of the attempt has reached a server.
func (r Result) ProvesNotSent() bool { return r == ConnectFailed || r == NotSent }

// Outcome reports the end of an attempt; every attempt has exactly one.
type Outcome struct {
	Request      RequestID
	Attempt      int // number of the attempt, from 0
	Server       ServerID
	Result       Result
	Latency      float64
	Finished     bool      // the request has its final answer, or needs none
	Report       []float32 // load report, may be empty; not retained
	BodyConsumed bool      // the attempt consumed the request's body, so that no further attempt is possible
	NotDelivered bool      // a proxy in front of the server rejected the attempt; the server never received it
}

// UploadComplete reports that the last byte of an upload was written to a server. The request's deadline counts from
// then.
type UploadComplete struct {
	Request RequestID
	Attempt int
}

// ResponseStarted reports that the client has begun to receive a streamed response: the request can't be retried.
type ResponseStarted struct {
	Request RequestID
	Attempt int
	Server  ServerID
	Latency float64
}

// Shutdown reports that the sidecar shuts down: every open request, and each later one, has to be answered within the
// given time.
type Shutdown struct{ Within float64 }

// ClientDisconnected reports that the client has disconnected; the request needs no answer.
type ClientDisconnected struct{ Request RequestID }

// TimerFired reports that a timer set by SetTimer is due.
type TimerFired struct{ Token uint64 }

// ProbeResult reports the end of a probe.
type ProbeResult struct {
	Server  ServerID
	Result  Result
	Latency float64
	Report  []float32 // load report; not retained
}

// PeerMessage is a message from another sidecar. Data is not retained. The present policy ignores it.
type PeerMessage struct {
	From int
	Data []byte
}

func (ServerList) event()         {}
func (Request) event()            {}
func (Outcome) event()            {}
func (ResponseStarted) event()    {}
func (UploadComplete) event()     {}
func (Shutdown) event()           {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (ProbeResult) event()        {}
func (PeerMessage) event()        {}

// ActionKind is what an action does.
type ActionKind uint8

// The kinds of actions; the comments list the fields of Action that are set.
const (
	Send        ActionKind = iota // Request, Server, At: time limit of the attempt; 0: the request's deadline
	Refuse                        // Request, At: retry-after time, Cause. Final: a retry by the client is harmless
	Fail                          // Request, Cause. Final: the request may have been executed
	Cancel                        // Request, Attempt
	SetTimer                      // Token, At: time from now
	Probe                         // Server
	CloseIdle                     // Server: close its idle connections
	SendMessage                   // Peer (-1: all), Data
	Log                           // Text
	Subscribe                     // subscribe to the server list
	FetchList                     // request the complete server list once
)

// Action is an output of Handle. Actions have to be carried out in order.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int
	Server  ServerID
	At      float64
	Token   uint64
	Peer    int
	Data    []byte
	Text    string
	Cause   Cause
}
