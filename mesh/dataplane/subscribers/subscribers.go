// Package subscribers serves the sidecars that subscribe to this one as their relay. It accepts subscribers, sends each
// the updates that are due, records their acknowledgements, and tells them to go away when this sidecar stops relaying.
//
// It is a state machine without sockets, clock or goroutines: methods take the time since the process started and
// return the frames to send, in order. Which update a subscriber is sent and when is decided by
// dissemination.Publisher. Start reading at Subscribers.Publish.
package subscribers

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/configversion"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/wire"
)

// Conn is a connection to another sidecar or a control machine. This package only compares connections, so values must
// be comparable. The caller sends on them and closes them.
type Conn interface {
	Send(*wire.FrameT) bool
	Close()
}

// Send is a frame to be sent to a subscriber, or to a sidecar whose subscription was refused.
type Send struct {
	To    Conn
	Frame *wire.FrameT
}

// Packer compresses the text of a version of the configuration, for subscribers that need the full text. It may cache
// the result.
type Packer interface {
	Pack(version configversion.Version, text []byte) []byte
}

// Subscribers is the set of sidecars that subscribe to this one, at most dissemination.MaxSubscribers. It is not safe
// for concurrent use.
type Subscribers struct {
	state    *dissemination.Publisher
	packer   Packer
	ids      map[Conn]uint64 // subscriber IDs of the publisher
	conns    map[uint64]Conn // the inverse of ids
	lastID   uint64          // IDs are not reused
	contacts map[Conn]contact
}

// contact records the last frame from a subscriber.
type contact struct {
	node       string
	receivedAt time.Duration
}

// New returns an empty set. Subscribers are sent updates of state, which also stores their acknowledged versions.
func New(state *dissemination.Publisher, packer Packer) *Subscribers {
	return &Subscribers{state: state, packer: packer, ids: map[Conn]uint64{}, conns: map[uint64]Conn{}, contacts: map[Conn]contact{}}
}

// Len returns the number of subscribers.
func (s *Subscribers) Len() int { return len(s.ids) }

// Conns returns the connections of the subscribers.
func (s *Subscribers) Conns() []Conn { return slices.Collect(maps.Keys(s.ids)) }

// Add handles the subscription request f. It accepts the subscriber if this sidecar is relaying and below its limit, and
// otherwise refuses it with a GoAway frame. It reports whether a subscriber was added. A second request on the same
// connection is ignored.
func (s *Subscribers) Add(c Conn, f *wire.FrameT, relaying bool, now time.Duration) (added bool, sends []Send) {
	if _, known := s.ids[c]; known {
		return false, nil
	}
	s.lastID++
	if !relaying || !s.state.Subscribe(s.lastID, configversion.FromOptional(f.Version), now) {
		return false, []Send{{c, &wire.FrameT{Kind: wire.GoAway}}}
	}
	s.ids[c], s.conns[s.lastID] = s.lastID, c
	s.contacts[c] = contact{node: f.From, receivedAt: now}
	s.state.HandleAck(s.lastID, codec.AckFromFrame(f), now)
	return true, nil
}

// Acknowledge records an acknowledgement from a subscriber, for itself and its own subscribers. Reports on other
// connections are ignored.
func (s *Subscribers) Acknowledge(c Conn, f *wire.FrameT, now time.Duration) {
	if id, ok := s.ids[c]; ok {
		s.state.HandleAck(id, codec.AckFromFrame(f), now)
		s.contacts[c] = contact{node: s.contacts[c].node, receivedAt: now}
	}
}

// Entries returns the directory's entries of the subscribers, sorted by node. LastSeen is the time of the subscriber's
// last frame.
func (s *Subscribers) Entries() (entries []directory.Entry) {
	for _, last := range s.contacts {
		if e, ok := s.state.Directory.Get(last.node); ok {
			e.LastSeen, e.Lost = last.receivedAt, false
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b directory.Entry) int { return cmp.Compare(a.Node, b.Node) })
	return entries
}

// ConnOf returns the connection of the subscriber with a node's name, or nil.
func (s *Subscribers) ConnOf(node string) Conn {
	for c, last := range s.contacts {
		if last.node == node {
			return c
		}
	}
	return nil
}

// Remove removes the subscriber whose connection has ended, if there is one.
func (s *Subscribers) Remove(c Conn) {
	if id, ok := s.ids[c]; ok {
		delete(s.ids, c)
		delete(s.conns, id)
		delete(s.contacts, c)
		s.state.Unsubscribe(id)
	}
}

// GoAwayAll returns frames that tell all subscribers to choose another parent. They remain subscribers until their
// connections end.
func (s *Subscribers) GoAwayAll() (sends []Send) {
	for c := range s.ids {
		sends = append(sends, Send{c, &wire.FrameT{Kind: wire.GoAway}})
	}
	return sends
}

// Publish returns the updates that are due. The caller calls it again at next at the latest.
func (s *Subscribers) Publish(now time.Duration) (sends []Send, next time.Duration) {
	updates, next := s.state.Tick(now)
	for i := range updates {
		c, ok := s.conns[updates[i].SubscriberID]
		if !ok {
			continue
		}
		var packed []byte
		if updates[i].FullText {
			packed = s.packer.Pack(s.state.Version, s.state.Text)
		}
		sends = append(sends, Send{c, codec.UpdateToFrame(&updates[i], packed, now)})
	}
	return sends, next
}
