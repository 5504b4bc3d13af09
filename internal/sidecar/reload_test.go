package sidecar

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"firplank/internal/roster"
	"firplank/internal/testbed"
)

// configFile is a copy of the test configuration that a test can change.
type configFile struct {
	t          *testing.T
	path, text string
}

func newConfigFile(t *testing.T) *configFile {
	t.Helper()
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	f := &configFile{t, filepath.Join(t.TempDir(), "config.json"), string(text)}
	f.write(f.text)
	return f
}

func (f *configFile) write(text string) {
	f.t.Helper()
	if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// setDiscovery writes the file with another address of discovery.
func (f *configFile) setDiscovery(addr string) {
	f.t.Helper()
	oldText, newText := []byte(`"discovery": "127.0.0.1:9"`), []byte(`"discovery": "`+addr+`"`)
	f.write(string(bytes.Replace([]byte(f.text), oldText, newText, 1)))
}

func (f *configFile) load(env map[string]string) *Config {
	f.t.Helper()
	cfg, err := Load(func(name string) string {
		if name == "NODE_CONFIG" {
			return f.path
		}
		return env[name]
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return cfg
}

// A reloaded file overrides the environment; otherwise a changed address of discovery would have no effect.
func TestReloadPrefersFileOverEnvironment(t *testing.T) {
	f := newConfigFile(t)
	cfg := f.load(map[string]string{"NODE_DISCOVERY": "127.0.0.1:1"})
	if cfg.Discovery != "127.0.0.1:1" {
		t.Errorf("discovery at the start: %s", cfg.Discovery)
	}
	f.setDiscovery("127.0.0.1:2")
	for range 2 {
		next, err := cfg.rereadFile()
		if err != nil || next.Discovery != "127.0.0.1:2" {
			t.Fatalf("after the change: %v, %v", next, err)
		}
	}
	f.write("{")
	if _, err := cfg.rereadFile(); err == nil {
		t.Error("an invalid file was accepted")
	}
}

// SIGHUP switches the sidecar to another discovery address: the watch at the old address is cancelled, the complete list of the
// new one applies, and an invalid file changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	one, two := testbed.NewScriptedServer(t, testbed.Respond(200, "one")), testbed.NewScriptedServer(t, testbed.Respond(200, "two"))
	f := newConfigFile(t)
	cfg := f.load(nil)
	cfg.Known.Members, cfg.acceptGrace = []roster.Member{readyMember("s-1", one.Addr)}, 0
	n := startSidecar(t, cfg)
	testbed.Next(t, n.roster.Queries) // the watch at the old address
	f.write("{")
	n.reloads <- syscall.SIGHUP
	if _, body := n.do(n.request("read")); body != "one" {
		t.Errorf("after an invalid file: served by %q", body)
	}
	other := testbed.NewDiscoveryServer(t)
	f.setDiscovery(other.Addr)
	n.reloads <- syscall.SIGHUP // received only after the invalid file was read
	if got := testbed.Next(t, other.Queries); got != "" {
		t.Errorf("first call at the new address: %q", got)
	}
	testbed.Next(t, n.roster.Cancelled)
	other.Responses <- roster.List{Revision: 3, Complete: true, Members: []roster.Member{readyMember("s-2", two.Addr)}}
	if got := testbed.Next(t, other.Queries); !strings.HasPrefix(got, "from=3&hold_ms=") {
		t.Errorf("second call at the new address: %q", got)
	}
	for range 3 {
		if _, body := n.do(n.request("read")); body != "two" {
			t.Errorf("served by %q", body)
		}
	}
	n.shutdown()
	n.reloads <- syscall.SIGHUP // has no effect during shutdown
}
