// Command standin plays the cases of this review: it starts the project's programs as the deploy file says, on loopback addresses, with
// small stand-ins of its own for servers, clients and the platform, and judges what clients and servers have seen by one rule.
//
//	standin CASE ROOT RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in its environment it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// caseLimit bounds a case; beyond it everything is ended and the case counts as one that could not run.
const caseLimit = 110 * time.Second

// cases are the cases by name. Each returns whether its rule held.
var cases = map[string]func(*world) (held bool, err error){
	"early-answer": earlyAnswer,
	"long-body":    longBody,
	"late-beat":    lateBeat,
	"no-length":    noLength,
	"slash":        slash,
	"bad-config":   badConfig,
	"gone":         gone,
}

func main() { os.Exit(play()) }

// play plays a case and returns the exit code.
func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return exitCouldNotRun
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCouldNotRun
	}
	type ending struct {
		held bool
		err  error
	}
	ended := make(chan ending, 1)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		held, err := cases[os.Args[1]](w)
		ended <- ending{held, err}
	}()
	var e ending
	select {
	case e = <-ended:
	case s := <-stopped:
		e.err = fmt.Errorf("stopped by a signal: %v", s)
	case <-time.After(caseLimit):
		e.err = fmt.Errorf("not ended after %v", caseLimit)
	}
	code := exitHeld
	switch {
	case e.err != nil:
		w.note("could not run: %v", e.err)
		code = exitCouldNotRun
	case !e.held:
		code = exitBroken
	}
	w.note("exit code %d", code)
	w.end()
	return code
}
