package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"firplank/internal/output"
)

// Actions of the events that go test -json prints.
const (
	actionRun       = "run"
	actionPass      = "pass"
	actionFail      = "fail"
	actionSkip      = "skip"
	actionOutput    = "output"
	actionBuildFail = "build-fail"
	actionBuildOut  = "build-output"
)

// maxLineBytes bounds the length of a line of the events.
const maxLineBytes = 16 << 20

// event is one line of the output of go test -json. See go doc test2json.
type event struct {
	Action      string
	Package     string
	ImportPath  string
	Test        string
	Output      string
	FailedBuild string
}

// outcome is how a test or a package ended.
type outcome string

const (
	notRun     outcome = "not run"
	unfinished outcome = "unfinished"
	passed     outcome = "passes"
	failed     outcome = "fails"
	skipped    outcome = "skipped"
)

// results holds the results of one test run.
type results struct {
	tests        map[testID]outcome // of test functions, not of their subtests
	packages     map[string]outcome
	crashes      map[string][]string // by package: lines that report a panic, a data race or a fatal error
	failedBuilds []string            // import paths
	order        []string            // packages in order of their first event
	output       map[string][]string // by package, or by import path for builds
}

// crashPrefixes are beginnings of lines that the Go runtime or the race detector prints for failures other than those that a
// test reports itself.
var crashPrefixes = []string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "goroutine ", "runtime: ",
	"unexpected fault address", "SIG", "signal: "}

func readResults(in io.Reader) (*results, error) {
	r := &results{
		tests: make(map[testID]outcome), packages: make(map[string]outcome), crashes: make(map[string][]string),
		output: make(map[string][]string),
	}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("%q is not an event: %w", lines.Text(), err)
		}
		r.add(e)
	}
	return r, lines.Err()
}

func (r *results) add(e event) {
	switch e.Action {
	case actionBuildFail:
		r.failedBuilds = append(r.failedBuilds, e.ImportPath)
		return
	case actionBuildOut:
		r.output[e.ImportPath] = append(r.output[e.ImportPath], e.Output)
		return
	}
	if e.FailedBuild != "" {
		r.failedBuilds = append(r.failedBuilds, e.FailedBuild)
	}
	if _, known := r.packages[e.Package]; !known {
		r.packages[e.Package] = unfinished
		r.order = append(r.order, e.Package)
	}
	if e.Action == actionOutput {
		r.addOutput(e)
		return
	}
	r.setOutcome(e)
}

func (r *results) addOutput(e event) {
	r.output[e.Package] = append(r.output[e.Package], e.Output)
	for _, sign := range crashPrefixes {
		if strings.HasPrefix(e.Output, sign) {
			r.crashes[e.Package] = append(r.crashes[e.Package], strings.TrimSpace(e.Output))
		}
	}
}

// setOutcome records the start or end of a test function or a package.
func (r *results) setOutcome(e event) {
	var how outcome
	switch e.Action {
	case actionRun:
		how = unfinished
	case actionPass:
		how = passed
	case actionFail:
		how = failed
	case actionSkip:
		how = skipped
	default:
		return
	}
	switch {
	case e.Test == "":
		r.packages[e.Package] = how
	case !strings.Contains(e.Test, "/"):
		r.tests[testID{pkg: e.Package, name: e.Test}] = how
	}
}

func (r *results) outcomeOf(test testID) outcome {
	if how, ok := r.tests[test]; ok {
		return how
	}
	return notRun
}

// print prints the output of failed builds, a line for each package that passed or was skipped, and the output of the others.
func (r *results) print(printer *output.Printer) {
	for _, path := range r.failedBuilds {
		printer.Print(strings.Join(r.output[path], ""))
	}
	for _, pkg := range r.order {
		if how := r.packages[pkg]; how == failed || how == unfinished {
			printer.Print(strings.Join(r.output[pkg], ""))
		} else {
			printer.Printf("%s\t%s\n", how, pkg)
		}
	}
}
