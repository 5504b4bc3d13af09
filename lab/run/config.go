package run

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"firplank/lab/receiver"
	"firplank/lab/relay"
	"firplank/lab/scenario"
	"firplank/lab/standin"
)

// object is a JSON object.
type object = map[string]any

var effectSettings = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}

// reportFields are the fields of the servers' load reports, and reportSettings their names in the settings.
var reportFields, reportSettings = []string{"util", "qps"}, []string{"busy", "rate"}

const (
	zone          = "lab-1"
	answerSlackMS = 8 // the setting answer_slack_ms
	queryWithinMS = 6000
)

// settings returns the scenario as the settings section of a sidecar's configuration.
func settings(s *scenario.Scenario, number int) object {
	var classes, tenants, kinds []any
	for _, c := range s.Classes {
		group := c.Group
		if group == "" {
			group = "all"
		}
		classes = append(classes, object{
			"name": c.Name, "effect": effectSettings[c.Effect], "group": group, "on_time_ms": c.AimMS,
			"hard_limit_ms": c.DeadlineMS, "window_ms": c.WindowMS, "worth": c.Worth, "late_worth": c.LateWorth,
		})
	}
	shares := 0.0
	for _, t := range s.Tenants {
		shares += t.Share
	}
	for _, t := range s.Tenants {
		// A share is a part of the fleet's capacity, in requests a second of the scenario's mix of classes.
		allowance := t.Share / shares * s.Rate * s.Capacity() / s.Demand() * 0.85
		tenants = append(tenants, object{"name": t.Name, "share": t.Share / shares, "allowance_per_s": allowance})
	}
	for _, k := range s.Fleet.Kinds {
		kinds = append(kinds, k.Name)
	}
	discoveryMode := "subscribe"
	if s.Roster.Mode == "push" {
		discoveryMode = "automatic"
	}
	return object{
		"classes": classes, "tenants": tenants, "kinds": kinds, "zones": []string{zone}, "zone": 0, "weights": "rough",
		"discovery": discoveryMode, "my_number": number, "peers_total": s.Sidecars, "quantum_ms": 2, "over_share_worth": 0.2,
		"clients": object{"marks_retry": s.Clients.MarkRetries},
		"limits": object{
			"cancel": true, "conn_idle_ms": s.Fleet.IdleS * 1000, "connect_timeout_ms": 250, "max_attempts": 6,
			"max_retry_after_ms": 2000, "open_cap": 20000, "parallel_tries": true, "probes": true, "retry_after": true,
			"streams_per_conn": 1, "may_tell": s.Talk.Enabled,
		},
		"report":     object{"fields": reportSettings, "via": "piggyback"},
		"result_mix": object{"whole": 0.55, "worst_window": 0.15, "worst_class": 0.05, "worst_tenant": 0.25},
		"rules": object{
			"answer_slack_ms": answerSlackMS, "ask_within_ms": queryWithinMS, "cold_from": s.Fleet.ColdFrom,
			"cold_ms": s.Fleet.ColdS * 1000, "drain_grace_ms": s.Fleet.DrainGraceMS, "fall_ms": s.Fleet.FallS * 1000,
			"fall_multiple": s.Fleet.FallMultiple,
		},
	}
}

// sidecarOptions returns the options that a scenario adds to a sidecar's options file, as TOML: MessagePack-RPC where clients
// or servers use it, held connections, the folder of the contracts, the Graphite receiver, and the exchange between sidecars.
// It returns nil if there are none.
func sidecarOptions(s *scenario.Scenario, listen, contracts string, carbon *receiver.Carbon) ([]byte, error) {
	all := object{}
	if s.Clients.RPC() || s.RPCServers() {
		all["msgpack_rpc"] = rpcOptions(s, listen)
	}
	if s.Clients.Held > 0 {
		all["http"] = object{"idle_s": 3600, "waiting_share": 1}
	}
	if s.EnforcesContracts() {
		all["broker"] = object{"contracts": contracts, "capacity_per_s": s.Broker.Capacity}
	}
	if carbon != nil {
		all["graphite"] = object{"address": carbon.Addr(), "protocol": "pickle", "prefix": graphitePrefix + ".{name}", "interval_s": 1}
	}
	if s.Talk.Enabled {
		all["fleet"] = object{"enabled": true, "most_per_s": s.Talk.MaxRequestsPerSecond}
		all["operators"] = object{"listen": "127.0.0.1:0"}
	}
	if len(all) == 0 {
		return nil, nil
	}
	text, err := toml.Marshal(all)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	return text, nil
}

func rpcOptions(s *scenario.Scenario, listen string) object {
	table := object{"never_ran": []string{"never_ran"}, "probe": "alive"}
	if s.Clients.RPC() {
		table["listen"] = listen
	}
	if s.RPCServers() {
		table["flavors"] = s.RPCKinds()
	}
	var methods []object
	for _, c := range s.Classes {
		m := object{
			"name": c.Name, "class": c.Name, "path": "/api/" + c.Name, "tenant_param": "tenant", "key_param": "object",
			"deadline_param_ms": "left_ms", "trace_param": "trace", "repeat_param": "repeat",
		}
		if c.Effect == "keyed" {
			m["idempotency_param"] = "key"
		}
		methods = append(methods, m)
	}
	table["method"] = methods
	return table
}

// writeContracts writes the tenants' contracts to a folder, with each budget multiplied by the tenant's factor (1 by default).
func writeContracts(dir string, s *scenario.Scenario, factors map[string]float64) error {
	var teams, classes []object
	for _, c := range s.Classes {
		classes = append(classes, object{"name": c.Name})
	}
	for _, t := range s.Tenants {
		c := t.Contract
		if c == nil {
			continue
		}
		factor := 1.0
		if f, ok := factors[t.Name]; ok {
			factor = f
		}
		teams = append(teams, object{
			"name": t.Name, "tenants": []string{t.Name}, "worth_per_s": c.WorthPerSecond * factor, "burst": c.Burst, "guaranteed": c.Guaranteed,
			"most": c.Most, "over": c.Over, "class": classes,
			"retries": object{"share": c.RetryShare, "floor_per_s": c.RetryFloorPerSecond, "identity": c.RetryIdentity},
		})
	}
	text, err := toml.Marshal(object{"team": teams})
	if err == nil {
		err = os.MkdirAll(dir, 0o700)
	}
	if err == nil {
		err = replaceFile(filepath.Join(dir, "teams.toml"), text)
	}
	if err != nil {
		return fmt.Errorf("contracts: %w", err)
	}
	return nil
}

// writeConfig atomically writes the configuration that NODE_CONFIG names, and returns its path.
func writeConfig(dir string, s *scenario.Scenario, number int, listen, discovery string, known standin.List,
	links *relay.Relay) (string, error) {
	file := object{
		"name": fmt.Sprintf("n%d", number+1), "listen": listen, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", s.Seed*1000+uint64(number)),
		"limits": object{"cores": s.Limits.Cores, "memory_mb": s.Limits.MemoryMB, "sockets": s.Limits.Sockets},
		"known":  known, "settings": settings(s, number),
	}
	if links != nil {
		file["peer_listen"], file["peers"] = links.Address(number), links.Peers(number)
	}
	text, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return "", fmt.Errorf("configuration of sidecar %d: %w", number, err)
	}
	path := filepath.Join(dir, fmt.Sprintf("n%d.json", number+1))
	if err := replaceFile(path, text); err != nil {
		return "", fmt.Errorf("configuration of sidecar %d: %w", number, err)
	}
	return path, nil
}

// replaceFile replaces a file atomically, so that a reader never sees a part of it.
func replaceFile(path string, text []byte) error {
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
