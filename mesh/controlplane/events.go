package controlplane

import (
	"firplank/mesh/api"
	"firplank/mesh/codec"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/register"
	"firplank/mesh/tombstone"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

// event is an input of the event loop. The interface is sealed: only types of this package implement it.
type event interface{ isEvent() }

type (
	// frameReceived reports a frame from a peer or a subscriber.
	frameReceived struct {
		conn  *transport.Conn
		frame *wire.FrameT
	}
	// connClosed reports that a connection that a peer or a subscriber made is closed.
	connClosed struct{ conn *transport.Conn }
	// peerConnChanged reports that the connection to a peer was made or lost.
	peerConnChanged struct {
		addr string
		conn *transport.Conn // nil: the connection was lost
	}
	// operationRequested requests an operation, operationCancelled cancels it.
	operationRequested struct{ call *operations.Call }
	operationCancelled struct{ call *operations.Call }
	// writeCompleted reports the result of a write of the register's state.
	writeCompleted struct {
		number uint64
		err    error
	}
	// statusRequested requests the status. reply is buffered, so that the loop doesn't block on it.
	statusRequested struct{ reply chan api.ControlStatus }
	// rolloutsRequested requests this machine's view of the rollouts. reply is buffered, so that the loop doesn't block on it.
	rolloutsRequested struct {
		service string
		reply   chan rolloutsView
	}
)

func (frameReceived) isEvent()      {}
func (connClosed) isEvent()         {}
func (peerConnChanged) isEvent()    {}
func (operationRequested) isEvent() {}
func (operationCancelled) isEvent() {}
func (writeCompleted) isEvent()     {}
func (statusRequested) isEvent()    {}
func (rolloutsRequested) isEvent()  {}

// post queues an event for the loop. It blocks while the queue is full, and drops the event once the server has stopped.
func (s *Server) post(e event) {
	select {
	case s.events <- e:
	case <-s.ctx.Done():
	}
}

// HandleFrame implements transport.Handler.
func (s *Server) HandleFrame(c *transport.Conn, f *wire.FrameT) { s.post(frameReceived{c, f}) }

// HandleClose implements transport.Handler.
func (s *Server) HandleClose(c *transport.Conn) { s.post(connClosed{c}) }

// handle dispatches an event to the component that handles it.
func (s *Server) handle(e event) {
	switch e := e.(type) {
	case frameReceived:
		s.handleFrame(e.conn, e.frame)
	case connClosed:
		s.hub.Disconnect(e.conn)
	case peerConnChanged:
		s.handlePeerConn(e)
	case operationRequested:
		e.call.ID = s.operations.Propose(s.now(), e.call.Request, e.call)
	case writeCompleted:
		s.handleWriteCompleted(e)
	case tombstonesWritten:
		s.handleTombstonesWritten(e)
	case statusRequested:
		e.reply <- s.status(s.now())
	case rolloutsRequested:
		e.reply <- s.rolloutsView(e.service)
	case operationCancelled:
		s.operations.Cancel(e.call.ID)
	}
}

// handleFrame dispatches a frame by its kind. Frames of unknown kinds are ignored.
func (s *Server) handleFrame(c *transport.Conn, f *wire.FrameT) {
	now := s.now()
	if m, ok := codec.RegisterFromFrame(f); ok {
		s.recordPeer(m.From, "", now)
		m.To = s.self
		s.pipeline.Apply(now, register.MessageReceived{Message: m})
		return
	}
	if m, ok := codec.TombstoneMessageFromFrame(f); ok {
		m.To = s.self
		s.applyTombstones(now, tombstone.MessageReceived{Message: m})
		return
	}
	switch f.Kind {
	case wire.VoteRequest, wire.VoteResponse, wire.LeaseRelease:
		s.handleLease(f, now)
	case wire.Hello:
		s.handleHello(f, now)
	case wire.Subscribe:
		s.hub.Subscribe(c, codec.AckFromFrame(f), now)
		s.mergeEntries(f.Entries, now, true)
	case wire.Report:
		s.hub.HandleAck(c, codec.AckFromFrame(f), now)
		s.mergeEntries(f.Entries, now, true)
	case wire.InForce:
		s.handleInForce(f, now)
	case wire.RecordTombstone, wire.FetchTombstones:
		s.handleTombstoneRequest(c, f, now)
	}
}
