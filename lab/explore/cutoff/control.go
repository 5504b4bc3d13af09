package cutoff

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/codec"
	"firplank/mesh/configversion"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/controlplane/peers"
	"firplank/mesh/controlplane/persistence"
	"firplank/mesh/controlplane/publishing"
	"firplank/mesh/controlplane/reconcile"
	"firplank/mesh/dissemination"
	"firplank/mesh/lease"
	"firplank/mesh/persist"
	"firplank/mesh/register"
)

const (
	helloInterval  = 300 * time.Millisecond
	redialInterval = 120 * time.Millisecond
	writeTime      = time.Millisecond
)

// Messages between control machines, apart from the register's, and between publishers and subscribers.
type (
	hello struct {
		from   int
		lowest configversion.Version
		status codec.NodeStatus
		known  []dissemination.ControlMachine // LastSeen is the negative age
	}
	inForceReport struct {
		from   int
		lowest configversion.Version
	}
	subscribe struct{ ack dissemination.Ack }
	ack       struct{ ack dissemination.Ack }
	update    struct {
		update dissemination.Update
		age    time.Duration // since the edition was known to be the newest; below 0 if unknown
		text   []byte        // if the update has the full text
	}
)

// operation is an operator's call to a control machine.
type operation struct {
	id       int
	put      bool
	version  configversion.Version
	machine  *controlMachine // the machine that received it
	answered bool
}

// Respond implements operations.Responder.
func (o *operation) Respond(r operations.Result) {
	o.answered = true
	status, version := 200, r.Outcome.Value.Version
	var taken *operations.VersionTakenError
	switch {
	case errors.As(r.Err, &taken):
		status = 409
	case r.Err != nil:
		status = 503
	}
	if o.put {
		version = o.version
	}
	o.machine.w.answer(o.id, o.machine.id, status, version)
}

// controlMachine is a control machine in virtual time. It replaces the wiring of mesh/controlplane; the shipped packages decide.
type controlMachine struct {
	w               *world
	id, incarnation int
	startedAt       time.Duration
	disk            *register.State
	replica         *register.Replica
	pipeline        *persistence.Pipeline
	hub             *publishing.Hub[*conn]
	operations      *operations.Table
	peers           *peers.Table[*conn]
	reconciler      *reconcile.Reconciler
	dialling        map[int]bool
	lastID          uint64
	nextHello       time.Duration
	wakeAt          time.Duration
}

func addr(id int) string { return "c" + strconv.Itoa(id) }

func (c *controlMachine) incarnationNow() int { return c.incarnation }

func (c *controlMachine) now() time.Duration { return c.w.now - c.startedAt }

// boot starts the machine with the state on its disk.
func (c *controlMachine) boot(first bool) {
	c.w.lastIncarnation++
	c.incarnation, c.startedAt = c.w.lastIncarnation, c.w.now
	c.replica = register.New(addr(c.id), c.w.seeds(), first && c.disk == nil, c.disk, c.w.rng.Uint64())
	c.hub, c.pipeline = publishing.New[*conn](uncompressed, durations), persistence.New(c.replica, c.replica.State(), c)
	c.operations = operations.NewTable(c.operationsRegister(), c.nextID, durations)
	c.peers, c.dialling = peers.New[*conn](addr(c.id), zoneOf(c.id)), map[int]bool{}
	config := reconcile.Config{Self: addr(c.id), Zone: zoneOf(c.id), Timeouts: durations.Replacement, Tolerance: 1, Seed: c.w.rng.Uint64()}
	c.reconciler = reconcile.New(config, c.pipeline, c.peers, c, c.nextID)
	c.nextHello, c.wakeAt = 0, -1
	for other := range c.w.controls {
		if c.peers.Record(addr(other), "", 0) {
			c.maintainConn(other)
		}
	}
	c.step()
}

func (c *controlMachine) stop() {
	c.incarnation = 0
	c.w.net.stopped(c.id)
}

func (c *controlMachine) maintainConn(to int) {
	if c.dialling[to] {
		return
	}
	incarnation := c.incarnation
	c.dialling[to] = true
	c.w.net.dial(c.id, to, func(l *conn) {
		c.dialling[to] = false
		if l == nil {
			c.w.after(redialInterval, func() {
				if c.incarnation == incarnation {
					c.maintainConn(to)
				}
			})
			return
		}
		c.peers.SetConn(addr(to), l, c.now())
		c.sendHello(addr(to))
		c.apply(register.PeerConnected{})
		c.step()
	})
}

func (c *controlMachine) connClosed(l *conn) {
	c.hub.Disconnect(l)
	for _, p := range c.peers.All() {
		if p.Conn == l {
			c.reconnect(p)
		}
	}
}

// Write implements persistence.Sink. The state is on the disk after writeTime.
func (c *controlMachine) Write(w persist.Write) {
	incarnation := c.incarnation
	c.w.after(writeTime, func() {
		if c.incarnation != incarnation {
			return
		}
		c.disk = w.State
		c.pipeline.WriteCompleted(c.now(), w.Number, nil)
		c.step()
	})
}

// Send implements persistence.Sink.
func (c *controlMachine) Send(m *register.Message) {
	to := c.w.nodeID(m.To)
	if to == c.id {
		return
	}
	size := 150
	if m.Value != nil {
		size += len(m.Value.Body)
	}
	c.w.net.send(c.connTo(m.To), c.id, *m, size)
}

// Publish implements persistence.Sink.
func (c *controlMachine) Publish(committed persist.Committed) {
	if _, err := c.hub.Publish(committed); err != nil {
		panic(err) // texts are not compressed here
	}
}

// uncompressed stands in for compression and returns the text itself.
func uncompressed(body []byte) ([]byte, error) { return body, nil }

// Complete implements persistence.Sink.
func (c *controlMachine) Complete(o register.Outcome) { c.operations.Complete(c.now(), o, c.lowest()) }

func (c *controlMachine) apply(ev register.Event) { c.pipeline.Apply(c.now(), ev) }

func (c *controlMachine) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// alwaysInContact is a pipeline that always reports a responding quorum, for the defect skipsQuorumCheck.
type alwaysInContact struct{ *persistence.Pipeline }

// Health implements operations.Register.
func (u alwaysInContact) Health(now time.Duration) operations.Health {
	return operations.Health{LastQuorum: now}
}

// operationsRegister returns the register that operations are proposed to.
func (c *controlMachine) operationsRegister() operations.Register {
	if c.w.defect.skipsQuorumCheck {
		return alwaysInContact{c.pipeline}
	}
	return c.pipeline
}

// lowest returns the lowest version in force below this machine.
func (c *controlMachine) lowest() configversion.Version {
	if c.w.defect.skipsSidecarAcks {
		return dissemination.Unconstrained
	}
	return c.hub.LowestInForce(c.now())
}

// propose handles an operator's call.
func (c *controlMachine) propose(op *operation, text []byte) {
	v, _, _ := c.replica.Committed()
	switch {
	case c.w.defect.rejectsPermanently && c.pipeline.Health(c.now()).CheckAccepting(c.now(), durations.Dissemination.QuorumTimeout) != nil:
		c.w.answer(op.id, c.id, 409, op.version)
		return
	case op.put && c.w.defect.acksWithoutMajority, !op.put && c.w.defect.readsLocalState:
		c.w.answer(op.id, c.id, 200, max(op.version, v.Version))
		return
	}
	request := operations.Request(operations.Read{})
	if op.put {
		request = operations.Write{Version: op.version, Content: register.ContentOf(text), Body: text}
	}
	op.machine = c
	id, incarnation := c.operations.Propose(c.now(), request, op), c.incarnation
	c.w.after(durations.Operations.Timeout, func() {
		if c.incarnation == incarnation && !op.answered {
			c.operations.Cancel(id)
		}
	})
	c.step()
}

func (c *controlMachine) receive(l *conn, message any) {
	now := c.now()
	switch m := message.(type) {
	case register.Message:
		c.peers.Record(m.From, "", now)
		c.apply(register.MessageReceived{Message: m})
	case hello:
		c.handleHello(m, now)
	case lease.Message:
		c.reconciler.HandleLease(now, m)
	case inForceReport:
		c.handleInForce(m.from, m.lowest, now)
	case subscribe:
		c.hub.Subscribe(l, m.ack, now)
	case ack:
		c.hub.HandleAck(l, m.ack, now)
	}
	c.step()
}

func (c *controlMachine) handleHello(m hello, now time.Duration) {
	c.peers.Record(addr(m.from), zoneOf(m.from), now)
	c.peers.Get(addr(m.from)).Status = m.status
	for _, k := range m.known {
		if -k.LastSeen < peers.Retention {
			c.peers.Record(k.Addr, k.Zone, max(0, now+k.LastSeen))
		}
	}
	c.handleInForce(m.from, m.lowest, now)
}

func (c *controlMachine) sendHello(to string) {
	now := c.now()
	h := hello{from: c.id, lowest: c.hub.LowestInForce(now), status: c.reconciler.Status(now), known: c.knownMachines(now)}
	for i := range h.known {
		h.known[i].LastSeen -= now
	}
	c.w.net.send(c.connTo(to), c.id, h, 200)
}

// knownMachines returns the control machines that this one knows of.
func (c *controlMachine) knownMachines(now time.Duration) []dissemination.ControlMachine {
	return c.peers.Known(now, c.replica.Members())
}

// connTo returns the connection to another machine, or nil.
func (c *controlMachine) connTo(to string) *conn {
	if p := c.peers.Get(to); p != nil {
		return p.Conn
	}
	return nil
}

// reconnect replaces the connection to a machine.
func (c *controlMachine) reconnect(p *peers.Peer[*conn]) {
	c.peers.SetConn(p.Addr, nil, c.now())
	c.maintainConn(c.w.nodeID(p.Addr))
}

// step does what is due and schedules its next call.
func (c *controlMachine) step() {
	now := c.now()
	if now >= c.nextHello {
		c.nextHello = now + helloInterval
		c.broadcastHello(now)
	}
	if now >= c.reconciler.NextTick() {
		c.reconcileMembers(now)
		c.operations.FailPending(now)
	}
	c.pipeline.Tick(now)
	next := min(c.updateSubscribers(now), c.acknowledge(now), c.nextHello, c.reconciler.NextTick())
	if at, ok := c.pipeline.NextTick(now); ok {
		next = min(next, at)
	}
	c.w.wake(c, c.incarnation, &c.wakeAt, c.startedAt+max(next, now+time.Millisecond))
}

func (c *controlMachine) broadcastHello(now time.Duration) {
	for _, p := range c.peers.All() {
		if p.Connected() {
			c.sendHello(p.Addr)
		}
	}
	c.hub.Publisher.ControlMachines = c.knownMachines(now)
	if seen := c.peers.Seen(); len(seen) > 0 {
		c.apply(register.PeersUpdated{Peers: seen})
	}
}

// handleInForce handles the lowest version in force below another machine.
func (c *controlMachine) handleInForce(from int, lowest configversion.Version, now time.Duration) {
	if !c.w.defect.skipsSidecarAcks {
		c.operations.PeerAcknowledged(addr(from), lowest, now)
	}
}

// acknowledge completes writes that waited for sidecars, and reports to peers the lowest version in force below this machine.
func (c *controlMachine) acknowledge(now time.Duration) time.Duration {
	lowest, changed := c.hub.Announce(now)
	if changed {
		for _, p := range c.peers.All() {
			c.w.net.send(p.Conn, c.id, inForceReport{c.id, lowest}, 60)
		}
	}
	return c.operations.Acknowledge(now, lowest)
}

func (c *controlMachine) updateSubscribers(now time.Duration) time.Duration {
	if c.w.defect.reportsFresh && c.hub.Publisher.AsOf != dissemination.TimeUnknown {
		c.hub.Publisher.AsOf = now
	}
	updates, next := c.hub.Updates(now)
	slices.SortFunc(updates, func(a, b publishing.Update[*conn]) int { return cmp.Compare(a.SubscriberID, b.SubscriberID) })
	for i := range updates {
		c.w.sendUpdate(c.hub.Publisher, c.id, updates[i].Conn, updates[i].Update, now)
	}
	return next
}
