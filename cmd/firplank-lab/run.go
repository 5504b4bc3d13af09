package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"firplank/internal/output"
	"firplank/lab/run"
	"firplank/lab/scenario"
)

type runCommand struct {
	scenarioFlags
	JSON string `help:"Write the report to a file in JSON." placeholder:"FILE" type:"path" name:"json"`
	HTML string `help:"Write the report to a file in HTML, with plots." placeholder:"FILE" type:"path" name:"html"`

	Graphite bool `help:"Have the sidecars report to a stand-in for Graphite, and plot the reported metrics."`
}

var errRulesBroken = errors.New("rules were broken or sidecars crashed")

func (c *runCommand) Run(ctx context.Context, out io.Writer) error {
	s, err := c.openScenario()
	if err != nil {
		return err
	}
	program, err := c.sidecarProgram()
	if err != nil {
		return err
	}
	r, err := playScenario(ctx, s, run.Options{Program: program, Graphite: c.Graphite}, "firplank")
	if err != nil {
		return err
	}
	err = r.Table(out)
	if c.JSON != "" {
		err = errors.Join(err, writeToFile(c.JSON, func(w io.Writer) error {
			e := json.NewEncoder(w)
			e.SetIndent("", " ")
			return e.Encode(r)
		}))
	}
	if c.HTML != "" {
		err = errors.Join(err, writeToFile(c.HTML, r.HTML))
	}
	if err == nil && !r.Good() {
		err = errRulesBroken
	}
	return err
}

// playScenario plays a scenario against a program of the given name, and shows the progress if standard error is a terminal.
func playScenario(ctx context.Context, s *scenario.Scenario, opts run.Options, name string) (*run.Report, error) {
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		opts.Progress = func(p run.Progress) {
			fmt.Fprintf(os.Stderr, "\r\x1b[K%s %s: %5.1f of %.0f s, %d sent, %d open  %s", s.Name, name, p.At.Seconds(),
				p.Length.Seconds(), p.Sent, p.Sent-p.Answered, strings.Join(p.Faults, " "))
		}
		defer fmt.Fprint(os.Stderr, "\r\x1b[K")
	}
	r, err := run.Play(ctx, s, opts)
	if r != nil {
		r.Program = name
	}
	return r, err
}

func writeToFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

type listCommand struct{}

func (listCommand) Run(out io.Writer) error {
	t := output.NewTable(out, 0, 0, 2, ' ', 0)
	t.Println("scenario\tlength\tabout")
	for _, name := range scenario.Builtin() {
		s, err := scenario.Open(name)
		if err != nil {
			return err
		}
		t.Printf("%s\t%v s\t%s\n", name, s.LengthS, s.About)
	}
	t.Println("\nfault\t\tabout")
	names, about := scenario.Kinds()
	for _, name := range names {
		t.Printf("%s\t\t%s\n", name, about[name])
	}
	return t.Flush()
}
