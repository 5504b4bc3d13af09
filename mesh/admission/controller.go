// Package admission is admission control at the last hop: it decides which requests of other sidecars reach the one local server, and by
// which verdict the others are rejected. A server is reached through its own sidecar's admission control alone, so that a shutdown, an
// address that went to another server, and a server at capacity are settled here, whatever other sidecars believe. It also bounds the long
// responses on the machine's link (Link). It has no clock, no goroutine and no socket.
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
	AtCapacity           // the server holds as many requests as it may
	Unhealthy            // the server fails too many of its requests
)

// String is a verdict as rejections carry it in their body. The texts are on the wire, and stay as they are. The text of a further
// verdict goes to the end, and the bound becomes that verdict.
func (v Verdict) String() string {
	return [...]string{"enter", "not-here", "closing", "silent", "full", "ill"}[min(v, Unhealthy)]
}

// slotOvercommit is how many requests a server may hold for each of its slots, by the rank of the request (the last row is for all further
// ranks) and by how often it was forwarded before. What is above one waits in the server's own backlog. A request that comes for the first
// time is admitted where it need not wait, so that requests find the servers with free slots; only one that was rejected elsewhere may
// wait. The first rank has capacity left where the others fill theirs: if a call fails that a server makes for a request that it works on,
// all work on that request is lost.
var maxRequestsPerSlot = [...][3]float64{{1.5, 3, 3}, {1.1, 1.8, 2.25}, {1, 1.4, 1.75}}

// minLimit is how many requests any server may hold, however few slots it has.
const minRequestLimit = 2

const (
	// checkAfter is how long a server that holds requests may neither respond nor send heartbeats until it is to be checked.
	checkAfter = 700 * time.Millisecond
	// checkInterval is the pause between two checks.
	checkInterval = 500 * time.Millisecond
)

// maxDeparted bounds the servers that are remembered as departed.
const maxDepartedServers = 64

// Controller is admission control of one local server. Times are those of one clock that does not go back. It is not safe for concurrent
// use.
type Controller struct {
	durations timing.Server

	// The server, by its heartbeats.
	serverID  string // empty: none is known
	service   string
	version   string
	slots     int
	state     directory.State
	sequence  uint64
	warmUntil time.Duration
	departed  map[string]bool // ids of servers that ended here, so that a late heartbeat does not bring them back
	// confirmBy is when the server has to be confirmed as one that goes on, whatever it responds to: what its sidecar knew of its end may be
	// lost. 0: it is confirmed.
	confirmBy     time.Duration
	restarted     bool      // an earlier process may have acknowledged ends of servers of which this one knows nothing
	lastHeartbeat Heartbeat // be it of the server or of another one
	identified    string    // the server whose health check has passed since the start of this process

	// The server, by its requests.
	inFlight     int
	health       Health
	lastSeen     time.Duration // the last heartbeat or response
	lastResponse time.Duration // or when it was handed a request while it held none
	lastChecked  time.Duration
}

// New returns admission control without a server. A server counts as unresponsive after a time without heartbeats or responses.
func New(t timing.Server) *Controller {
	return &Controller{durations: t, departed: map[string]bool{}}
}

// Admit decides on a request for a server, of a rank (0 is the most urgent), that was forwarded so often before. Where the
// verdict is Admit, Release has to be called once.
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

// limit returns how many requests the server may hold at most for another one, of this rank and forwarded so often, to be admitted.
func (c *Controller) limit(rank, forwarded int) int {
	row := &maxRequestsPerSlot[min(max(rank, 0), len(maxRequestsPerSlot)-1)]
	return max(minRequestLimit, int(row[min(max(forwarded, 0), len(row)-1)]*float64(c.slots)))
}

// Release ends a request that was admitted for a server.
func (c *Controller) Release(serverID string) {
	if serverID == c.serverID && c.inFlight > 0 {
		c.inFlight--
	}
}

// Result is what the end of a request means for the server's health.
type Result uint8

// The results.
const (
	Neutral   Result = iota // nothing: out of time, cancelled, or never received by the server
	Success                 // a response of success
	Failure                 // a response of failure, or none
	Rejection               // rejected by the server: a failure if it has free slots
)

// RecordResult records how a request ended at a server, after Release. It reports whether that made the server healthy or unhealthy.
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

// ShouldDivert reports whether a request is to be rejected as Unhealthy, so that it goes elsewhere. See Health.
func (c *Controller) ShouldDivert(now time.Duration, idempotent bool, forwarded int) bool {
	return c.health.ShouldDivert(now, idempotent, forwarded)
}

// CheckDue reports whether the server is to be checked now: it holds requests, and has neither responded nor sent a heartbeat for
// checkAfter. Slow servers are checked as well as dead ones; the check tells them apart.
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
