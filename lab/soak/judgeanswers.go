package soak

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// This file has what the judge makes of the ends of requests: answers, connections that ended without one, and what only shows when all is
// over.

// Ended records the end of a request.
func (j *Judge) Ended(x exchange) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count(&x)
	if r := j.requests[x.id]; r != nil && x.ending == left {
		r.leftAt = x.ended
	}
	if x.ending == expired && j.calm(x.sent, x.ended, x.machine) {
		j.counts.Held++
	}
	if x.ending != answered && x.ending != broken {
		return
	}
	switch {
	case x.status == http.StatusInternalServerError && x.byServer: // a call that it made has failed
		return
	case x.status == http.StatusGatewayTimeout && x.byServer:
		return
	}
	switch x.status {
	case http.StatusOK:
		j.judgeSuccess(&x)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if x.unsafe {
			j.promised[x.id] = x.machine
		}
	case http.StatusNotFound:
		j.judgeNotFound(&x)
	case 0, http.StatusBadGateway, http.StatusInternalServerError, http.StatusGatewayTimeout:
		j.judgeBroken(&x)
	default:
		j.breaks(x.ended, "DENIED", "request %s at %s is answered %d", x.id, x.machine, x.status)
	}
}

func (j *Judge) count(x *exchange) {
	j.counts.Requests++
	switch {
	case x.ending == left:
		j.counts.Left++
	case x.ending == unreached:
		j.counts.Unreached++
	case x.ending == expired:
		j.counts.Expired++
	case x.status == http.StatusOK:
		j.counts.Served++
	case x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests:
		j.counts.Refused++
	case x.status == 0:
		j.counts.Broken++
	default:
		j.counts.Failed++
	}
}

func (j *Judge) judgeSuccess(x *exchange) {
	if x.wrong {
		j.breaks(x.ended, "MIXED", "request %s at %s is answered %q", x.id, x.machine, x.body)
	}
	if j.runs[x.id] == 0 {
		j.breaks(x.ended, "MIXED", "request %s at %s is answered, and no server has run it", x.id, x.machine)
	}
	if len(x.services) > 1 && x.by >= 0 && j.calmEverywhere(x.sent, x.ended) {
		j.split[x.services[x.by]]++
	}
	if x.marker == 0 {
		return
	}
	key := [2]string{x.machine, fmt.Sprint(x.life)}
	if x.marker > j.markers[key].version {
		j.markers[key] = seenMarker{x.marker, x.ended}
	}
}

// judgeNotFound judges a 404: it is right only where no configuration has the route that may be in force.
func (j *Judge) judgeNotFound(x *exchange) {
	if x.marker == 0 {
		j.breaks(x.ended, "DENIED", "request %s at %s has no route", x.id, x.machine)
		return
	}
	if seen := j.markers[[2]string{x.machine, fmt.Sprint(x.life)}]; seen.version >= x.marker && x.sent > seen.at+backSlack+tolerance {
		j.breaks(x.ended, "CONFIG", "machine %s goes back: version %d was in force at %v, and has no route at %v", x.machine, seen.version,
			seen.at, x.sent)
		return
	}
	a, acked := j.acked[x.marker]
	if !acked || x.sent <= a.at+inForce+tolerance || !j.calm(x.sent, x.ended, x.machine) {
		return
	}
	j.breaks(x.ended, "CONFIG", "machine %s does not have version %d, sent at %v, acknowledged at %v", x.machine, x.marker, x.sent, a.at)
}

// judgeBroken judges a connection that ended without an answer, and a failure, around a SIGTERM of the machine.
func (j *Judge) judgeBroken(x *exchange) {
	if gone, ended := j.gone[j.ranOn[x.id]]; j.spoilt[x.id] || ended && gone >= x.sent {
		return // the server broke off
	}
	r := j.requests[x.id]
	if x.ending == broken && r != nil && len(r.servers) > 0 && j.calm(x.sent, x.ended, append(r.ranAt, x.machine)...) {
		j.counts.Dropped++
	}
	stop, stopping := j.stopping(x.machine, x.sent)
	if !stopping {
		stop, stopping = j.stopping(x.machine, x.ended)
	}
	inTime := x.ended-x.sent < time.Duration(cutShare*float64(x.deadline))
	lastSixth := x.ended >= stop.from+grace-grace/6 && x.sent <= stop.from+3*time.Second
	if !stopping || !inTime || lastSixth || x.status == http.StatusGatewayTimeout || !j.calm(x.sent, x.ended, x.machine) {
		return
	}
	j.breaks(x.ended, "LOST", "request %s at %s, sent %v after its SIGTERM, ends after %v with status %d", x.id, x.machine,
		x.sent-stop.from, x.ended-x.sent, x.status)
}

// finishSplit judges the shares of the services of a split route: they are off by a fifth at most, where there are enough requests.
func (j *Judge) finishSplit(at time.Duration) {
	const enough, off = 200, 0.2
	all, shares := 0, 0
	for service, share := range splitShares {
		all, shares = all+j.split[service], shares+share
	}
	for service, share := range splitShares {
		got, want := float64(j.split[service])/float64(max(1, all)), float64(share)/float64(shares)
		if all >= enough && math.Abs(got-want) > off {
			j.breaks(at, "CONFIG", "service %s has %.2f of %d requests on a split route, and its weight is %.2f", service, got, all, want)
		}
	}
}

// Finish judges what only shows at the end: requests that ran more than once, or that ran though they were refused.
func (j *Judge) Finish(at time.Duration, unsafeIDs []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range unsafeIDs {
		if n := j.runs[id]; n > 1 {
			j.breaks(at, "TWICE", "request %s has run %d times", id, n)
		}
	}
	j.finishBudgets(at)
	j.finishSplit(at)
	for id, machine := range j.promised {
		if j.runs[id] > 0 {
			j.breaks(at, "REFUSED", "request %s was refused at %s, and has run", id, machine)
		}
	}
}
