// Package links performs the actions of a distribution.Node on transport connections, and converts what happens on
// these connections to events of the Node. The Node is owned by one loop, to which events are posted. Start reading at
// Links.Perform.
package links

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

// Links manages the connections of a Node to its parent and its subscribers. Only the loop may call its methods, except
// for HandleFrame and HandleClose, which are safe for concurrent use.
type Links struct {
	ctx     context.Context
	node    *distribution.Node
	post    func(distribution.Event) bool
	observe func(distribution.Action)

	dials         sync.WaitGroup
	unhandledDial atomic.Pointer[transport.Conn] // its ParentDialed event is not yet handled; a Node has one dial at a time
}

// New returns the links of a node. They dial until ctx ends. post sends an event to the loop, which passes it to
// Handle; post returns false if the loop has ended. observe is called before each action is performed.
func New(ctx context.Context, node *distribution.Node, post func(distribution.Event) bool, observe func(distribution.Action)) *Links {
	return &Links{ctx: ctx, node: node, post: post, observe: observe}
}

// HandleFrame implements transport.Handler.
func (l *Links) HandleFrame(c *transport.Conn, f *wire.FrameT) {
	l.post(distribution.FrameReceived{Conn: c, Frame: f})
}

// HandleClose implements transport.Handler.
func (l *Links) HandleClose(c *transport.Conn) { l.post(distribution.ConnClosed{Conn: c}) }

// Handle applies an event to the node and performs the resulting actions.
func (l *Links) Handle(now time.Duration, e distribution.Event) {
	if _, ok := e.(distribution.ParentDialed); ok {
		l.unhandledDial.Store(nil)
	}
	l.node.Handle(now, e)
	l.Perform()
}

// Maintain calls the node's Maintain and performs the resulting actions.
func (l *Links) Maintain(now time.Duration) {
	var partialBytes int64
	if c, ok := l.node.Parent().(*transport.Conn); ok {
		partialBytes = c.PartialBytes()
	}
	l.node.Maintain(now, partialBytes)
	l.Perform()
}

// Perform performs the actions that the node has queued.
func (l *Links) Perform() {
	for _, a := range l.node.TakeActions() {
		l.observe(a)
		switch a := a.(type) {
		case distribution.Dial:
			l.dials.Go(func() { l.dial(a.Addr, a.Timeout) })
		case distribution.Send:
			a.To.Send(a.Frame) // a failure closes the connection
		case distribution.Close:
			a.Conn.Close()
		case distribution.UpdateRejected: // handled by observe
		}
	}
}

func (l *Links) dial(addr string, timeout time.Duration) {
	c, err := transport.Dial(l.ctx, addr, timeout, l)
	if err != nil {
		l.post(distribution.ParentDialed{Err: err})
		return
	}
	l.unhandledDial.Store(c)
	l.post(distribution.ParentDialed{Conn: c})
}

// Close waits for pending dials and closes all connections of the node. The caller calls it once, after the context and
// the loop have ended.
func (l *Links) Close() {
	l.dials.Wait()
	if c := l.unhandledDial.Load(); c != nil {
		c.Close()
	}
	for _, c := range l.node.Conns() {
		c.Close()
	}
}
