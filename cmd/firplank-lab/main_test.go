package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func executeLab(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := execute(t.Context(), args, &out)
	return out.String(), err
}

func TestList(t *testing.T) {
	out, err := executeLab(t, "list")
	for _, want := range []string{"calm", "second-copy", "roster_restart"} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("no %s in %q, %v", want, out, err)
		}
	}
}

func TestUnknownScenario(t *testing.T) {
	if _, err := executeLab(t, "run", "rain"); err == nil || !strings.Contains(err.Error(), "calm") {
		t.Errorf("error %v", err)
	}
	path := filepath.Join(t.TempDir(), "mine.toml")
	if err := os.WriteFile(path, []byte("\nrain = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := executeLab(t, "run", path); err == nil || !strings.Contains(err.Error(), "mine.toml:2: unknown key rain") {
		t.Errorf("error %v", err)
	}
	if _, err := executeLab(t, "run", "calm", "--rate", "1e9"); err == nil || !strings.Contains(err.Error(), "rate") {
		t.Errorf("error %v", err)
	}
}

// Guards against stand and clients depending on each other: each must work without the other.
func TestStandAndClients(t *testing.T) {
	dir := t.TempDir()
	ctx, end := context.WithCancel(t.Context())
	end()
	var out bytes.Buffer
	if err := execute(ctx, []string{"stand", "calm", "--dir", dir}, &out); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), "NODE_CONFIG="+dir) || !strings.Contains(out.String(), "server s-07") {
		t.Errorf("output %q", out.String())
	}
	if _, err := os.Stat(filepath.Join(dir, "n2.json")); err != nil {
		t.Error(err)
	}
	// Nothing listens on this port. The clients must end with a report all the same.
	text, err := executeLab(t, "clients", "calm", "--length", "0.2", "--rate", "50", "--to", "127.0.0.1:1")
	if err != nil || !strings.Contains(text, "through the sidecars given") {
		t.Errorf("%q, %v", text, err)
	}
}
