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

// HandleHeartbeat handles a heartbeat, unless a newer one came before or its server has departed. It reports whether it brought a change.
func (c *Controller) HandleHeartbeat(now time.Duration, h Heartbeat) (changed bool) {
	if c.departed[h.ServerID] || h.ServerID == c.serverID && h.Sequence <= c.sequence && h.Sequence > 0 {
		return false
	}
	state := directory.Accepting
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
	c.state, c.sequence, c.confirmBy = state, h.Sequence, 0
	c.warmUntil, c.lastSeen = now+h.WarmUpLeft, now
	return changed
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

// Identify takes over a server that nothing is known of but what its health check says, as Restore does. The server may have announced its
// end to an earlier incarnation of this sidecar, with nobody left that knows; so it has to send a heartbeat before this machine is in touch
// (timing.Server.IdentifiedTimeout).
func (c *Controller) Identify(now time.Duration, e *directory.Entry) {
	c.restore(now, e, c.durations.IdentifiedTimeout)
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

// unconfirmed reports whether the server is known by Restore or Identify alone, for longer than that may be.
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
