package durations

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Durations behind a guarantee are derived in mesh/timing. Every other constant duration has to be listed with its reason.
func TestOtherDurationsAreListed(t *testing.T) {
	found, err := Find("../..", "mesh", "cmd/firplank-proxy", "cmd/firplank-control")
	if err != nil {
		t.Fatal(err)
	}
	reasons, err := Exceptions()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range found {
		if strings.HasPrefix(name, "mesh/timing.") {
			continue
		}
		if reasons[name] == "" {
			t.Errorf("%s is a constant: derive it in mesh/timing, or list it in exceptions.txt with its reason", name)
		}
		delete(reasons, name)
	}
	for name := range reasons {
		t.Errorf("exceptions.txt lists %s, which has no constant duration", name)
	}
}

// Find finds durations in constants, variables, calls and fields, but not units that are used for conversion.
func TestFindFindsConstantDurations(t *testing.T) {
	source := `package planted

import "time"

const (
	timeout  = 3 * time.Second
	second   = time.Second
	earliest = -time.Minute
	size     = 3 * 4
)

var interval = time.Millisecond * 5

type config struct{ Interval time.Duration }

func inCall() { time.Sleep(10 * time.Millisecond) }

func inField() config { return config{Interval: time.Second} }

func converts(n int, d time.Duration) (time.Duration, float64, bool) {
	return time.Duration(n) * time.Millisecond, float64(d) / float64(time.Second), d.Round(time.Millisecond) >= time.Hour
}
`
	root := t.TempDir()
	folder := filepath.Join(root, "planted")
	if err := os.Mkdir(folder, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"planted.go", "planted_test.go"} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(source), 0o600); err != nil {
			t.Fatal(err)
		}
		source = strings.ReplaceAll(source, "timeout", "inTest")
	}
	found, err := Find(root, "planted")
	want := []string{
		"planted.earliest", "planted.inCall", "planted.inField", "planted.interval", "planted.second", "planted.timeout",
	}
	if err != nil || !slices.Equal(found, want) {
		t.Errorf("%v, %v, want %v", found, err, want)
	}
}
