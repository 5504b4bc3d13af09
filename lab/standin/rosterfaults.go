package standin

// This file makes the roster fail on command.

import (
	"time"
)

// SetDown puts the roster out of reach: calls are reset and watches end. An agent stays up and learns nothing.
func (r *Roster) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
	r.wakeWatches()
}

// SetSlow makes answers later by d, and SetGarble makes them no lists.
func (r *Roster) SetSlow(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extraDelay = d
}

// SetGarble makes answers what is no list.
func (r *Roster) SetGarble(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.malformed = on
	r.wakeWatches()
}

// SetBreak has a share of the answers break off.
func (r *Roster) SetBreak(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.truncatedShare = share
}

// SetBusy has a share of the calls turned away after a time.
func (r *Roster) SetBusy(share float64, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busyShare, r.busyDelay = share, after
}

// Mute has the watches that are open fall silent.
func (r *Roster) Mute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.muted)
	r.muted = make(chan struct{})
}

// Restart lets the roster come back as one that has lost its place: its revisions begin anew, below those of before.
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
