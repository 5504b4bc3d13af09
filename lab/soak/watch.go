package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"firplank/internal/telemetry"
)

// This file has what is watched while a run goes on: the platform's readiness checks, the processes' figures, and whether this process
// itself runs.

// watchReadiness makes the platform's readiness checks.
func (r *run) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, x := range r.mesh.Branch {
			go func() { // ends with its check's time-out
				ready := x.Ready()
				r.mu.Lock()
				defer r.mu.Unlock()
				r.missedReadiness[x.Name]++
				if ready {
					r.missedReadiness[x.Name] = 0
				}
			}()
		}
		sleep(ctx, readyInterval)
	}
}

// watchInvariants scrapes the figures of all machines.
func (r *run) watchInvariants(ctx context.Context) {
	for ctx.Err() == nil {
		r.scrape()
		sleep(ctx, scrapeInterval)
	}
}

// scrape breaks a rule for each invariant whose counter is above 0. A machine that does not answer is passed over: the
// logs are read in the end.
func (r *run) scrape() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, x := range r.mesh.All() {
		response, err := client.Get(x.MetricsURL())
		if err != nil {
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // it was read
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			r.countViolations(x.Name, strings.TrimSpace(line))
		}
	}
}

// countViolations looks at one line of a machine's figures.
func (r *run) countViolations(machine, line string) {
	name, figure, ok := strings.Cut(line, " ")
	if !ok || !strings.HasPrefix(name, telemetry.ViolationsName) || figure == "0" {
		return
	}
	var count float64
	if _, err := fmt.Sscan(figure, &count); err != nil {
		return
	}
	r.mu.Lock()
	key := machine + name
	before := r.violationCounts[key]
	r.violationCounts[key] = count
	r.mu.Unlock()
	if count > before {
		r.judge.Report(r.now(), "INVARIANT", "%s: %s", machine, line)
	}
}

// watchStalls records when this process itself did not run: the machine was full. Rules with a time bound can't be
// judged then, as all processes share it; the others are.
func (r *run) watchStalls(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, stallCheck)
		now := time.Now()
		if late := now.Sub(last) - stallCheck; late > stallLimit {
			r.stalls.Add(1)
			r.judge.AddFault(last.Sub(r.began), now.Sub(r.began), core)
			r.log.Event(r.now(), "stall", "this process did not run for %v", late)
		}
		last = now
	}
}
