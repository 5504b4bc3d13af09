package run

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/internal/sidecar"
	"firplank/lab/judge"
	"firplank/lab/peer"
	"firplank/lab/scenario"
)

// roleVar is the environment variable with which the test binary starts itself as a sidecar, a peer or a faulty proxy.
const roleVar = "FIRPLANK_LAB_ROLE"

// optionsVar is the environment variable with the path of its options file.
const optionsVar = "FIRPLANK_LAB_OPTIONS"

func TestMain(m *testing.M) {
	switch r := os.Getenv(roleVar); {
	case r == "sidecar":
		if err := sidecar.Main(os.Getenv, os.Getenv(optionsVar), os.Stderr); err != nil {
			_, _ = os.Stderr.WriteString(err.Error())
			os.Exit(1)
		}
	case strings.HasPrefix(r, "peer:"):
		if err := peer.Run(untilTerminated(), strings.TrimPrefix(r, "peer:"), os.Getenv); err != nil {
			os.Exit(1)
		}
	case r != "":
		runFaultyProxy(r)
	default:
		goleak.VerifyTestMain(m)
	}
}

func testProgram(t *testing.T, name string) Program {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Program{Args: []string{self}, Env: []string{roleVar + "=" + name}, OptionsVar: optionsVar}
}

// extraSlack is added to the time limits of the rules, for a loaded machine and the race detector.
const extraSlack = 700 * time.Millisecond

func playText(t *testing.T, program Program, text string) *Report {
	t.Helper()
	return playWith(t, Options{Program: program, ExtraSlack: extraSlack}, text)
}

func playWith(t *testing.T, opts Options, text string) *Report {
	t.Helper()
	s, err := scenario.Parse(t.Name()+".toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	r, err := Play(ctx, s, opts)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func requirePass(t *testing.T, r *Report) {
	t.Helper()
	if !r.Good() {
		var b bytes.Buffer
		if err := r.Table(&b); err != nil {
			t.Error(err)
		}
		t.Errorf("\n%s", b.String())
	}
}

func TestScenarioWithoutFaults(t *testing.T) {
	r := playWith(t, Options{Program: testProgram(t, "sidecar"), ExtraSlack: extraSlack, Graphite: true},
		"rate = 60\nlength_s = 3\nsidecars = 2\n")
	requirePass(t, r)
	served := 0
	for _, told := range r.Reported {
		served += told.Served
	}
	if served != r.Total.InAim+r.Total.Late {
		t.Errorf("Graphite received %d served, the clients %d", served, r.Total.InAim+r.Total.Late)
	}
	if r.Total.Asked < 100 || r.Total.InAim+r.Total.Late < r.Total.Asked*9/10 {
		t.Errorf("total %+v", r.Total)
	}
	if r.Use.CPU <= 0 || r.Use.MemoryKB <= 0 || r.Attempts < r.Total.Asked*9/10 {
		t.Errorf("use %+v, %d attempts", r.Use, r.Attempts)
	}
	var page, report bytes.Buffer
	if err := r.HTML(&page); err != nil || !strings.Contains(page.String(), "as reported to Graphite</h2><svg") ||
		strings.Contains(page.String(), "src=") {
		t.Errorf("page of %d bytes, %v", page.Len(), err)
	}
	if err := json.NewEncoder(&report).Encode(r); err != nil {
		t.Error(err)
	}
}

// faultyScenario is the scenario that the faulty proxies run in.
const faultyScenario = `
length_s = 2.5
rate = 60
sidecars = 1
[clients]
retries = 0
[roster]
delay_ms = 50
[fleet]
cells = 2
cold_s = 600
cold_from = 0.004
fall_s = 1
[[fleet.kind]]
name = "big"
count = 4
cores = 4
speed = 3
slots_per_core = 20
queue_per_core = 20
[[class]]
name = "read"
share = 0.5
effect = "safe"
work_ms = 5
dist = "fixed"
aim_ms = 500
deadline_ms = 1500
worth = 1
[[class]]
name = "pay"
share = 0.5
effect = "unsafe"
work_ms = 5
dist = "fixed"
aim_ms = 500
deadline_ms = 1500
worth = 1
`

// Each faulty proxy breaks one rule on purpose, and the judge must report that rule and no other. The first proxy breaks none,
// which guards against findings that the laboratory causes itself.
func TestJudgeCatchesFaultyProxies(t *testing.T) {
	const drains = "[[fault]]\nat_s = 0.4\nfor_s = 20\nkind = \"drain\"\ntarget = \"server:0\"\n"
	const grows = "[[fault]]\nat_s = 0.2\nkind = \"grow\"\nsize = 1\n"
	for _, c := range []struct {
		proxy string
		want  judge.Rule
		more  string
	}{
		{"faulty:none", "", ""},
		{"faulty:loses", judge.Lost, ""},
		{"faulty:late", judge.Lost, ""},
		{"faulty:answers_twice", judge.Lost, ""},
		{"faulty:repeats_unsafe", judge.Twice, ""},
		{"faulty:refuses_what_ran", judge.Twice, ""},
		{"faulty:ignores_drains", judge.Drain, drains},
		{"faulty:rushes_to_new", judge.PushedOver, grows},
		{"faulty:mixes_answers", judge.Foreign, ""},
		{"faulty:invents", judge.Foreign, ""},
		{"faulty:sends_after", judge.After, ""},
	} {
		t.Run(c.proxy, func(t *testing.T) {
			t.Parallel()
			text := faultyScenario + c.more
			r := playText(t, testProgram(t, c.proxy), text)
			for _, rule := range judge.Rules {
				if broken := r.Verdict.Counts[rule] > 0; broken != (rule == c.want) {
					t.Errorf("rule %q: broken is %v: %v", rule, broken, r.Verdict.Findings)
				}
			}
			if len(r.Crashes) > 0 {
				t.Errorf("crashes %v", r.Crashes)
			}
		})
	}
}

// A sidecar that exits without being stopped is reported as a crash, whatever the judge finds.
func TestCrashIsReported(t *testing.T) {
	r := playText(t, testProgram(t, "faulty:dies"), "rate = 40\nlength_s = 2\nsidecars = 1\n")
	if len(r.Crashes) == 0 || !strings.Contains(r.Crashes[0], "has ended") {
		t.Errorf("crashes %v", r.Crashes)
	}
}

// protocolPairs are the protocols of clients and servers.
var protocolPairs = map[string]string{
	"HTTP to HTTP": "", "HTTP to RPC": "[fleet]\nprotocol = \"msgpack-rpc\"\n", "RPC to HTTP": "protocol = \"msgpack-rpc\"\n",
	"RPC to RPC": "protocol = \"msgpack-rpc\"\n[fleet]\nprotocol = \"msgpack-rpc\"\n",
}

// The rules hold with real sidecars under every kind of fault and every pair of protocols: one final response for every
// request, nothing run twice, no requests to drained servers. The served share depends on the machine and is not judged.
func TestConformance(t *testing.T) {
	// The clients table is last in each scenario, so that protocolPairs can append the protocol of clients to it.
	const few = "rate = 50\nsidecars = 2\nlength_s = 4\n"
	const clients = "[clients]\nretries = 1\nfailover = true\n"
	fault := func(kind, target string, at, lasts float64, more ...string) string {
		b := strings.Builder{}
		json := func(x float64) string { text, _ := json.Marshal(x); return string(text) }
		b.WriteString("[[fault]]\nkind = \"" + kind + "\"\nat_s = " + json(at) + "\nfor_s = " + json(lasts) + "\n")
		if target != "" {
			b.WriteString("target = \"" + target + "\"\n")
		}
		for _, m := range more {
			b.WriteString(m + "\n")
		}
		return b.String()
	}
	spoil := func(target, form string) string {
		return fault("spoil", target, 0.2, 3, "share = 0.4", "form = \""+form+"\"")
	}
	for name, text := range map[string]string{
		"servers die and return": few + fault("crash", "server:1", 0.5, 1) + fault("replace", "server:2", 1, 0) +
			fault("leave_return", "server:3", 1.5, 1) + fault("crash", "share:0.2", 2.5, 0.5) + clients,
		"all servers drain while others start": few + fault("drain", "all", 1, 1.5) + fault("grow", "", 0.8, 0, "size = 4") + clients,
		"servers go bad, one silent, a link cut": few + fault("slow", "cell:0", 0.5, 1.5, "size = 5") +
			fault("error", "server:1", 0.5, 2, "share = 0.5") + fault("late_reports", "all", 1, 2, "size = 2") +
			fault("silent", "server:0", 0.5, 1.5) + fault("cut", "cell:1", 2, 1.5, "size = 1") + clients,
		"sidecars are killed, stopped and restarted": few + fault("kill", "sidecar:0", 0.7, 0.3) + fault("stop", "sidecar:1", 1.5, 0.8) +
			fault("term", "sidecar:0", 2.6, 0) + fault("hup", "all", 0.4, 0) + clients,
		"roster": few + fault("roster_slow", "", 0.2, 0.6, "size = 0.3") + fault("roster_down", "", 1, 1) + fault("roster_garble", "", 2.2, 0.4) +
			fault("roster_restart", "", 2.8, 0) + fault("drain", "server:4", 1.2, 1) + fault("drain", "server:5", 3, 0.8) + clients,
		"pushed list, a surge, the fleet doubles and halves": few + fault("roster_down", "", 1, 1) + fault("drain", "server:0", 0.5, 1) +
			fault("grow", "", 0.3, 0, "size = 8") + fault("drain", "kind:fast", 1.8, 1) + fault("surge", "", 1, 1, "size = 8") +
			"[roster]\nmode = \"push\"\nalways_full = true\ndelay_ms = 50\n" + clients,
		"odd clients": few + fault("flood", "", 0.5, 1.5, "size = 40") +
			"[clients]\nhang_up = 0.1\nhalf_close = 0.1\nslow_reader = 0.1\nmarks = true\n",
		"spoilt answers": few + spoil("server:0", "noise") + spoil("server:1", "endless_head") + spoil("server:2", "long_length") +
			spoil("server:3", "huge_length") + spoil("server:4", "cut_off") + spoil("server:5", "interim") +
			spoil("server:6", "pieces") + spoil("server:7", "short_length") + clients,
		"answers with more than belongs to them": few + spoil("cell:0", "second_copy") + spoil("server:1", "bad_report") +
			spoil("server:3", "wrong_id") + clients,
	} {
		for pair, protocols := range protocolPairs {
			t.Run(name+"/"+pair, func(t *testing.T) {
				t.Parallel()
				requirePass(t, playText(t, testProgram(t, "sidecar"), text+protocols))
			})
		}
	}
}

// Sidecars are killed while keyed requests are in flight. Guards against lost or repeated requests: the client's retry reaches
// another sidecar within the window, and the servers run the request once.
func TestKeyedRequestsSurviveKilledSidecar(t *testing.T) {
	r := playText(t, testProgram(t, "sidecar"), `
rate = 120
length_s = 4
sidecars = 5
[clients]
retries = 2
backoff_ms = 30
failover = true
try_share = 0.5
[[class]]
name = "issue"
share = 1
effect = "keyed"
group = "all"
window_ms = 10000
work_ms = 5
wait_ms = 150
dist = "fixed"
aim_ms = 2000
deadline_ms = 4000
worth = 1
[[fault]]
kind = "kill"
target = "sidecar:2"
at_s = 1
for_s = 0.4
[[fault]]
kind = "kill"
target = "sidecar:4"
at_s = 2
for_s = 0.4
`)
	requirePass(t, r)
	if r.Verdict.Excused == 0 {
		t.Error("nothing was in flight at the kills")
	}
	if r.Verdict.Repeats > 0 {
		t.Errorf("%d keys ran twice", r.Verdict.Repeats)
	}
	if lost := r.Total.Asked - r.Total.InAim - r.Total.Late; lost > 0 {
		t.Errorf("%d of %d were not served in the end", lost, r.Total.Asked)
	}
}

// A sidecar with a share of a core is limited to it.
func TestCPUQuotaIsEnforced(t *testing.T) {
	r := playText(t, testProgram(t, "faulty:spins"), "rate = 20\nlength_s = 3\nsidecars = 1\n[limits]\ncores = 0.25\n[clients]\nretries = 0\n")
	// The extra second covers the start and the time before the first check.
	if used := r.Use.CPU.Seconds(); used < 0.3 || used > 0.25*3+1 {
		t.Errorf("%.2f s of CPU time in 3 s at a quarter of a core", used)
	}
}

// A sidecar with a share of a core gets many times its usual load at once. It rejects the requests above its capacity, loses
// none, and still serves.
func TestOverloadIsShed(t *testing.T) {
	program := testProgram(t, "sidecar")
	program.Options = "testdata/door.toml"
	r := playText(t, program, "rate = 60\nlength_s = 4\nsidecars = 1\n"+overload)
	requirePass(t, r)
	if r.Total.Refused == 0 || r.Total.InAim == 0 {
		t.Errorf("%d refused, %d served in aim", r.Total.Refused, r.Total.InAim)
	}
}

// Idle connections all send a request at the same time. Each request gets its response, on the same connection.
func TestHeldConnectionsSendAtOnce(t *testing.T) {
	program := testProgram(t, "sidecar")
	program.Options = "testdata/door.toml"
	r := playText(t, program, `
rate = 20
length_s = 6
sidecars = 2
[limits]
sockets = 1600
[clients]
held = 300
retries = 0
[[fault]]
at_s = 3 # later than silent connections are let go by other options
for_s = 1
kind = "rush"
`)
	requirePass(t, r)
	if r.Total.Asked < 600 || r.Total.InAim+r.Total.Late < 100 || r.Total.Lost > 0 {
		t.Errorf("%+v", r.Total)
	}
}

func TestPeersServe(t *testing.T) {
	for _, policy := range append(slices.Clone(peer.Policies), peer.Fast) {
		t.Run(policy, func(t *testing.T) {
			t.Parallel()
			r := playText(t, testProgram(t, "peer:"+policy), "rate = 40\nlength_s = 2\nsidecars = 1\n")
			if len(r.Crashes) > 0 || r.Total.InAim+r.Total.Late < r.Total.Asked/2 {
				t.Errorf("total %+v, crashes %v", r.Total, r.Crashes)
			}
		})
	}
}

// playAll plays built-in scenarios in parallel.
func playAll(t *testing.T, names []string) (reports []*Report, errs []error) {
	reports, errs = make([]*Report, len(names)), make([]error, len(names))
	program := testProgram(t, "sidecar")
	var playing sync.WaitGroup
	for i, name := range names {
		playing.Go(func() {
			s, err := scenario.Open(name)
			if err == nil {
				reports[i], err = Play(t.Context(), s, Options{Program: program, ExtraSlack: extraSlack})
			}
			errs[i] = err
		})
	}
	playing.Wait()
	return reports, errs
}

// The fleet-wide sums that sidecars exchange stay within the clients' counts during a network partition, and during kills and
// restarts under load. The sums are checked each second, and all sidecars must report equal sums afterwards.
func TestSharedSumsStayWithinBounds(t *testing.T) {
	t.Parallel()
	names := []string{"talk-split", "talk-restart"}
	reports, errs := playAll(t, names)
	for i, r := range reports {
		if errs[i] != nil {
			t.Fatal(names[i], errs[i])
		}
		requirePass(t, r)
		if r.FleetChecks < 40 || r.Datagrams == 0 {
			t.Errorf("%s: %d checks, %d datagrams", names[i], r.FleetChecks, r.Datagrams)
		}
	}
}

// Scenarios with many sidecars and little traffic each: all sidecars restart while servers are replaced, most servers change
// under running sidecars, and a roster fails in every way during a release. They spend most of the time waiting, so all run in
// parallel.
func TestFleetScenarios(t *testing.T) {
	t.Parallel()
	names := []string{"fleet-roll", "fleet-join", "long-deadlines", "roster-broken"}
	reports, errs := playAll(t, names)
	for i, r := range reports {
		if errs[i] != nil {
			t.Fatal(names[i], errs[i])
		}
		requirePass(t, r)
	}
}
