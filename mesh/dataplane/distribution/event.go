package distribution

import (
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/dataplane/subscribers"
	"firplank/mesh/dataplane/subscription"
	"firplank/mesh/wire"
)

// Conn is a connection to the parent or to a subscriber. A Node only compares connections. Its caller sends frames on
// them and closes them.
type Conn = subscribers.Conn

// Event is an input of a Node: ParentDialed, ConnClosed or FrameReceived.
type Event interface{ event() }

// ParentDialed is the outcome of a Dial: a connection or an error.
type ParentDialed struct {
	Conn Conn
	Err  error
}

// ConnClosed reports that a dialed or accepted connection has ended. It has no effect if the Node has requested this
// by a Close.
type ConnClosed struct{ Conn Conn }

// FrameReceived reports a frame from a connection. The Node becomes the owner of the frame.
type FrameReceived struct {
	Conn  Conn
	Frame *wire.FrameT
}

func (ParentDialed) event()  {}
func (ConnClosed) event()    {}
func (FrameReceived) event() {}

// Action is an output of a Node: Dial, Send, Close or UpdateRejected.
type Action interface{ action() }

// Dial requests a connection to a parent. The caller reports the outcome by ParentDialed within Timeout.
type Dial struct {
	Addr    string
	Relay   bool // the parent is a sidecar
	Timeout time.Duration
}

// Send requests that a frame is sent. If this fails, the caller closes the connection and reports ConnClosed.
type Send struct {
	To    Conn
	Frame *wire.FrameT
}

// Close requests that the connection to the parent at Addr is closed.
type Close struct {
	Conn   Conn
	Addr   string
	Reason subscription.Reason
}

// UpdateRejected reports, for the log, that the configuration of an update could not be applied. The Node requests the
// full text from its parent.
type UpdateRejected struct {
	Version        configversion.Version // carried by the update
	PresentVersion configversion.Version // held by the sidecar
	Err            error                 // wraps updates.ErrCorrupt or updates.ErrDeltaMismatch
}

func (Dial) action()           {}
func (Send) action()           {}
func (Close) action()          {}
func (UpdateRejected) action() {}
