package explain

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// The test data are shortened logs. A line has the seconds of its time, the node, and the JSON object without the time. Logs with the
// wording of earlier releases remain in the test data, as logs of two releases are read together during an upgrade.
func TestFindingsOfRecordedLogs(t *testing.T) {
	datadriven.RunTest(t, "testdata/reviews", func(t *testing.T, d *datadriven.TestData) string {
		var log strings.Builder
		for line := range strings.Lines(d.Input) {
			at, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
			var seconds float64
			if n, _ := fmt.Sscan(at, &seconds); n == 1 {
				rest = strings.Replace(rest, "{", fmt.Sprintf(`{"ts":"2026-04-04T02:17:%09.6fZ",`, seconds), 1)
			}
			log.WriteString(rest + "\n")
		}
		lines, skipped, err := Read(strings.NewReader(log.String()), "unnamed")
		if err != nil {
			t.Fatal(err)
		}
		Sort(lines)
		findings := Find(lines)
		var out strings.Builder
		for i := range findings {
			out.WriteString(findings[i].String() + "\n")
		}
		out.WriteString(Draw(findings))
		if skipped > 0 {
			out.WriteString(fmt.Sprintf("%d passed over\n", skipped))
		}
		return out.String()
	})
}

func TestTooLongLineIsAnError(t *testing.T) {
	if _, _, err := Read(strings.NewReader(`{"msg":"`+strings.Repeat("x", 2*maxLineBytes)+`"}`), "n"); err == nil {
		t.Error("a line of 128 KB is accepted")
	}
}

func TestTooLongLogIsAnError(t *testing.T) {
	line := `{"ts":"2026-04-04T02:17:01Z","msg":"x"}` + "\n"
	if lines, _, err := read(strings.NewReader(line+"skipped\n"+line), "n", 2); err != nil || len(lines) != 2 {
		t.Errorf("%d lines, %v", len(lines), err)
	}
	if _, _, err := read(strings.NewReader(line+line+line), "n", 2); err == nil {
		t.Error("a log with too many lines is accepted")
	}
}

// Every event must still be logged by the programs in a wording that eventsByMessage has. The test fails if a message is reworded without
// adding the new wording there.
func TestEventsAreLogged(t *testing.T) {
	logged := map[logEvent]bool{}
	literal := regexp.MustCompile(`"msg", "([^"]*)"`)
	for _, root := range []string{"../controlplane", "../dataplane"} {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, match := range literal.FindAllStringSubmatch(string(text), -1) {
				logged[eventsByMessage[match[1]]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for message, e := range eventsByMessage {
		if !logged[e] {
			t.Errorf("no program logs the event of %q in a known wording", message)
		}
	}
}
