package distribution

import (
	"time"

	"firplank/mesh/dataplane/subscribers"
	"firplank/mesh/dataplane/subscription"
	"firplank/mesh/wire"
)

// Conn is a connection to the parent or of a subscriber. A Node only compares connections; its caller sends on them
// and closes them.
type Conn = subscribers.Conn

// Event is an input of a Node: ParentDialed, ConnClosed or FrameReceived.
type Event interface{ event() }

// ParentDialed is the outcome of a Dial: a connection or an error.
type ParentDialed struct {
	Conn Conn
	Err  error
}

// ConnClosed reports that a connection has ended, dialed or accepted. For one that a Close has ended it has no effect.
type ConnClosed struct{ Conn Conn }

// FrameReceived is a frame from a connection. The Node owns the frame from now on.
type FrameReceived struct {
	Conn  Conn
	Frame *wire.FrameT
}

func (ParentDialed) event()  {}
func (ConnClosed) event()    {}
func (FrameReceived) event() {}

// Action is an output of a Node: Dial, Send, Close or UpdateRejected.
type Action interface{ action() }

// Dial asks for a connection to a parent. The caller reports the outcome by ParentDialed, within
// Timeout.
type Dial struct {
	Addr    string
	Relay   bool // the parent is a sidecar
	Timeout time.Duration
}

// Send is a frame for a connection. A failure ends the connection, which ConnClosed reports.
type Send struct {
	To    Conn
	Frame *wire.FrameT
}

// Close closes the connection to the parent at an address.
type Close struct {
	Conn   Conn
	Addr   string
	Reason subscription.Reason
}

// UpdateRejected reports, for the log, that the configuration of an update could not be applied; the Node asks its
// parent for the full text.
type UpdateRejected struct {
	Version        uint32 // of the update
	PresentVersion uint32 // that the sidecar has
	Err            error  // wraps updates.ErrCorrupt or updates.ErrDeltaMismatch
}

func (Dial) action()           {}
func (Send) action()           {}
func (Close) action()          {}
func (UpdateRejected) action() {}
