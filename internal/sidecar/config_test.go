package sidecar

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoad(t *testing.T) {
	env := map[string]string{
		"NODE_CONFIG": "testdata/config.json", "NODE_NAME": "n7", "NODE_LISTEN": "127.0.0.1:7", "NODE_DISCOVERY": "127.0.0.1:8",
	}
	cfg, err := Load(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if cfg.Name != "n7" || cfg.Listen != "127.0.0.1:7" || cfg.Discovery != "127.0.0.1:8" {
		t.Errorf("the environment does not override the file: %q %q %q", cfg.Name, cfg.Listen, cfg.Discovery)
	}
	class, _ := cfg.catalog.Class("pay")
	tenant, _ := cfg.catalog.Tenant("bolt")
	if cfg.Balance.Seed != 0x8c1f30d27a5be964 || class != 2 || tenant != 1 {
		t.Errorf("seed %x, class %d, tenant %d", cfg.Balance.Seed, class, tenant)
	}
}

// Each kind of invalid configuration is rejected, with an error on one line.
func TestRejectsInvalidConfig(t *testing.T) {
	good, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range [][2]string{
		{`{`, ``}, {`"127.0.0.1:0"`, `"here"`}, {`"127.0.0.1:9", "seed"`, `"", "seed"`}, {`"memory_mb": 192`, `"memory_mb": -1`},
		{`"sockets": 1024`, `"sockets": 5`}, {`"settings"`, `"other"`}, {`"read_like"`, `"x"`}, {`"phase": "ready"`, `"phase": "x"`},
		{`"id": "s-1"`, `"id": ""`}, {`"name": "bolt"`, `"name": "acme"`}, {`"127.0.0.1:9", "locality"`, `"", "locality"`},
		{`{`, `{"listen": "127.0.0.1:1", `}, {`"cores"`, `"Cores": 2, "cores"`}, {`"known"`, `"known": {}, "known"`}, // a name twice
	} {
		text := strings.Replace(string(good), change[0], change[1], 1)
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] })
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s in place of %s: %v", change[1], change[0], err)
		}
	}
	for _, path := range []string{"", "testdata/none.json"} {
		if _, err := Load(func(name string) string { return map[string]string{"NODE_CONFIG": path}[name] }); err == nil {
			t.Errorf("loaded %q", path)
		}
	}
}
