package cutoff

import (
	"time"

	"firplank/mesh/configversion"
)

// Kind is the kind of an Event.
type Kind uint8

// The kinds.
const (
	WriteSent Kind = iota + 1 // write: Call, Version, hash of the text, to Machine; Call 0 precedes the first call
	Answered                  // response to a write or read: Call, Version, Status, by Machine
	ReadSent                  // Call, to Machine
	CutBegan                  // of Machine, with the sidecars of its zone if CutZone
	CutEnded
	MachineStopped
	MachineStarted
	SidecarStopped // Sidecar
	SidecarStarted
	Ready        // Sidecar, Version
	Adopted      // Sidecar, Version, hash of the text
	ParentJoined // Sidecar receives updates from Parent from now on
	ParentLost   // Sidecar has no parent from now on
	TargetOnly   // Sidecar reaches no control machine but the one that is cut off
)

// Event is an externally visible event.
type Event struct {
	At      time.Duration
	Kind    Kind
	Call    int
	Machine int
	Sidecar int
	Parent  int // a control machine if below Machines, else a sidecar
	Version configversion.Version
	Text    uint64
	Status  int
}

// History is the externally visible behaviour of a day.
type History struct {
	Machines, Sidecars int
	Ends               time.Duration
	Events             []Event // in order of time
}

func (h *History) add(e Event) { h.Events = append(h.Events, e) }
