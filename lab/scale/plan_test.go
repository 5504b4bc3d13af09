package scale

import (
	"encoding/json"
	"testing"
	"time"

	"firplank/mesh/config"
	"firplank/mesh/configversion"
)

func testPlan() Plan {
	return Plan{
		Sizes: []int{100, 1000}, Repeats: 1, Control: 4, Real: 12, Zones: 8, Services: 330, Routes: 2,
		StartsPerS: 100, Quiet: time.Second, Changes: 1, ChangeInterval: time.Second, Net: 78,
	}
}

func TestCheckRejectsInvalidPlans(t *testing.T) {
	good := testPlan()
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Plan){
		"no sizes":               func(p *Plan) { p.Sizes = nil },
		"too large":              func(p *Plan) { p.Sizes = []int{maxSize + 1} },
		"only real sidecars":     func(p *Plan) { p.Sizes = []int{12} },
		"no majority":            func(p *Plan) { p.Control = 2 },
		"no zone":                func(p *Plan) { p.Zones = 0 },
		"too many real sidecars": func(p *Plan) { p.Real = 101 },
		"no time to measure":     func(p *Plan) { p.Quiet = 0 },
	} {
		p := testPlan()
		if spoil(&p); p.Check() == nil {
			t.Errorf("%s: plan accepted", name)
		}
	}
}

func TestHollowSidecarsHaveUniqueAddresses(t *testing.T) {
	p := testPlan()
	seen, zones, lines := map[string]bool{}, map[string]bool{}, map[string]bool{}
	all := p.hollows(maxSize)
	for _, s := range all {
		seen[s.PeerAddr], seen[s.Node] = true, true
		zones[s.Zone], lines[s.Service] = true, true
	}
	if len(seen) != 2*len(all) || len(zones) != p.Zones || len(lines) != p.Services || len(all) != maxSize-p.Real {
		t.Errorf("%d sidecars: %d names and addresses, %d zones, %d services", len(all), len(seen), len(zones), len(lines))
	}
}

func TestEachEditionChangesOneService(t *testing.T) {
	p := testPlan()
	one, two := p.document(1), p.document(2)
	text, err := json.Marshal(two)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Version != configversion.Of(2) || cfg.RouteCount() != 660 || len(cfg.Services) != 330 {
		t.Errorf("edition %v, %d routes, %d services", cfg.Version, cfg.RouteCount(), len(cfg.Services))
	}
	changed := 0
	for i := range one.VirtualHosts {
		if one.VirtualHosts[i].Routes[0].Action.TimeoutS != two.VirtualHosts[i].Routes[0].Action.TimeoutS {
			changed++
		}
	}
	if changed != 2 { // the one reset to its default time-out and the one with a new one
		t.Errorf("%d services changed, want 2", changed)
	}
}

func TestProcessorTimeParsedAfterNameWithBrackets(t *testing.T) {
	got, err := cpuOf("42 (a ) b 1 2) S 1 42 42 0 -1 4194304 100 0 0 0 150 50 0 0 20 0 9 0 1 2 3")
	if err != nil || got != 2*time.Second {
		t.Errorf("%v, %v", got, err)
	}
	for _, broken := range []string{"", "42 (a) S 1 2", "42 (a) S 1 42 42 0 -1 4194304 100 0 0 0 x 50 0"} {
		if _, err := cpuOf(broken); err == nil {
			t.Errorf("%q: accepted", broken)
		}
	}
}

func TestFieldsAreFoundByName(t *testing.T) {
	text := "VmPeak:\t  900 kB\nVmRSS:\t  512 kB\nrchar: 77\n"
	if field(text, "VmRSS:") != 512 || field(text, "rchar:") != 77 || field(text, "wchar:") != 0 {
		t.Error("wrong number")
	}
}
