package cutoff

import "time"

// Kind is the kind of something that happened.
type Kind uint8

// The kinds.
const (
	WriteSent Kind = iota + 1 // an order: Call, Version, Text's hash, to Machine
	Answered                  // an order or a read: Call, Version, Status, by Machine
	ReadSent                  // Call, to Machine
	CutBegan                  // Machine, and its sidecars where Zone
	CutEnded
	MachineStopped
	MachineStarted
	SidecarStopped // Sidecar
	SidecarStarted
	Ready        // Sidecar, Version
	Adopted      // Sidecar, Version, Text's hash
	ParentJoined // Sidecar has its updates from Parent now
	ParentLost   // ... no more
	TargetOnly   // Sidecar reaches only the machine that is cut off
)

// Event is something that an onlooker saw.
type Event struct {
	At      time.Duration
	Kind    Kind
	Call    int
	Machine int
	Sidecar int
	Parent  int // a sidecar, or a control machine where it is below Machines
	Version uint32
	Text    uint64
	Status  int
}

// History is what an onlooker saw on a day.
type History struct {
	Machines, Sidecars int
	Ends               time.Duration
	Events             []Event // in the order of time
}

func (h *History) add(e Event) { h.Events = append(h.Events, e) }
