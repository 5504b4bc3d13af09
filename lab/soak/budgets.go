package soak

import (
	"slices"
	"time"

	"firplank/lab/mesh"
)

// Bounds of the retry budget and of the time that requests have left. Rules that do not hold for each single request are broken only when
// more requests than a maximum miss them.
const (
	retryRatio       = 0.2
	retrySlack       = 60
	retryWindow      = 10 * time.Second
	routeAttempts    = 2 // as in the routes' configuration
	lateAnswerLimit  = 500 * time.Millisecond
	cancelLimit      = 500 * time.Millisecond
	deadlineSlack    = 500 * time.Millisecond
	exceptions       = 3
	maxAfterCancel   = 5
	maxLateDeadlines = 20
)

// request is the judge's record of a request, from before it is sent.
type request struct {
	machine        string // receives it from its client
	sent           time.Duration
	timeout        time.Duration // its deadline header, relative to sent
	cancelledAt    time.Duration // when its client gave up early; 0: it did not
	servers        []string      // servers that ran it, one entry per run
	serverMachines []string      // machines of servers, in the same order
}

// arrival is a request that reached a server.
type arrival struct {
	at     time.Duration
	repeat bool // the request reached a server before
}

// Sent records that a client is about to send a request.
func (j *Judge) Sent(at time.Duration, id, machine string, timeout time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[id] = &request{machine: machine, sent: at, timeout: timeout}
}

// recordArrival records that a request reached a server. A request that no client sent is a violation. The caller holds mu.
func (j *Judge) recordArrival(at time.Duration, machine string, a *mesh.Arrival) {
	r := j.requests[a.RequestID]
	if r == nil {
		j.report(at, "UNASKED", "server %s runs request %s, which no client has sent", a.Server, a.RequestID)
		return
	}
	j.arrivals[a.Service] = append(j.arrivals[a.Service], arrival{at, len(r.servers) > 0})
	r.servers, r.serverMachines = append(r.servers, a.Server), append(r.serverMachines, machine)
	if !j.faultFree(at, at, machine, r.machine) {
		return
	}
	if r.cancelledAt > 0 && at > r.cancelledAt+cancelLimit+timingSlack {
		j.counts.AfterLeaving++
	}
	if a.Remaining == 0 || at+a.Remaining > r.sent+r.timeout+deadlineSlack {
		j.counts.ExtraTime++
	}
}

// judgeBudgets checks the rules that are counted over all requests of the run. The caller holds mu.
func (j *Judge) judgeBudgets(at time.Duration) {
	if n := j.counts.AfterLeaving; n > maxAfterCancel {
		j.report(at, "GONE", "%d requests reached servers over %v after their clients had left", n, cancelLimit)
	}
	if n := j.counts.Held; n > exceptions {
		j.report(at, "CONFIG", "%d requests had no answer %v after their deadline", n, lateAnswerLimit)
	}
	if n := j.counts.Dropped; n > exceptions {
		j.report(at, "LOST", "%d requests that servers had run ended without an answer", n)
	}
	if n := j.counts.ExtraTime; n > maxLateDeadlines {
		j.report(at, "BUDGET", "servers were handed %d requests with more time than was left", n)
	}
	over := 0
	for _, r := range j.requests {
		liveServers := slices.DeleteFunc(slices.Compact(slices.Sorted(slices.Values(r.servers))), func(server string) bool {
			_, gone := j.serverEnds[server]
			return gone
		})
		if len(liveServers) > routeAttempts && j.faultFree(r.sent, r.sent, r.machine) {
			over++
		}
	}
	if over > exceptions {
		j.report(at, "BUDGET", "%d requests ran on more than %d servers", over, routeAttempts)
	}
	for service, all := range j.arrivals {
		j.judgeRetries(service, all)
	}
}

// judgeRetries checks the retry budget of a service in each window of retryWindow that ends with an arrival. It reports the first violation
// only.
func (j *Judge) judgeRetries(service string, all []arrival) {
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	windowStart, requests, repeats := 0, 0, 0
	for _, a := range all {
		if a.repeat {
			repeats++
		} else {
			requests++
		}
		for ; all[windowStart].at < a.at-retryWindow; windowStart++ {
			if all[windowStart].repeat {
				repeats--
			} else {
				requests--
			}
		}
		if float64(repeats) > retryRatio*float64(requests)+retrySlack {
			j.report(a.at, "BUDGET", "service %s got %d repeats of %d requests in %v", service, repeats, requests, retryWindow)
			return
		}
	}
}
