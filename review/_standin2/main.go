// Command standin2 runs the script cases of the second review: a small deployment of the project's own programs on loopback, with
// stand-ins for clients, servers and the platform in this process. It exits with 1 if the rule of the case was broken, 0 if it held, and 2
// if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// caseTimeout bounds a case as a whole.
const caseTimeout = 110 * time.Second

// errCannotRun is panicked with by must.
type errCannotRun struct{ error }

func must(err error) {
	if err != nil {
		panic(errCannotRun{err})
	}
}

var cases = map[string]func(r *run) (broken bool){}

func main() { os.Exit(mainExit()) }

func mainExit() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return 2
	}
	r, err := newRun(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	defer func() {
		if p := recover(); p != nil {
			r.log("the case couldn't run: %v", p)
			fmt.Fprintln(os.Stderr, "the case couldn't run:", p)
			code = 2
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(caseTimeout):
		}
		r.log("interrupted, or out of time")
		r.close()
		os.Exit(2)
	}()
	broken := cases[os.Args[1]](r)
	r.log("rule broken: %v", broken)
	fmt.Println("rule broken:", broken)
	if broken {
		return 1
	}
	return 0
}
