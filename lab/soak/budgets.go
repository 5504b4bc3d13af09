package soak

import (
	"slices"
	"time"

	"firplank/lab/mesh"
)

// Bounds of the rules on further sends, and of how many times a rule that is no promise for each request may be missed.
const (
	retryRatio   = 0.2
	retrySlack   = 60
	retryWindow  = 10 * time.Second
	routeTries   = 2 // attempts of the routes
	heldFor      = 500 * time.Millisecond
	goneAfter    = 500 * time.Millisecond
	extraTime    = 500 * time.Millisecond
	exceptions   = 3
	maxGone      = 5
	maxExtraTime = 20
)

// request is what the judge knows of a request from its sending on.
type request struct {
	machine string // that its client sends it to
	sent    time.Duration
	patient time.Duration // how long its client says that it waits
	leftAt  time.Duration // when its client left early; 0: it did not
	servers []string      // that ran it
	ranAt   []string      // their machines
}

// arrival is a request that reached a server.
type arrival struct {
	at     time.Duration
	repeat bool // it has reached one before
}

// Sent records that a client is about to send a request.
func (j *Judge) Sent(at time.Duration, id, machine string, patience time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id] = &request{machine: machine, sent: at, patient: patience}
}

// arrivedFor records an arrival of a request. One that no client sent breaks a rule. The caller holds mu.
func (j *Judge) arrivedFor(at time.Duration, machine string, a *mesh.Arrival) {
	r := j.requests[a.RequestID]
	if r == nil {
		j.breaks(at, "UNASKED", "server %s runs request %s, which no client has sent", a.Server, a.RequestID)
		return
	}
	j.arrivals[a.Service] = append(j.arrivals[a.Service], arrival{at, len(r.servers) > 0})
	r.servers, r.ranAt = append(r.servers, a.Server), append(r.ranAt, machine)
	if !j.calm(at, at, machine, r.machine) {
		return
	}
	if r.leftAt > 0 && at > r.leftAt+goneAfter+tolerance {
		j.counts.AfterLeaving++
	}
	if a.Remaining == 0 || at+a.Remaining > r.sent+r.patient+extraTime {
		j.counts.ExtraTime++
	}
}

// finishBudgets judges what is counted over requests. The caller holds mu.
func (j *Judge) finishBudgets(at time.Duration) {
	if n := j.counts.AfterLeaving; n > maxGone {
		j.breaks(at, "GONE", "%d requests reached servers over %v after their clients had left", n, goneAfter)
	}
	if n := j.counts.Held; n > exceptions {
		j.breaks(at, "CONFIG", "%d requests had no answer %v after their deadline", n, heldFor)
	}
	if n := j.counts.Dropped; n > exceptions {
		j.breaks(at, "LOST", "%d requests that servers had run ended without an answer", n)
	}
	if n := j.counts.ExtraTime; n > maxExtraTime {
		j.breaks(at, "BUDGET", "servers were handed %d requests with more time than was left", n)
	}
	over := 0
	for _, r := range j.requests {
		standing := slices.DeleteFunc(slices.Compact(slices.Sorted(slices.Values(r.servers))), func(server string) bool {
			_, gone := j.gone[server]
			return gone
		})
		if len(standing) > routeTries && j.calm(r.sent, r.sent, r.machine) {
			over++
		}
	}
	if over > exceptions {
		j.breaks(at, "BUDGET", "%d requests ran on more than %d servers", over, routeTries)
	}
	for service, all := range j.arrivals {
		j.finishRetries(service, all)
	}
}

// finishRetries judges the repeated arrivals at a service, in each window that ends with one.
func (j *Judge) finishRetries(service string, all []arrival) {
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	first, requests, repeats := 0, 0, 0
	for _, a := range all {
		if a.repeat {
			repeats++
		} else {
			requests++
		}
		for ; all[first].at < a.at-retryWindow; first++ {
			if all[first].repeat {
				repeats--
			} else {
				requests--
			}
		}
		if float64(repeats) > retryRatio*float64(requests)+retrySlack {
			j.breaks(a.at, "BUDGET", "service %s got %d repeats of %d requests in %v", service, repeats, requests, retryWindow)
			return
		}
	}
}
