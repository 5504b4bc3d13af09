package codec

import (
	"time"

	"firplank/mesh/tombstone"
	"firplank/mesh/wire"
)

// tombstoneKinds are the kinds of frames that carry messages between replicas of the tombstones, by tombstone.Kind. 0 stands for no frame.
var tombstoneKinds = [...]wire.Kind{
	tombstone.Store:     wire.StoreTombstones,
	tombstone.Stored:    wire.TombstonesStored,
	tombstone.Read:      wire.ReadTombstones,
	tombstone.ReadReply: wire.TombstonesRead,
}

// TombstoneMessageToFrame returns the frame of a message between replicas. The frame does not contain the message's recipient, which is the
// peer of the connection.
func TombstoneMessageToFrame(m *tombstone.Message) *wire.FrameT {
	f := &wire.FrameT{
		Kind:    tombstoneKinds[m.Kind],
		Id:      m.ID,
		From:    m.From,
		Ok:      m.Complete,
		Entries: TombstonesToWire(m.Tombstones),
	}
	for _, node := range m.Nodes {
		f.Entries = append(f.Entries, &wire.EntryT{Node: node})
	}
	return f
}

// TombstoneMessageFromFrame returns the message in a frame, without its recipient. ok is false for other kinds of frames.
func TombstoneMessageFromFrame(f *wire.FrameT) (m tombstone.Message, ok bool) {
	for kind, frameKind := range tombstoneKinds {
		if frameKind == f.Kind && frameKind != 0 {
			m = tombstone.Message{Kind: tombstone.Kind(kind), ID: f.Id, From: f.From, Complete: f.Ok}
			ok = true
		}
	}
	switch m.Kind {
	case tombstone.Store, tombstone.ReadReply:
		m.Tombstones = TombstonesFromWire(f.Entries)
	case tombstone.Read:
		for _, e := range f.Entries {
			m.Nodes = append(m.Nodes, e.Node)
		}
	case tombstone.Stored:
	}
	return m, ok
}

// TombstonesToWire converts tombstones to the entries of a frame.
func TombstonesToWire(tombstones []tombstone.Aged) []*wire.EntryT {
	var entries []*wire.EntryT
	for _, t := range tombstones {
		entries = append(entries, &wire.EntryT{Node: t.Node, ServerId: t.Server, AgeMs: milliseconds(t.Age)})
	}
	return entries
}

// TombstonesFromWire converts the entries of a frame to tombstones. Entries without a server are ignored.
func TombstonesFromWire(entries []*wire.EntryT) []tombstone.Aged {
	var tombstones []tombstone.Aged
	for _, e := range entries {
		if e.ServerId == "" {
			continue
		}
		tombstones = append(tombstones, tombstone.Aged{
			Tombstone: tombstone.Tombstone{Node: e.Node, Server: e.ServerId},
			Age:       time.Duration(e.AgeMs) * time.Millisecond,
		})
	}
	return tombstones
}
