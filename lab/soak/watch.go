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

// This file monitors a run: the platform's readiness checks, the processes' metrics, and stalls of this process itself.

// watchReadiness makes the platform's readiness checks until ctx ends.
func (r *run) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, x := range r.mesh.Branch {
			go func() { // ends at the latest with the check's time-out
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

// watchInvariants scrapes the metrics of all machines until ctx ends.
func (r *run) watchInvariants(ctx context.Context) {
	for ctx.Err() == nil {
		r.scrape()
		sleep(ctx, scrapeInterval)
	}
}

// scrape reports each invariant whose counter has risen. A machine that does not respond is skipped, as its logs are read at the end of the
// run.
func (r *run) scrape() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, x := range r.mesh.All() {
		response, err := client.Get(x.MetricsURL())
		if err != nil {
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close() // the body was read
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			r.countViolations(x.Name, strings.TrimSpace(line))
		}
	}
}

// countViolations checks one line of a machine's metrics.
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

// watchStalls records times at which this process was not scheduled, as the machine was overloaded. They count as faults of the core: all
// processes share the machine, so that rules with a time bound can't be judged then. The other rules still are.
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
