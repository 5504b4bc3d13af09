// Package calls is a model checker for the path of requests that must run at most once: a sending sidecar, two last
// hops with their servers, and the connections between them. Connections time out, break at any byte and deliver
// responses late, twice, early and in pieces. Last hops restart, servers refuse connections, and queries about attempts
// arrive late and more than once. The decisions are the shipped ones: mesh/dataplane/inflight at the sender,
// mesh/dataplane/lasthop with mesh/attempts and mesh/admission at the last hops, and the response matching of
// internal/upstream/http. check.go compares the history with what clients were promised and uses none of these packages.
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

// Bounds limit the events of one order.
type Bounds struct {
	Requests  int
	Faults    int // broken or refused connections, restarts, surplus and early responses, repeated queries
	Evictions int // advances of the clock after which last hops have evicted their logged attempts
	Refusals  int // refused connections to a server; they count as faults too
}

// DefaultBounds are those of most tests. They have no refusals, which would make orders that find the rarest defect even rarer.
var DefaultBounds = Bounds{Requests: 4, Faults: 8, Evictions: 1}

// RefusingBounds are the default ones with refusals.
var RefusingBounds = Bounds{Requests: 4, Faults: 8, Evictions: 1, Refusals: 2}

// Defect is a mistake that the model makes in place of the shipped code, to prove that the search finds such mistakes.
type Defect struct {
	Name string
	Seed uint64 // seed of an order that finds the defect

	doesNotBar                bool // a query is answered with "not started", but the attempt is not barred from starting later
	keepsIncarnation          bool // a restarted last hop answers for the previous process
	forgetsEvicted            bool // an evicted attempt is treated as never received
	matchesByPosition         bool // the next response on a connection is accepted as that of the request
	acceptsUnnamedRejection   bool // a rejection without a request ID is accepted
	closedIsNotStarted        bool // a broken connection proves that the attempt did not run
	runningIsNotStarted       bool // a running attempt is reported as not started
	rejectedQueryIsNotStarted bool // a rejected query proves that the attempt has not started
	queriesOtherHop           bool // the query goes to the other last hop
	retriesRejectingServer    bool // a request is sent again to a server that rejected it
}

// Defects are the planted defects that a search must find.
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
	maxAttempts   = 3 // attempts of one request that may reach a server
	evictionDelay = attempts.Retention + time.Second
)

// world is the modelled system: sender, last hops, servers and connections.
type world struct {
	bounds      Bounds
	defect      Defect
	now         time.Duration
	faults      int
	evictions   int
	refusals    int // refused connections to servers
	sender      sender
	hops        []*lastHop
	links       []*link // attempts and queries between sidecars
	history     history // all that the checker reads
	choices     []explore.Choice
	withNames   bool // whether choices get names, which cost time
	fingerprint explore.OrderFingerprint
}

// Start returns the initial state for Exhaust and Random. A nil defect runs the shipped decisions.
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

// State implements explore.System. It fingerprints the order of choices, so no two orders count as one state.
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

// addFault adds a choice that counts against the limit of faults.
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

// collectChoices lists the events that may happen next.
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
		w.addChoice(func() { w.evictions++; w.now += evictionDelay; w.forgetEvicted() }, "the clock advances by a minute")
	}
}

// Steps is the length of the orders that the seeds of Defects refer to.
const Steps = 50

// Search plays random orders of the given number of steps, one for each of consecutive seeds. It returns the seed and
// the breach of the first order that breaks a promise, or 0 and nil.
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

// playRandom plays up to the given number of steps, drawn from a seed.
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

// forgetEvicted applies the defect of a log that keeps no lower bound for evicted attempts.
func (w *world) forgetEvicted() {
	if !w.defect.forgetsEvicted {
		return
	}
	for _, h := range w.hops {
		h.gate.Outcomes = newLog(h.incarnation)
	}
}
