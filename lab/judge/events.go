package judge

// This file records the events of clients, servers and sidecar processes.

import (
	"time"
)

// Sent records that a client has sent a complete request.
func (j *Judge) Sent(t Try) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tries[t.Trace] = &tryRecord{Try: t}
}

// Answered records that a client has read the last byte of a response. bodyTrace is the trace that the server wrote into the
// body of a successful response.
func (j *Judge) Answered(trace string, at time.Duration, a Answer, bodyTrace string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.tries[trace]
	if t == nil {
		return
	}
	if t.answers++; t.answers > 1 {
		j.addFinding(Lost, at, "%s: second response", trace)
		return
	}
	t.answer, t.endedAt = a, at
	if a == Served && bodyTrace != trace {
		j.addFinding(Foreign, at, "%s: received the response made for %q", trace, bodyTrace)
	}
}

// ExtraData records that data followed the response to a request on a client's connection.
func (j *Judge) ExtraData(trace string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addFinding(Lost, at, "%s: data after its response", trace)
}

// ClientGone records that the client left before the response, so that none is required.
func (j *Judge) ClientGone(trace string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.tries[trace]; t != nil && t.answers == 0 {
		t.clientGone, t.endedAt = true, at
	}
}

// Received records that a server has received a request from a sidecar, with the time of its first byte.
func (j *Judge) Received(trace, server string, sidecar int, first time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.tries[trace]
	if t == nil {
		j.unknown++
		return
	}
	t.received = append(t.received, attempt{first, server})
	for _, s := range j.closedSpans[sidecarServer{sidecar, server}] {
		if first > s.from+j.cfg.DrainGrace && first < s.to {
			j.addFinding(Drain, first, "%s: sent by sidecar %d to %s, %v after it was notified to stop", trace, sidecar, server, first-s.from)
			return
		}
	}
	if j.cfg.PollWithin > 0 {
		if change := j.closingChange(server); change >= 0 {
			if due := j.tracker(sidecar).NotifiedBy(change); first > due+j.cfg.DrainGrace && due != never {
				j.addFinding(Drain, first, "%s: sent by sidecar %d to %s, whose closing counts as notified for %v", trace, sidecar, server, first-due)
			}
		}
		return
	}
	if since, closed := j.closedSince(server); closed && j.cfg.NotifiedAfter > 0 && first > since+j.cfg.NotifiedAfter+j.cfg.DrainGrace {
		j.addFinding(Drain, first, "%s: sent by sidecar %d to %s, which the roster has listed as closed for %v",
			trace, sidecar, server, first-since)
	}
}

// Ran records that a server has executed a request that began at the time at. Repeats answered from the key table don't count.
func (j *Judge) Ran(trace, server string, cell int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.tries[trace]; t != nil {
		t.ran = append(t.ran, run{at, server, cell})
	}
}

// Finished records that a server has made a successful response to a request.
func (j *Judge) Finished(trace string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.tries[trace]; t != nil {
		t.finished++
	}
}

// SidecarDown records that a sidecar does not run from this time on. Requests in flight on it are left to the clients' retries.
func (j *Judge) SidecarDown(sidecar int, from time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outages = append(j.outages, outage{sidecar, from, never})
}

// SidecarUp records that a sidecar runs again.
func (j *Judge) SidecarUp(sidecar int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.outages {
		if o := &j.outages[i]; o.sidecar == sidecar && o.to == never {
			o.to = at
		}
	}
}

// PushedOver records that a cold server failed from overload.
func (j *Judge) PushedOver(server string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addFinding(PushedOver, at, "%s", server)
}
