// Package calls explores the path of requests that must not run twice: a sending sidecar, two last hops and their
// servers, and the connections between them, which time out, break at any byte, bring responses late, twice, early and
// in pieces, while last hops restart, servers refuse connections, and queries about attempts come late and more than
// once. The decisions are the shipped ones: mesh/dataplane/inflight at the sender, mesh/dataplane/lasthop with
// mesh/attempts and mesh/admission at the last hops, and the pairing of responses with requests of
// internal/upstream/http. check.go holds the history against what a client was promised, and knows nothing of any of
// them.
//
// Start reading at Start.
package calls

import (
	"fmt"
	"math/rand/v2"
	"time"

	"firplank/lab/explore"
	"firplank/mesh/attempts"
)

// Bounds bound what may happen in one order.
type Bounds struct {
	Requests  int
	Faults    int // connections broken or refused, restarts, surplus and early responses, repeated queries
	Evictions int // spans after which last hops have evicted what they had logged
	Refusals  int // of connections to a server, which count as faults too
}

// Usual bounds are those of the tests. They have no refusals, which would make the orders that find the rarest defect rarer still.
var DefaultBounds = Bounds{Requests: 4, Faults: 8, Evictions: 1}

// Refusing bounds are the usual ones with refusals.
var RefusingBounds = Bounds{Requests: 4, Faults: 8, Evictions: 1, Refusals: 2}

// Defect is a mistake planted in the surroundings, as if the decisions made it.
type Defect struct {
	Name string
	Seed uint64 // of an order that finds it

	doesNotBar                bool // a query is answered that its attempt has not started, and nothing bars it
	keepsIncarnation          bool // a last hop that has restarted speaks for the process before it
	forgetsEvicted            bool // what the log has evicted is as if it had never come
	matchesByPosition         bool // whatever comes next is the response
	acceptsUnnamedRejection   bool // a rejection is believed whomever it names
	closedIsNotStarted        bool // a connection that broke proves that nothing ran
	runningIsNotStarted       bool // an attempt that runs is answered as not started
	rejectedQueryIsNotStarted bool // a query that was rejected proves that its attempt has not started
	queriesOtherHop           bool // the query goes to the other last hop
	retriesRejectingServer    bool // a server that has rejected a request gets it again
}

// Defects are those that a search must find.
var Defects = []Defect{
	{Name: "an attempt is told as not started, and is not barred", Seed: 78, doesNotBar: true},
	{Name: "a restarted last hop speaks for the process before it", Seed: 5, keepsIncarnation: true},
	{Name: "what is evicted is as if it had never come", Seed: 111, forgetsEvicted: true},
	{Name: "whatever comes next on a connection is the response", Seed: 651, matchesByPosition: true},
	{Name: "a response that names no request is believed", Seed: 23, acceptsUnnamedRejection: true},
	{Name: "a connection that broke proves that nothing ran", Seed: 1, closedIsNotStarted: true},
	{Name: "an attempt that runs is told as not started", Seed: 96, runningIsNotStarted: true},
	{Name: "a query that was rejected counts as answered", Seed: 17, rejectedQueryIsNotStarted: true},
	{Name: "the query goes to another last hop", Seed: 17, queriesOtherHop: true},
	{Name: "a server that has rejected a request gets it again", Seed: 182973, retriesRejectingServer: true},
}

const (
	lastHopCount  = 2
	maxAttempts   = 3 // servers that may see a request
	evictionDelay = attempts.Retention + time.Second
)

// world is all of it.
type world struct {
	bounds      Bounds
	defect      Defect
	now         time.Duration
	faults      int
	evictions   int
	refusals    int // connections to servers
	sender      sender
	hops        []*lastHop
	links       []*link // attempts and queries on their way between sidecars
	history     history // all that the checker sees
	choices     []explore.Choice
	withNames   bool // choices get names
	fingerprint explore.OrderFingerprint
}

// Start returns what Exhaust and Random begin at; without a defect as shipped.
func Start(b Bounds, d *Defect) func() explore.System {
	return func() explore.System {
		w := &world{bounds: b}
		if d != nil {
			w.defect = *d
		}
		for i := range lastHopCount {
			w.hops = append(w.hops, newLastHop(w, i))
		}
		w.sender = newSender(w)
		return w
	}
}

// Broken implements explore.System.
func (w *world) Broken() error { return w.history.broken() }

// State implements explore.System: no two orders are taken for the same.
func (w *world) State() uint64 { return uint64(w.fingerprint) }

// Do implements explore.System.
func (w *world) Do(choice int) {
	w.collectChoices(false)
	w.fingerprint = w.fingerprint.Add(choice)
	w.choices[choice].Do()
}

func (w *world) addChoice(do func(), format string, args ...any) {
	c := explore.Choice{Do: do}
	if w.withNames {
		c.Name = fmt.Sprintf(format, args...)
	}
	w.choices = append(w.choices, c)
}

// fault adds a choice that uses up one of the faults.
func (w *world) addFault(do func(), format string, args ...any) {
	if w.faults < w.bounds.Faults {
		w.addChoice(func() { w.faults++; do() }, format, args...)
	}
}

// Choices implements explore.System.
func (w *world) Choices() []string {
	w.collectChoices(true)
	return explore.Names(w.choices)
}

// collect gathers what may happen next.
func (w *world) collectChoices(named bool) {
	w.choices, w.withNames = w.choices[:0], named
	w.sender.choices()
	for _, l := range w.links {
		l.choices()
	}
	for _, h := range w.hops {
		h.choices()
	}
	if w.evictions < w.bounds.Evictions {
		w.addChoice(func() { w.evictions++; w.now += evictionDelay; w.forgetEvicted() }, "a minute passes")
	}
}

// Steps is how many steps the orders have by which defects are known to be found.
const Steps = 50

// Search plays orders drawn from seeds that follow one another, each of so many steps, and returns the seed of the
// first that breaks a promise.
func Search(b Bounds, d *Defect, seed, orders uint64, steps int) (uint64, error) {
	for end := seed + orders; seed < end; seed++ {
		w := Start(b, d)().(*world)
		w.playRandom(seed, steps)
		if err := w.Broken(); err != nil {
			return seed, err
		}
	}
	return 0, nil
}

// walk takes steps drawn from a seed.
func (w *world) playRandom(seed uint64, steps int) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for range steps {
		w.collectChoices(false)
		if len(w.choices) == 0 || w.Broken() != nil {
			return
		}
		w.choices[rng.IntN(len(w.choices))].Do()
	}
}

// forget is the defect of a log that keeps no floor.
func (w *world) forgetEvicted() {
	if !w.defect.forgetsEvicted {
		return
	}
	for _, h := range w.hops {
		h.gate.Outcomes = newLog(h.incarnation)
	}
}
