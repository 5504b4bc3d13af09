// Package count aggregates, over a whole fleet, the records that sidecars log at debug level: requests rejected per second by
// reason, outcomes of attempts, attempts to cold servers and queries to discovery. It only reads log files. Start reading at
// ReadFolder.
package count

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"path"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"firplank/internal/output"
)

// Bounds of the input.
const (
	maxLineBytes = 1 << 20
	maxSteps     = 100_000 // of a table, so that a clock that jumps doesn't exhaust memory
)

// Step is the sum of the records of all sidecars in one time step.
type Step struct {
	Records  int
	Sums     map[string]float64 // by record key
	attempts map[string]float64 // number of attempts behind each mean of utilMean
}

// Mean returns the mean of a key over the records of the step.
func (s *Step) Mean(key string) float64 { return s.Sums[key] / max(1, float64(s.Records)) }

// FleetRecords holds the aggregated records of a folder of logs.
type FleetRecords struct {
	StepLength      time.Duration // duration of a step
	StartTime       time.Time     // earliest start or record in any log
	Logs            int
	Starts          int      // of sidecars: the number of "listening" messages
	Steps           []*Step  // in time order; nil if nothing was recorded
	Warnings        []string // the first 5 lines that could not be parsed
	unreadableLines int
}

type entry struct {
	at     time.Time
	values map[string]string
}

// ReadFolder reads every file of a folder whose name ends in .log, and aggregates the records in steps of the given duration.
func ReadFolder(dir fs.FS, every time.Duration) (*FleetRecords, error) {
	names, err := fs.Glob(dir, "*.log")
	if err != nil {
		return nil, fmt.Errorf("count: %w", err)
	}
	if len(names) == 0 {
		return nil, errors.New("count: no file ends in .log")
	}
	f := &FleetRecords{StepLength: every, Logs: len(names)}
	var all []entry
	for _, name := range names {
		file, err := dir.Open(name)
		if err != nil {
			return nil, fmt.Errorf("count: %w", err)
		}
		got, err := f.read(path.Base(name), file)
		_ = file.Close() // opened for reading only
		if err != nil {
			return nil, fmt.Errorf("count: %s: %w", name, err)
		}
		all = append(all, got...)
	}
	for _, e := range all {
		if f.StartTime.IsZero() || e.at.Before(f.StartTime) {
			f.StartTime = e.at
		}
	}
	for _, e := range all {
		if err := f.add(e); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// read returns the records of one log, and an entry without values for each start of a sidecar.
func (f *FleetRecords) read(name string, from io.Reader) ([]entry, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	var all []entry
	for n := 1; lines.Scan(); n++ {
		text := lines.Text()
		start := strings.Index(text, "time=") // the log collector may add a prefix
		if start < 0 {
			continue
		}
		values := fields(text[start:])
		at, err := time.Parse(time.RFC3339Nano, values["time"])
		if err != nil {
			f.warn(fmt.Sprintf("%s:%d: %v", name, n, err))
			continue
		}
		switch values["msg"] {
		case "listening":
			f.Starts++
			all = append(all, entry{at: at})
		case "record":
			all = append(all, entry{at, values})
		}
	}
	return all, lines.Err()
}

func (f *FleetRecords) warn(text string) {
	if f.unreadableLines++; f.unreadableLines <= 5 {
		f.Warnings = append(f.Warnings, text)
	}
}

// fields splits a line of key=value pairs. A value may be quoted.
func fields(line string) map[string]string {
	all := map[string]string{}
	for line != "" {
		line = strings.TrimLeft(line, " ")
		key, rest, ok := strings.Cut(line, "=")
		if !ok {
			break
		}
		if quoted, err := strconv.QuotedPrefix(rest); err == nil {
			all[key], _ = strconv.Unquote(quoted)
			line = rest[len(quoted):]
			continue
		}
		value, after, _ := strings.Cut(rest, " ")
		all[key], line = value, after
	}
	return all
}

// weightKeys maps each key whose values are means over attempts to the key with the number of attempts.
var weightKeys = map[string]string{"util_warm": "to_warm", "util_cold": "to_cold"}

func (f *FleetRecords) add(e entry) error {
	if e.values == nil {
		return nil
	}
	index := int(e.at.Sub(f.StartTime) / f.StepLength)
	if index >= maxSteps {
		return fmt.Errorf("count: more than %d steps", maxSteps)
	}
	for len(f.Steps) <= index {
		f.Steps = append(f.Steps, nil)
	}
	s := f.Steps[index]
	if s == nil {
		s = &Step{Sums: map[string]float64{}, attempts: map[string]float64{}}
		f.Steps[index] = s
	}
	s.Records++
	parseNumber := func(key string) float64 {
		v, err := strconv.ParseFloat(e.values[key], 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return 0
		}
		return v
	}
	for key := range e.values {
		if by, ok := weightKeys[key]; ok {
			if v := parseNumber(key); v > 0 {
				s.Sums[key] += v * parseNumber(by)
				s.attempts[key] += parseNumber(by)
			}
			continue
		}
		s.Sums[key] += parseNumber(key)
	}
	return nil
}

// utilMean returns the mean of a utilization key, weighted by the attempts of the step.
func (s *Step) utilMean(key string) float64 { return s.Sums[key] / max(1, s.attempts[key]) }

// sumColumns are the columns summed over the fleet, meanColumns those averaged over its records.
var (
	sumColumns = []string{
		"asked", "shed", "crowded", "spent", "aged", "late", "ok", "error", "full", "timed_out", "no_connection", "reset", "to_cold", "to_warm",
		"lists", "lines", "no_lists",
	}
	meanColumns = []string{"listed", "cold", "budgeted", "resting", "steady", "late_share", "slowness", "quickest", "load", "pace"}
)

// Write writes a table with a row for each step, followed by the warnings.
func (f *FleetRecords) Write(to io.Writer) error {
	printer := output.New(to)
	printer.Printf("%d logs, %d starts, from %s\n", f.Logs, f.Starts, f.StartTime.Format(time.RFC3339Nano))
	t := output.NewTable(to, 0, 0, 1, ' ', tabwriter.AlignRight)
	t.Printf("s\t%s\tutil_warm\tutil_cold\t%s\t\n", strings.Join(sumColumns, "\t"), strings.Join(meanColumns, "\t"))
	for i, s := range f.Steps {
		if s == nil {
			continue
		}
		t.Printf("%.1f\t", (time.Duration(i) * f.StepLength).Seconds())
		for _, key := range sumColumns {
			t.Printf("%.0f\t", s.Sums[key])
		}
		t.Printf("%.2f\t%.2f\t", s.utilMean("util_warm"), s.utilMean("util_cold"))
		for _, key := range meanColumns {
			t.Printf("%.2f\t", s.Mean(key))
		}
		t.Println()
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("count: %w", err)
	}
	sort.Strings(f.Warnings)
	for _, w := range f.Warnings {
		printer.Println(w)
	}
	if more := f.unreadableLines - len(f.Warnings); more > 0 {
		printer.Printf("and %d lines more that could not be read\n", more)
	}
	return printer.Err()
}
