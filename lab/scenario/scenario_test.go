package scenario

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"firplank/lab/model"
)

func TestBuiltinScenariosAreValid(t *testing.T) {
	names := Builtin()
	if len(names) < 10 {
		t.Fatalf("%d built-in scenarios, want 10 or more", len(names))
	}
	struck := map[string]bool{}
	for _, name := range names {
		s, err := Open(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.About == "" || s.Name != name {
			t.Errorf("%s: name %q, about %q", name, s.Name, s.About)
		}
		if _, err := s.Draw(); err != nil {
			t.Error(err)
		}
		for _, f := range s.Faults {
			struck[f.Kind] = true
		}
	}
	kinds, _ := Kinds()
	for _, k := range kinds {
		if !struck[k] {
			t.Errorf("no built-in scenario has the fault %q", k)
		}
	}
}

// Errors in a file name the line or the key, and all errors are reported at once.
func TestParseReportsAllErrors(t *testing.T) {
	for text, want := range map[string]string{
		"rate = 10\nspeed = 3\n":                                       "day.toml:2: unknown key speed",
		"rate = 10\n[fleet]\ncell = 3\n":                               "day.toml:3: unknown key fleet.cell",
		"rate = \"much\"\n":                                            "day.toml:1: ",
		"rate = 10\nrate = 11\n":                                       "day.toml:",
		"rate = 0\n":                                                   "rate is 0",
		"length_s = 1e9\n":                                             "length_s is 1e+09",
		"sidecars = 1000\n":                                            "sidecars is 1000",
		"[roster]\nmode = \"guess\"\n":                                 `roster.mode is "guess"`,
		"[clients]\nhang_up = 1.5\n":                                   "clients.hang_up is 1.5",
		"[[class]]\nname = \"a\"\n":                                    "class a: effect",
		"[[fault]]\nkind = \"rain\"\n":                                 `fault 1: unknown kind "rain"`,
		"[[fault]]\nkind = \"slow\"\n":                                 "fault 1: slow: size is missing",
		"[[fault]]\nkind = \"silent\"\n":                               "fault 1: silent: for_s is missing",
		"[[fault]]\nkind = \"crash\"\ntarget = \"x\"\n":                `fault 1: crash: target "x"`,
		"[[fault]]\nkind = \"spoil\"\nshare = 0.5\nform = \"stale\"\n": "fault 1: spoil: form",
		"[[fault]]\nkind = \"crash\"\ntarget = \"share:2\"\n":          `target "share:2"`,
	} {
		if _, err := Parse("day.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one with %q", text, err, want)
		}
	}
	_, err := Parse("day.toml", []byte("rate = 0\nsidecars = 0\n"))
	if err == nil || !strings.Contains(err.Error(), "rate") || !strings.Contains(err.Error(), "sidecars") {
		t.Errorf("not every error is reported: %v", err)
	}
}

func parseScenario(t interface{ Fatal(...any) }, text string) *Scenario {
	s, err := Parse("small.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The same seed gives the same plan, another seed another one. A fault that affects servers changes no arrival.
func TestPlanIsDeterminedBySeed(t *testing.T) {
	draw := func(text string) *Plan {
		p, err := parseScenario(t, text).Draw()
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	a := draw("seed = 5\n")
	if !reflect.DeepEqual(a, draw("seed = 5\n")) {
		t.Error("the same seed draws another plan")
	}
	if !reflect.DeepEqual(a, draw("seed = 5\n[[fault]]\nkind = \"crash\"\ntarget = \"share:0.5\"\n")) {
		t.Error("a crash of servers changes the arrivals")
	}
	if reflect.DeepEqual(a, draw("seed = 6\n")) {
		t.Error("another seed draws the same plan")
	}
	first, again, second := a.Arrivals[3].Trace(5, 0), a.Arrivals[3].Trace(5, 0), a.Arrivals[3].Trace(5, 1)
	if first == second || first != again {
		t.Error("trace is not unique for each try, or not reproducible")
	}
}

// The work of a request depends only on the seed and its trace.
func TestWorkIsDeterminedByTrace(t *testing.T) {
	s := parseScenario(t, "seed = 5\n")
	w1, i1 := s.Work(0, "abc")
	s.Work(0, "other")
	if w2, i2 := s.Work(0, "abc"); w1 != w2 || i1 != i2 || w1 <= 0 {
		t.Errorf("work %v and %v, wait %v and %v", w1, w2, i1, i2)
	}
}

func TestSurgeMultipliesArrivals(t *testing.T) {
	s := parseScenario(t, "rate = 400\nlength_s = 20\n[[fault]]\nkind = \"surge\"\nat_s = 5\nfor_s = 5\nsize = 4\n")
	p, err := s.Draw()
	if err != nil {
		t.Fatal(err)
	}
	in, out := 0, 0
	for _, a := range p.Arrivals {
		if a.At >= 5*time.Second && a.At < 10*time.Second {
			in++
		} else {
			out++
		}
	}
	if in < 7500 || in > 8500 || out < 5600 || out > 6400 {
		t.Errorf("%d arrivals during the surge and %d outside of it", in, out)
	}
}

func TestPlanIsBounded(t *testing.T) {
	s := parseScenario(t, "rate = 20000\nlength_s = 600\n")
	if _, err := s.Draw(); err == nil {
		t.Error("a plan of 12 million arrivals was drawn")
	}
}

func TestAffectedBy(t *testing.T) {
	var fleet []Candidate
	for i := range 10 {
		fleet = append(fleet, Candidate{Number: i, Cell: i % 3, Kind: []string{"fast", "wide"}[i%2]})
	}
	for target, want := range map[string][]int{
		"all": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, "": {0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, "server:4": {4}, "cell:1": {1, 4, 7},
		"kind:wide": {1, 3, 5, 7, 9}, "server:77": nil,
	} {
		s := parseScenario(t, "[[fault]]\nkind = \"crash\"\ntarget = \""+target+"\"\n")
		if got := s.AffectedBy(0, fleet); !reflect.DeepEqual(got, want) {
			t.Errorf("%q affects %v, want %v", target, got, want)
		}
	}
	s := parseScenario(t, "[[fault]]\nkind = \"crash\"\ntarget = \"share:0.3\"\n")
	if got := s.AffectedBy(0, fleet); len(got) != 3 || !reflect.DeepEqual(got, s.AffectedBy(0, fleet)) {
		t.Errorf("a share of 0.3 affects %v", got)
	}
}

// For any outcome, a client makes no more tries than configured, never retries an unsafe request that may have run, waits at
// least as long as Retry-After says, and doesn't retry after its deadline.
func TestRetryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Clients{
			Retries: rapid.IntRange(0, 5).Draw(t, "retries"), BackoffMS: rapid.Float64Range(0, 200).Draw(t, "backoff"),
			HonorRetryAfter: rapid.Bool().Draw(t, "honour"),
		}
		effect := rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(t, "effect")
		try, end := rapid.IntRange(0, 6).Draw(t, "try"), Outcome(rapid.IntRange(0, 3).Draw(t, "end"))
		after := time.Duration(rapid.IntRange(0, 2000).Draw(t, "after")) * time.Millisecond
		left := time.Duration(rapid.IntRange(-10, 3000).Draw(t, "left")) * time.Millisecond
		wait, again := c.RetryDelay(model.Rand(1), effect, try, end, after, left)
		if !again {
			return
		}
		if end == Served || try >= c.Retries || effect == "unsafe" && end != Refused {
			t.Fatalf("try %d with outcome %v was retried", try, end)
		}
		if wait >= left || c.HonorRetryAfter && end == Refused && wait < after {
			t.Fatalf("waits %v with %v left, Retry-After %v", wait, left, after)
		}
	})
}

// For any text, an accepted scenario can be drawn, or Draw returns an error.
func FuzzParse(f *testing.F) {
	for _, name := range Builtin() {
		text, err := builtin.ReadFile("builtin/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte("rate = nan\nlength_s = inf\n"))
	f.Add([]byte("[[class]]\nname = \"a\"\nshare = 1e300\neffect = \"safe\"\ndist = \"pareto\"\naim_ms = 1\ndeadline_ms = 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz.toml", text)
		if err != nil {
			return
		}
		if s.Rate*s.LengthS > 10000 { // bounded, but too slow for fuzzing
			return
		}
		p, err := s.Draw()
		if err != nil {
			return
		}
		for i := range p.Arrivals {
			a := &p.Arrivals[i]
			if a.Class >= len(s.Classes) || a.Tenant >= len(s.Tenants) || a.Sidecar >= s.Sidecars || a.At < 0 {
				t.Fatalf("arrival %+v", a)
			}
			s.Work(a.Class, a.Trace(s.Seed, 0))
		}
	})
}
