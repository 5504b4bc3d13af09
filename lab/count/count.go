// Package count adds up, over a whole fleet, the records that sidecars write to their logs at debug level: what each second was
// refused and by which decision, how attempts ended, what went to cold servers, what discovery was asked. It reads logs and
// knows no sidecar. Begin with Folder.
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

// Bounds of what is read.
const (
	maxLineBytes = 1 << 20
	maxSteps     = 100_000 // of a table
)

// Step is what all sidecars together recorded in one step of time.
type Step struct {
	Records  int
	Sums     map[string]float64 // by key of the record
	attempts map[string]float64 // attempts that the means of util rest on
}

// Mean is the mean of a key over the records of the step.
func (s *Step) Mean(key string) float64 { return s.Sums[key] / max(1, float64(s.Records)) }

// Fleet is what a folder of logs tells.
type FleetRecords struct {
	StepLength      time.Duration // length of a step
	StartTime       time.Time     // the first line of any log
	Logs            int
	Starts          int      // of sidecars: a log in which one says that it listens counts it
	Steps           []*Step  // in order of time; nil where nothing was recorded
	Warnings        []string // lines that could not be read, the first few
	unreadableLines int
}

type entry struct {
	at     time.Time
	values map[string]string
}

// Folder reads every file of a folder that ends in .log.
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
		_ = file.Close() // only read from
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

// read returns the records of one log, and any line's time as a record without values.
func (f *FleetRecords) read(name string, from io.Reader) ([]entry, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
	var all []entry
	for n := 1; lines.Scan(); n++ {
		text := lines.Text()
		start := strings.Index(text, "time=") // whoever keeps the log may put something before it
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

// fields splits a line of key=value pairs; a value may be quoted.
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

// weights are the keys that are means over attempts, and which keys tell over how many.
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

// util is the mean of a report over the attempts of a step.
func (s *Step) utilMean(key string) float64 { return s.Sums[key] / max(1, s.attempts[key]) }

// sums are the columns that are added over the fleet, and means those that are a sidecar's on the mean.
var (
	sumColumns = []string{
		"asked", "shed", "crowded", "spent", "aged", "late", "ok", "error", "full", "timed_out", "no_connection", "reset", "to_cold", "to_warm",
		"lists", "lines", "no_lists",
	}
	meanColumns = []string{"listed", "cold", "budgeted", "resting", "steady", "late_share", "slowness", "quickest", "load", "pace"}
)

// Write writes a table, a line a step.
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
