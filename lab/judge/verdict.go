package judge

// This file evaluates the rules at the end of a run.

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is the result of a run.
type Verdict struct {
	Counts   map[Rule]int `json:"counts"` // violations by rule
	Findings []Finding    `json:"findings"`
	Tries    int          `json:"tries"`
	Excused  int          `json:"excused"` // tries without a response because their sidecar was down
	// Repeats counts repeated executions of a key for clients' retries. A sidecar can't prevent them if the tries went through
	// two sidecars, or if the client retried after the window.
	Repeats int `json:"repeats"`
	Unknown int `json:"unknown"` // requests received by servers that no client sent
}

// Passed reports whether no rule was broken.
func (v *Verdict) Passed() bool { return len(v.Findings) == 0 }

// Close ends the run at a time and returns the verdict. No event may be recorded afterwards.
func (j *Judge) Close(at time.Duration) *Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := &Verdict{Counts: j.counts, Tries: len(j.tries), Unknown: j.unknown}
	byKey := map[string]int{}
	traces := make([]string, 0, len(j.tries))
	for trace := range j.tries {
		traces = append(traces, trace)
	}
	slices.Sort(traces)
	for _, trace := range traces {
		t := j.tries[trace]
		if !j.checkAnswered(t, at) {
			v.Excused++
		}
		j.checkExecutedOnce(t)
		j.checkNothingAfterAnswer(t)
		if t.Key != "" {
			byKey[t.Key] += len(t.ran)
		}
	}
	for _, n := range byKey {
		v.Repeats += max(0, n-1)
	}
	for _, r := range Rules {
		v.Findings = append(v.Findings, j.findings[r]...)
	}
	slices.SortStableFunc(v.Findings, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return v
}

// checkAnswered checks that a try got one final response in time, made by a server. It returns false if no response is
// required because the sidecar was down.
func (j *Judge) checkAnswered(t *tryRecord, end time.Duration) bool {
	due := t.Deadline + j.cfg.Slack
	switch {
	case t.clientGone || t.answers > 0 && t.answer != Broken && t.endedAt <= due:
	case t.answers == 0 && end < due: // the run ended before the deadline
	case j.sidecarWasDown(t):
		return false
	case t.answers == 0:
		j.addFinding(Lost, due, "%s: no response by its deadline", t.Trace)
	case t.answer == Broken:
		j.addFinding(Lost, t.endedAt, "%s: connection ended without a complete response", t.Trace)
	default:
		j.addFinding(Lost, t.endedAt, "%s: response %v after its deadline", t.Trace, t.endedAt-t.Deadline)
	}
	if t.answers > 0 && t.answer == Served && t.finished == 0 && !t.clientGone && !j.cfg.NoServerEvents {
		j.addFinding(Foreign, t.endedAt, "%s: served, but no server has sent a response", t.Trace)
	}
	return true
}

func (j *Judge) sidecarWasDown(t *tryRecord) bool {
	until := t.Deadline
	if t.answers > 0 {
		until = t.endedAt
	}
	// A client may see the connection end shortly before the laboratory records the kill.
	const killReportDelay = 100 * time.Millisecond
	for _, o := range j.outages {
		if o.sidecar == t.Sidecar && o.from-killReportDelay <= until && t.Sent <= o.to {
			return true
		}
	}
	return false
}

// checkExecutedOnce checks that a request without a safe effect ran at most once, and was not refused after it ran.
func (j *Judge) checkExecutedOnce(t *tryRecord) {
	c := j.cfg.Classes[t.Class]
	if c.Effect == "safe" {
		return
	}
	slices.SortFunc(t.ran, func(a, b run) int { return cmp.Compare(a.at, b.at) })
	if len(t.ran) > 1 {
		second := t.ran[1]
		j.addFinding(Twice, second.at, "%s (%s): ran on %s and again on %s %v later",
			t.Trace, c.Effect, t.ran[0].server, second.server, second.at-t.ran[0].at)
	}
	if t.answers > 0 && t.answer == Refused && len(t.ran) > 0 && !(c.Effect == "keyed" && c.Group != "cell") {
		j.addFinding(Twice, t.endedAt, "%s (%s): refused, but %s has run it", t.Trace, c.Effect, t.ran[0].server)
	}
}

func (j *Judge) checkNothingAfterAnswer(t *tryRecord) {
	over := t.Deadline + j.cfg.Slack
	if t.answers > 0 || t.clientGone {
		over = min(over, t.endedAt)
	}
	for _, a := range t.received {
		if a.at > over+j.cfg.ArrivalSlack {
			j.addFinding(After, a.at, "%s: sent to %s %v after its response or its deadline", t.Trace, a.server, a.at-over)
		}
	}
}
