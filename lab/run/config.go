package run

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"cedararch/lab/scenario"
	"cedararch/lab/standin"
)

// object is a JSON object.
type object = map[string]any

var effectWords = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}

// reports are the figures of the servers' load reports, and the words that the settings have for them.
var reports, reportWords = []string{"util", "qps"}, []string{"busy", "rate"}

const (
	zone        = "lab-1"
	answerSlack = 8 // ms, of the settings
	askWithin   = 6000
)

// settings renders the scenario as the settings that a sidecar is given.
func settings(s *scenario.Scenario, number int) object {
	var classes, tenants, kinds []any
	for _, c := range s.Classes {
		group := c.Group
		if group == "" {
			group = "all"
		}
		classes = append(classes, object{
			"name": c.Name, "effect": effectWords[c.Effect], "group": group, "on_time_ms": c.AimMS,
			"hard_limit_ms": c.DeadlineMS, "window_ms": c.WindowMS, "worth": c.Worth, "late_worth": c.LateWorth,
		})
	}
	shares := 0.0
	for _, t := range s.Tenants {
		shares += t.Share
	}
	for _, t := range s.Tenants {
		// Shares are of what the fleet can do, told in requests of the usual mix.
		allowance := t.Share / shares * s.Rate * s.Capacity() / s.Demand() * 0.85
		tenants = append(tenants, object{"name": t.Name, "share": t.Share / shares, "allowance_per_s": allowance})
	}
	for _, k := range s.Fleet.Kinds {
		kinds = append(kinds, k.Name)
	}
	how := "subscribe"
	if s.Roster.Mode == "push" {
		how = "automatic"
	}
	return object{
		"classes": classes, "tenants": tenants, "kinds": kinds, "zones": []string{zone}, "zone": 0, "weights": "rough",
		"discovery": how, "my_number": number, "peers_total": s.Sidecars, "quantum_ms": 2, "over_share_worth": 0.2,
		"clients": object{"marks_retry": s.Clients.Marks},
		"limits": object{
			"cancel": true, "conn_idle_ms": s.Fleet.IdleS * 1000, "connect_timeout_ms": 250, "max_attempts": 6,
			"max_retry_after_ms": 2000, "open_cap": 20000, "parallel_tries": true, "probes": true, "retry_after": true,
			"streams_per_conn": 1,
		},
		"report":     object{"fields": reportWords, "via": "piggyback"},
		"result_mix": object{"whole": 0.55, "worst_window": 0.15, "worst_class": 0.05, "worst_tenant": 0.25},
		"rules": object{
			"answer_slack_ms": answerSlack, "ask_within_ms": askWithin, "cold_from": s.Fleet.ColdFrom,
			"cold_ms": s.Fleet.ColdS * 1000, "drain_grace_ms": s.Fleet.DrainGraceMS, "fall_ms": s.Fleet.FallS * 1000,
			"fall_multiple": s.Fleet.FallMultiple,
		},
	}
}

// writeConfig writes the file that NODE_CONFIG names, as a whole.
func writeConfig(dir string, s *scenario.Scenario, number int, listen, discovery string, known standin.List) (string, error) {
	text, err := json.MarshalIndent(object{
		"name": fmt.Sprintf("n%d", number+1), "listen": listen, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", s.Seed*1000+uint64(number)),
		"limits": object{"cores": s.Limits.Cores, "memory_mb": s.Limits.MemoryMB, "sockets": s.Limits.Sockets},
		"known":  known, "settings": settings(s, number),
	}, "", " ")
	if err != nil {
		return "", fmt.Errorf("configuration of sidecar %d: %w", number, err)
	}
	path := filepath.Join(dir, fmt.Sprintf("n%d.json", number+1))
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return "", fmt.Errorf("configuration of sidecar %d: %w", number, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return "", fmt.Errorf("configuration of sidecar %d: %w", number, err)
	}
	return path, nil
}
