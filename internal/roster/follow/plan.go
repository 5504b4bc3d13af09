// Package follow decides how the list of servers is followed: when discovery is called and for how long, when a call is given up, when
// it is made again, and until when what is held is all that counts as told. It owns every pause and every bound of that, and
// knows no socket, no goroutine and no clock: Handle takes an event with its time and returns what to do. Two plans that are told the same
// do the same, so that each order of events can be played.
//
// One call, the watch, waits at discovery for news. Beside it short calls, the proofs, ask at intervals whether there are any: a
// watch that has fallen silent shows in that a proof knows more. What discovery may have told and we have not had is a debt, with the
// time at which it counts as told (debts.go). Where the calls of a whole fleet fall is in spread.go.
// Begin with Plan.Handle.
package follow

import "time"

// The figures of the users' pages.
const (
	waitOver  = 2 * time.Second // after the wait of a call, what it had to tell counts as told
	listedBy  = 6 * time.Second // ... and so long after a call that does not wait, or after it fell silent
	failedAsk = 4               // so many limits for asking after a call that failed
)

const (
	// Hold is how long a watch waits at discovery: what a silent one misses counts as told after that, so that there is time for
	// many proofs.
	Hold = 40 * time.Second
	// ProofHold is the wait of a proof: as good as none, but its answer holds only what has changed.
	ProofHold = time.Millisecond

	// A discovery that can't serve a call says so after two seconds; what takes longer has fallen silent.
	// Where that is how discovery is, calls wait longer after a failure.
	silentCall = 2500 * time.Millisecond
	slowCall   = 5 * time.Second
	lateWatch  = 300 * time.Millisecond // beyond its wait; then a proof tells
	// Silence within an answer ends it: what stops short of its end has been told.
	silentAnswer = 500 * time.Millisecond
	// A watch so old is made anew beside the old one once a proof has shown that there is no news.
	oldWatch = 20 * time.Second
	urgent   = 3 * time.Second // before a debt is due its proof is not put off
	// A call that comes within 200 ms of an answer goes on with its watch, and what has changed in between counts as told at once: calls
	// come with the answer or after that.
	sameWatch = 210 * time.Millisecond
	leastGap  = 100 * time.Millisecond // between calls to an agent, who may answer at once each time
	// mostFence bounds how long after a debt was due nothing is sent, in limits for asking: after it what is held is used again, as a
	// discovery that answers nobody for so long must not end the service.
	mostFence = 0.5
	noAsk     = 10 * time.Second // the limit where the settings give none
)

// Kind says what happened.
type Kind uint8

// The events. Those from Byte to Unreached are of a call that is out; of any other they are ignored.
const (
	Begun     Kind = iota // following begins
	Tick                  // the time of Next has come; it may have passed long ago
	Byte                  // something of the answer has come
	Whole                 // the whole of it, and it can be read: Revision, Complete
	Spoilt                // it ended or was reset after its first byte, or it can't be read
	Cut                   // the connection ended or was reset before a byte
	Turned                // an answer that holds no list, as by a discovery that is busy or down
	Unreached             // no connection came up
	Moved                 // discovery is at another address: calls that are out are void
)

// Event is something that happened.
type Event struct {
	Kind     Kind
	Call     int
	Revision int64
	Complete bool
}

// Deed says what to do.
type Deed uint8

// The deeds.
const (
	Call Deed = iota // begin call Call: from revision From, waiting Hold; From -1: the whole list, without waiting
	Drop             // give call Call up
	Take             // the answer of call Call is the list now
	Fail             // call Call has failed, for the log
)

// Action is one thing to do, in the order given.
type Action struct {
	Deed Deed
	Call int
	From int64
	Hold time.Duration
}

// Config is what a plan goes by.
type Config struct {
	Number, Sidecars int           // this sidecar's, and how many ask the same discovery; 0: not known
	Pushed           bool          // the address is an agent's, beside this sidecar: it answers at once and costs nobody anything
	AskWithin        time.Duration // the limit for asking; 0: none
	Held             bool          // a list is held, of Revision
	Revision         int64
}

// role is what a call is for.
type role uint8

const (
	watch role = iota // waits for news
	proof             // asks whether there are any
	whole             // asks for all
)

type call struct {
	id       int
	role     role
	began    time.Duration
	heard    bool // something of its answer has come
	late     bool // a watch whose wait is over
	lastByte time.Duration
}

// Plan follows one list. It is not safe for concurrent use. It holds two watches and one other call at most, and three debts more
// than calls.
type Plan struct {
	cfg    Config
	spread spread

	now      time.Duration
	out      []Action
	calls    []call // that are out
	lastID   int
	held     bool
	revision int64

	askAt   time.Duration // when the next call begins that is no answer's sequel; never: none is due
	fails   int           // calls in a row that failed
	debts   debts
	failed  bool          // the last call was turned away, or reached nobody
	lastAsk time.Duration // when the last call began
	begun   bool

	answeredAt time.Duration // whole
	moved      bool          // to an address that has not answered yet
}

const never = time.Duration(1<<63 - 1)

// New returns a plan that waits for Begun.
func New(cfg Config) *Plan {
	if cfg.AskWithin <= 0 {
		cfg.AskWithin = noAsk
	}
	return &Plan{cfg: cfg, spread: newSpread(cfg), held: cfg.Held, revision: cfg.Revision, askAt: never, answeredAt: -sameWatch}
}

// Handle takes one event and returns what to do. The actions are valid until the next call.
func (p *Plan) Handle(now time.Duration, ev Event) []Action {
	p.now, p.out = max(now, p.now), p.out[:0]
	switch ev.Kind {
	case Begun:
		p.begun, p.lastAsk = true, p.now
		p.askAt = p.now + p.spread.first()
	case Moved:
		p.move()
	case Tick:
	default:
		p.onCall(ev)
	}
	if p.begun {
		p.pass()
	}
	return p.out
}

// Next is when a Tick is wanted.
func (p *Plan) Next() time.Duration {
	next := p.askAt
	for i := range p.calls {
		next = min(next, p.givenUp(&p.calls[i]))
	}
	return next
}

// Valid is until when what is held is all that counts as told: from then on nothing is to be sent to a server of the list, until it has
// moved on. Where a service would end by that, it holds again at Lapsed.
func (p *Plan) Valid() (until, lapsed time.Duration) {
	until = p.debts.due()
	if p.watching() == nil && p.begun && !p.cfg.Pushed { // without a watch the limit for asking holds
		limit := p.lastAsk + p.cfg.AskWithin
		if p.failed {
			limit = p.lastAsk + failedAsk*p.cfg.AskWithin
		}
		until = min(until, limit)
	}
	if until == never {
		return never, never
	}
	return until, until + time.Duration(mostFence*float64(p.cfg.AskWithin))
}

func (p *Plan) move() {
	for i := range p.calls {
		p.out = append(p.out, Action{Deed: Drop, Call: p.calls[i].id})
	}
	// Revisions are each address's own, so that the next one has to tell its whole list first.
	for _, c := range p.calls {
		p.debts.left(c.id, p.now)
	}
	p.calls, p.held, p.fails, p.failed, p.moved = p.calls[:0], false, 0, false, true
	if p.begun {
		p.askAt = p.now
	}
}

func (p *Plan) onCall(ev Event) {
	at := p.find(ev.Call)
	if at < 0 {
		return
	}
	c := p.calls[at]
	if ev.Kind == Byte {
		if !c.heard && c.role != whole { // its wait is over
			p.debts.hasten(c, p.now+waitOver)
		}
		p.calls[at].heard, p.calls[at].lastByte = true, p.now
		return
	}
	p.calls = append(p.calls[:at], p.calls[at+1:]...)
	switch ev.Kind {
	case Whole:
		p.answered(c, ev)
	case Spoilt, Cut:
		p.spoilt(c)
	case Turned, Unreached:
		p.debts.end(c.id) // what discovery has ended with a word has told all that it had
		if ev.Kind == Unreached {
			p.debts.forgive()
		}
		p.failed = true
		p.miss(c)
	}
}

// answered takes in a whole list.
func (p *Plan) answered(c call, ev Event) {
	if p.held && c.role != whole && !ev.Complete && ev.Revision < p.revision {
		// Changes to an older list than the one held: discovery has lost its place, and only a whole list helps.
		// What it counts as told is not had, and what other calls have asked from means nothing any more.
		p.debts.hasten(c, p.now+waitOver)
		p.debts.left(c.id, p.now)
		p.dropAll()
		p.held, p.askAt = false, p.now
		return
	}
	news := !p.held || ev.Revision != p.revision || c.role == whole
	p.held, p.revision, p.fails, p.failed, p.moved = true, ev.Revision, 0, false, false
	p.answeredAt = p.now
	p.debts.settle(c)
	p.out = append(p.out, Action{Deed: Take, Call: c.id})
	if news { // a watch that is out asked from before, or has fallen silent
		p.dropAll()
	} else if c.role == watch && p.now-c.began < leastGap {
		p.askAt = c.began + leastGap
		return
	}
	if w := p.watching(); w == nil || p.now-w.began >= oldWatch {
		p.begin(watch)
	}
	p.askAt = min(p.now+p.spread.proof(), max(p.now+sameWatch, p.debts.due()-urgent))
}

// spoilt: discovery has begun to answer, or has cut the call off. What it was to tell counts as told soon, and may be a drain.
func (p *Plan) spoilt(c call) {
	if !c.heard && c.role != whole {
		p.debts.hasten(c, p.now+waitOver)
		p.debts.cut(c.id)
	}
	p.debts.left(c.id, p.now)
	p.out = append(p.out, Action{Deed: Fail, Call: c.id})
	p.failed = false
	p.askAt = min(p.askAt, p.now+p.spread.hurry(p.fails))
	p.fails++
}

// miss: a call has failed, and has told nothing.
func (p *Plan) miss(c call) {
	p.out = append(p.out, Action{Deed: Fail, Call: c.id})
	wait := p.spread.again(p.fails, p.moved)
	if due := p.debts.dueSoonest(); due-p.now < urgent+wait {
		wait = min(wait, max(due-p.now-urgent, p.spread.hurry(p.fails)))
	}
	p.askAt = p.now + wait
	p.fails++
}

// pass gives up what is out for too long and begins what is due.
func (p *Plan) pass() {
	for i := 0; i < len(p.calls); i++ {
		c := p.calls[i]
		if p.now < p.givenUp(&c) {
			continue
		}
		if c.role == watch && !c.heard && !c.late && p.now >= c.began+Hold {
			p.calls[i].late = true
			p.askAt = min(p.askAt, p.now+p.spread.hurry(0))
			i--
			continue
		}
		p.calls = append(p.calls[:i], p.calls[i+1:]...)
		i--
		p.out = append(p.out, Action{Deed: Drop, Call: c.id})
		switch {
		case c.heard:
			p.spoilt(c)
		case c.role == watch && p.watching() != nil:
			p.debts.left(c.id, p.now)
		default:
			p.debts.left(c.id, p.now)
			p.failed = false
			p.miss(c)
		}
	}
	if p.now < p.askAt {
		return
	}
	if again := p.answeredAt + sameWatch; !p.cfg.Pushed && p.answeredAt < p.now && p.now < again {
		p.askAt = again
		return
	}
	p.askAt = never
	switch {
	case p.busy(): // its end brings the next
	case !p.held:
		p.begin(whole)
	case p.watching() == nil && p.debts.none():
		p.begin(watch)
	default:
		p.begin(proof)
	}
	if p.askAt == never && !p.busy() {
		p.askAt = p.now + p.spread.proof()
	}
}

// begin makes a call.
func (p *Plan) begin(r role) {
	p.lastID++
	c := call{id: p.lastID, role: r, began: p.now}
	p.calls = append(p.calls, c)
	p.lastAsk = p.now
	a := Action{Deed: Call, Call: c.id, From: p.revision, Hold: Hold}
	switch r {
	case proof:
		a.Hold = ProofHold
	case whole:
		a.From, a.Hold = -1, 0
	}
	p.out = append(p.out, a)
	if !p.cfg.Pushed {
		p.debts.open(c)
	}
}

// givenUp is when a call is given up. An older watch goes once the one after it would have been turned away.
func (p *Plan) givenUp(c *call) time.Duration {
	end := c.began + silentCall
	if p.fails > 0 {
		end = c.began + slowCall
	}
	if c.role == watch {
		end = c.began + Hold + lateWatch
		if c.late {
			end = c.began + Hold + slowCall
		}
		if w := p.watching(); w != nil && w.id != c.id {
			end = min(end, w.began+silentCall)
		}
	}
	if c.heard {
		end = min(end, c.lastByte+silentAnswer)
	}
	return end
}

// dropAll gives up all that is out: it asked from an older list.
func (p *Plan) dropAll() {
	for i := range p.calls {
		p.out = append(p.out, Action{Deed: Drop, Call: p.calls[i].id})
		p.debts.left(p.calls[i].id, p.now)
	}
	p.calls = p.calls[:0]
}

// watching returns the latest watch that is out.
func (p *Plan) watching() *call {
	for i := len(p.calls) - 1; i >= 0; i-- {
		if p.calls[i].role == watch {
			return &p.calls[i]
		}
	}
	return nil
}

// busy reports whether a call is out that will be answered, or given up, soon.
func (p *Plan) busy() bool {
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
