package dataplane

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"
	"golang.org/x/time/rate"

	"firplank/balance"
	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	"firplank/internal/invariant"
	"firplank/mesh/bootstrap"
	"firplank/mesh/config"
	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/dataplane/inflight"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/rollout"
	"firplank/mesh/timing"
)

// This file guards against unintended changes of the decisions on outgoing requests. It runs the routing, classes, locality, retry budget,
// exchange and balancer of one sidecar in the virtual time of synctest, with upstreams that fail pseudo-randomly by a seed. The trace of
// inputs and decisions has to equal the one that commit 5126712 recorded with the same seed. Only newSidecarUnderTest depends on how the
// parts are put together and may follow their changes; a renaming must not change the trace or the recording.

// sidecarUnderTest has the operations of the outgoing side that the replay uses.
type sidecarUnderTest struct {
	// route fills a call as the front for clients does. An answer means that the call was rejected.
	route func(*core.Call, *httpfront.Request) *core.Answer
	// setEndpoints updates all services to a directory.
	setEndpoints func([]directory.Entry, time.Duration)
	// shutDown makes the exchanges answer all open requests by a deadline.
	shutDown func(deadline time.Time)
}

// newSidecarUnderTest returns the outgoing side of a sidecar in zone "za", with the services of a configuration, over the given pool.
func newSidecarUnderTest(ctx context.Context, t *testing.T, cfg *config.Config, entries []directory.Entry, pool upstream) sidecarUnderTest {
	p := &Proxy{
		start: time.Now(), ctx: ctx, slog: slog.New(slog.DiscardHandler), inFlight: inflight.New[*core.Attempt]("node-1.1"),
		sidecarPool: pool, log: kitlog.NewNopLogger(), metrics: newProxyMetrics(), failureLogLimit: &rate.Sometimes{},
		invariants: invariant.Func(func(name invariant.Name, explanation ...any) { t.Errorf("%s: %v", name, explanation) }),
	}
	p.settings.Store(&bootstrap.Settings{
		NodeName: "node-1", Zone: "za", Zones: map[string]string{"za": "r", "zb": "r", "zc": "r"},
		Bounds: bootstrap.Bounds{RetryRatio: 0.2, RetrySlack: 64, RetryWindow: 10 * time.Second},
	})
	p.durations = timing.Default()
	policy := dissemination.NewSubscriber("node-1", "za", p.durations.Dissemination, 0)
	p.node = distribution.New(directory.Entry{Node: "node-1"}, policy, &host{p: p}, p.durations)
	for _, e := range entries {
		p.node.State().Directory.Merge(e, 0)
	}
	services := map[string]*service{}
	for _, name := range []string{"one", "two"} {
		services[name] = p.newService(name)
	}
	p.services.Store(&services)
	p.cfg.Store(cfg)
	dialect := clientDialect{config: &p.cfg, services: &p.services, shutdown: &p.shutdown, splitFraction: recordedSplitFraction}
	return sidecarUnderTest{
		route: func(c *core.Call, r *httpfront.Request) *core.Answer {
			answer, err := dialect.Fill(c, r, nil)
			if err != nil {
				panic(err)
			}
			return answer
		},
		setEndpoints: func(entries []directory.Entry, now time.Duration) {
			for _, name := range []string{"one", "two"} {
				services[name].setEndpoints(entries, func(string) rollout.Eligibility { return rollout.Eligible }, now)
			}
		},
		shutDown: func(deadline time.Time) {
			for _, name := range []string{"one", "two"} {
				services[name].exchange.Shutdown(deadline)
			}
		},
	}
}

// recordedSplitFraction is the hash by which commit 5126712 split requests. The present one spreads IDs more evenly; all other decisions
// have to equal the recorded ones.
func recordedSplitFraction(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}

const replayConfig = `{"edition":"0000000a","gates":[{"depot":"h","regulations":[
{"name":"quick","routeKind":"safe","targetS":0.1,"precedence":1,"sorting":{"lanePrefix":"/quick/"},
"dispatch":{"line":"one","deadlineS":0.8,"attempts":3}},
{"name":"slow","routeKind":"safe","targetS":0.5,"precedence":3,"sorting":{"lanePrefix":"/slow/"},
"dispatch":{"line":"one","deadlineS":2,"attempts":2}},
{"name":"order","routeKind":"unsafe","targetS":0.3,"precedence":0,"sorting":{"lanePrefix":"/order/"},
"dispatch":{"line":"two","deadlineS":1.2,"attempts":3}},
{"name":"file","routeKind":"download","targetS":0.4,"precedence":2,"sorting":{"lanePrefix":"/file/"},
"dispatch":{"split":[{"line":"one","share":0.7},{"line":"two","share":0.3}],"deadlineS":1.5,"attempts":2}}]}],
"fleets":[{"name":"one"},{"name":"two"}]}`

// replayedServer is a simulated server with its faults. The rates are fractions of all requests.
type replayedServer struct {
	entry                                                     directory.Entry
	latencyFactor, errorRate, resetRate, rejectRate, hangRate float64
	unreachable                                               bool
}

// openAttempt is an attempt in flight, with the time and the result of its end.
type openAttempt struct {
	attempt *core.Attempt
	endsAt  time.Duration
	result  core.Result
}

// replayDriver simulates the servers, and is the upstream and the client of every call.
type replayDriver struct {
	t       *testing.T
	start   time.Time
	rnd     *rand.Rand // used only by the driver
	servers []*replayedServer

	mu         sync.Mutex
	lines      []traceLine
	open       []openAttempt
	unanswered []*core.Call // without an answer so far
}

type traceLine struct {
	at   time.Duration
	text string
}

func (d *replayDriver) now() time.Duration { return time.Since(d.start) }

// record adds a line to the trace. The caller holds mu.
func (d *replayDriver) record(format string, args ...any) {
	d.lines = append(d.lines, traceLine{d.now(), fmt.Sprintf(format, args...)})
}

// seededFraction returns a number in [0, 1) that depends only on purpose.
func seededFraction(purpose string) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, "replay "+purpose) // never fails
	return float64(h.Sum64()>>11) / (1 << 53)
}

// Begin implements core.Backend: it decides when and how the attempt will end.
func (d *replayDriver) Begin(a *core.Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := fmt.Sprintf("%s/%d", a.Message.Trace, a.Number())
	d.record("send %s to %s, cut at %v", name, a.Endpoint.Name(), a.Deadline.Sub(d.start))
	i := slices.IndexFunc(d.servers, func(m *replayedServer) bool { return m.entry.Server == a.Endpoint.Name() })
	m := d.servers[i]
	duration := time.Duration(m.latencyFactor * (10 + 120*seededFraction(name+" time")) * float64(time.Millisecond))
	result := core.Result{Outcome: balance.OK, Answer: &core.Answer{Kind: core.Served, Status: http.StatusOK}}
	switch draw := seededFraction(name); {
	case m.unreachable:
		result, duration = core.Result{Outcome: balance.ConnectFailed}, 40*time.Millisecond
	case draw < m.rejectRate:
		result, duration = core.Result{Outcome: balance.Rejected, NotDelivered: seededFraction(name+" unmet") < 0.7}, 2*time.Millisecond
	case draw < m.rejectRate+m.errorRate:
		result = core.Result{Outcome: balance.Failed, Answer: &core.Answer{Kind: core.Served, Status: http.StatusInternalServerError}}
	case draw < m.rejectRate+m.errorRate+m.resetRate:
		result = core.Result{Outcome: balance.Reset}
	case draw < m.rejectRate+m.errorRate+m.resetRate+m.hangRate:
		duration = time.Hour
	}
	if remaining := time.Until(a.Deadline); duration > remaining {
		result, duration = core.Result{Outcome: balance.TimedOut}, remaining
	}
	d.open = append(d.open, openAttempt{a, d.now() + duration, result})
}

// Cancel implements core.Backend.
func (d *replayDriver) Cancel(a *core.Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record("cancel %s/%d", a.Message.Trace, a.Number())
	for i := range d.open {
		if d.open[i].attempt == a {
			d.open[i].endsAt, d.open[i].result = d.now()+time.Millisecond, core.Result{Outcome: balance.Cancelled}
		}
	}
}

// Probe implements core.Backend.
func (d *replayDriver) Probe(e *core.Endpoint, _ func(core.Result)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record("probe %s", e.Name())
}

// CloseIdle implements core.Backend.
func (d *replayDriver) CloseIdle(e *core.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record("close idle %s", e.Name())
}

func (d *replayDriver) Run(context.Context) {}
func (d *replayDriver) Close()              {}

// Answer implements core.Client. The trace leaves out the text of an answer, which is no decision.
func (d *replayDriver) Answer(c *core.Call, a *core.Answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record("answer %s: kind %d, reason %d, status %d, hold off %v", c.Message.Trace, a.Kind, a.Reason, a.Status, a.RetryAfter)
	d.unanswered = slices.DeleteFunc(d.unanswered, func(o *core.Call) bool { return o == c })
}

// endDueAttempts ends the attempts that are due, in the order of their names.
func (d *replayDriver) endDueAttempts() {
	d.mu.Lock()
	var due []openAttempt
	d.open = slices.DeleteFunc(d.open, func(o openAttempt) bool {
		isDue := o.endsAt <= d.now()
		if isDue {
			due = append(due, o)
		}
		return isDue
	})
	d.mu.Unlock()
	name := func(o openAttempt) string { return fmt.Sprintf("%s/%d", o.attempt.Message.Trace, o.attempt.Number()) }
	slices.SortFunc(due, func(a, b openAttempt) int { return strings.Compare(name(a), name(b)) })
	for _, o := range due {
		d.mu.Lock()
		d.record("end %s: %d, unmet %v", name(o), o.result.Outcome, o.result.NotDelivered)
		d.mu.Unlock()
		o.attempt.End(o.result)
		synctest.Wait()
	}
}

// submitRequest submits a random request.
func (d *replayDriver) submitRequest(s sidecarUnderTest, number int) {
	path := []string{"/quick/x", "/quick/y", "/slow/x", "/order/x", "/file/x"}[d.rnd.Intn(5)]
	r := &httpfront.Request{Method: http.MethodGet, Target: path, Path: path, Host: "h", Header: http.Header{}}
	trace := fmt.Sprintf("t%05d", number)
	r.Header.Set("Try-Id", trace)
	if d.rnd.Intn(3) == 0 {
		r.Header.Set("Deadline-Ms", fmt.Sprint(50+d.rnd.Intn(900)))
	}
	c := &core.Call{Client: d}
	if rejection := s.route(c, r); rejection != nil {
		d.t.Fatalf("%s was not routed: %+v", path, rejection)
	}
	d.mu.Lock()
	d.record("ask %s: %s class %d, remaining %v, attempts %d, rank %d",
		trace, path, c.Request.Class, c.Request.Remaining, c.Request.MaxAttempts, c.Message.Priority)
	d.unanswered = append(d.unanswered, c)
	d.mu.Unlock()
	c.Exchange.Submit(c)
	synctest.Wait()
}

// disconnectClient disconnects a random client.
func (d *replayDriver) disconnectClient() {
	d.mu.Lock()
	if len(d.unanswered) == 0 {
		d.mu.Unlock()
		return
	}
	c := d.unanswered[d.rnd.Intn(len(d.unanswered))]
	d.unanswered = slices.DeleteFunc(d.unanswered, func(o *core.Call) bool { return o == c })
	d.record("leave %s", c.Message.Trace)
	d.mu.Unlock()
	c.Exchange.Disconnect(c)
	synctest.Wait()
}

// changeServer changes a random server's faults or its directory entry, and sets the endpoints again.
func (d *replayDriver) changeServer(s sidecarUnderTest) {
	d.mu.Lock()
	m := d.servers[d.rnd.Intn(len(d.servers))]
	e := &m.entry
	switch d.rnd.Intn(10) {
	case 0:
		m.latencyFactor = 0.3 + 8*d.rnd.Float64()
	case 1:
		m.errorRate, m.rejectRate = 0.4*d.rnd.Float64(), 0.9*d.rnd.Float64()
	case 2:
		m.resetRate, m.hangRate = 0.4*d.rnd.Float64(), 0.3*d.rnd.Float64()
	case 3:
		m.unreachable = true
	case 4:
		m.latencyFactor, m.errorRate, m.rejectRate, m.resetRate, m.hangRate, m.unreachable = 1, 0, 0, 0, 0, false
		e.Incarnation++
		e.State, e.Lost, e.WarmUntil = directory.Accepting, false, d.now()+3*time.Second
	case 5:
		e.State = []directory.State{directory.Closing, directory.Draining, directory.Departed, directory.Unresponsive}[d.rnd.Intn(4)]
	case 6:
		e.Lost = true
	default:
		e.State, e.Lost = directory.Accepting, false
	}
	var all []directory.Entry
	for _, m := range d.servers {
		all = append(all, m.entry)
	}
	d.record("%s: state %d, lost %v, cold until %v; pace %.3f", e.Node, e.State, e.Lost, e.WarmUntil, m.latencyFactor)
	d.mu.Unlock()
	s.setEndpoints(all, d.now())
	synctest.Wait()
}

// newReplay returns a replay with 14 servers of two services in three zones, which reject a fraction of all requests.
func newReplay(t *testing.T, seed int64, rejectRate float64) (d *replayDriver, entries []directory.Entry) {
	d = &replayDriver{t: t, start: time.Now(), rnd: rand.New(rand.NewSource(seed))}
	for i := range 14 {
		e := directory.Entry{
			Node:        fmt.Sprintf("m%d", i),
			Incarnation: 1,
			Sequence:    1,
			Addr:        fmt.Sprintf("10.0.0.%d:1", i),
			Zone:        []string{"za", "zb", "zc"}[i%3],
			Service:     []string{"one", "two"}[i%5%2],
			Server:      fmt.Sprintf("s%d", i),
			State:       directory.Accepting,
			Slots:       4 + i%7,
		}
		entries = append(entries, e)
		d.servers = append(d.servers, &replayedServer{entry: e, latencyFactor: 1, rejectRate: rejectRate})
	}
	return d, entries
}

// run runs 6,000 steps of about a millisecond, with a request about every meanSteps steps. The sidecar shuts down in the last 1,000 steps.
func (d *replayDriver) run(s sidecarUnderTest, meanSteps int) {
	for number := range 6000 {
		// No whole milliseconds, so that the driver never runs at the instant of one of the exchange's timers.
		time.Sleep(900*time.Microsecond + time.Duration(d.rnd.Intn(200_000)))
		synctest.Wait()
		d.endDueAttempts()
		if number < 5000 && d.rnd.Intn(meanSteps) == 0 {
			d.submitRequest(s, number)
		}
		if d.rnd.Intn(60*meanSteps) == 0 {
			d.disconnectClient()
		}
		if d.rnd.Intn(60) == 0 {
			d.changeServer(s)
		}
		if number == 5000 {
			d.mu.Lock()
			d.record("end")
			d.mu.Unlock()
			s.shutDown(time.Now().Add(300 * time.Millisecond))
			synctest.Wait()
		}
	}
	if len(d.unanswered) > 0 {
		d.t.Errorf("%d requests have no answer", len(d.unanswered))
	}
}

// text returns the trace of inputs and decisions. Lines of the same instant are sorted by their text.
func (d *replayDriver) text() []byte {
	slices.SortStableFunc(d.lines, func(a, b traceLine) int {
		return cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.text, b.text))
	})
	var text bytes.Buffer
	for _, l := range d.lines {
		fmt.Fprintf(&text, "%v %s\n", l.at, l.text)
	}
	return text.Bytes()
}

// runReplay runs a replay and returns its trace.
func runReplay(t *testing.T, seed int64, meanSteps int, rejectRate float64) (text []byte) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		cfg, err := config.Parse([]byte(replayConfig))
		if err != nil {
			t.Fatal(err)
		}
		d, entries := newReplay(t, seed, rejectRate)
		s := newSidecarUnderTest(ctx, t, cfg, entries, d)
		s.setEndpoints(entries, 0)
		synctest.Wait()
		d.run(s, meanSteps)
		text = d.text()
	})
	return text
}

func runReplays(t *testing.T) []byte {
	return slices.Concat(runReplay(t, 1, 3, 0), runReplay(t, 2, 2, 0.6), runReplay(t, 3, 12, 0.2), runReplay(t, 4, 3, 0.9))
}

const recordedTrace = "testdata/outgoing-5126712.txt.gz"

func TestOutgoingRequestsMatchRecording(t *testing.T) {
	packed, err := os.ReadFile(recordedTrace)
	if err != nil {
		t.Fatal(err)
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		t.Fatal(err)
	}
	recorded, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	want, got := strings.Split(string(recorded), "\n"), strings.Split(string(runReplays(t)), "\n")
	for i := range min(len(want), len(got)) {
		if want[i] != got[i] {
			t.Fatalf("line %d:\ngot  %s\nwant %s", i+1, got[i], want[i])
		}
	}
	if len(want) != len(got) || len(want) < 10000 {
		t.Fatalf("%d lines, want %d, and 10,000 or more", len(got), len(want))
	}
}
