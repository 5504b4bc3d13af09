package admission

import (
	"slices"
	"time"

	"firplank/mesh/directory"
)

// Heartbeat is a server's announcement of its own state.
type Heartbeat struct {
	ServerID   string // identifies the server process; a restarted server has another id
	Service    string // the service that the server belongs to
	Version    string // the version of its software
	Slots      int    // requests that it can process at once
	Closing    bool   // its shutdown has begun; otherwise it accepts requests
	WarmUpLeft time.Duration
	Sequence   Sequence
}

// Sequence is the number of a heartbeat, by which a late one is known. The zero Sequence is that of a heartbeat without a number.
type Sequence struct {
	Number   uint64 // any, 0 included
	Numbered bool
}

// NewSequence returns the sequence of a heartbeat with a number.
func NewSequence(number uint64) Sequence { return Sequence{Number: number, Numbered: true} }

// after reports whether two heartbeats of a server have numbers that show that this one was sent after the other one.
func (s Sequence) after(o Sequence) bool { return s.Numbered && o.Numbered && s.Number > o.Number }

// notAfter reports whether the numbers show that this heartbeat was not sent after the other one.
func (s Sequence) notAfter(o Sequence) bool { return s.Numbered && o.Numbered && s.Number <= o.Number }

// MarkRestarted records that earlier processes of this sidecar may have acknowledged shutdowns of servers that this process does not know
// of. A single heartbeat may be a late one of such a server. A server is then confirmed only by a second, later heartbeat or by a health
// check that has passed since.
func (c *Controller) MarkRestarted() { c.restarted = true }

// HandleHeartbeat handles a heartbeat. It ignores one that is older than the last, or of a departed server. It reports whether the server's
// entry changed.
func (c *Controller) HandleHeartbeat(now time.Duration, h Heartbeat) (changed bool) {
	if c.departed[h.ServerID] || h.ServerID == c.serverID && h.Sequence.notAfter(c.sequence) {
		return false
	}
	confirmed := c.confirms(h)
	c.lastHeartbeat = h
	if !confirmed && h.ServerID != c.serverID && c.confirmBy == 0 && c.state == directory.Accepting {
		if h.Closing {
			c.markDeparted(h.ServerID)
		}
		return false // a late heartbeat must not replace the running server
	}
	c.awaitConfirmation(h.ServerID, confirmed)
	state := directory.Accepting
	if c.unconfirmed(now) {
		state = directory.Unresponsive
	}
	if h.Closing || h.ServerID == c.serverID && c.state == directory.Closing { // a shutdown is never cancelled
		state = directory.Closing
	}
	if h.ServerID != c.serverID {
		c.markDeparted(c.serverID)
		c.inFlight, c.health, c.sequence = 0, Health{}, Sequence{}
	}
	changed = h.ServerID != c.serverID || state != c.state || h.Service != c.service || h.Slots != c.slots ||
		h.Version != c.version
	c.serverID, c.service, c.version, c.slots = h.ServerID, h.Service, h.Version, h.Slots
	c.state = state
	if h.Sequence.Numbered {
		c.sequence = h.Sequence
	}
	c.warmUntil, c.lastSeen = now+h.WarmUpLeft, now
	return changed
}

// confirms reports whether a heartbeat proves that its server is running and has not shut down. It must be called before the heartbeat
// becomes lastHeartbeat.
func (c *Controller) confirms(h Heartbeat) bool {
	switch {
	case !c.restarted || h.ServerID == c.identified:
		return true
	case h.ServerID == c.serverID && c.confirmBy == 0:
		return true
	}
	return h.ServerID == c.lastHeartbeat.ServerID && h.Sequence.after(c.lastHeartbeat.Sequence)
}

// awaitConfirmation sets the time by which the sender of a heartbeat has to be confirmed, or clears it if the server is confirmed.
func (c *Controller) awaitConfirmation(serverID string, confirmed bool) {
	switch {
	case confirmed:
		c.confirmBy = 0
	case serverID != c.serverID || c.confirmBy == 0:
		c.confirmBy = c.durations.RestartConfirmTimeout
	}
}

// AwaitsConfirmation reports whether the server that sent the last heartbeat still needs a health check to be confirmed.
func (c *Controller) AwaitsConfirmation() bool {
	id := c.lastHeartbeat.ServerID
	return id != "" && !c.departed[id] && id != c.identified && (id != c.serverID || c.confirmBy > 0)
}

// HandleDeregistration handles a server's deregistration. It reports whether the server's entry changed.
func (c *Controller) HandleDeregistration(serverID string) (changed bool) {
	c.markDeparted(serverID)
	if serverID != c.serverID || c.state == directory.Departed {
		return false
	}
	c.state = directory.Departed
	return true
}

// HandleTombstone handles the record that a server has begun to shut down, which an earlier process of this sidecar has acknowledged. The
// server gets no requests, whatever its heartbeats and health checks say. It reports whether the server's entry changed.
func (c *Controller) HandleTombstone(serverID string) (changed bool) {
	c.markDeparted(serverID)
	if serverID != c.serverID || c.state == directory.Closing || c.state == directory.Departed {
		return false
	}
	c.state = directory.Closing
	return true
}

// markDeparted records a server as departed. If there are too many records, it replaces the one that was made first.
func (c *Controller) markDeparted(serverID string) {
	if serverID == "" || c.departed[serverID] {
		return
	}
	if len(c.departedInOrder) >= maxDepartedServers {
		delete(c.departed, c.departedInOrder[0])
		c.departedInOrder = slices.Delete(c.departedInOrder, 0, 1)
	}
	c.departed[serverID] = true
	c.departedInOrder = append(c.departedInOrder, serverID)
}

// Restore restores the server from the entry that an earlier incarnation of this sidecar announced, unless a server is known already; then
// only a shutdown in the entry is applied. States that describe the earlier sidecar or its view are not restored: for Unresponsive and
// Draining the server counts as accepting, until timing.Server.RestoredTimeout has passed without a heartbeat.
func (c *Controller) Restore(now time.Duration, e *directory.Entry) {
	c.restore(now, e, c.durations.RestoredTimeout)
}

// Identify handles a health check that has passed. A server that has sent a heartbeat is confirmed by it. Any other is restored from the
// entry, as by Restore. Such a server may have announced its shutdown to an earlier incarnation of this sidecar, with no record of it left,
// and health checks may be wrong. It therefore has to send a heartbeat before this machine counts as in touch
// (timing.Server.IdentifiedTimeout, RestartConfirmTimeout).
func (c *Controller) Identify(now time.Duration, e *directory.Entry) {
	c.identified = e.Server
	switch {
	case e.Server != c.lastHeartbeat.ServerID:
		c.restore(now, e, min(c.durations.IdentifiedTimeout, max(0, c.durations.RestartConfirmTimeout-now)))
	case e.Server != c.serverID:
		c.HandleHeartbeat(now, c.lastHeartbeat)
	default:
		c.confirmBy = 0
		c.ResponseReceived(now)
	}
}

func (c *Controller) restore(now time.Duration, e *directory.Entry, confirmWithin time.Duration) {
	switch {
	case e.Server == "":
		return
	case e.State == directory.Departed:
		c.restoreShutdown(e)
		c.markDeparted(e.Server)
		return
	case c.serverID != "":
		c.restoreShutdown(e)
		return
	case c.departed[e.Server]:
		return
	}
	c.serverID, c.service, c.version, c.slots = e.Server, e.Service, e.Version, e.Slots
	c.state, c.warmUntil, c.lastSeen = e.State, e.WarmUntil, now
	c.confirmBy = now + confirmWithin
	if c.state == directory.Unresponsive || c.state == directory.Draining {
		c.state = directory.Accepting
	}
}

// restoreShutdown applies the shutdown, begun or complete, of a server that is not confirmed.
func (c *Controller) restoreShutdown(e *directory.Entry) {
	shuttingDown := e.State == directory.Departed || e.State == directory.Closing
	if shuttingDown && e.Server == c.serverID && c.confirmBy > 0 {
		c.state = e.State
	}
}

// unconfirmed reports whether the time by which the server has to be confirmed has passed.
func (c *Controller) unconfirmed(now time.Duration) bool { return c.confirmBy > 0 && now > c.confirmBy }

// ConnectionRefused records that no process listens at the server's address. It reports whether the server's state changed.
func (c *Controller) ConnectionRefused() (changed bool) {
	if c.state != directory.Accepting {
		return false
	}
	c.state = directory.Unresponsive
	return true
}

// ResponseReceived records that the server has responded. It reports whether the server's state changed.
func (c *Controller) ResponseReceived(now time.Duration) (changed bool) {
	c.lastSeen, c.lastResponse = max(c.lastSeen, now), now
	if c.state != directory.Unresponsive || c.unconfirmed(now) {
		return false
	}
	c.state = directory.Accepting
	return true
}

// Tick marks the server as unresponsive after its heartbeat time-out, or when it has not been confirmed in time. It reports whether the
// server's state changed.
func (c *Controller) Tick(now time.Duration) (changed bool) {
	if c.state != directory.Accepting || now-c.lastSeen <= c.durations.HeartbeatTimeout && !c.unconfirmed(now) {
		return false
	}
	c.state = directory.Unresponsive
	return true
}

// WarmingUp reports whether the server is in its slow start.
func (c *Controller) WarmingUp(now time.Duration) bool { return now < c.warmUntil }

// HasServer reports whether the local server is known.
func (c *Controller) HasServer() bool { return c.serverID != "" }

// FillEntry sets the fields of a directory entry that describe the server.
func (c *Controller) FillEntry(e *directory.Entry) {
	e.Server, e.Service, e.State = c.serverID, c.service, c.state
	e.Version, e.Slots, e.WarmUntil = c.version, c.slots, c.warmUntil
}
