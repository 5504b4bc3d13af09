// Package settings reads and checks the settings that a deployment gets at its start: the object in the simulator's first
// message to an instance, and the same object in a real sidecar's configuration. Both programs use it. It owns the keys and
// the checks; it doesn't depend on sockets or the simulator's frames. Parsed settings are never changed.
package settings

import (
	"fmt"
	"math"

	"firplank/balance"
	"firplank/internal/strictjson"
)

// Settings holds the checked settings of a deployment.
type Settings struct {
	Balance balance.Config // the balancer's configuration, in which names are replaced by indices

	// Names, by the index that the balancer uses for each.
	Classes, Tenants, Zones, Kinds []string
	Fields                         []string // of a load report
}

// settings is the JSON form of the settings. Unknown keys are ignored, as later versions add some. These keys are ignored as no
// decision needs them: names (decisions must not depend on a name), tiers and kinds of peers, family_info, the CPU limits (the
// loop over the servers is cheap enough for all of them), nines_full, and the penalties for what the balancer never does (moves,
// origin, fleet, discovery).
type settings struct {
	Classes []struct {
		Name          string   `json:"name"`
		Effect        string   `json:"effect"`
		DedupScope    string   `json:"group"`
		DedupWindow   *float64 `json:"window_ms"`
		LatencyTarget float64  `json:"on_time_ms"`
		TargetStretch float64  `json:"aim_stretch"`
		Deadline      float64  `json:"hard_limit_ms"`
		Value         *float64 `json:"worth"`
		LateValue     float64  `json:"late_worth"`
		Stream        bool     `json:"stream"`
	} `json:"classes"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"allowance_per_s"`
		Share float64 `json:"share"`
	} `json:"tenants"`
	Discovery string   `json:"discovery"`
	Index     int      `json:"my_number"`
	Peers     int      `json:"peers_total"`
	Zone      int      `json:"zone"`
	Zones     []string `json:"zones"`
	Kinds     []string `json:"kinds"`
	Weights   string   `json:"weights"`
	ValueBy   string   `json:"value_by"`
	Clients   struct {
		MarkRetries bool `json:"marks_retry"`
	} `json:"clients"`
	OverShareValue   *float64 `json:"over_share_worth"`
	MinBatchInterval float64  `json:"quantum_ms"`
	Report           struct {
		Via    string   `json:"via"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Limits struct {
		Cancel           bool    `json:"cancel"`
		ConnectTimeout   float64 `json:"connect_timeout_ms"`
		ConnIdle         float64 `json:"conn_idle_ms"`
		MaxAttempts      *int    `json:"max_attempts"`
		MaxRetryAfter    float64 `json:"max_retry_after_ms"`
		Messages         bool    `json:"may_tell"`
		MaxOpenRequests  int     `json:"open_cap"`
		ParallelAttempts bool    `json:"parallel_tries"`
		Probes           bool    `json:"probes"`
		RetryAfter       bool    `json:"retry_after"`
		StreamsPerConn   *int    `json:"streams_per_conn"`
	} `json:"limits"`
	Rules struct {
		AnswerSlack              float64  `json:"answer_slack_ms"`
		ListRefreshLimit         float64  `json:"ask_within_ms"`
		SlowStartInitialFraction *float64 `json:"cold_from"`
		SlowStartTime            float64  `json:"cold_ms"`
		DrainGrace               float64  `json:"drain_grace_ms"`
		ColdOverloadTime         float64  `json:"fall_ms"`
		ColdOverloadFactor       float64  `json:"fall_multiple"`
	} `json:"rules"`
	Goal struct { // convertible to balance.Goal, as Penalties is to balance.Penalties: fields are in the same order
		Total       float64 `json:"whole"`
		WorstWindow float64 `json:"worst_window"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
		Nines       float64 `json:"nines_part"`
	} `json:"result_mix"`
	Penalties struct {
		CrossZone  float64 `json:"cross_zone"`
		Waste      float64 `json:"waste"`
		Handshake  float64 `json:"handshake"`
		Probe      float64 `json:"probe"`
		Peer       float64 `json:"peer"`
		LateFail   float64 `json:"late_fail"`
		Connection float64 `json:"connection"`
	} `json:"penalties"`
}

var effects = map[string]balance.Effect{
	"read_like": balance.Safe, "idempotency_key": balance.Keyed, "non_idempotent": balance.Unsafe,
}

var dedupScopes = map[string]balance.DedupScope{
	"": balance.DedupAll, "all": balance.DedupAll, "zone": balance.DedupZone, "cell": balance.DedupCell,
}

var reportModes = map[string]balance.ReportMode{
	"": balance.ReportNone, "silent": balance.ReportNone,
	"piggyback": balance.ReportPiggyback, "pull": balance.ReportProbe,
}

var ratingKinds = map[string]balance.RatingKind{
	"": balance.RatingNone, "silent": balance.RatingNone, "nominal": balance.RatingNominal,
	"rough": balance.RatingRough, "live": balance.RatingLive,
}

var reportFields = map[string]balance.Field{
	"rif": balance.FieldInFlight, "q": balance.FieldQueue, "busy": balance.FieldUtil,
	"lat_ms": balance.FieldLatency, "rate": balance.FieldRate, "fail_rate": balance.FieldErrorRate,
}

// Parse reads and checks the settings; seed is for the balancer's random numbers. An error names the invalid key.
func Parse(seed uint64, text []byte) (*Settings, error) {
	var s settings
	if err := strictjson.UnmarshalNullable(text, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	cfg, err := s.config(seed)
	if err != nil {
		return nil, err
	}
	all := &Settings{Balance: cfg, Zones: s.Zones, Kinds: s.Kinds, Fields: s.Report.Fields}
	for _, c := range s.Classes {
		all.Classes = append(all.Classes, c.Name)
	}
	for _, t := range s.Tenants {
		all.Tenants = append(all.Tenants, t.Name)
	}
	return all, nil
}

// config returns the balancer's configuration.
func (s *settings) config(seed uint64) (balance.Config, error) {
	cfg := balance.Config{
		Seed: seed, Index: s.Index, Peers: max(s.Peers, 1), Zone: s.Zone,
		OverShareValue: valueOr(s.OverShareValue, 1), MinBatchInterval: s.MinBatchInterval,
		ParallelAttempts: s.Limits.ParallelAttempts, Cancel: s.Limits.Cancel, Probes: s.Limits.Probes,
		Messages: s.Limits.Messages, RetryAfter: s.Limits.RetryAfter,
		MaxRetryAfter: s.Limits.MaxRetryAfter, ConnectTimeout: s.Limits.ConnectTimeout, ConnIdle: s.Limits.ConnIdle,
		MaxAttempts: valueOr(s.Limits.MaxAttempts, 1), StreamsPerConn: valueOr(s.Limits.StreamsPerConn, 1),
		MaxOpenRequests: s.Limits.MaxOpenRequests,
		ValueByWork:     s.ValueBy == "work", ClientsMarkRetries: s.Clients.MarkRetries,
		DrainGrace:               s.Rules.DrainGrace,
		SlowStartInitialFraction: valueOr(s.Rules.SlowStartInitialFraction, 1), SlowStartTime: s.Rules.SlowStartTime,
		ColdOverloadFactor: s.Rules.ColdOverloadFactor, ColdOverloadTime: s.Rules.ColdOverloadTime,
		ListRefreshLimit: s.Rules.ListRefreshLimit, AnswerSlack: s.Rules.AnswerSlack,
		Goal:      balance.Goal(s.Goal),
		Penalties: balance.Penalties(s.Penalties),
	}
	switch s.Discovery {
	case "", "automatic":
	case "subscribe":
		cfg.Subscribe = true
	default:
		return cfg, fmt.Errorf("settings: unknown discovery %q", s.Discovery)
	}
	var ok bool
	if cfg.Reports, ok = reportModes[s.Report.Via]; !ok {
		return cfg, fmt.Errorf("settings: unknown report.via %q", s.Report.Via)
	}
	if cfg.Ratings, ok = ratingKinds[s.Weights]; !ok {
		cfg.Ratings = balance.RatingRough // a later version's value: the list has ratings of some kind
	}
	for _, name := range s.Report.Fields {
		cfg.Fields = append(cfg.Fields, reportFields[name])
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, balance.Tenant{Quota: t.Quota, Share: t.Share})
	}
	if err := s.addClasses(&cfg); err != nil {
		return cfg, err
	}
	return cfg, s.checkRules()
}

// checkRules rejects values that make no sense for any deployment. Replacing them by a default could break a rule.
func (s *settings) checkRules() error {
	r, l := &s.Rules, &s.Limits
	for _, c := range []struct {
		name  string
		value float64
	}{
		{"rules.answer_slack_ms", r.AnswerSlack}, {"rules.ask_within_ms", r.ListRefreshLimit}, {"rules.cold_ms", r.SlowStartTime},
		{"rules.drain_grace_ms", r.DrainGrace}, {"rules.fall_ms", r.ColdOverloadTime}, {"rules.fall_multiple", r.ColdOverloadFactor},
		{"limits.connect_timeout_ms", l.ConnectTimeout}, {"limits.conn_idle_ms", l.ConnIdle}, {"quantum_ms", s.MinBatchInterval},
		{"limits.max_retry_after_ms", l.MaxRetryAfter}, {"over_share_worth", valueOr(s.OverShareValue, 0)},
		{"limits.open_cap", float64(l.MaxOpenRequests)}, {"zone", float64(s.Zone)},
	} {
		if c.value < 0 {
			return fmt.Errorf("settings: %s is %v, below 0", c.name, c.value)
		}
	}
	if from := valueOr(r.SlowStartInitialFraction, 1); from < 0 || from > 1 {
		return fmt.Errorf("settings: rules.cold_from is %v: want 0 to 1", from)
	}
	if r.SlowStartTime > 0 && (r.ColdOverloadFactor == 0 || r.ColdOverloadTime == 0) {
		return fmt.Errorf("settings: rules.cold_ms is %v without fall_multiple or fall_ms", r.SlowStartTime)
	}
	if n := valueOr(l.MaxAttempts, 1); n < 1 {
		return fmt.Errorf("settings: limits.max_attempts is %d: want 1 or more", n)
	}
	return nil
}

// addClasses checks the classes and adds them to the configuration.
func (s *settings) addClasses(cfg *balance.Config) error {
	if len(s.Classes) == 0 {
		return fmt.Errorf("settings: no classes")
	}
	for i, c := range s.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return fmt.Errorf("settings: class %d: unknown effect %q", i, c.Effect)
		}
		group, ok := dedupScopes[c.DedupScope]
		if !ok {
			return fmt.Errorf("settings: class %d: unknown group %q", i, c.DedupScope)
		}
		if !(c.Deadline > 0) || c.LatencyTarget < 0 {
			return fmt.Errorf("settings: class %d: on_time_ms is %v and hard_limit_ms %v: want 0 or more, and more than 0",
				i, c.LatencyTarget, c.Deadline)
		}
		if valueOr(c.DedupWindow, 0) < 0 || valueOr(c.Value, 1) < 0 || c.LateValue < 0 || c.TargetStretch < 0 {
			return fmt.Errorf("settings: class %d: window_ms, worth, late_worth or aim_stretch is below 0", i)
		}
		if effect == balance.Keyed && c.DedupWindow == nil {
			return fmt.Errorf("settings: class %d: effect idempotency_key without window_ms", i)
		}
		aim := c.LatencyTarget
		if aim == 0 {
			aim = c.Deadline
		}
		cfg.Classes = append(cfg.Classes, balance.Class{
			Effect: effect, DedupScope: group, DedupWindow: valueOr(c.DedupWindow, math.Inf(1)), LatencyTarget: aim, TargetStretch: c.TargetStretch,
			Deadline: c.Deadline, Value: valueOr(c.Value, 1), LateValue: c.LateValue, Stream: c.Stream,
		})
	}
	return nil
}

// valueOr returns the value v points to, or fallback if v is nil.
func valueOr[T any](v *T, fallback T) T {
	if v == nil {
		return fallback
	}
	return *v
}
