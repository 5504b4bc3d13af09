package soak

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"firplank/mesh/configversion"
)

// This file judges the outcomes of requests: responses, connections that ended without one, and what only shows at the end of a run.

// Ended records the end of a request and judges its outcome.
func (j *Judge) Ended(x exchange) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.count(&x)
	if r := j.requests[x.id]; r != nil && x.ending == cancelled {
		r.cancelledAt = x.ended
	}
	if x.ending == expired && j.faultFree(x.sent, x.ended, x.machine) {
		j.counts.Held++
	}
	if x.ending != answered && x.ending != broken {
		return
	}
	switch {
	case x.status == http.StatusInternalServerError && x.fromServer: // a call that the server made failed
		return
	case x.status == http.StatusGatewayTimeout && x.fromServer:
		return
	}
	switch x.status {
	case http.StatusOK:
		j.judgeSuccess(&x)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if x.unsafe {
			j.rejectedBy[x.id] = x.machine
		}
	case http.StatusNotFound:
		j.judgeNotFound(&x)
	case 0, http.StatusBadGateway, http.StatusInternalServerError, http.StatusGatewayTimeout:
		j.judgeBroken(&x)
	default:
		j.report(x.ended, "DENIED", "request %s at %s is answered %d", x.id, x.machine, x.status)
	}
}

func (j *Judge) count(x *exchange) {
	j.counts.Requests++
	switch {
	case x.ending == cancelled:
		j.counts.Left++
	case x.ending == unreachable:
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
	if x.mismatched {
		j.report(x.ended, "MIXED", "request %s at %s is answered %q", x.id, x.machine, x.body)
	}
	if j.runs[x.id] == 0 {
		j.report(x.ended, "MIXED", "request %s at %s is answered, and no server has run it", x.id, x.machine)
	}
	if len(x.services) > 1 && x.serviceIndex >= 0 && j.faultFreeEverywhere(x.sent, x.ended) {
		j.split[x.services[x.serviceIndex]]++
	}
	if x.markerVersion == configversion.None {
		return
	}
	key := [2]string{x.machine, fmt.Sprint(x.incarnation)}
	if x.markerVersion > j.markers[key].version {
		j.markers[key] = seenMarker{x.markerVersion, x.ended}
	}
}

// judgeNotFound judges a 404, which is correct only for a marker route whose version need not be in force yet.
func (j *Judge) judgeNotFound(x *exchange) {
	if x.markerVersion == configversion.None {
		j.report(x.ended, "DENIED", "request %s at %s has no route", x.id, x.machine)
		return
	}
	if seen := j.markers[[2]string{x.machine, fmt.Sprint(x.incarnation)}]; seen.version >= x.markerVersion &&
		x.sent > seen.at+backSlack+timingSlack {
		j.report(x.ended, "CONFIG", "machine %s goes back: version %v was in force at %v, and has no route at %v", x.machine, seen.version,
			seen.at, x.sent)
		return
	}
	a, acked := j.acked[x.markerVersion]
	if !acked || x.sent <= a.at+inForce+timingSlack || !j.faultFree(x.sent, x.ended, x.machine) {
		return
	}
	j.report(x.ended, "CONFIG", "machine %s does not have version %v, sent at %v, acknowledged at %v", x.machine, x.markerVersion,
		x.sent, a.at)
}

// judgeBroken judges a connection that ended without a response, or a failure. Around a SIGTERM of the machine it is a
// violation, unless abortShare of the request's deadline was used up, or the request was sent within 3 s of the SIGTERM and ended in the
// last sixth of graceS.
func (j *Judge) judgeBroken(x *exchange) {
	if gone, ended := j.serverEnds[j.lastServer[x.id]]; j.aborted[x.id] || ended && gone >= x.sent {
		return // the server caused it
	}
	r := j.requests[x.id]
	if x.ending == broken && r != nil && len(r.servers) > 0 && j.faultFree(x.sent, x.ended, append(r.serverMachines, x.machine)...) {
		j.counts.Dropped++
	}
	stop, stopping := j.shutdownAt(x.machine, x.sent)
	if !stopping {
		stop, stopping = j.shutdownAt(x.machine, x.ended)
	}
	early := x.ended-x.sent < time.Duration(abortShare*float64(x.deadline))
	lastSixth := x.ended >= stop.from+grace-grace/6 && x.sent <= stop.from+3*time.Second
	if !stopping || !early || lastSixth || x.status == http.StatusGatewayTimeout || !j.faultFree(x.sent, x.ended, x.machine) {
		return
	}
	j.report(x.ended, "LOST", "request %s at %s, sent %v after its SIGTERM, ends after %v with status %d", x.id, x.machine,
		x.sent-stop.from, x.ended-x.sent, x.status)
}

// judgeSplit checks the services' shares on the split route: they deviate from the weights by at most 0.2, given enough requests.
func (j *Judge) judgeSplit(at time.Duration) {
	const minRequests, maxDeviation = 200, 0.2
	all, shares := 0, 0
	for service, share := range splitShares {
		all, shares = all+j.split[service], shares+share
	}
	for service, share := range splitShares {
		got, want := float64(j.split[service])/float64(max(1, all)), float64(share)/float64(shares)
		if all >= minRequests && math.Abs(got-want) > maxDeviation {
			j.report(at, "CONFIG", "service %s has %.2f of %d requests on a split route, and its weight is %.2f", service, got, all, want)
		}
	}
}

// Finish checks the rules that need the whole run: unsafe requests that ran more than once, rejected requests that ran, and budgets.
func (j *Judge) Finish(at time.Duration, unsafeIDs []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range unsafeIDs {
		if n := j.runs[id]; n > 1 {
			j.report(at, "TWICE", "request %s has run %d times", id, n)
		}
	}
	j.judgeBudgets(at)
	j.judgeSplit(at)
	for id, machine := range j.rejectedBy {
		if j.runs[id] > 0 {
			j.report(at, "REFUSED", "request %s was refused at %s, and has run", id, machine)
		}
	}
}
