package codec

import (
	"math"
	"time"

	"firplank/mesh/directory"
	"firplank/mesh/wire"
)

// An entry's state is sent in one byte: the directory.State, with lostBit set if the entry's machine counts as lost, or
// livenessOnlyState for an entry that only reports that its machine is alive.
const (
	livenessOnlyState = 0x7f
	lostBit           = 0x80
)

// EntryToWire converts a directory's entry that is sent at now.
func EntryToWire(e *directory.Entry, now time.Duration) *wire.EntryT {
	state := byte(e.State)
	if e.Lost {
		state |= lostBit
	}
	return &wire.EntryT{
		Node:        e.Node,
		Incarnation: e.Incarnation,
		Sequence:    e.Sequence,
		Addr:        e.Addr,
		PeerAddr:    e.PeerAddr,
		Zone:        e.Zone,
		Service:     e.Service,
		ServerId:    e.Server,
		State:       state,
		Slots:       uint16(min(max(0, e.Slots), math.MaxUint16)),
		WarmUpMs:    milliseconds(e.WarmUntil - now),
		AgeMs:       milliseconds(now - e.LastSeen),
		Edition:     versionToWire(e.Version),
	}
}

// versionToWire returns nil for an unknown version, so that it takes no bytes.
func versionToWire(version string) []byte {
	if version == "" {
		return nil
	}
	return []byte(version)
}

// LivenessToWire returns an entry that only reports when its machine was last seen alive.
func LivenessToWire(e *directory.Entry, now time.Duration) *wire.EntryT {
	return &wire.EntryT{
		Node:        e.Node,
		Incarnation: e.Incarnation,
		State:       livenessOnlyState,
		AgeMs:       milliseconds(now - e.LastSeen),
	}
}

// EntriesToWire converts entries that are sent at now. The result is never nil.
func EntriesToWire(entries []directory.Entry, now time.Duration) []*wire.EntryT {
	converted := make([]*wire.EntryT, len(entries))
	for i := range entries {
		converted[i] = EntryToWire(&entries[i], now)
	}
	return converted
}

// EntryFromWire converts an entry that was received at now. complete is false for an entry of LivenessToWire, in which
// only Node, Incarnation and LastSeen are valid.
func EntryFromWire(e *wire.EntryT, now time.Duration) (entry directory.Entry, complete bool) {
	entry = directory.Entry{
		Node:          e.Node,
		Incarnation:   e.Incarnation,
		Sequence:      e.Sequence,
		Addr:          e.Addr,
		PeerAddr:      e.PeerAddr,
		Zone:          e.Zone,
		Service:       e.Service,
		Server:        e.ServerId,
		State:         directory.State(e.State &^ lostBit),
		Lost:          e.State&lostBit != 0,
		Slots:         int(e.Slots),
		WarmUntil:     now + time.Duration(e.WarmUpMs)*time.Millisecond,
		LastSeen:      timeFromAge(now, e.AgeMs),
		Version:       string(e.Edition),
		RolloutReport: rolloutReportFromWire(e),
	}
	return entry, e.State != livenessOnlyState
}
