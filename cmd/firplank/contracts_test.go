package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runContracts runs a contracts subcommand on a folder with one contract file, and returns its output.
func runContracts(t *testing.T, text string, args ...string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	write("teams/a.toml", text)
	options := write("options.toml", "[broker]\npart = 1\ncapacity_per_s = 100\ncontracts = \""+filepath.Join(dir, "teams")+"\"\n")
	t.Setenv("NODE_CONFIG", "../../internal/sidecar/testdata/config.json")
	var out bytes.Buffer
	err := run(append(append([]string{"contracts"}, args...), "--config", options), &out)
	return out.String(), err
}

const contractText = `
[[team]]
name = "acme"
tenants = ["acme"]
worth_per_s = 30
burst = 12
guaranteed = 0.3
[[team.class]]
name = "read"
[[team]]
name = "bolt"
tenants = ["bolt"]
worth_per_s = 60
burst = 12
over = "borrow"
[[team.class]]
name = "read"
`

func TestContractsCommands(t *testing.T) {
	if out, err := runContracts(t, contractText, "check"); err != nil || out != "2 teams, no errors\n" {
		t.Errorf("check: %q, %v", out, err)
	}
	if _, err := runContracts(t, strings.Replace(contractText, "12", "1", 1), "check"); err == nil ||
		!strings.Contains(err.Error(), "a.toml:6: team \"acme\": burst: 1 is less") {
		t.Errorf("check of an invalid contract: %v", err)
	}
	if out, err := runContracts(t, contractText, "show"); err != nil || !strings.Contains(out, "acme  30") ||
		!strings.Contains(out, "borrow") {
		t.Errorf("show: %s, %v", out, err)
	}
	// 20 requests a second of worth 3 are 60 worth a second, twice the team's budget of 30.
	out, err := runContracts(t, contractText, "explain", "--team", "acme", "--class", "read", "--rate", "20")
	if err != nil || !strings.Contains(out, "over_budget") || !strings.Contains(out, "429 with Retry-After: 0.") ||
		!strings.Contains(out, "guaranteed") {
		t.Errorf("explain: %s, %v", out, err)
	}
	if out, err := runContracts(t, contractText, "explain", "--team", "bolt", "--class", "read", "--rate", "60", "--others",
		"busy"); err != nil || !strings.Contains(out, "borrowed") {
		t.Errorf("explain of a borrower: %s, %v", out, err)
	}
	if out, err := runContracts(t, contractText, "explain", "--team", "acme", "--class", "pay", "--rate",
		"1"); err != nil || !strings.Contains(out, "no_class") || !strings.Contains(out, "403") {
		t.Errorf("explain of a class of others: %s, %v", out, err)
	}
	for _, args := range [][]string{
		{"--team", "none", "--class", "read", "--rate", "1"}, {"--team", "acme", "--class", "none", "--rate", "1"},
		{"--team", "acme", "--class", "read", "--rate", "1e9"}, {"--team", "acme", "--class", "read", "--rate", "0"},
	} {
		if out, err := runContracts(t, contractText, append([]string{"explain"}, args...)...); err == nil || out != "" {
			t.Errorf("%v: %s", args, out)
		}
	}
}
