package standin

// This file injects faults into the roster.

import (
	"time"
)

// SetDown makes the roster unreachable: calls are reset and watches end. With RosterConfig.Push, the agent keeps answering
// but gets no changes.
func (r *Roster) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.wakeWatches()
}

// SetSlow delays responses by d.
func (r *Roster) SetSlow(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extraDelay = d
}

// SetGarble makes responses malformed.
func (r *Roster) SetGarble(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.malformed = on
	r.wakeWatches()
}

// SetBreak truncates a share of the responses.
func (r *Roster) SetBreak(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.truncatedShare = share
}

// SetBusy rejects a share of the calls with 503 after a delay.
func (r *Roster) SetBusy(share float64, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busyShare, r.busyDelay = share, after
}

// Mute makes the open watches stop responding, on connections that stay open.
func (r *Roster) Mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.muted)
	r.muted = make(chan struct{})
}

// Restart simulates a restart without stored state: revisions start again below the earlier ones, and servers that are gone
// are no longer listed.
func (r *Roster) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = int64(len(r.members)) + 1
	i := int64(0)
	for _, id := range r.order {
		if m := r.members[id]; m.phase == "gone" {
			delete(r.members, id)
		} else {
			i++
			m.revision = i
		}
	}
	r.wakeWatches()
}
