package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testConfig = "../../internal/sidecar/testdata/config.json"

func TestCheck(t *testing.T) {
	t.Setenv("NODE_CONFIG", testConfig)
	var out bytes.Buffer
	if err := run([]string{"check", "--config", "../../deploy/firplank.toml"}, &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "3 classes, 2 tenants, 1 servers") {
		t.Errorf("output %q", out.String())
	}
}

// Guards against errors of check that do not name the line, the key or the value that is wrong.
func TestCheckErrorNamesThePlace(t *testing.T) {
	good, err := os.ReadFile(testConfig)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	options := filepath.Join(dir, "options.toml")
	if err := os.WriteFile(options, []byte("[door]\nenable = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		from, to, want string
		args           []string
	}{
		{`"limits": {"cores"`, `"limits": [{"cores"`, "line 4", nil},
		{`"memory_mb": 192`, `"memory_mb": "much"`, "line 3", nil},
		{`"discovery": "subscribe"`, `"discovery": "guess"`, `"guess"`, nil},
		{``, ``, "options.toml:2: unknown key door.enable", []string{"--config", options}},
	} {
		path := filepath.Join(dir, "config.json")
		if err := os.WriteFile(path, []byte(strings.Replace(string(good), c.from, c.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("NODE_CONFIG", path)
		err := run(append([]string{"check"}, c.args...), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", c.to, err, c.want)
		}
	}
}

func TestVersionHelpAndUnknown(t *testing.T) {
	for args, want := range map[string]string{"version": "firplank", "help": "check"} {
		var out bytes.Buffer
		if err := run([]string{args}, &out); err != nil || !strings.Contains(out.String(), want) {
			t.Errorf("%s: %q, %v", args, out.String(), err)
		}
	}
	if err := run([]string{"sweep"}, &bytes.Buffer{}); err == nil {
		t.Error("an unknown command is accepted")
	}
}

// The platform starts the program without arguments, which must serve. Here serve fails, because NODE_CONFIG is empty.
func TestServeIsTheDefault(t *testing.T) {
	t.Setenv("NODE_CONFIG", "")
	if err := run(nil, &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "NODE_CONFIG") {
		t.Errorf("error %v", err)
	}
}
