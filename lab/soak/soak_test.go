package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"firplank/lab/mesh"
)

var programFolder string

// built builds the programs once for all tests, and returns their folder.
var built = sync.OnceValues(func() (string, error) {
	return programFolder, mesh.Build(context.Background(), programFolder, false)
})

func TestMain(m *testing.M) {
	var err error
	if programFolder, err = os.MkdirTemp("", "firplank-soak-test"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(programFolder)
	os.Exit(code)
}

// A short soak of real processes under overlapping faults violates no rule and no invariant, and still serves requests.
func TestShortSoak(t *testing.T) {
	programs, err := built()
	if err != nil {
		t.Fatal(err)
	}
	for i, c := range []struct {
		seed            uint64
		core, tolerance int
		only            []Kind
	}{
		{seed: 1, core: 4, tolerance: 1},
		{seed: 2, core: 6, tolerance: 2, only: []Kind{ControlWipe, ProxyTerm, CloseKill, ConfigStorm, NodeCut, AnswerLost}},
		{seed: 3, core: 3, tolerance: 1, only: []Kind{ShutdownKill}},
	} {
		var events bytes.Buffer
		report, err := Run(t.Context(), Config{
			Seed: c.seed, Length: 9 * time.Second, Folder: t.TempDir(), Programs: programs, Net: 60 + i, Core: c.core, Tolerance: c.tolerance,
			Branch: 2, Clients: 2, Only: c.only, Log: &events,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %+v", c.seed, *report)
		if len(report.Violations) > 0 {
			t.Errorf("seed %d violated rules; events:\n%s", c.seed, events.String())
		}
		if report.Counts.Served < 100 || report.Counts.Acknowledged < 5 {
			t.Errorf("seed %d served or acknowledged too little: %+v", c.seed, report.Counts)
		}
	}
}

func TestPlanIsDeterminedBySeed(t *testing.T) {
	first, again, other := Plan(7, time.Minute, nil), Plan(7, time.Minute, nil), Plan(8, time.Minute, nil)
	if !slices.Equal(first, again) || slices.Equal(first, other) {
		t.Error("the plan is not determined by the seed")
	}
	overlaps := 0
	for i, x := range first {
		if i > 0 && first[i-1].At+first[i-1].For > x.At {
			overlaps++
		}
	}
	if overlaps < len(first)/2 {
		t.Errorf("%d of %d faults overlap", overlaps, len(first))
	}
	for _, only := range [][]Kind{{ProxyKill, ConfigRace}, {ShutdownKill}, {ShutdownKill, ProxyTerm}} {
		drawn := map[Kind]bool{}
		for _, x := range Plan(7, time.Minute, only) {
			drawn[x.Kind] = true
			if !slices.Contains(only, x.Kind) {
				t.Errorf("%v was not asked for", x.Kind)
			}
		}
		if len(drawn) != len(only) {
			t.Errorf("of %v only %v were drawn", only, drawn)
		}
	}
}

// seconds returns a time in a history, in seconds since the start of traffic.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Helpers for the judge's histories: a request that branch-1 serves, a modified copy of it, its run at a server, and an acknowledgement.

func served(id string) exchange {
	return exchange{
		id: id, machine: "branch-1", sent: seconds(10), ended: seconds(10.1), deadline: clientDeadline, status: http.StatusOK,
	}
}

func modify(x exchange, change func(*exchange)) exchange {
	change(&x)
	return x
}

func ran(j *Judge, id string, since time.Duration) {
	if j.requests[id] == nil {
		j.Sent(seconds(9.9), id, "branch-1", clientDeadline)
	}
	j.Arrived(seconds(10), "branch-1", mesh.Arrival{
		RequestID: id, Server: "i-1", Service: safeService, SinceClosing: since, Remaining: time.Second,
	})
}

func ranOn(j *Judge, id, server string, at float64, remaining time.Duration) {
	j.Arrived(seconds(at), "branch-1", mesh.Arrival{RequestID: id, Server: server, Service: safeService, Remaining: remaining})
}

// bothShares are the violations of a split route whose weights are not kept: the shares of both services are wrong.
var bothShares = strings.Join([]string{"CONFIG", "CONFIG"}, " ")

// runSplit records 300 successes on the split route, of which safe in a hundred are from the first service.
func runSplit(j *Judge, safe int) {
	for n := range 300 {
		id := fmt.Sprintf("split-%d", n)
		ran(j, id, 0)
		j.Ended(modify(served(id), func(x *exchange) {
			x.services = []string{safeService, unsafeService}
			if n%100 >= safe {
				x.serviceIndex = 1
			}
		}))
	}
}

func acknowledge(j *Judge, at float64, c change) {
	j.Acknowledged(seconds(at), seconds(at-0.1), c)
}

var version7 = newChange(7, "")

// judgeCases are small histories, each with the rules that it violates.
var judgeCases = []struct {
	name, want string // want: the violated rules; empty: none
	do         func(j *Judge)
}{
	{"a request is served", "", func(j *Judge) { ran(j, "a", 0); j.Ended(served("a")) }},
	{"a server reports that a call of its own has failed", "", func(j *Judge) {
		ran(j, "a", 0)
		j.BeginShutdown(seconds(9), "branch-1")
		j.Ended(modify(served("a"), func(x *exchange) { x.status, x.fromServer = http.StatusInternalServerError, true }))
	}},
	{"a split route follows its weights", "", func(j *Judge) { runSplit(j, 62) }},
	{"a split route sends all requests to one service", bothShares, func(j *Judge) { runSplit(j, 100) }},
	{"a split route has too few requests to judge its shares", "", func(j *Judge) {
		j.split[safeService] = 100
	}},
	{"a success that no server produced", "MIXED", func(j *Judge) { j.Ended(served("a")) }},
	{"the response of another request", "MIXED", func(j *Judge) {
		ran(j, "a", 0)
		j.Ended(modify(served("a"), func(x *exchange) { x.mismatched = true }))
	}},
	{"an unsafe request runs twice", "TWICE", func(j *Judge) { ran(j, "u", 0); ran(j, "u", 0) }},
	{"a rejected request has run", "REFUSED", func(j *Judge) {
		ran(j, "u", 0)
		j.Ended(modify(served("u"), func(x *exchange) { x.unsafe, x.status = true, 503 }))
	}},
	{"a request without a route", "DENIED", func(j *Judge) { j.Ended(modify(served("a"), func(x *exchange) { x.status = 404 })) }},
	{"a closing server gets a request", "DRAIN", func(j *Judge) { ran(j, "a", lastPost+time.Second) }},
	{"a closing server gets a request in time", "", func(j *Judge) { ran(j, "a", lastPost-time.Second) }},
	{"... from a machine with a fault", "", func(j *Judge) {
		j.AddFault(seconds(8), seconds(9), "branch-1")
		ran(j, "a", lastPost+time.Second)
	}},
	{"an acknowledged version is not in force", "CONFIG", func(j *Judge) {
		acknowledge(j, 5, version7)
		j.Ended(modify(served("a"), func(x *exchange) { x.markerVersion, x.status = 7, 404 }))
	}},
	{"... and the machine is not in touch", "", func(j *Judge) {
		acknowledge(j, 5, version7)
		j.AddFault(seconds(8), seconds(9), "branch-1")
		j.Ended(modify(served("a"), func(x *exchange) { x.markerVersion, x.status = 7, 404 }))
	}},
	{"... and inForceS is not over", "", func(j *Judge) {
		acknowledge(j, 9, version7)
		j.Ended(modify(served("a"), func(x *exchange) { x.markerVersion, x.status = 7, 404 }))
	}},
	{"a machine returns to an older version, in touch or not", "CONFIG", func(j *Judge) {
		j.AddFault(seconds(8), seconds(20), "branch-1")
		ran(j, "a", 0)
		j.Ended(modify(served("a"), func(x *exchange) { x.markerVersion = 7 }))
		j.Ended(modify(served("b"), func(x *exchange) { x.markerVersion, x.status, x.sent, x.ended = 6, 404, seconds(12), seconds(12.1) }))
	}},
	{"a new process may be behind", "", func(j *Judge) {
		ran(j, "a", 0)
		j.Ended(modify(served("a"), func(x *exchange) { x.markerVersion = 7 }))
		j.Ended(modify(served("b"), func(x *exchange) { x.markerVersion, x.status, x.incarnation, x.sent = 6, 404, 1, seconds(12) }))
	}},
	{"two contents of a version", "CONFIG", func(j *Judge) { acknowledge(j, 5, version7); acknowledge(j, 6, newChange(7, "rival")) }},
	{"acknowledged change is rejected", "CONFIG", func(j *Judge) { acknowledge(j, 5, version7); j.Conflict(seconds(6), version7, "core-1") }},
	{"an outdated configuration is read", "CONFIG", func(j *Judge) {
		acknowledge(j, 5, version7)
		old := newChange(6, "")
		j.Read(seconds(8), seconds(8.1), "core-1", 6, old.text)
	}},
	{"the newest configuration is read", "", func(j *Judge) {
		acknowledge(j, 5, version7)
		j.Read(seconds(8), seconds(8.1), "core-1", 7, version7.text)
	}},
	{"an acknowledgement takes too long", "ACKS", func(j *Judge) { j.Acknowledged(seconds(20), seconds(10), version7) }},
	{"... in a partition", "", func(j *Judge) {
		j.AddFault(seconds(11), seconds(15), core)
		j.Acknowledged(seconds(20), seconds(10), version7)
	}},
	{"a request is cut off around a SIGTERM", "LOST", func(j *Judge) {
		j.BeginShutdown(seconds(9), "branch-1")(seconds(14))
		j.Ended(modify(served("a"), func(x *exchange) { x.status = http.StatusBadGateway }))
	}},
	{"... because its server closed the connection", "", func(j *Judge) {
		j.BeginShutdown(seconds(9), "branch-1")(seconds(14))
		j.Sent(seconds(9.9), "a", "branch-1", clientDeadline)
		j.Arrived(seconds(10), "branch-1", mesh.Arrival{RequestID: "a", Server: "i-1", Remaining: time.Second, Aborted: true})
		j.Ended(modify(served("a"), func(x *exchange) { x.status = http.StatusBadGateway }))
	}},
	{"... in the last sixth of graceS", "", func(j *Judge) {
		j.BeginShutdown(seconds(9), "branch-1")(seconds(14.5))
		j.Ended(modify(served("a"), func(x *exchange) {
			x.ending, x.status, x.ended, x.deadline = broken, 0, seconds(14.2), time.Minute
		}))
	}},
	{"a request that no client has sent", "UNASKED", func(j *Judge) { ranOn(j, "nobody's", "i-1", 10, time.Second) }},
	{"requests reach servers long after their clients have cancelled them", "GONE", func(j *Judge) {
		for i := range 2 * maxAfterCancel {
			id := fmt.Sprint(i)
			j.Sent(seconds(9), id, "branch-1", clientDeadline)
			j.Ended(exchange{id: id, machine: "branch-1", sent: seconds(9), ended: seconds(9.1), ending: cancelled})
			ranOn(j, id, "i-1", 10.2, time.Second)
		}
	}},
	{"requests have no response after their deadline", "CONFIG", func(j *Judge) {
		for i := range 2 * exceptions {
			j.Ended(modify(served(fmt.Sprint(i)), func(x *exchange) { x.ending, x.status = expired, 0 }))
		}
	}},
	{"requests that have run get no response", "LOST", func(j *Judge) {
		for i := range 2 * exceptions {
			ran(j, fmt.Sprint(i), 0)
			j.Ended(modify(served(fmt.Sprint(i)), func(x *exchange) { x.ending, x.status = broken, 0 }))
		}
	}},
	{"... as their server has ended", "", func(j *Judge) {
		for i := range 2 * exceptions {
			ran(j, fmt.Sprint(i), 0)
			j.ServerEnded(seconds(10.05), "i-1")
			j.Ended(modify(served(fmt.Sprint(i)), func(x *exchange) { x.ending, x.status = broken, 0 }))
		}
	}},
	{"servers get a later deadline than the client's", "BUDGET", func(j *Judge) {
		for i := range 2 * maxLateDeadlines {
			j.Sent(seconds(9), fmt.Sprint(i), "branch-1", time.Second)
			ranOn(j, fmt.Sprint(i), "i-1", 9.5, 2*time.Second)
		}
	}},
	{"requests run on more servers than their attempts", "BUDGET", func(j *Judge) {
		for i := range 2 * exceptions {
			j.Sent(seconds(9), fmt.Sprint(i), "branch-1", clientDeadline)
			for server := range routeAttempts + 1 {
				ranOn(j, fmt.Sprint(i), fmt.Sprint("i-", server), 9.5, time.Second)
			}
		}
	}},
	{"a service gets too many retries", "BUDGET", func(j *Judge) {
		for i := range 2 * retrySlack {
			j.Sent(seconds(9), fmt.Sprint(i), "branch-1", clientDeadline)
			ranOn(j, fmt.Sprint(i), "i-1", 9.5, time.Second)
			ranOn(j, fmt.Sprint(i), "i-2", 9.6, time.Second)
		}
	}},
	{"... long after the SIGTERM", "LOST", func(j *Judge) {
		j.BeginShutdown(seconds(5), "branch-1")(seconds(10.5))
		j.Ended(modify(served("a"), func(x *exchange) { x.ending, x.status = broken, 0 }))
	}},
}

// The judge reports each violation, and reports nothing that the rules allow.
func TestJudge(t *testing.T) {
	for _, c := range judgeCases {
		j := NewJudge()
		c.do(j)
		j.Finish(seconds(30), []string{"u"})
		var rules []string
		for _, v := range j.Violations() {
			rules = append(rules, v.Rule)
		}
		if got := strings.Join(rules, " "); got != c.want {
			t.Errorf("%s: violated %q, want %q", c.name, got, c.want)
		}
	}
}

// Violated invariants are found in the processes' metrics, once per increase, and in their logs, which remain after a process has ended.
func TestViolatedInvariantsAreFound(t *testing.T) {
	r := &run{judge: NewJudge(), violationCounts: map[string]float64{}}
	for _, line := range []string{
		`firplank_invariant_violations_total{invariant="started_once"} 0`, `firplank_requests_total{outcome="served"} 9`,
		`firplank_invariant_violations_total{invariant="started_once"} 2`, `firplank_invariant_violations_total{invariant="started_once"} 2`,
	} {
		r.countViolations("branch-1", line)
	}
	if v := r.judge.Violations(); len(v) != 1 || !strings.Contains(v[0].What, "started_once") {
		t.Errorf("found %v", v)
	}
	for line, want := range map[string]bool{
		`{"level":"error","msg":"invariant violated","invariant":"started_once"}`: true, "panic: runtime error": true,
		"WARNING: DATA RACE": true, `{"level":"info","msg":"sidecar started"}`: false,
	} {
		if indicatesFault(line) != want {
			t.Errorf("%q: %v", line, !want)
		}
	}
}

// Run returns an error where the programs are missing, rather than a report without violations.
func TestRunWithoutProgramsFails(t *testing.T) {
	_, err := Run(t.Context(), Config{
		Folder: t.TempDir(), Programs: filepath.Join(t.TempDir(), "none"), Net: 63, Core: 1, Branch: 1, Length: time.Second,
	})
	if err == nil {
		t.Error("Run succeeded without programs")
	}
}
