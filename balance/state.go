package balance

// This file holds what a balancer remembers, Handle and small helpers; no decisions.

import (
	"fmt"
	"math"
	"sort"
)

// listTimer is the token of the discovery timer; requests use their ID (below 2^52).
const listTimer = 1 << 60

// Balancer is one sidecar's decision maker. It is not safe for concurrent use.
type Balancer struct {
	cfg        Config
	rng        uint64
	now        float64
	started    float64
	longestAim float64 // of all classes
	out        []Action

	servers []*server // those listed, in order of ID
	byID    map[ServerID]*server
	level   float64       // running value of the last winner
	local   float64       // ServerList's Favour
	pool    float64       // sum of shares at the last first pick
	kinds   map[int]*size // learned size by kind
	zones   map[int]*size // ... and by zone
	learned float64       // times learn was called
	drift   float64       // mean step of learn
	asks    int           // failed list calls in a row
	endsAt  float64       // by then all has to be answered; +Inf: no end is known

	live    int // attempts
	reqs    map[RequestID]*request
	holding []*request // that wait for probes
	classes []classStats
	busy    float64 // recent part of probed servers that held anything
	perHeld float64 // time of an answer for each request its server held, itself included
	tenants []tally // the last is for requests without a tenant

	admitted                  float64 // when the last request came
	steady                    float64 // part of the load that is refused lastingly
	slowness, slowN, quickest float64 // recent and least mean time of answers, as a part of their aim
	answers                   float64 // recent answers, decaying; see pace
	latest                    float64 // answers of about the last aim
	answersAt                 float64
	lateShare                 float64 // recent part of answers after their aim
	unconnected               float64 // recent part of attempts without a connection
	answeredAt                float64 // when the last answer came
	lost                      float64 // overdue attempts, each as one over its aim
}

// server is what this sidecar knows of one server.
type server struct {
	Server
	running  float64 // SWRR running value
	phased   bool    // it has its random start
	wasCold  bool    // ... which it got when it was cold
	share    float64 // part of the fleet's capacity, in the unit of weights
	weight   float64 // in the current pick; 0: not in it
	known    bool    // in the current pick: what it holds is known as well as can be
	size     size    // learned, beyond its kind's and zone's
	kind     *size
	zone     *size
	inFlight int     // own attempts
	load     float64 // ... each as one over its aim

	conns     int     // connections that are likely to be open: the most attempts of late
	usedAt    float64 // when the last attempt was sent; +Inf: no connection is open
	errs      int     // consecutive errors
	lastErr   float64
	restUntil float64 // 0: not rested
	rests     int
	dark      bool // the last probe got no answer
	downs     int  // attempts in a row that could not connect

	verdicts []verdict // by class

	coldSince float64 // start of its warm-up
	tokens    float64 // sends left in the cold budget
	tokensAt  float64

	probing    bool
	reported   float64 // requests it held at the last report
	reportedAt float64
	sentSince  float64 // own sends since
}

// size is a learned factor of capacity. Its exponential is kept: with hundreds of servers, taking it for each
// at each pick cost more CPU than all the rest.
type size struct{ log, factor float64 }

func (z *size) move(step, gain float64) {
	z.log = bound(z.log*(1-leak*gain)+step, -maxSize, maxSize)
	z.factor = math.Exp(z.log)
}

// group returns the size of a kind or zone, which may be new.
func (b *Balancer) group(all map[int]*size, key int) *size {
	if all[key] == nil {
		all[key] = &size{factor: 1}
	}
	return all[key]
}

// verdict is how one class fared at one server lately: 1 served, 0 failed, averaged.
type verdict struct{ score, at, running float64 }

// startTurns gives a class that just got into trouble the turns of all servers as its own.
func (b *Balancer) startTurns(r *request) {
	for _, s := range b.servers {
		if !b.troubled(r) {
			s.verdicts[r.Class].running = s.running
		}
	}
}

// rating is 1 where nothing is known.
func (s *server) rating() float64 {
	if s.Rating > 0 {
		return s.Rating
	}
	return 1
}

// pardon clears what was held against a server.
func (s *server) pardon() {
	s.errs, s.rests, s.restUntil, s.downs, s.dark = 0, 0, 0, 0, false
}

type attempt struct {
	s       *server
	sent    float64
	live    bool
	clean   bool // proved never to have run
	cut     bool // its connection was reset
	unmet   bool // the server never saw it
	overdue bool
	coming  bool    // the body is still on its way: neither time nor load counts
	held    float64 // what the server held before, by a fresh report; else -1
}

type request struct {
	Request
	class     *Class
	stats     *classStats
	tenant    *tally
	arrived   float64
	deadline  float64
	tries     []attempt
	live      int
	done      bool
	stream    bool
	spent     bool      // its body is gone
	again     bool      // who has turned it away ahead of a server may be asked once more
	wakeAt    float64   // when its next timer comes
	probed    []*server // asked before the first send
	holdUntil float64
}

// mayHaveRun: an attempt is out, or ended without proof that it never ran.
func (r *request) mayHaveRun() bool {
	for i := range r.tries {
		if !r.tries[i].clean {
			return true
		}
	}
	return false
}

// spentOrAged tells why a request is hopeless, for records.
func (r *request) spentOrAged() Why {
	if len(r.tries) > 0 {
		return Spent
	}
	return Aged
}

// met counts the tries that a server may have seen.
func (r *request) met() int {
	n := 0
	for i := range r.tries {
		if !r.tries[i].unmet {
			n++
		}
	}
	return n
}

// cuts counts the tries whose connections were reset.
func (r *request) cuts() int {
	n := 0
	for i := range r.tries {
		if r.tries[i].cut {
			n++
		}
	}
	return n
}

func (r *request) hasProbed(s *server) bool {
	for _, p := range r.probed {
		if p == s {
			return true
		}
	}
	return false
}

// classStats follows how long answers of a class take, and counts its requests.
type classStats struct {
	tally
	n, mean, dev, longest, worth float64
	failedAt                     float64 // when a server last failed it
	expected                     float64 // part of it that servers serve, on the mean
}

// tally counts the requests of a class or tenant. It starts at 1, so that it is never 0.
type tally struct{ asked, share float64 }

// asked counts all requests of this sidecar.
func (b *Balancer) asked() float64 {
	sum := 0.0
	for c := range b.classes {
		sum += b.classes[c].asked
	}
	return sum
}

// tenant returns the tally of a tenant; the last is for requests without one.
func (b *Balancer) tenant(i int) *tally {
	if i < 0 || i >= len(b.cfg.Tenants) {
		i = len(b.cfg.Tenants)
	}
	return &b.tenants[i]
}

func (c *classStats) add(took, gain float64) {
	c.n = min(c.n+1, 300)
	gain = max(gain, 1/c.n)
	c.mean += (took - c.mean) * gain
	c.dev += (math.Abs(took-c.mean) - c.dev) * gain
}

// New returns a balancer with the given settings; Start begins its life.
func New(cfg Config) *Balancer {
	b := &Balancer{
		cfg: cfg, rng: cfg.Seed, byID: map[ServerID]*server{}, reqs: map[RequestID]*request{},
		classes: make([]classStats, len(cfg.Classes)), tenants: make([]tally, len(cfg.Tenants)+1),
		kinds: map[int]*size{}, zones: map[int]*size{}, longestAim: 1, quickest: startAim, slowness: startAim, busy: 1, level: 1,
		endsAt: math.Inf(1),
	}
	for i := range cfg.Classes {
		b.longestAim = max(b.longestAim, cfg.Classes[i].Aim)
		b.classes[i].tally, b.classes[i].worth = tally{asked: 1}, cfg.Classes[i].Worth
		b.classes[i].failedAt, b.classes[i].expected = math.Inf(-1), 1
	}
	b.perHeld = startAim * b.longestAim
	for i := range b.tenants {
		b.tenants[i] = tally{asked: 1}
		if i < len(cfg.Tenants) {
			b.tenants[i].share = cfg.Tenants[i].Share
		}
	}
	if cfg.Goal == (Goal{}) {
		b.cfg.Goal.Whole = 1
	}
	return b
}

// Extend adds a class, whose number is how many there were before.
func (b *Balancer) Extend(c Class) {
	b.cfg.Classes = append(b.cfg.Classes, c)
	b.classes = append(b.classes, classStats{
		tally: tally{asked: 1}, worth: c.Worth, failedAt: math.Inf(-1), expected: 1,
	})
	b.longestAim = max(b.longestAim, c.Aim)
	for _, s := range b.servers {
		s.verdicts = append(s.verdicts, verdict{at: math.Inf(-1)})
	}
	for _, r := range b.reqs { // what they point at may have moved
		r.class, r.stats = &b.cfg.Classes[r.Class], &b.classes[r.Class]
	}
}

// Start begins the balancer's life. The actions are valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now, b.started, b.out = now, now, b.out[:0]
	if b.cfg.Subscribe {
		b.askFirst()
	}
	return b.out
}

// Handle takes one event and returns what to do. The actions are valid until the next call.
// An error means that the event cannot be; the balancer is unchanged.
func (b *Balancer) Handle(now float64, ev Event) ([]Action, error) {
	b.now, b.out = now, b.out[:0]
	var err error
	switch ev := ev.(type) {
	case Request:
		err = b.onRequest(ev)
	case Outcome:
		err = b.onOutcome(ev)
	case Timer:
		b.onTimer(ev)
	case ServerList:
		b.onList(ev)
	case ProbeResult:
		b.onProbe(ev)
	case HangUp:
		if r := b.reqs[ev.Request]; r != nil {
			b.close(r)
		}
	case Started:
		b.onStarted(ev)
	case Sent:
		b.onSent(ev)
	case Ending:
		b.onEnding(ev)
	}
	return b.out, err
}

// Rests reports whether the balancer now keeps first sends from a listed server because of what became of earlier ones.
func (b *Balancer) Rests(id ServerID, now float64) bool {
	s := b.byID[id]
	return s != nil && now < s.restUntil
}

func (b *Balancer) emit(a Action) { b.out = append(b.out, a) }

// random is splitmix64 from the seed.
func (b *Balancer) random() float64 {
	b.rng += 0x9e3779b97f4a7c15
	z := b.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

func bound(v, least, most float64) float64 { return max(least, min(most, v)) }

func (b *Balancer) onOutcome(ev Outcome) error {
	r, a, err := b.settle(ev)
	if err != nil {
		return err
	}
	b.judge(r, a, ev)
	r.spent = r.spent || ev.Spent
	if r.done || ev.Finished || r.stream {
		b.close(r)
	}
	b.step(r)
	return nil
}

func (b *Balancer) onList(ev ServerList) {
	if ev.Kind == ListFailed {
		b.askAgain()
		return
	}
	if ev.Kind != ListDelta {
		b.markUnlisted(ev.Servers)
		b.local = ev.Favour
	}
	if ev.Kind != ListCached {
		b.asks = 0
	}
	for i := range ev.Servers {
		if e := &ev.Servers[i]; e.State != Gone || b.byID[e.ID] != nil {
			b.update(e)
		}
	}
	b.dropGone()
}

func (b *Balancer) onTimer(ev Timer) {
	if ev.Token == listTimer {
		b.emit(Action{Kind: Watch})
	} else if r := b.reqs[RequestID(ev.Token)]; r != nil {
		r.wakeAt = math.Inf(1) // not compared with the clock: a timer may come a rounding error early
		b.step(r)
	}
}

func (b *Balancer) onStarted(ev Started) {
	if r := b.reqs[ev.Request]; r != nil && !r.done && !r.stream {
		r.stream = true // the client owns it now: no deadline, no repeat
		b.cancelOthers(r, ev.Attempt)
	}
}

// onSent starts the clock of an upload.
func (b *Balancer) onSent(ev Sent) {
	r := b.reqs[ev.Request]
	if r == nil || r.done || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].coming {
		return
	}
	a := &r.tries[ev.Attempt]
	a.coming, a.sent = false, b.now
	a.s.load += 1 / r.class.Aim
	r.arrived, r.deadline = b.now, min(b.now+r.Remaining, b.endsAt)
	b.wake(r)
}

// onEnding cuts the time of what is open; open does so with what comes.
func (b *Balancer) onEnding(ev Ending) {
	b.endsAt = b.now + max(0, ev.Within)
	var cut []*request
	for _, r := range b.reqs {
		if !r.done && !r.stream && r.deadline > b.endsAt {
			cut = append(cut, r)
		}
	}
	sort.Slice(cut, func(i, j int) bool { return cut[i].ID < cut[j].ID })
	for _, r := range cut {
		r.deadline = b.endsAt
		b.wake(r)
	}
}

func (b *Balancer) cancelOthers(r *request, keep int) {
	for i := range r.tries {
		if r.tries[i].live && i != keep && b.cfg.Cancel {
			b.emit(Action{Kind: Cancel, Request: r.ID, Attempt: i})
		}
	}
}

// note takes in a load report.
func (b *Balancer) note(s *server, report []float32) {
	for i, f := range b.cfg.Fields {
		if i < len(report) && f == FieldInFlight {
			s.reported, s.reportedAt, s.sentSince = float64(report[i]), b.now, 0
			b.busy += (min(s.reported, 1) - b.busy) / recent
		}
	}
}

// markUnlisted: what a full list does not name is gone.
func (b *Balancer) markUnlisted(entries []Server) {
	listed := make(map[ServerID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, s := range b.servers {
		if !listed[s.ID] {
			s.State = Gone
		}
	}
}

// dropGone forgets servers that are gone and keeps the others in order.
func (b *Balancer) dropGone() {
	kept := b.servers[:0]
	for _, s := range b.servers {
		if s.State != Gone {
			kept = append(kept, s)
		} else {
			delete(b.byID, s.ID)
		}
	}
	b.servers = kept
	sort.Slice(kept, func(i, j int) bool { return kept[i].ID < kept[j].ID })
}

// time follows how long answers take: as a part of their aim, with the least it has been, and for each
// request that the server held.
func (b *Balancer) time(a *attempt, took, aim float64) {
	if a.held >= 0 {
		b.perHeld += (took/(a.held+1) - b.perHeld) / recent
	}
	b.answeredAt = b.now
	b.countLate(took > aim)
	b.slowN = min(b.slowN+1, recent)
	b.slowness += (min(took/aim, 2) - b.slowness) * b.gain()
	if b.slowN == recent {
		b.quickest = min(b.quickest, b.slowness)
	}
}

// countLate follows the part of attempts that end after their aim.
func (b *Balancer) countLate(late bool) {
	b.lateShare -= b.lateShare * b.gain()
	if late {
		b.lateShare += b.gain()
	}
}

// stepHeld takes up the requests that wait for probes and keeps those that still do.
func (b *Balancer) stepHeld() {
	held := b.holding
	b.holding = held[:0]
	for _, r := range held {
		b.step(r)
		if !r.done && r.holdUntil > b.now {
			b.holding = append(b.holding, r)
		}
	}
}

// close marks a request as answered and gives up what is still out for it.
func (b *Balancer) close(r *request) {
	r.done = true
	b.cancelOthers(r, -1)
	if r.live == 0 {
		delete(b.reqs, r.ID)
	}
}

// open remembers a new request.
func (b *Balancer) open(ev Request) *request {
	r := &request{
		Request: ev, class: &b.cfg.Classes[ev.Class], stats: &b.classes[ev.Class],
		tenant: b.tenant(ev.Tenant), arrived: b.now, deadline: b.now + ev.Remaining, wakeAt: math.Inf(1),
	}
	if r.Upload {
		r.deadline = math.Inf(1)
	}
	r.deadline = min(r.deadline, b.endsAt)
	b.reqs[ev.ID] = r
	r.stats.asked++
	r.tenant.asked++
	return r
}

// lose moves an overdue attempt from its server's load to what may be lost, or back.
func (b *Balancer) lose(r *request, a *attempt, n float64) {
	a.s.load -= n / r.class.Aim
	b.lost += n / r.class.Aim
}

// keeps reports whether a connection to the server is likely to be open, and free where a sidecar has fewer requests out than there
// are servers. With more, busy connections are the rule, and tell of the servers' sizes.
func (b *Balancer) keeps(s *server) bool {
	open := s.usedAt <= b.now && b.now < s.usedAt+b.cfg.ConnIdle
	return open && (b.cfg.Streams != 1 || b.live >= len(b.servers) || s.inFlight < s.conns)
}

// settle ends an attempt and returns it with its request.
func (b *Balancer) settle(ev Outcome) (*request, *attempt, error) {
	r := b.reqs[ev.Request]
	if r == nil || ev.Attempt >= len(r.tries) || !r.tries[ev.Attempt].live {
		return nil, nil, fmt.Errorf("outcome of request %d, attempt %d, which is not out", ev.Request, ev.Attempt)
	}
	a := &r.tries[ev.Attempt]
	a.live, a.clean = false, ev.Result.NeverRan()
	a.unmet = ev.Unmet || b.cfg.LastHop && (ev.Result == ConnectFailed || ev.Result == Moot) // no server has seen it
	a.cut = ev.Result == Reset
	a.s.inFlight--
	b.live--
	if ev.Result != OK && ev.Result != Failed && ev.Result != Full && a.s.conns > 0 { // its connection is gone
		a.s.conns--
	}
	if a.overdue {
		b.lose(r, a, -1)
	}
	if !a.coming {
		a.s.load -= 1 / r.class.Aim
	}
	r.live--
	b.note(a.s, ev.Report)
	b.unconnected -= b.unconnected / (recent / 2)
	if ev.Result == ConnectFailed {
		b.unconnected += 1. / (recent / 2)
	}
	return r, a, nil
}

// server returns the server of a list entry, which may be new.
func (b *Balancer) server(entry *Server) *server {
	s := b.byID[entry.ID]
	if s == nil {
		s = &server{size: size{factor: 1}, coldSince: math.Inf(-1), usedAt: math.Inf(1)}
		s.verdicts = make([]verdict, len(b.cfg.Classes))
		for c := range s.verdicts {
			s.verdicts[c].at = math.Inf(-1)
		}
		b.byID[entry.ID] = s
		b.servers = append(b.servers, s)
	}
	return s
}

// send makes an attempt and counts it.
func (b *Balancer) send(r *request, s *server) {
	held := -1.0
	if b.fresh(s) {
		held = b.holds(s)
	}
	s.tokens--
	if s.inFlight == 0 && b.now >= s.usedAt+b.cfg.ConnIdle {
		s.conns = 0
	}
	s.inFlight++
	b.live++
	s.conns = max(s.conns, s.inFlight)
	s.usedAt = b.now
	s.sentSince++
	if !r.Upload {
		s.load += 1 / r.class.Aim
	}
	r.live++
	r.tries = append(r.tries, attempt{s: s, sent: b.now, live: true, held: held, coming: r.Upload})
	b.emit(Action{Kind: Send, Request: r.ID, Server: s.ID})
}
