package codec

import (
	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// NodeStatus is the status of a control machine, which it reports in a frame of kind wire.Hello.
type NodeStatus struct {
	Voter       bool            // its replica of the register may vote
	Draining    bool            // it is shutting down
	DiskFailing bool            // writes to its disk fail or stall
	Accepted    register.Ballot // of the value on its disk
}

// SetNodeStatus sets the sender's status in a hello, whose first machine is the sender.
func SetNodeStatus(f *wire.FrameT, s NodeStatus) {
	sender := f.Machines[0]
	sender.Voter = s.Voter
	sender.Draining = s.Draining
	sender.DiskFailing = s.DiskFailing
	sender.Accepted = ballotToWire(s.Accepted)
}

// NodeStatusFromFrame returns the sender's status in a hello. ok is false if the first machine is not the sender.
func NodeStatusFromFrame(f *wire.FrameT) (s NodeStatus, ok bool) {
	if len(f.Machines) == 0 || f.Machines[0].Addr != f.From {
		return NodeStatus{}, false
	}
	sender := f.Machines[0]
	return NodeStatus{
		Voter:       sender.Voter,
		Draining:    sender.Draining,
		DiskFailing: sender.DiskFailing,
		Accepted:    ballotFromWire(sender.Accepted),
	}, true
}
