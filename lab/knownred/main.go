// Command knownred compares a test run with the list of known failures, KNOWN-RED.txt, and fails unless every failed test is
// listed there. An entry may also describe a failure that only its command reproduces. Such an entry is printed and excuses
// nothing. Failed builds, panics, data races and unfinished tests are never excused.
//
//	knownred LIST EVENTS STATUS
//
// EVENTS is a file with the output of "go test -json", and STATUS its exit status.
package main

import (
	"fmt"
	"io"
	"os"
	"strconv"

	"firplank/internal/output"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	printer := output.New(out)
	if len(args) != 3 {
		return fmt.Errorf("usage: knownred LIST EVENTS STATUS")
	}
	status, err := strconv.Atoi(args[2])
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	listText, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	known, err := parseList(string(listText))
	if err != nil {
		return fmt.Errorf("%s: %w", args[0], err)
	}
	events, err := os.Open(args[1])
	if err != nil {
		return err
	}
	defer func() { _ = events.Close() }() // opened for reading only
	results, err := readResults(events)
	if err != nil {
		return fmt.Errorf("%s: %w", args[1], err)
	}
	faults := unexcusedFaults(known, results, status)
	results.print(printer)
	for _, entry := range known {
		how := "no Go test"
		if entry.isGoTest() {
			how = string(results.outcomeOf(entry.test))
		}
		printer.Printf("known red: %s (%s)\n", entry.line, how)
	}
	for _, fault := range faults {
		printer.Println("not excused:", fault)
	}
	if len(faults) > 0 {
		return fmt.Errorf("%d failures that %s does not excuse", len(faults), args[0])
	}
	return printer.Err()
}
