package tombstone

import (
	"slices"
	"time"
)

// write is a tombstone that is not known to be durable yet, and the requests that wait for it.
type write struct {
	requests []uint64
	sentIDs  map[uint64]bool // IDs of the Store messages with the tombstone
	storedBy map[string]bool
	expires  time.Duration
	resendAt time.Duration // 0: not sent yet
}

// requestRecord begins to make a tombstone durable, unless it is.
func (r *Replica) requestRecord(request RecordRequested) {
	t := request.Tombstone
	if e := r.entries[t]; e != nil && e.durable && r.now-e.requestedAt < r.durations.RefreshAge {
		r.output.Recorded = append(r.output.Recorded, request.ID)
		return
	}
	if w := r.writes[t]; w != nil {
		w.requests, w.expires = append(w.requests, request.ID), r.now+r.durations.CallTimeout
		return
	}
	if len(r.writes) >= maxRequests || !r.add(Aged{Tombstone: t}) {
		return
	}
	w := &write{
		requests: []uint64{request.ID},
		sentIDs:  map[uint64]bool{},
		storedBy: map[string]bool{},
		expires:  r.now + r.durations.CallTimeout,
	}
	w.storedBy[r.self] = r.entries[t].appended <= r.synced
	r.writes[t] = w
}

// advanceWrites answers the requests whose tombstones are durable, drops those that have waited for too long, and sends to each other
// machine, in one message, what it has not stored yet.
func (r *Replica) advanceWrites() {
	var due []Tombstone
	for t, w := range r.writes {
		switch {
		case r.isQuorum(func(machine string) bool { return w.storedBy[machine] }):
			r.completeWrite(t, w)
		case r.now >= w.expires:
			delete(r.writes, t)
		case r.now >= w.resendAt:
			due = append(due, t)
		}
	}
	if len(due) == 0 {
		return
	}
	slices.SortFunc(due, Tombstone.Compare)
	for _, machine := range r.others() {
		r.sendStore(machine, due)
	}
	for _, t := range due {
		r.writes[t].resendAt = r.now + r.durations.ResendInterval
	}
}

// completeWrite answers the requests for a tombstone that has become durable, in their order.
func (r *Replica) completeWrite(t Tombstone, w *write) {
	if e := r.entries[t]; e != nil {
		e.durable = true
	}
	r.output.Recorded = append(r.output.Recorded, w.requests...)
	slices.Sort(r.output.Recorded)
	delete(r.writes, t)
}

// sendStore sends a machine those of the tombstones that it has not stored.
func (r *Replica) sendStore(machine string, due []Tombstone) {
	m := Message{Kind: Store, To: machine}
	for _, t := range due {
		if w := r.writes[t]; !w.storedBy[machine] {
			m.Tombstones = append(m.Tombstones, Aged{t, r.now - r.entries[t].requestedAt})
		}
	}
	if len(m.Tombstones) == 0 {
		return
	}
	m.ID = r.nextID()
	for _, t := range m.Tombstones {
		r.writes[t.Tombstone].sentIDs[m.ID] = true
	}
	r.send(m)
}

// handleStored records that a machine has stored the tombstones of a Store message.
func (r *Replica) handleStored(m *Message) {
	for _, w := range r.writes {
		if w.sentIDs[m.ID] {
			w.storedBy[m.From] = true
		}
	}
}
