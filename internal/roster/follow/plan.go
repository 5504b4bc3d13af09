// Package follow decides how the list of servers is followed: when discovery is called and for how long, when a call times out, when
// it is retried, and until when the current list contains every change that counts as acknowledged. It defines all intervals and bounds
// for that, and does no I/O: it has no socket, goroutine or clock. Handle takes an event with its time and returns actions. Plans are
// deterministic, so that any order of events can be replayed.
//
// One long call, the watch, waits at discovery for updates. At intervals short calls, the probes, check that there are none, which
// detects a watch that no longer responds. Updates that discovery may have sent and that have not arrived are unseen; after a grace
// period they count as acknowledged (unseen.go). spread.go spreads the calls of a whole fleet over time.
//
// Start reading at Plan.Handle. The bound and its proof are in docs/design/list.md.
package follow

import "time"

// The times of discovery's specification after which an update counts as acknowledged by this sidecar.
const (
	updateGrace      = 2 * time.Second // after the hold of a call has ended
	listGrace        = 6 * time.Second // after the start of a call without a hold
	failedCallLimits = 4               // in refresh limits, after a call that failed
)

const (
	// Hold is how long a watch waits at discovery. Updates that a stalled watch misses count as acknowledged only after that, which leaves
	// time for many probes.
	Hold = 40 * time.Second
	// ProbeHold is the hold of a probe. It is short, but not zero, as the response to a call with a hold contains only what has changed.
	ProbeHold = time.Millisecond

	// A discovery that can't serve a call rejects it after two seconds; one that takes longer is stalled. slowCallTimeout applies
	// after a failure, as discovery may be that slow.
	callTimeout        = 2500 * time.Millisecond
	slowCallTimeout    = 5 * time.Second
	watchTimeoutMargin = 300 * time.Millisecond // beyond the hold; then a probe decides
	// bodyIdleTimeout is the longest pause within a response; after it the response counts as truncated.
	bodyIdleTimeout = 500 * time.Millisecond
	// maxWatchAge is the age of a watch after which a probe without updates starts another one that replaces it.
	maxWatchAge  = 20 * time.Second
	urgentMargin = 3 * time.Second // before unseen updates are due, their probe is not postponed
	// Discovery takes a call within 200 ms of a response for the continuation of the watch, and updates in between count as acknowledged at
	// once. Calls therefore start either with the response or after watchResumeWindow.
	watchResumeWindow = 210 * time.Millisecond
	minCallGap        = 100 * time.Millisecond // between calls to an agent, which may respond at once each time
	// maxFenceShare bounds how long the list may not be used once unseen updates are due, in refresh limits. After that the list is used
	// again, as a long outage of discovery must not end the service.
	maxFenceShare       = 0.5
	defaultRefreshLimit = 10 * time.Second // where the settings have none
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events. Those from DataReceived to ConnectFailed belong to a call in progress; of any other call they are ignored.
const (
	Started         Kind = iota // the first event
	Tick                        // the time of Next has come, perhaps long ago
	DataReceived                // part of the response has arrived
	ListReceived                // a complete valid response, with Revision and Complete
	Truncated                   // the response ended or was reset after its first byte, or is invalid
	ConnectionReset             // the connection ended or was reset before the first byte
	Rejected                    // a response without a list, as from a discovery that is overloaded
	ConnectFailed               // connecting failed
	AddressChanged              // discovery has moved: calls in progress are void
)

// Event is an input of a plan.
type Event struct {
	Kind     Kind
	Call     int
	Revision int64
	Complete bool
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	StartCall     ActionKind = iota // start a call for updates since revision From, with a hold; From -1: for the complete list
	CancelCall                      // cancel a call
	ApplyList                       // apply the list of a call's response
	ReportFailure                   // log the failure of a call
)

// Action is an output of a plan. Actions are executed in order.
type Action struct {
	Kind ActionKind
	Call int
	From int64
	Hold time.Duration
}

// Config configures a Plan.
type Config struct {
	Number, Sidecars int           // this sidecar's number, and how many use the same discovery; 0: not known
	Pushed           bool          // the address is a local agent's, which responds at once and isn't shared
	RefreshLimit     time.Duration // the longest time between two calls; 0: defaultRefreshLimit
	HasList          bool          // there is a complete list of Revision
	Revision         int64
}

// role is the purpose of a call.
type role uint8

const (
	watch     role = iota // waits for updates
	probe                 // checks that there are none
	fullFetch             // fetches the complete list
)

type call struct {
	id         int
	role       role
	began      time.Duration
	responding bool // part of its response has arrived
	late       bool // a watch whose hold has ended
	lastByte   time.Duration
}

// Plan follows one list. It is not safe for concurrent use. It has at most two watches and one other call in progress, and at most
// maxAbandoned unseen updates of other calls.
type Plan struct {
	cfg    Config
	spread spread

	now      time.Duration
	actions  []Action
	calls    []call // in progress, oldest first
	lastID   int
	hasList  bool
	revision int64

	nextCallAt time.Duration // start of the next call that doesn't follow a response; never: none is due
	failures   int           // consecutive failed calls
	unseen     unseenSet
	failed     bool          // the last call was rejected or could not connect
	lastCallAt time.Duration // start of the last call
	started    bool

	lastListAt time.Duration // when the last complete response arrived
	moved      bool          // the address has changed and has not responded yet
}

// never is the latest time.
const never = time.Duration(1<<63 - 1)

// New returns a plan that waits for Started.
func New(cfg Config) *Plan {
	if cfg.RefreshLimit <= 0 {
		cfg.RefreshLimit = defaultRefreshLimit
	}
	return &Plan{
		cfg:        cfg,
		spread:     newSpread(cfg),
		hasList:    cfg.HasList,
		revision:   cfg.Revision,
		nextCallAt: never,
		lastListAt: -watchResumeWindow,
	}
}

// Handle takes an event and returns the actions that follow. They are valid until the next call.
func (p *Plan) Handle(now time.Duration, ev Event) []Action {
	p.now, p.actions = max(now, p.now), p.actions[:0]
	switch ev.Kind {
	case Started:
		p.started, p.lastCallAt = true, p.now
		p.nextCallAt = p.now + p.spread.firstDelay()
	case AddressChanged:
		p.changeAddress()
	case Tick:
	default:
		p.onCall(ev)
	}
	if p.started {
		p.advance()
	}
	return p.actions
}

// Next is the time at which a Tick is due.
func (p *Plan) Next() time.Duration {
	next := p.nextCallAt
	for i := range p.calls {
		next = min(next, p.deadline(&p.calls[i]))
	}
	return next
}

// Valid returns until when the list contains every update that counts as acknowledged. From then on no server of the list may be
// used, until the bound moves on. At lapsed the list may be used again, so that an outage of discovery doesn't end the service.
func (p *Plan) Valid() (until, lapsed time.Duration) {
	until = p.unseen.due()
	if p.watching() == nil && p.started && !p.cfg.Pushed { // without a watch the refresh limit applies
		limit := p.lastCallAt + p.cfg.RefreshLimit
		if p.failed {
			limit = p.lastCallAt + failedCallLimits*p.cfg.RefreshLimit
		}
		until = min(until, limit)
	}
	if until == never {
		return never, never
	}
	return until, until + time.Duration(maxFenceShare*float64(p.cfg.RefreshLimit))
}

// changeAddress cancels all calls and starts over at another address.
func (p *Plan) changeAddress() {
	for i := range p.calls {
		p.actions = append(p.actions, Action{Kind: CancelCall, Call: p.calls[i].id})
	}
	// Revisions belong to an address: the next one has to send its complete list first.
	for _, c := range p.calls {
		p.unseen.abandon(c.id, p.now)
	}
	p.calls, p.hasList, p.failures, p.failed, p.moved = p.calls[:0], false, 0, false, true
	if p.started {
		p.nextCallAt = p.now
	}
}

// onCall handles an event of a call in progress.
func (p *Plan) onCall(ev Event) {
	index := p.find(ev.Call)
	if index < 0 {
		return
	}
	c := p.calls[index]
	if ev.Kind == DataReceived {
		if !c.responding && c.role != fullFetch { // its hold has ended
			p.unseen.expedite(c, p.now+updateGrace)
		}
		p.calls[index].responding, p.calls[index].lastByte = true, p.now
		return
	}
	p.calls = append(p.calls[:index], p.calls[index+1:]...)
	switch ev.Kind {
	case ListReceived:
		p.listReceived(c, ev)
	case Truncated, ConnectionReset:
		p.truncated(c)
	case Rejected, ConnectFailed:
		p.unseen.remove(c.id) // an explicit rejection leaves no update unseen
		if ev.Kind == ConnectFailed {
			p.unseen.removeResets()
		}
		p.failed = true
		p.callFailed(c)
	}
}

// listReceived handles a complete response.
func (p *Plan) listReceived(c call, ev Event) {
	if p.hasList && c.role != fullFetch && !ev.Complete && ev.Revision < p.revision {
		// Changes to an older revision: discovery was reset, so that a complete list is needed. Updates that it counts as acknowledged have
		// not arrived, and the revisions of other calls are void.
		p.unseen.expedite(c, p.now+updateGrace)
		p.unseen.abandon(c.id, p.now)
		p.dropAll()
		p.hasList, p.nextCallAt = false, p.now
		return
	}
	updated := !p.hasList || ev.Revision != p.revision || c.role == fullFetch
	p.hasList, p.revision, p.failures, p.failed, p.moved = true, ev.Revision, 0, false, false
	p.lastListAt = p.now
	p.unseen.confirm(c)
	p.actions = append(p.actions, Action{Kind: ApplyList, Call: c.id})
	if updated { // a watch in progress started from an older revision, or is stalled
		p.dropAll()
	} else if c.role == watch && p.now-c.began < minCallGap {
		p.nextCallAt = c.began + minCallGap
		return
	}
	if w := p.watching(); w == nil || p.now-w.began >= maxWatchAge {
		p.begin(watch)
	}
	p.nextCallAt = min(p.now+p.spread.probeDelay(), max(p.now+watchResumeWindow, p.unseen.due()-urgentMargin))
}

// truncated handles a response that ended early, or a call cut off. Its updates, which may be a drain, count as acknowledged soon.
func (p *Plan) truncated(c call) {
	if !c.responding && c.role != fullFetch {
		p.unseen.expedite(c, p.now+updateGrace)
		p.unseen.markReset(c.id)
	}
	p.unseen.abandon(c.id, p.now)
	p.actions = append(p.actions, Action{Kind: ReportFailure, Call: c.id})
	p.failed = false
	p.nextCallAt = min(p.nextCallAt, p.now+p.spread.refetchDelay(p.failures))
	p.failures++
}

// callFailed handles a call that failed without a part of a response.
func (p *Plan) callFailed(c call) {
	p.actions = append(p.actions, Action{Kind: ReportFailure, Call: c.id})
	wait := p.spread.backoff(p.failures, p.moved)
	if due := p.unseen.dueAbandoned(); due-p.now < urgentMargin+wait {
		wait = min(wait, max(due-p.now-urgentMargin, p.spread.refetchDelay(p.failures)))
	}
	p.nextCallAt = p.now + wait
	p.failures++
}

// advance cancels calls that have timed out and starts the call that is due.
func (p *Plan) advance() {
	for i := 0; i < len(p.calls); i++ {
		c := p.calls[i]
		if p.now < p.deadline(&c) {
			continue
		}
		if c.role == watch && !c.responding && !c.late && p.now >= c.began+Hold {
			p.calls[i].late = true
			p.nextCallAt = min(p.nextCallAt, p.now+p.spread.refetchDelay(0))
			i--
			continue
		}
		p.calls = append(p.calls[:i], p.calls[i+1:]...)
		i--
		p.actions = append(p.actions, Action{Kind: CancelCall, Call: c.id})
		switch {
		case c.responding:
			p.truncated(c)
		case c.role == watch && p.watching() != nil:
			p.unseen.abandon(c.id, p.now)
		default:
			p.unseen.abandon(c.id, p.now)
			p.failed = false
			p.callFailed(c)
		}
	}
	if p.now < p.nextCallAt {
		return
	}
	if resumeEnd := p.lastListAt + watchResumeWindow; !p.cfg.Pushed && p.lastListAt < p.now && p.now < resumeEnd {
		p.nextCallAt = resumeEnd
		return
	}
	p.nextCallAt = never
	switch {
	case p.shortCallPending(): // the next call starts when it ends
	case !p.hasList:
		p.begin(fullFetch)
	case p.watching() == nil && p.unseen.noneAbandoned():
		p.begin(watch)
	default:
		p.begin(probe)
	}
	if p.nextCallAt == never && !p.shortCallPending() {
		p.nextCallAt = p.now + p.spread.probeDelay()
	}
}

// begin starts a call.
func (p *Plan) begin(r role) {
	p.lastID++
	c := call{id: p.lastID, role: r, began: p.now}
	p.calls = append(p.calls, c)
	p.lastCallAt = p.now
	a := Action{Kind: StartCall, Call: c.id, From: p.revision, Hold: Hold}
	switch r {
	case probe:
		a.Hold = ProbeHold
	case fullFetch:
		a.From, a.Hold = -1, 0
	}
	p.actions = append(p.actions, a)
	if !p.cfg.Pushed {
		p.unseen.open(c)
	}
}

// deadline is when a call times out. An older watch is cancelled once the newer one can no longer be rejected.
func (p *Plan) deadline(c *call) time.Duration {
	end := c.began + callTimeout
	if p.failures > 0 {
		end = c.began + slowCallTimeout
	}
	if c.role == watch {
		end = c.began + Hold + watchTimeoutMargin
		if c.late {
			end = c.began + Hold + slowCallTimeout
		}
		if w := p.watching(); w != nil && w.id != c.id {
			end = min(end, w.began+callTimeout)
		}
	}
	if c.responding {
		end = min(end, c.lastByte+bodyIdleTimeout)
	}
	return end
}

// dropAll cancels all calls in progress, which started from an older revision.
func (p *Plan) dropAll() {
	for i := range p.calls {
		p.actions = append(p.actions, Action{Kind: CancelCall, Call: p.calls[i].id})
		p.unseen.abandon(p.calls[i].id, p.now)
	}
	p.calls = p.calls[:0]
}

// watching returns the newest watch in progress; nil without one.
func (p *Plan) watching() *call {
	for i := len(p.calls) - 1; i >= 0; i-- {
		if p.calls[i].role == watch {
			return &p.calls[i]
		}
	}
	return nil
}

// shortCallPending reports whether a call other than a watch is in progress.
func (p *Plan) shortCallPending() bool {
	for i := range p.calls {
		if p.calls[i].role != watch {
			return true
		}
	}
	return false
}

func (p *Plan) find(id int) int {
	for i := range p.calls {
		if p.calls[i].id == id {
			return i
		}
	}
	return -1
}
