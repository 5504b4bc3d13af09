package admission

import (
	"time"

	"firplank/mesh/directory"
)

// Heartbeat is what a server announces of itself.
type Heartbeat struct {
	ServerID   string // of the server's run: another process has another id
	Service    string // that it belongs to
	Version    string // of its software
	Slots      int    // requests that it works on at once
	Closing    bool   // it has begun its shutdown; otherwise it accepts requests
	WarmUpLeft time.Duration
	Sequence   uint64 // of the heartbeat; 0: not numbered
}

// AfterRestart notes that earlier processes of this sidecar may have acknowledged ends of servers of which this one knows nothing. One
// heartbeat may be a late one of such a server: it takes a second one, or a health check that has passed since, to confirm a server.
func (c *Controller) AfterRestart() { c.restarted = true }

// HandleHeartbeat handles a heartbeat, unless a newer one came before or its server has departed. It reports whether it brought a change.
func (c *Controller) HandleHeartbeat(now time.Duration, h Heartbeat) (changed bool) {
	if c.departed[h.ServerID] || h.ServerID == c.serverID && h.Sequence <= c.sequence && h.Sequence > 0 {
		return false
	}
	confirmed := c.confirmedBy(h)
	c.lastBeat = h
	if !confirmed && h.ServerID != c.serverID && c.confirmBy == 0 && c.state == directory.Accepting {
		return false // a late one must not end the server that goes on
	}
	c.awaitConfirmation(h.ServerID, confirmed)
	state := directory.Accepting
	if c.unconfirmed(now) {
		state = directory.Unresponsive
	}
	if h.Closing || h.ServerID == c.serverID && c.state == directory.Closing { // a shutdown is not taken back
		state = directory.Closing
	}
	if h.ServerID != c.serverID {
		c.markDeparted(c.serverID)
		c.inFlight, c.health = 0, Health{}
	}
	changed = h.ServerID != c.serverID || state != c.state || h.Service != c.service || h.Slots != c.slots ||
		h.Version != c.version
	c.serverID, c.service, c.version, c.slots = h.ServerID, h.Service, h.Version, h.Slots
	c.state, c.sequence = state, h.Sequence
	c.warmUntil, c.lastSeen = now+h.WarmUpLeft, now
	return changed
}

// confirmedBy reports whether a heartbeat shows that its server goes on. The caller has not noted it as the last one yet.
func (c *Controller) confirmedBy(h Heartbeat) bool {
	switch {
	case !c.restarted || h.ServerID == c.identified:
		return true
	case h.ServerID == c.serverID && c.confirmBy == 0:
		return true
	}
	return h.ServerID == c.lastBeat.ServerID && h.Sequence > c.lastBeat.Sequence
}

// awaitConfirmation sets when a server that has sent a heartbeat has to be confirmed, unless it is.
func (c *Controller) awaitConfirmation(serverID string, confirmed bool) {
	switch {
	case confirmed:
		c.confirmBy = 0
	case serverID != c.serverID || c.confirmBy == 0:
		c.confirmBy = c.durations.RestartConfirmTimeout
	}
}

// AwaitsConfirmation reports whether a health check would show more of the server that has sent the last heartbeat.
func (c *Controller) AwaitsConfirmation() bool {
	id := c.lastBeat.ServerID
	return id != "" && !c.departed[id] && id != c.identified && (id != c.serverID || c.confirmBy > 0)
}

// ServerLeft handles a server's deregistration. It reports whether that brought a change.
func (c *Controller) ServerLeft(serverID string) (changed bool) {
	c.markDeparted(serverID)
	if serverID != c.serverID || c.state == directory.Departed {
		return false
	}
	c.state = directory.Departed
	return true
}

// markDeparted remembers a server as departed, in place of any other where there are too many.
func (c *Controller) markDeparted(serverID string) {
	if serverID == "" {
		return
	}
	if len(c.departed) >= maxDeparted {
		for old := range c.departed {
			delete(c.departed, old)
			break
		}
	}
	c.departed[serverID] = true
}

// Restore takes over the entry that an earlier incarnation of this sidecar announced, unless a server has sent a heartbeat since. The
// states that describe that sidecar, or its view, are not restored: for Unresponsive and Draining the server counts as accepting, until
// timing.Server.RestoredTimeout has passed without a heartbeat. Of a later entry only the server's end counts.
func (c *Controller) Restore(now time.Duration, e *directory.Entry) {
	c.restore(now, e, c.durations.RestoredTimeout)
}

// Identify takes over what a server's health check says, as Restore does where nothing else is known of it. The server may have announced
// its end to an earlier incarnation of this sidecar, with nobody left that knows, and health checks may lie; so it has to send a heartbeat
// before this machine is in touch (timing.Server.IdentifiedTimeout, RestartConfirmTimeout). A server that has sent one is confirmed by its
// health check.
func (c *Controller) Identify(now time.Duration, e *directory.Entry) {
	c.identified = e.Server
	switch {
	case e.Server != c.lastBeat.ServerID:
		c.restore(now, e, min(c.durations.IdentifiedTimeout, max(0, c.durations.RestartConfirmTimeout-now)))
	case e.Server != c.serverID:
		c.HandleHeartbeat(now, c.lastBeat)
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
		c.restoreEnd(e)
		c.markDeparted(e.Server)
		return
	case c.serverID != "":
		c.restoreEnd(e)
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

// restoreEnd takes over the end of a server that no heartbeat has confirmed, or its beginning.
func (c *Controller) restoreEnd(e *directory.Entry) {
	ends := e.State == directory.Departed || e.State == directory.Closing
	if ends && e.Server == c.serverID && c.confirmBy > 0 {
		c.state = e.State
	}
}

// unconfirmed reports whether the server is not confirmed for longer than that may be.
func (c *Controller) unconfirmed(now time.Duration) bool { return c.confirmBy > 0 && now > c.confirmBy }

// ConnectionRefused records that nobody listens at the server's address. It reports whether that brought a change.
func (c *Controller) ConnectionRefused() (changed bool) {
	if c.state != directory.Accepting {
		return false
	}
	c.state = directory.Unresponsive
	return true
}

// ResponseReceived records that the server has responded. It reports whether that brought a change.
func (c *Controller) ResponseReceived(now time.Duration) (changed bool) {
	c.lastSeen, c.lastResponse = max(c.lastSeen, now), now
	if c.state != directory.Unresponsive || c.unconfirmed(now) {
		return false
	}
	c.state = directory.Accepting
	return true
}

// Tick counts the server as unresponsive after its heartbeat time-out, or where nothing confirms what was restored. It reports whether that
// brought a change.
func (c *Controller) Tick(now time.Duration) (changed bool) {
	if c.state != directory.Accepting || now-c.lastSeen <= c.durations.HeartbeatTimeout && !c.unconfirmed(now) {
		return false
	}
	c.state = directory.Unresponsive
	return true
}

// WarmingUp reports whether the server is in its slow start.
func (c *Controller) WarmingUp(now time.Duration) bool { return now < c.warmUntil }

// HasServer reports whether it is known which server is local.
func (c *Controller) HasServer() bool { return c.serverID != "" }

// FillEntry writes what the directory announces of the server into an entry.
func (c *Controller) FillEntry(e *directory.Entry) {
	e.Server, e.Service, e.State = c.serverID, c.service, c.state
	e.Version, e.Slots, e.WarmUntil = c.version, c.slots, c.warmUntil
}
