// Package balance takes the decisions of one sidecar's load balancer: which server gets a request, when it
// is tried again, when it is refused. What goes in and out is in api.go; what is remembered, and Handle,
// which calls the functions below, in state.go. The mechanism is AWRR: each server has a
// multiplier m that falls with its consecutive errors and recovers with time; smooth weighted round robin
// over size × m picks the server; a failed repeatable request goes to the untried server of highest m.
package balance

import (
	"fmt"
	"math"
)

const (
	halfLife   = 5000  // ms; errors lose half their weight in this time: troubles last seconds, not minutes
	slope      = 0.2   // m lost for each consecutive error
	floorM     = 0.25  // m never falls below this, so that a recovered server is found again
	lateDevs   = 4     // mean deviations above the mean of its class at which an attempt is overdue
	classLife  = 15000 // ms; time constant of how a class fared at a server: a trickle comes back so seldom
	classStep  = 0.6   // ... and step for each outcome
	floorTrust = 0.03  // a class is not kept from a server wholly, so that its recovery is found
	strikes    = 3     // consecutive errors before a server is rested
	learnTime  = 1000  // ms in which sizes move by what answers deviate, however many answers there are
	learnLeast = 0.01  // ... each by this much at least
	learnMost  = 0.2   // ... and at most: answers scatter
	leak       = 0.1   // sizes return to 1 at this part of that: without, they ran to their bounds
	maxSize    = 2.5   // bound of each learned logarithm of size
	headroom   = 0.4   // a server above this multiple of its share of the requests in flight is passed over
	maxRepeats = 1     // re-routes of a request: more of them multiply the load when it is too high already
	maxCuts    = 3     // ... but not where connections were reset, which tells of no load
	goneAfter  = 2     // connect failures in a row that tell of a server gone: one is chance
	comeback   = 1000  // ms; ... and so does one if no answer comes for so long
	spareAim   = 0.25  // part of the aim beyond the quickest answers that queues may take: else load is shed
	startAim   = 0.33  // held to be the quickest until answers tell
	recent     = 50    // answers or reports over which a mean is taken
	shedNow    = 4     // part of the load to shed at once, per aim that answers take too long
	shedRate   = 0.04  // ... and lastingly, more for each request
	shedAims   = 2     // ... or as time passes, where requests are few: so many of the longest aims
	shedMost   = 0.5   // ... but no more than this at once
	shedLate   = 3     // times the part of late answers: more is not shed, as no more can be won
	maxShed    = 0.95  // never all: answers are needed to see that the load is gone
	paceAims   = 8     // span of the rate of answers, in longest aims
	fewAnswers = 15    // assumed beside the recent answers: a sidecar of few requests does not shed by chance
	fairBound  = 2     // a tenant counts as at most this far under its share
	alike      = 1.25  // values within this factor are shed alike, so that no tenant pays for a tiny excess
	probeSpend = 0.03  // part of the result that probes for each request may cost
	probeAims  = 0.05  // part of the aim that a first send waits for probes, and that reports are believed
	probedAim  = 0.75  // part of the aim within which the best probed server must be expected to answer
	allBusy    = 0.01  // chance that all probed servers are busy, at which no more are probed
	zoneFavour = 85    // squared with the price of crossing zones: weight added to a server of the own zone
	reuse      = 4000  // weight added to a server with an open connection, times the price of a new one
	scarce     = 50    // ... and times the part of recent attempts that got no connection: tables are full
	holdOff    = 0.1   // part of the aim for which a refused client is asked to stay away
	askPause   = 500   // ms before a failed list call is made again, at most; doubles each time
	askEach    = 50    // ... and so much more for each sidecar beyond few: all fail together
	askLeast   = 0.33  // of the limit for asking that the pause takes at most, where there are few sidecars
	askMost    = 0.7   // ... and where there are many; the call itself waits, too
	fewPeers   = 20    // sidecars that may all ask at once
	manyPeers  = 100   // ... times these parts are those between
	firstAsk   = 2000  // ms after the start by when a sidecar of many has asked
)

func (b *Balancer) onRequest(ev Request) error {
	if ev.Class < 0 || ev.Class >= len(b.cfg.Classes) {
		return fmt.Errorf("request %d: unknown class %d", ev.ID, ev.Class)
	}
	r := b.open(ev)
	if b.admit(r) {
		b.probeFor(r)
		b.step(r)
	} else {
		b.answer(r, Shed)
	}
	return nil
}

// admit sheds what the fleet cannot answer within the aims, before it is sent. Attempts in flight over the
// rate of answers tell how long answers take (Little's law). Answers assumed beside, most of what a trickle
// sidecar has, take as long as recent ones: by the one or two in flight alone it shed nothing or all.
func (b *Balancer) admit(r *request) bool {
	full := b.quickest + spareAim*(1-b.quickest)
	fade := math.Exp((b.answeredAt - b.now) / max(paceAims*b.longestAim, halfLife)) // a jam is forgotten
	slow := b.quickest + (b.slowness-b.quickest)*fade
	crowd := slow
	if b.cfg.Reports == ReportProbe {
		crowd = 0 // crowded refuses by what probes tell
	}
	lost := b.lost * bound(4*(slow/full-1), 0, 1) // overdue while answers are quick: no load
	took := (b.openLoad() + lost + crowd*fewAnswers/paceAims/b.longestAim) / b.pace(0, fewAnswers)
	over := min(took, 2) - full
	rate := bound((b.now-b.admitted)/shedAims/b.longestAim, shedRate, shedMost)
	b.admitted = b.now
	b.steady = bound(b.steady+rate*over, 0, min(maxShed, shedLate*b.lateShare*fade))
	shed := bound(b.steady+shedNow*over, 0, min(maxShed, 2*b.steady)) // not by chance alone
	tooLate := b.late(r) && b.steady >= r.class.LateWorth
	return !tooLate && (shed == 0 || b.random() >= b.shedPart(r, shed))
}

// late: a client's later try whose aim has passed already; the time left is less than that of first tries.
func (b *Balancer) late(r *request) bool {
	r.stats.longest = max(r.stats.longest, r.Remaining)
	return r.Remaining < 0.99*r.stats.longest && r.Remaining <= r.class.Deadline-r.class.Aim
}

// openLoad is what is in flight, each attempt as one over its aim; what hangs at resting servers is theirs.
func (b *Balancer) openLoad() float64 {
	load := 0.0
	for _, s := range b.servers {
		if s.restUntil == 0 {
			load += s.load
		}
	}
	return load
}

// pace counts answers and returns their rate a millisecond, over the last few of the longest aims and
// with some assumed; or over the last aim, where what is surely seen there is more: traffic may grow fast.
func (b *Balancer) pace(more, assumed float64) float64 {
	short, long := b.longestAim, paceAims*b.longestAim
	b.latest = b.latest*math.Exp((b.answersAt-b.now)/short) + more
	b.answers = b.answers*math.Exp((b.answersAt-b.now)/long) + more
	b.answersAt = b.now
	slow := (b.answers + assumed) / long / max(-math.Expm1((b.started-b.now)/long), 1e-3)
	return max(slow, (b.latest-2*math.Sqrt(b.latest))/short)
}

// shedPart spreads the load to shed over classes and tenants, those first whose answers add least worth for
// their work.
func (b *Balancer) shedPart(r *request, shed float64) float64 {
	asked := b.asked()
	value := func(class *classStats, tenant *tally) float64 {
		return class.worth * b.inShare(tenant, asked) / max(class.mean, 1e-3)
	}
	total, below, like, own := 0.0, 0.0, 1e-3, value(r.stats, r.tenant)
	for c := range b.classes {
		for t := range b.tenants {
			work := b.classes[c].asked * b.classes[c].mean * b.tenants[t].asked
			total += work
			if v := value(&b.classes[c], &b.tenants[t]); v*alike < own {
				below += work
			} else if v < own*alike {
				like += work
			}
		}
	}
	return (shed*total - below) / like
}

// inShare tells how much of a tenant's traffic counts in full, by its part of this sidecar's requests.
func (b *Balancer) inShare(t *tally, asked float64) float64 {
	if t.share <= 0 {
		return 1
	}
	return b.cfg.OverShareWorth + (1-b.cfg.OverShareWorth)*min(t.share*asked/t.asked, fairBound)
}

// probeFor asks the servers next in turn before a first send, where they tell what they hold only when
// probed; so many that hardly ever all are busy, within what that may cost.
func (b *Balancer) probeFor(r *request) {
	if !b.cfg.Probes || b.cfg.Reports != ReportProbe {
		return
	}
	most := probeSpend / max(b.cfg.Prices.Probe, 1e-3)
	fan := int(min(most, math.Ceil(math.Log(allBusy)/math.Log(bound(b.busy, 0.01, 0.99)))))
	for len(r.probed) < fan {
		var next *server
		for _, s := range b.servers {
			free := b.allowed(r, s) && !b.resting(s) && !r.hasProbed(s)
			if free && (next == nil || s.running > next.running) {
				next = s
			}
		}
		if next == nil {
			break
		}
		r.probed = append(r.probed, next)
		if !next.probing {
			next.probing = true
			b.emit(Action{Kind: Probe, Server: next.ID})
		}
	}
	if len(r.probed) > 0 {
		r.holdUntil = b.now + probeAims*r.class.Aim
		b.holding = append(b.holding, r)
	}
}

func (b *Balancer) onProbe(ev ProbeResult) {
	s := b.byID[ev.Server]
	if s == nil {
		return
	}
	s.probing = false
	if ev.Result != OK { // out of reach: the process may run, but nothing gets through from here
		b.rest(s)
		s.dark = true
	} else if b.note(s, ev.Report); s.dark {
		s.pardon()
	}
	b.stepHeld()
}

// held reports whether a request still waits for its probes; it never waits for long.
func (b *Balancer) held(r *request) bool {
	for _, s := range r.probed {
		if s.probing && b.now < r.holdUntil {
			return true
		}
	}
	r.holdUntil = 0
	return false
}

// step looks at a request afresh.
func (b *Balancer) step(r *request) {
	if r.done || r.stream {
		return
	}
	b.markOverdue(r)
	if b.now >= r.deadline {
		b.answer(r, Late)
		return
	}
	if r.live == 0 && b.hopeless(r) {
		b.answer(r, r.spentOrAged())
		return
	}
	if r.live == 0 && !b.held(r) {
		if s := b.pick(r, len(r.tries) > 0); s != nil && !b.crowded(r, s) {
			b.send(r, s)
		} else if s != nil {
			b.answer(r, Crowded)
			return
		}
	}
	b.wake(r)
}

// crowded: probes found no server that would answer in time; nothing was sent yet.
func (b *Balancer) crowded(r *request, s *server) bool {
	return len(r.tries) == 0 && b.fresh(s) && b.now+b.perHeld*(b.holds(s)+1) > r.arrived+probedAim*r.class.Aim
}

// hopeless: nothing more can be sent for the request, or it is no use to wait for a server.
func (b *Balancer) hopeless(r *request) bool {
	tries, cuts := len(r.tries), r.cuts()
	if r.spent || tries >= b.cfg.MaxAttempts || tries-cuts > maxRepeats || cuts > maxCuts || b.cutShort(r) {
		return true
	}
	for _, a := range r.tries {
		forgotten := r.class.Effect == Keyed && b.now >= a.sent+r.class.Window
		if !a.clean && (r.class.Effect == Unsafe || forgotten) {
			return true
		}
	}
	return b.now >= r.arrived+r.class.Aim && b.refusable(r)
}

// cutShort: the sidecar ends before an answer to a further attempt is to be expected.
func (b *Balancer) cutShort(r *request) bool {
	took := r.class.Aim / 2
	if r.stats.n >= 5 {
		took = r.stats.mean
	}
	return r.deadline == b.endsAt && b.now+took > b.endsAt
}

// answer ends a request unserved: refused where harmless, to come back soon but not at once; else failed.
func (b *Balancer) answer(r *request, why Why) {
	end := Action{Kind: Fail, Request: r.ID, Why: why}
	if b.refusable(r) {
		end.Kind, end.At = Refuse, min(holdOff*r.class.Aim, b.cfg.MaxRetryAfter)
	}
	b.emit(end)
	b.close(r)
}

// refusable guards against double effects: a refused request is tried again by its client.
func (b *Balancer) refusable(r *request) bool {
	anywhere := r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll
	return anywhere || !r.mayHaveRun()
}

// pick is the ordinary path: smooth weighted round robin over the servers that may have the
// request. A repeat goes to the healthiest untried one, which is charged in the rotation too.
func (b *Balancer) pick(r *request, repeat bool) *server {
	total, most := b.enter(r, repeat, false)
	if total == 0 { // all rest: the cause is hardly theirs
		total, most = b.enter(r, repeat, true)
	}
	var best *server
	bestOver := false
	for _, s := range b.servers {
		if s.weight == 0 || b.cold(s) && !b.coldBudget(s) {
			continue
		}
		// Bounded load: who holds more than its share is slow, hung or crowded; it keeps its running value.
		over := !s.known || s.probing || b.holds(s)+1 > math.Ceil(most*s.weight)
		if best == nil || bestOver && !over || over == bestOver && b.before(r, s, best, repeat, over) {
			best, bestOver = s, over
		}
	}
	if best != nil {
		turn := b.turn(r, best)
		b.level, *turn = *turn, max(*turn-1, -1)
	}
	return best
}

// enter sets weights and grows running values, and returns their sum and how much a server may hold for its
// weight. Running values count in turns and start anywhere in the turn before the last winner.
func (b *Balancer) enter(r *request, repeat, all bool) (total, most float64) {
	fresh, pool := false, 0.0
	b.expect(r)
	for _, s := range b.servers {
		s.weight = 0
		if !b.allowed(r, s) || b.resting(s) && !all {
			continue
		}
		s.share = b.capacity(s)
		s.weight = s.share * b.favour(s) * b.trust(r, s)
		total += s.weight
		pool += s.share
		s.known = b.fresh(s)
		fresh = fresh || s.known
	}
	if !repeat && total > 0 {
		b.pool = pool
	}
	held, shares := 1.0, 0.0
	for _, s := range b.servers {
		s.known = s.known || !fresh // without any report, the own requests in flight are all there is
		if s.weight > 0 && s.known {
			held += b.holds(s)
			shares += s.weight
		}
		if cold := b.cold(s); s.weight > 0 && (!s.phased || s.wasCold && !cold) {
			s.running, s.phased, s.wasCold = b.level-b.random(), true, cold
			*b.turn(r, s) = s.running
		}
		if turn := b.turn(r, s); !repeat && s.weight > 0 { // else 0/0 where all rest
			*turn = min(*turn+s.weight/total, 1)
		}
	}
	return total, headroom * held / shares
}

// before: which goes first. Where all are over their share a first send goes to the least crowded.
func (b *Balancer) before(r *request, s, best *server, repeat, over bool) bool {
	if over && s.known != best.known { // what it holds is known, if much; of the other nothing is
		return s.known
	}
	if over && !repeat {
		return (b.holds(s)+1)*best.weight < (b.holds(best)+1)*s.weight
	}
	if repeat {
		if ms, mb := b.health(s)*b.trust(r, s), b.health(best)*b.trust(r, best); ms != mb {
			return ms > mb
		}
	}
	return *b.turn(r, s) > *b.turn(r, best)
}

// allowed: the rules let this request go to this server now.
func (b *Balancer) allowed(r *request, s *server) bool {
	if s.State != Ready {
		return false
	}
	for i := range r.tries {
		a := &r.tries[i]
		if a.s == s {
			return false
		}
		if a.clean || r.class.Effect != Keyed {
			continue
		}
		// A keyed request that may have run stays where the key is known, while it is known.
		if b.now >= a.sent+r.class.Window || r.class.Group == GroupCell && a.s.Cell != s.Cell ||
			r.class.Group == GroupZone && a.s.Zone != s.Zone {
			return false
		}
	}
	return true
}

// capacity is size × m, lowered while the server warms up.
func (b *Balancer) capacity(s *server) float64 {
	return max(100*s.rating()*s.size.factor*s.kind.factor*s.zone.factor*b.health(s)*b.warmth(s), 1e-6)
}

// favour raises a weight where other servers cost a price: crossing zones, of which a small one hardly
// counts, and new connections, unless the server just failed. A cold one has no connections yet.
func (b *Balancer) favour(s *server) float64 {
	f := 1.0
	if s.Zone == b.cfg.Zone {
		f += (zoneFavour * b.cfg.Prices.CrossZone) * (zoneFavour * b.cfg.Prices.CrossZone)
	}
	if b.cold(s) || s.errs == 0 && b.keeps(s) {
		f *= 1 + reuse*b.cfg.Prices.Handshake + scarce*b.unconnected
	}
	return f
}

// health is the multiplier m.
func (b *Balancer) health(s *server) float64 {
	if s.errs == 0 {
		return 1
	}
	effective := float64(s.errs) * math.Exp(-math.Ln2*(b.now-s.lastErr)/halfLife)
	return bound(1-slope*effective, floorM, 1)
}

// trust multiplies a weight by how the request's class fared at the server, while that class fails at all:
// some servers fail one class and serve the others, whose successes keep m at 1. What was not tried lately
// counts as the rest on the mean, so that a sidecar of few requests keeps to servers known to serve. Holds
// against fast errors too; may crowd the few good servers where one sidecar is most of the load.
func (b *Balancer) trust(r *request, s *server) float64 {
	if !b.troubled(r) {
		return 1
	}
	v := s.verdicts[r.Class]
	part := r.stats.expected + (v.score-r.stats.expected)*b.fade(v)
	return max(part*part, floorTrust)
}

// turn is the server's running value. A troubled class has its own, or the bad servers would come up for it
// by the turns that the other classes' weights give them.
func (b *Balancer) turn(r *request, s *server) *float64 {
	if b.troubled(r) {
		return &s.verdicts[r.Class].running
	}
	return &s.running
}

func (b *Balancer) troubled(r *request) bool { return b.now <= r.stats.failedAt+2*classLife }
func (b *Balancer) fade(v verdict) float64   { return math.Exp((v.at - b.now) / classLife) }

// expect takes the mean over servers of how a troubled class fared.
func (b *Balancer) expect(r *request) {
	good, known := 1.0, 1.0
	for _, s := range b.servers {
		if v := s.verdicts[r.Class]; b.troubled(r) {
			good += b.fade(v) * v.score
			known += b.fade(v)
		}
	}
	r.stats.expected = good / known
}

// conclude notes how a class fared at a server: 1 served, 0 failed.
func (b *Balancer) conclude(r *request, s *server, res Result) {
	v, score := &s.verdicts[r.Class], 1.0
	if res == Failed {
		b.startTurns(r)
		r.stats.failedAt, score = b.now, 0
	} else if res != OK {
		return
	}
	before := r.stats.expected + (v.score-r.stats.expected)*b.fade(*v)
	v.score, v.at = before+classStep*(score-before), b.now
}

// holds is the best evidence of how many requests a server holds: a fresh report and what was sent
// since, else this sidecar's own.
func (b *Balancer) holds(s *server) float64 {
	if b.fresh(s) {
		return s.reported + s.sentSince
	}
	return float64(s.inFlight)
}

func (b *Balancer) fresh(s *server) bool {
	return s.reportedAt > 0 && b.cfg.Reports == ReportProbe && b.now-s.reportedAt <= probeAims*b.longestAim
}

func (b *Balancer) cold(s *server) bool { return b.now < s.coldSince+b.cfg.ColdTime }

// warmth is the least fraction of its capacity that a server has; 1 when it is warm.
func (b *Balancer) warmth(s *server) float64 {
	age := max(0, b.now-s.coldSince) / max(b.cfg.ColdTime, 1)
	return b.cfg.ColdFrom + (1-b.cfg.ColdFrom)*min(1, age)
}

// coldBudget is a hard limit of sends to a cold server: half of the allowed multiple of what warm servers of
// its size answer of this sidecar's requests, times its warmth. Answers are counted, not requests, which
// clients repeat in overload, and few assumed: with thirty, small sidecars broke the rule.
func (b *Balancer) coldBudget(s *server) bool {
	fill := b.pace(0, 1) * s.share / max(b.pool, s.share) * max(1, b.cfg.FallMultiple/2)
	s.tokens = min(s.tokens+fill*(b.now-s.tokensAt), max(1, fill*b.cfg.FallTime/4))
	s.tokensAt = b.now
	return s.tokens >= 1
}

// resting: it left several attempts unanswered, or is out of reach; the next strike rests it for longer.
func (b *Balancer) resting(s *server) bool { return b.now < s.restUntil }

// markOverdue counts an attempt far beyond its class's answers as an error: else hangs show late.
func (b *Balancer) markOverdue(r *request) {
	for i := range r.tries {
		if a := &r.tries[i]; a.live && !a.overdue && !a.coming && b.now >= a.sent+b.overdueAfter(r) {
			a.overdue = true
			b.lose(r, a, 1)
			b.fault(a.s, false)
		}
	}
}

// overdueAfter follows what the class's answers take now: in a congested fleet all are late.
func (b *Balancer) overdueAfter(r *request) float64 {
	if r.stats.n < 5 {
		return r.class.Aim / 2
	}
	return r.stats.mean + lateDevs*r.stats.dev
}

// fault counts an error against m; a server rests when it is gone, else after several in a row.
func (b *Balancer) fault(s *server, down bool) {
	s.errs, s.lastErr = s.errs+1, b.now
	if down {
		s.downs++
	}
	b.learn(s, 3)
	if down && s.downs >= goneAfter || s.errs >= strikes {
		b.rest(s)
	}
}

func (b *Balancer) rest(s *server) {
	s.restUntil = b.now + b.longestAim*float64(int(1)<<min(s.rests, 3))
	s.rests++
}

// judge draws from an outcome what it says of the server, its class and the load.
func (b *Balancer) judge(r *request, a *attempt, ev Outcome) {
	s := a.s
	b.conclude(r, s, ev.Result)
	switch ev.Result {
	case OK:
		gone := s.downs >= goneAfter || s.downs > 0 && b.now > s.lastErr+comeback
		if gone && !b.cold(s) { // and is back: a restart that the list has yet to tell
			b.chill(s, b.now)
		}
		s.pardon()
		b.pace(1, 0)
		b.time(a, ev.Took, r.class.Aim)
		if r.stats.n > 0 {
			b.learn(s, ev.Took/r.stats.mean)
		}
		r.stats.add(ev.Took, b.gain()/2)
	case Cancelled, Moot:
	default:
		b.countLate(ev.Result == TimedOut || ev.Result == Full)
		if ev.Result == Full { // no answer is slower than one that is turned away
			b.slowness += (2 - b.slowness) * b.gain()
		}
		if down := ev.Result == ConnectFailed; down || !a.overdue {
			b.fault(s, down)
		}
	}
}

// learn moves the sizes of a server, its kind and its zone until answers take equally long everywhere; took
// is relative to the class. The mean step is taken off: what all servers share is load, not size.
func (b *Balancer) learn(s *server, took float64) {
	if b.cold(s) {
		return
	}
	step := max(-2, 1-took)
	b.learned++
	gain := b.gain()
	b.drift += gain * (step - b.drift) / 2
	step = gain * (step - b.drift)
	s.size.move(step/2, gain)
	s.kind.move(step, gain)
	s.zone.move(step/2, gain)
}

// gain is the step of an average over answers: it covers learnTime, but a few answers at least.
func (b *Balancer) gain() float64 { return bound(1/(learnTime*b.pace(0, 1)), learnLeast, learnMost) }

// wake sets a timer for the next moment at which the request must be looked at.
func (b *Balancer) wake(r *request) {
	next := r.deadline
	if r.holdUntil > b.now {
		next = min(next, r.holdUntil)
	} else if r.live == 0 {
		next = min(next, b.now+max(b.cfg.Quantum, r.class.Aim/20))
	}
	for i := range r.tries {
		if a := &r.tries[i]; a.live && !a.overdue && !a.coming {
			next = min(next, a.sent+b.overdueAfter(r))
		}
	}
	if next < r.wakeAt {
		r.wakeAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(r.ID), At: max(0, next-b.now)})
	}
}

// update takes in one entry. A restart clears what was held against the server.
func (b *Balancer) update(entry *Server) {
	s := b.server(entry)
	if entry.StartedAt > s.StartedAt {
		s.pardon()
		b.chill(s, entry.StartedAt)
	}
	s.Server = *entry
	s.kind, s.zone = b.group(b.kinds, s.Kind), b.group(b.zones, s.Zone)
}

// chill begins a warm-up. The first budget is random, so that the first sends of all sidecars do not meet.
func (b *Balancer) chill(s *server, since float64) {
	s.coldSince, s.tokens, s.tokensAt, s.phased = since, b.random(), b.now, false
}

// askFirst calls for the list at the start, but not in the same instant as a fleet that starts with it: each
// has the list that it last had.
func (b *Balancer) askFirst() {
	if b.cfg.Peers < fewPeers {
		b.emit(Action{Kind: Watch})
		return
	}
	spread := min(askEach/2*float64(b.cfg.Peers), firstAsk)
	b.emit(Action{Kind: SetTimer, Token: listTimer, At: spread * b.random()})
}

// askAgain calls after a growing pause, which spreads the calls of a whole fleet: each that waits in vain
// costs discovery as much as one that is answered. Few need no spread, and are better off when they wait.
// Within the limit for sidecars not subscribed.
func (b *Balancer) askAgain() {
	peers := float64(b.cfg.Peers)
	pause, least := (askPause+askEach*max(0, peers-fewPeers))*float64(int(1)<<min(b.asks, 4)), 0.5
	if peers >= fewPeers {
		least = 0.1
	}
	if b.cfg.AskWithin > 0 {
		pause = min(pause, bound(peers/manyPeers, askLeast, askMost)*b.cfg.AskWithin)
	}
	b.asks++
	b.emit(Action{Kind: SetTimer, Token: listTimer, At: pause * (least + (1-least)*b.random())})
}
