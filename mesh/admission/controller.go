// Package admission is admission control at the last hop: it decides which requests of other sidecars reach the one local server, and with
// which verdict the others are rejected. All requests to a server pass through the admission control of its own sidecar. A shutdown, an
// address that was reassigned to another server, and a server at capacity are therefore handled correctly even where other sidecars have
// stale information. The package also limits the long responses on the machine's link (Link). It has no clock, no goroutine and no socket.
//
// Start reading at Controller.
package admission

import (
	"time"

	"firplank/mesh/directory"
	"firplank/mesh/timing"
)

// Verdict is admission control's decision on a request.
type Verdict uint8

// The verdicts. All but Admit prove that this attempt has not started and never will.
const (
	Admit        Verdict = iota
	WrongServer          // the request is for another server than the local one, or there is none
	Closing              // the server has announced its shutdown
	Unresponsive         // heartbeats are missing, or the server refuses connections
	AtCapacity           // the server has as many requests in flight as it may have
	Unhealthy            // the server fails too many of its requests
)

// String returns the text of a verdict in the body of a rejection. The texts are part of the wire format and must not change. When a
// verdict is added, append its text and make it the upper bound of the index.
func (v Verdict) String() string {
	return [...]string{"enter", "not-here", "closing", "silent", "full", "ill"}[min(v, Unhealthy)]
}

// maxRequestsPerSlot is how many requests a server may have in flight for each of its slots, by the rank of the request (the last row is
// for all further ranks) and by how often it was forwarded before. Requests beyond one for each slot wait in the server's own queue. A
// request that was not forwarded before is admitted only where it hardly waits, so that requests find servers with free slots; one that was
// rejected elsewhere may wait. The first rank has capacity left when the others have used theirs: if a call that a server makes for one of
// its own requests fails, all work on that request is lost.
var maxRequestsPerSlot = [...][3]float64{{1.5, 3, 3}, {1.1, 1.8, 2.25}, {1, 1.4, 1.75}}

// minRequestLimit is the least number of requests that any server may have in flight, however few slots it has.
const minRequestLimit = 2

const (
	// checkAfter is the time without a response or heartbeat after which a server with requests in flight is checked.
	checkAfter = 700 * time.Millisecond
	// checkInterval is the least time between two checks.
	checkInterval = 500 * time.Millisecond
)

// maxDepartedServers bounds the recorded ids of departed servers.
const maxDepartedServers = 64

// Controller is the admission control of one local server. All times are from one monotonic clock. A Controller is not safe for concurrent
// use.
type Controller struct {
	durations timing.Server

	// The server as described by its heartbeats.
	serverID  string // empty: none is known
	service   string
	version   string
	slots     int
	state     directory.State
	sequence  Sequence // of the last heartbeat with a number
	warmUntil time.Duration
	departed  map[string]bool // ids of servers that have departed, so that a late heartbeat does not register them again
	// departedInOrder has the same ids, in the order in which they departed.
	departedInOrder []string
	// confirmBy is when the server has to be confirmed as not shutting down, even if it responds to requests: an earlier process of the
	// sidecar may have acknowledged its shutdown. 0 means that it is confirmed.
	confirmBy     time.Duration
	restarted     bool      // an earlier process may have acknowledged shutdowns that this one does not know of
	lastHeartbeat Heartbeat // of the local server or of another one
	identified    string    // the server whose health check has passed since the start of this process

	// The server as observed through its requests.
	inFlight     int
	health       Health
	lastSeen     time.Duration // the last heartbeat or response
	lastResponse time.Duration // or when it got a request while it had none in flight
	lastChecked  time.Duration
}

// New returns admission control without a server. A server becomes unresponsive after timing.Server.HeartbeatTimeout without a heartbeat or
// response.
func New(t timing.Server) *Controller {
	return &Controller{durations: t, departed: map[string]bool{}}
}

// Admit decides on a request for a server. Rank 0 is the most urgent, and forwarded is how often the request was forwarded before. If the
// verdict is Admit, the caller must call Release once.
func (c *Controller) Admit(serverID string, rank, forwarded int) Verdict {
	switch {
	case serverID != c.serverID || c.state == directory.Departed || c.state == directory.Unregistered:
		return WrongServer
	case c.state == directory.Closing:
		return Closing
	case c.state == directory.Unresponsive:
		return Unresponsive
	case c.inFlight >= c.limit(rank, forwarded):
		return AtCapacity
	}
	if c.inFlight++; c.inFlight == 1 {
		c.lastResponse = max(c.lastResponse, c.lastSeen)
	}
	return Admit
}

// limit returns the number of requests in flight from which on a request of this rank, forwarded so often before, is rejected.
func (c *Controller) limit(rank, forwarded int) int {
	row := &maxRequestsPerSlot[min(max(rank, 0), len(maxRequestsPerSlot)-1)]
	return max(minRequestLimit, int(row[min(max(forwarded, 0), len(row)-1)]*float64(c.slots)))
}

// Release records the end of a request that was admitted for a server.
func (c *Controller) Release(serverID string) {
	if serverID == c.serverID && c.inFlight > 0 {
		c.inFlight--
	}
}

// Result is the effect of a request's outcome on the server's health.
type Result uint8

// The results.
const (
	Neutral   Result = iota // no effect: timed out, cancelled, or never received by the server
	Success                 // a successful response
	Failure                 // a failure response, or no response
	Rejection               // rejected by the server: a failure if it has free slots
)

// RecordResult records the result of a request, after Release. It reports whether the server has become healthy or unhealthy.
func (c *Controller) RecordResult(now time.Duration, serverID string, result Result) (changed bool) {
	if serverID != c.serverID || result == Neutral || result == Rejection && c.inFlight >= c.slots {
		return false
	}
	before := c.health.Unhealthy()
	c.health.Record(now, result == Success)
	return c.health.Unhealthy() != before
}

// Unhealthy reports whether the server counts as unhealthy.
func (c *Controller) Unhealthy() bool { return c.health.Unhealthy() }

// ShouldDivert reports whether to reject a request as Unhealthy, so that it is sent to another server. See Health.
func (c *Controller) ShouldDivert(now time.Duration, idempotent bool, forwarded int) bool {
	return c.health.ShouldDivert(now, idempotent, forwarded)
}

// CheckDue reports whether the server is to be checked now: it has requests in flight, and has neither responded nor sent a heartbeat for
// checkAfter. The check distinguishes a slow server from one that has crashed.
func (c *Controller) CheckDue(now time.Duration) bool {
	switch {
	case c.inFlight == 0 || c.state == directory.Unresponsive || c.state == directory.Departed:
		return false
	case now-max(c.lastResponse, c.lastSeen) < checkAfter || now-c.lastChecked < checkInterval:
		return false
	}
	c.lastChecked = now
	return true
}
