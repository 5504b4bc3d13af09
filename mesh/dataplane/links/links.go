// Package links performs the actions of a distribution.Node over transport connections, and turns what happens on those
// into its events. The Node stays the property of one loop, to which events are posted. Start reading at Links.Perform.
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

// Links are the connections of a Node: to its parent, and of its subscribers. Its methods are the loop's, but for
// HandleFrame and HandleClose, which any goroutine may call.
type Links struct {
	ctx     context.Context
	node    *distribution.Node
	post    func(distribution.Event) bool
	observe func(distribution.Action)

	dials         sync.WaitGroup
	unhandledDial atomic.Pointer[transport.Conn] // dialed, and its event is not handled yet; a Node has one dial at a time
}

// New returns the links of a node until ctx ends. Post hands an event to the loop, which passes it to Handle, and
// reports false where the loop has ended. Observe is called before each action is performed.
func New(ctx context.Context, node *distribution.Node, post func(distribution.Event) bool, observe func(distribution.Action)) *Links {
	return &Links{ctx: ctx, node: node, post: post, observe: observe}
}

// HandleFrame implements transport.Handler.
func (l *Links) HandleFrame(c *transport.Conn, f *wire.FrameT) {
	l.post(distribution.FrameReceived{Conn: c, Frame: f})
}

// HandleClose implements transport.Handler.
func (l *Links) HandleClose(c *transport.Conn) { l.post(distribution.ConnClosed{Conn: c}) }

// Handle applies an event to the node and performs what follows from it.
func (l *Links) Handle(now time.Duration, e distribution.Event) {
	if _, ok := e.(distribution.ParentDialed); ok {
		l.unhandledDial.Store(nil)
	}
	l.node.Handle(now, e)
	l.Perform()
}

// Maintain has the node keep up its subscription, and performs what follows from it.
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
		case distribution.UpdateRejected: // for observe alone
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

// Close waits for dials and closes the connections of the node. It is called once, after the context has ended and the
// loop handles no more events.
func (l *Links) Close() {
	l.dials.Wait()
	if c := l.unhandledDial.Load(); c != nil {
		c.Close()
	}
	for _, c := range l.node.Conns() {
		c.Close()
	}
}
