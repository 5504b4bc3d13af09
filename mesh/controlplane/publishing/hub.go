// Package publishing owns the data that a control machine publishes, which are the committed configuration and the directory of sidecars,
// and its subscribers. It decides when a committed configuration replaces the published one, which updates each subscriber gets, and which
// version this machine announces as in force to the other control machines.
//
// Hub has no I/O, no goroutine and no clock. It belongs to the control machine's event loop.
//
// Start reading at Hub.Publish and Hub.Updates.
package publishing

import (
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/configversion"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/persist"
	"firplank/mesh/timing"
)

// SidecarRetention is how long a sidecar may be silent before its entry is deleted.
const SidecarRetention = 10 * time.Minute

// Update is an update and the connection of its subscriber.
type Update[C comparable] struct {
	Conn C
	dissemination.Update
}

// Hub is the publisher of a control machine with its subscribers, which it identifies by their connections of type C. It is not safe for
// concurrent use. The number of subscribers is bounded by dissemination.MaxSubscribers.
type Hub[C comparable] struct {
	// Publisher may be read by the caller, who may also change its Directory and set its ControlMachines.
	Publisher *dissemination.Publisher

	durations    timing.Sidecars
	unpack       func(packed []byte) (text []byte, err error)
	packed       []byte // the published text, compressed
	ids          map[C]uint64
	conns        map[uint64]C
	lastID       uint64
	announced    configversion.Version // the lowest version in force that was announced last
	seenDirectly map[string]uint64     // incarnations, by node, of the sidecars that were seen directly since ReportSent
}

// New returns a hub that publishes nothing yet. unpack decompresses a committed configuration.
func New[C comparable](unpack func(packed []byte) (text []byte, err error), t timing.Durations) *Hub[C] {
	return &Hub[C]{
		Publisher:    dissemination.NewPublisher(t.Dissemination),
		durations:    t.Sidecars,
		unpack:       unpack,
		ids:          map[C]uint64{},
		conns:        map[uint64]C{},
		seenDirectly: map[string]uint64{},
	}
}

// Publish updates the published rollouts, configuration and time from the newest committed value. It reports whether a newer version is
// published from now on, and fails if that version cannot be decompressed; the previous one then stays published.
func (h *Hub[C]) Publish(committed persist.Committed) (newer bool, err error) {
	v := &committed.Value
	h.Publisher.SetRollouts(v.Rollouts)
	if !committed.Known || v.Version == configversion.None {
		return false, nil
	}
	if v.Version <= h.Publisher.Version {
		h.Publisher.SetConfig(v.Version, nil, nil, committed.AsOf)
		return false, nil
	}
	text, err := h.unpack(v.Body)
	if err != nil {
		return false, errors.Wrapf(err, "decompress version %v", v.Version)
	}
	h.packed = v.Body
	return h.Publisher.SetConfig(v.Version, text, nil, committed.AsOf), nil
}

// Packed returns the published text, compressed.
func (h *Hub[C]) Packed() []byte { return h.packed }

// Subscribe adds a subscriber, which has what ack states. It reports false if the connection has subscribed before, or there are too many
// subscribers.
func (h *Hub[C]) Subscribe(conn C, ack dissemination.Ack, now time.Duration) bool {
	if _, subscribed := h.ids[conn]; subscribed {
		return false
	}
	h.lastID++
	if !h.Publisher.Subscribe(h.lastID, ack.Version, now) {
		return false
	}
	h.ids[conn], h.conns[h.lastID] = h.lastID, conn
	h.Publisher.HandleAck(h.lastID, ack, now)
	return true
}

// HandleAck handles a subscriber's acknowledgement. One from a connection that has not subscribed is ignored.
func (h *Hub[C]) HandleAck(conn C, ack dissemination.Ack, now time.Duration) {
	if id, ok := h.ids[conn]; ok {
		h.Publisher.HandleAck(id, ack, now)
	}
}

// Disconnect removes the subscriber of a closed connection, if there is one.
func (h *Hub[C]) Disconnect(conn C) {
	id, ok := h.ids[conn]
	if !ok {
		return
	}
	delete(h.ids, conn)
	delete(h.conns, id)
	h.Publisher.Unsubscribe(id)
}

// Conns returns the connections of all subscribers, in no order.
func (h *Hub[C]) Conns() (conns []C) {
	for conn := range h.ids {
		conns = append(conns, conn)
	}
	return conns
}

// Updates returns the updates that are due, in no order, and when to call it again at the latest.
func (h *Hub[C]) Updates(now time.Duration) (updates []Update[C], next time.Duration) {
	due, next := h.Publisher.Tick(now)
	for _, u := range due {
		if conn, ok := h.conns[u.SubscriberID]; ok {
			updates = append(updates, Update[C]{Conn: conn, Update: u})
		}
	}
	return updates, next
}

// LowestInForce returns the lowest version in force among the subscribers, or dissemination.Unconstrained if there are none.
func (h *Hub[C]) LowestInForce(now time.Duration) configversion.Version {
	return h.Publisher.LowestInForce(now)
}

// Announce returns the lowest version in force, and whether it has changed since the last call. If so, the caller announces it to the other
// control machines.
func (h *Hub[C]) Announce(now time.Duration) (lowest configversion.Version, changed bool) {
	lowest = h.LowestInForce(now)
	changed = lowest != h.announced
	h.announced = lowest
	return lowest, changed
}

// HandleEntry merges an entry of the directory. An entry that isn't complete is only evidence of life. A direct entry comes from the
// sidecar itself or from the relay that it subscribes to; others come from control machines, whose reports of losses are ignored. It
// reports whether the entry marks a sidecar as lost: a relay has to report the loss, and this machine must not have seen the sidecar for
// more than timing.Sidecars.MinSilence.
func (h *Hub[C]) HandleEntry(e directory.Entry, complete, direct bool, now time.Duration) (lost bool) {
	if direct && !e.Lost {
		h.seenDirectly[e.Node] = e.Incarnation
	}
	switch d := h.Publisher.Directory; {
	case !complete:
		d.RecordRolloutReport(e.Node, e.Incarnation, e.LastSeen, e.RolloutReport)
		d.MarkAlive(e.Node, e.Incarnation, e.LastSeen)
	case e.Lost && direct:
		return now-e.LastSeen >= 0 && d.MarkLost(e.Node, e.Incarnation, now, h.durations.MinSilence)
	default:
		d.Merge(e, e.LastSeen)
		d.RecordRolloutReport(e.Node, e.Incarnation, e.LastSeen, e.RolloutReport)
	}
	return false
}

// Expire marks silent sidecars as lost, and deletes their entries after SidecarRetention.
func (h *Hub[C]) Expire(now time.Duration) {
	h.Publisher.Directory.Expire(now, h.durations.Timeout, SidecarRetention)
}

// Report is the part of the directory that is sent to a peer with a hello.
type Report struct {
	Changed  []directory.Entry // sent in full
	Alive    []directory.Entry // unchanged and seen directly: sent as evidence of life
	Revision uint64            // of the directory as the peer has it after this report
}

// Report returns the entries that have changed since a revision, and the other sidecars that were seen directly since ReportSent.
func (h *Hub[C]) Report(since uint64) Report {
	d := h.Publisher.Directory
	r := Report{Changed: d.ChangedSince(since), Revision: d.Revision()}
	changed := map[string]bool{}
	for i := range r.Changed {
		changed[r.Changed[i].Node] = true
	}
	for node, incarnation := range h.seenDirectly {
		if e, ok := d.Get(node); ok && !changed[node] && e.Incarnation == incarnation {
			r.Alive = append(r.Alive, e)
		}
	}
	return r
}

// ReportSent clears the set of sidecars that were seen directly. It is called when all peers have been sent their reports.
func (h *Hub[C]) ReportSent() { clear(h.seenDirectly) }
