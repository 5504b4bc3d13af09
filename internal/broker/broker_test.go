package broker

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"firplank/balance"
	"firplank/contract"
	"firplank/internal/core"
)

func testCatalog(t *testing.T) *core.Catalog {
	t.Helper()
	rules := []balance.Class{{Effect: balance.Keyed, Deadline: 900, Value: 8}, {Deadline: 2000, Value: 3}, {Deadline: 500, Value: 1}}
	c, err := core.NewCatalog(rules, []string{"reserve", "lookup", "lite"}, []string{"north", "south"})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

var deployment = contract.Deployment{
	Classes: []contract.Class{{Name: "reserve", Worth: 8, Effect: 1}, {Name: "lookup", Worth: 3}, {Name: "lite", Worth: 1}}, Capacity: 100,
}

// load writes files of contracts, by name, to a folder and loads them.
func load(t *testing.T, files map[string]string) (*contract.Set, error) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return Load(dir, deployment, testCatalog(t))
}

const north = `
[[team]]
name = "north"
tenants = ["north"]
worth_per_s = 10
burst = 8
over = "degrade"
[team.retries]
identity = "object"
share = 0
floor_per_s = 0
[[team.class]]
name = "reserve"
[[team.class]]
name = "lookup"
degrade = "lite"
`

// All faults of all files are reported at once, with file and line. A token that was configured instead of its hash is not printed.
func TestErrorsHaveFileAndLine(t *testing.T) {
	for change, want := range map[[2]string]string{
		{`burst = 8`, `burst = 7`}:                                "a.toml:6: team \"north\": burst: 7 is less",
		{`"degrade"`, `"steal"`}:                                  "a.toml:7: team \"north\": over: \"steal\"",
		{`"object"`, `"name"`}:                                    "a.toml:9: team \"north\": retries.identity",
		{`share = 0`, `share = 2`}:                                "a.toml:10: team \"north\": retries.share: 2",
		{`name = "lookup"`, `name = "sell"`}:                      "team \"north\": class: the settings have no class \"sell\"",
		{`degrade = "lite"`, `degrade = "reserve"`}:               "a.toml:16: team \"north\": degrade",
		{`worth_per_s = 10`, `worth_per_s = "ten"`}:               "a.toml:5",
		{`worth_per_s = 10`, `worth = 10`}:                        "a.toml:5: unknown key team.worth",
		{`tenants = ["north"]`, `token_sha256 = ["secret word"]`}: "a.toml:4: team \"north\": token_sha256",
	} {
		_, err := load(t, map[string]string{
			"a.toml": strings.Replace(north, change[0], change[1], 1), "b.toml": "\n[[team]]\nname = \"south\"\n", "c.txt": "none",
		})
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "b.toml:2: team \"south\": tenants") {
			t.Errorf("%v: %v", change, err)
		}
		if err != nil && strings.Contains(err.Error(), "secret") {
			t.Errorf("the error contains a token: %v", err)
		}
	}
	if _, err := load(t, map[string]string{"a.txt": ""}); err == nil {
		t.Error("a folder without contracts was loaded")
	}
	if _, err := load(t, map[string]string{"a.toml": north, "b.toml": north}); err == nil ||
		!strings.Contains(err.Error(), "b.toml:3: team \"north\": name: duplicate team \"north\"") {
		t.Errorf("one team in two files: %v", err)
	}
}

func newGate(t *testing.T) *Gate {
	t.Helper()
	set, err := load(t, map[string]string{"a.toml": north})
	if err != nil {
		t.Fatal(err)
	}
	return New(set, testCatalog(t), true)
}

func newCall(class int, name string) *core.Call {
	return &core.Call{
		Request: balance.Request{Class: class, Remaining: 1e4},
		Message: core.Message{Tenant: "north", Class: name, Object: "plate 7"},
	}
}

// A request is charged, degraded with the class's name and deadline, rejected with a RetryAfter, or denied.
func TestGateAdmit(t *testing.T) {
	g := newGate(t)
	first, a := g.Admit(0, newCall(1, "lookup"))
	if a != nil || !first.Valid() {
		t.Fatalf("the first: %+v", a)
	}
	g.Release(0, first, false) // not executed, so that the charge is refunded
	call := newCall(0, "reserve")
	call.Message.Object = "plate 8"
	if _, a := g.Admit(0, call); a != nil {
		t.Fatalf("a whole burst: %+v", a)
	}
	lesser := newCall(1, "lookup")
	lesser.Message.Object = "plate 9"
	if _, a := g.Admit(100*time.Millisecond, lesser); a != nil || lesser.Message.Class != "lite" ||
		lesser.Request.Class != 2 || lesser.Request.Remaining != 500 {
		t.Errorf("degraded: %+v, %+v", a, lesser)
	}
	other := newCall(0, "reserve")
	other.Message.Object = "plate 10"
	if _, a := g.Admit(100*time.Millisecond, other); a == nil || a.Kind != core.Refused || a.Reason != core.RateLimited ||
		a.RetryAfter != 800*time.Millisecond {
		t.Errorf("over budget: %+v", a)
	}
	again := newCall(1, "lookup") // the same object counts as a retry, and there is no retry budget
	if _, a := g.Admit(5*time.Second, again); a == nil || !strings.Contains(a.Text, "over_retries") {
		t.Errorf("a retry: %+v", a)
	}
	for name, call := range map[string]*core.Call{
		"no_class": newCall(2, "lite"), "no_team": {Message: core.Message{Tenant: "south"}},
	} {
		if _, a := g.Admit(0, call); a == nil || a.Kind != core.Failed || a.Reason != core.Forbidden || !strings.Contains(a.Text, name) {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// Any file yields either an error or a set of contracts, and no panic.
func FuzzLoad(f *testing.F) {
	f.Add(north)
	f.Add("[[team]]\n[[team]]\nname = \"a\"\n[team.retries]\nwindow_s = -1e300\n")
	f.Add("team = [{name = \"a\", class = [{name = \"lookup\"}]}]\n")
	f.Add("[team]\nname = \"a\"\n")
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, text string) {
		if err := os.WriteFile(filepath.Join(dir, "a.toml"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		set, err := Load(dir, deployment, testCatalog(t))
		if (set == nil) == (err == nil) {
			t.Errorf("%v, %v", set, err)
		}
	})
}
