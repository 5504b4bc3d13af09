package count

import (
	"strings"
	"testing"
	"testing/fstest"
	"time"
)

const firstLog = `0.013 time=2026-12-01T10:00:00.000Z level=INFO msg=listening address=10.0.0.1:9000
0.500 time=2026-12-01T10:00:00.500Z level=DEBUG msg=record asked=10 shed=2 ok=8 to_cold=1 to_warm=9 ` +
	`util_warm=0.5 util_cold=0.2 steady=0.5 cold=3
1.200 time=2026-12-01T10:00:01.200Z level=DEBUG msg=record asked=5 ok=5 to_warm=5 util_warm=0.9 steady=0.1
what a library wrote, time=never
`

const secondLog = `time=2026-12-01T10:00:00.100Z level=INFO msg=listening address=10.0.0.2:9000
time=2026-12-01T10:00:00.900Z level=DEBUG msg=record asked=30 shed=0 ok=30 to_cold=0 to_warm=30 util_warm=0.9 steady=0 cold=1
time=2026-12-01T10:00:00.950Z level=INFO msg="list of servers" error="discovery: \"msg=record\" asked=7"
`

// Counts of all logs are summed by step, and utilization means are weighted by attempts. A line that cannot be parsed results in
// a warning and does not affect other lines.
func TestRecordsAreAggregatedOverAllLogs(t *testing.T) {
	f, err := ReadFolder(fstest.MapFS{"n0.log": {Data: []byte(firstLog)}, "n1.log": {Data: []byte(secondLog)},
		"notes.txt": {Data: []byte("x")}}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if f.Logs != 2 || f.Starts != 2 || len(f.Steps) != 2 {
		t.Fatalf("%d logs, %d starts, %d steps", f.Logs, f.Starts, len(f.Steps))
	}
	s := f.Steps[0]
	if s.Records != 2 || s.Sums["asked"] != 40 || s.Sums["shed"] != 2 || s.Mean("cold") != 2 {
		t.Errorf("first step: %d records, %v", s.Records, s.Sums)
	}
	if got := s.utilMean("util_warm"); got < 0.807 || got > 0.809 { // 9 attempts at 0.5, 30 at 0.9
		t.Errorf("utilization of warm servers %v", got)
	}
	if len(f.Warnings) != 1 || !strings.Contains(f.Warnings[0], "n0.log:4") {
		t.Errorf("warnings %q", f.Warnings)
	}
	var out strings.Builder
	if err := f.Write(&out); err != nil || !strings.Contains(out.String(), "n0.log:4") || strings.Count(out.String(), "\n") != 5 {
		t.Errorf("%v\n%s", err, out.String())
	}
}

func TestFolderWithoutLogs(t *testing.T) {
	if _, err := ReadFolder(fstest.MapFS{}, time.Second); err == nil {
		t.Error("no error")
	}
}

// A clock that jumps far ahead must not exhaust memory.
func TestStepsAreBounded(t *testing.T) {
	far := firstLog + "time=2099-12-01T10:00:00.500Z level=DEBUG msg=record asked=1\n"
	if _, err := ReadFolder(fstest.MapFS{"n0.log": {Data: []byte(far)}}, time.Second); err == nil {
		t.Error("no error")
	}
}

func FuzzFields(f *testing.F) {
	f.Add(`time=1 msg="a \"b\"" c=`)
	f.Fuzz(func(_ *testing.T, line string) { fields(line) })
}
