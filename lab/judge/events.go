package judge

// This file takes in what clients and servers saw.

import (
	"time"
)

// Sent says that a client has sent the whole of a request.
func (j *Judge) Sent(t Try) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tries[t.Trace] = &tryRecord{Try: t}
}

// Answered says that a client has read the last byte of an answer. made is the id that the answer's maker wrote into a
// served answer.
func (j *Judge) Answered(trace string, at time.Duration, a Answer, bodyTrace string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t := j.tries[trace]
	if t == nil {
		return
	}
	if t.answers++; t.answers > 1 {
		j.addFinding(Lost, at, "%s: a second answer", trace)
		return
	}
	t.answer, t.endedAt = a, at
	if a == Served && bodyTrace != trace {
		j.addFinding(Foreign, at, "%s: was given the answer made for %q", trace, bodyTrace)
	}
}

// Extra says that bytes came on a client's connection behind the answer to a request.
func (j *Judge) ExtraData(trace string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addFinding(Lost, at, "%s: something came behind its answer", trace)
}

// Gone says that the client has left before the answer; nothing is owed.
func (j *Judge) ClientGone(trace string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.tries[trace]; t != nil && t.answers == 0 {
		t.clientGone, t.endedAt = true, at
	}
}

// Received says that the first byte of a request has come to a server through a sidecar, and later all of it.
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
			j.addFinding(Drain, first, "%s: sent by sidecar %d to %s, %v after it was told to stop", trace, sidecar, server, first-s.from)
			return
		}
	}
	if j.cfg.PollWithin > 0 {
		if change := j.closingChange(server); change >= 0 {
			if due := j.tracker(sidecar).NotifiedBy(change); first > due+j.cfg.DrainGrace && due != never {
				j.addFinding(Drain, first, "%s: sent by sidecar %d to %s, which counts as told to be closed for %v", trace, sidecar, server, first-due)
			}
		}
		return
	}
	if since, closed := j.closedSince(server); closed && j.cfg.NotifiedAfter > 0 && first > since+j.cfg.NotifiedAfter+j.cfg.DrainGrace {
		j.addFinding(Drain, first, "%s: sent by sidecar %d to %s, which the roster had as closed for %v", trace, sidecar, server, first-since)
	}
}

// Ran says that a server has begun the work of a request, which it did not know from its key.
func (j *Judge) Ran(trace, server string, cell int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.tries[trace]; t != nil {
		t.ran = append(t.ran, run{at, server, cell})
	}
}

// Finished says that a server has made an answer of success for a request.
func (j *Judge) Finished(trace string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if t := j.tries[trace]; t != nil {
		t.finished++
	}
}

// Down says that a sidecar does not run from now on: what it holds is the clients' to retry.
func (j *Judge) SidecarDown(sidecar int, from time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outages = append(j.outages, outage{sidecar, from, never})
}

// Up says that a sidecar runs again.
func (j *Judge) SidecarUp(sidecar int, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.outages {
		if o := &j.outages[i]; o.sidecar == sidecar && o.to == never {
			o.to = at
		}
	}
}

// PushedOver says that a cold server fell over.
func (j *Judge) PushedOver(server string, at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addFinding(PushedOver, at, "%s", server)
}
