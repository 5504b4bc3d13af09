package settings

import (
	"strings"
	"testing"

	"firplank/balance"
)

// parseBalance returns the balancer's configuration from the settings.
func parseBalance(seed uint64, text []byte) (balance.Config, error) {
	s, err := Parse(seed, text)
	if err != nil {
		return balance.Config{}, err
	}
	return s.Balance, nil
}

func TestSettings(t *testing.T) {
	cfg, err := parseBalance(9, []byte(`{"classes": [
		{"effect": "read_like", "on_time_ms": 300, "hard_limit_ms": 1500, "worth": 2, "late_worth": 0.3},
		{"effect": "idempotency_key", "group": "cell", "hard_limit_ms": 600, "window_ms": 700}],
		"a_new_key": {"x": [1]}, "discovery": "subscribe", "my_number": 2, "peers_total": 5,
		"limits": {"parallel_tries": true, "probes": true, "max_attempts": 4},
		"report": {"via": "pull", "fields": ["q", "new", "rif"]},
		"rules": {"cold_from": 0.2, "cold_ms": 9000, "fall_multiple": 3, "fall_ms": 700},
		"result_mix": {"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
		"penalties": {"cross_zone": 1, "waste": 2, "handshake": 3, "probe": 4, "peer": 5, "late_fail": 6, "moves": 7},
		"tenants": [{"share": 0.4, "allowance_per_s": 10}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Seed != 9 || !cfg.Subscribe || cfg.Index != 2 || cfg.Peers != 5 || !cfg.ParallelAttempts || !cfg.Probes ||
		cfg.Cancel || cfg.MaxAttempts != 4 || cfg.SlowStartInitialFraction != 0.2 || cfg.Tenants[0].Share != 0.4 {
		t.Errorf("%+v", cfg)
	}
	if want := (balance.Goal{Total: 0.4, WorstWindow: 0.3, WorstClass: 0.2, WorstTenant: 0.1}); cfg.Goal != want {
		t.Errorf("goal %+v", cfg.Goal)
	}
	want := balance.Penalties{CrossZone: 1, Waste: 2, Handshake: 3, Probe: 4, Peer: 5, LateFail: 6}
	if cfg.Penalties != want {
		t.Errorf("penalties %+v", cfg.Penalties)
	}
	second := cfg.Classes[1]
	if second.Effect != balance.Keyed || second.DedupScope != balance.DedupCell || second.LatencyTarget != 600 || second.Value != 1 {
		t.Errorf("class with omitted keys: %+v", second)
	}
	if cfg.Reports != balance.ReportProbe || len(cfg.Fields) != 3 || cfg.Fields[1] != balance.FieldUnknown {
		t.Errorf("reports %v %v", cfg.Reports, cfg.Fields)
	}
	for _, bad := range []string{
		``, `[]`, `{}`, `{"classes": []}`, `{"classes": [{"effect": "odd", "hard_limit_ms": 1}]}`,
		`{"classes": [{"effect": "read_like"}]}`, `{"classes": [{"effect": "read_like", "hard_limit_ms": -1}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "discovery": "guess"}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "report": {"via": "pigeon"}}`,
	} {
		if _, err := Parse(1, []byte(bad)); err == nil {
			t.Errorf("no error for %s", bad)
		}
	}
}

// The keys that deployments use are copied to the balancer's configuration, each with a value of its own.
func TestSettingsReachBalanceConfig(t *testing.T) {
	cfg, err := parseBalance(1, []byte(`{"classes": [
		{"effect": "idempotency_key", "group": "cell", "on_time_ms": 210, "hard_limit_ms": 700, "window_ms": 900},
		{"effect": "non_idempotent", "group": "all", "on_time_ms": 250, "hard_limit_ms": 900, "window_ms": 900}],
		"clients": {"marks_retry": true}, "value_by": "work", "weights": "nominal",
		"limits": {"open_cap": 77, "streams_per_conn": 8, "cpu_us_per_s": 9, "max_attempts": 2},
		"result_mix": {"whole": 0.5, "nines_part": 0.3, "nines_full": 3}, "penalties": {"connection": 0.02},
		"rules": {"cold_from": 0.1, "cold_ms": 8000, "fall_multiple": 2, "fall_ms": 900, "ask_within_ms": 7000}}`))
	if err != nil {
		t.Fatal(err)
	}
	if !cfg.ClientsMarkRetries || !cfg.ValueByWork || cfg.Ratings != balance.RatingNominal ||
		cfg.MaxOpenRequests != 77 || cfg.StreamsPerConn != 8 {
		t.Errorf("%+v", cfg)
	}
	if cfg.Goal.Nines != 0.3 || cfg.Penalties.Connection != 0.02 || cfg.ListRefreshLimit != 7000 || cfg.ColdOverloadFactor != 2 {
		t.Errorf("%+v", cfg)
	}
}

func TestInvalidSettingsAreErrors(t *testing.T) {
	const class = `"classes": [{"effect": "read_like", "hard_limit_ms": 500}]`
	for _, bad := range []string{
		`{` + class + `, ` + class + `}`, // a name twice
		`{` + class + `, "limits": {"open_cap": 4, "open_cap": 5}}`,
		`{` + class + `}]`,
		`{` + class + `, "rules": {"cold_ms": -1}}`,
		`{` + class + `, "rules": {"cold_from": 1.5}}`,
		`{` + class + `, "rules": {"cold_ms": 5000}}`, // fall_multiple and fall_ms are missing
		`{` + class + `, "rules": {"drain_grace_ms": -250}}`,
		`{` + class + `, "rules": {"fall_ms": 1e999}}`,
		`{` + class + `, "limits": {"max_attempts": 0}}`,
		`{` + class + `, "limits": {"open_cap": -4}}`,
		`{"classes": [{"effect": "idempotency_key", "hard_limit_ms": 500}]}`,
		`{"classes": [{"effect": "idempotency_key", "hard_limit_ms": 500, "window_ms": -1}]}`,
		`{"classes": [{"effect": "read_like", "hard_limit_ms": 500, "worth": -2}]}`,
	} {
		if _, err := Parse(1, []byte(bad)); err == nil || !strings.HasPrefix(err.Error(), "settings: ") {
			t.Errorf("%s: error %v", bad, err)
		}
	}
}

// The seed corpus runs in CI as an ordinary test.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"classes": [{"effect": "read_like", "hard_limit_ms": 1}], "rules": {"cold_ms": 1, "fall_ms": 1, "fall_multiple": 2}}`))
	f.Add([]byte(`{"classes": [{"effect": "idempotency_key", "group": "zone", "window_ms": 3, "hard_limit_ms": 1}], "tenants": [{}]}`))
	f.Add([]byte(`{"classes": null}`))
	f.Add([]byte(`[1e400]`))
	f.Fuzz(func(t *testing.T, in []byte) {
		cfg, err := parseBalance(1, in)
		if err == nil && (len(cfg.Classes) == 0 || cfg.MaxAttempts < 1 || cfg.DrainGrace < 0) {
			t.Fatalf("accepted: %+v", cfg)
		}
		if err == nil {
			b := balance.New(cfg)
			b.Start(0)
			if _, err := b.Handle(1, balance.Request{ID: 1, Remaining: 1}); err != nil {
				t.Fatal(err)
			}
		}
	})
}
