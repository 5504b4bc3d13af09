package scale

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/dataplane/links"
	"firplank/mesh/dataplane/subscription"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/transport"
)

const (
	// eventQueueSize bounds the events that are queued for a sidecar's loop.
	eventQueueSize = 256
	// hollowSlots is the announced number of concurrent requests of the server beside a hollow sidecar.
	hollowSlots = 8
)

// errCorruptText means that a configuration could not be decompressed.
var errCorruptText = errors.New("configuration text cannot be decompressed")

// Spec identifies a hollow sidecar. Processes of the laboratory send it to one another as JSON.
type Spec struct {
	Node     string
	IP       string
	Zone     string
	Service  string
	PeerAddr string
	Seeds    []string
}

// Hollow is a sidecar without proxy and server. It runs the distribution.Node of a real sidecar over real connections, in
// one goroutine beside those of its connections.
type Hollow struct {
	spec    Spec
	group   *Group
	ctx     context.Context
	start   time.Time
	events  chan distribution.Event
	node    *distribution.Node
	links   *links.Links
	inForce configversion.Version

	ready       atomic.Bool
	subscribers atomic.Int32
	relayed     atomic.Bool // its parent is a sidecar
}

func newHollow(ctx context.Context, spec Spec, g *Group) *Hollow {
	h := &Hollow{
		spec:   spec,
		group:  g,
		ctx:    ctx,
		start:  time.Now(),
		events: make(chan distribution.Event, eventQueueSize),
	}
	durations := timing.Default()
	policy := dissemination.NewSubscriber(spec.Node, spec.Zone, durations.Dissemination, 0)
	policy.Seeds = spec.Seeds
	h.node = distribution.New(directory.Entry{
		Node:        spec.Node,
		Incarnation: uint64(time.Now().UnixMilli()),
		Sequence:    1,
		Addr:        net.JoinHostPort(spec.IP, "7300"),
		PeerAddr:    spec.PeerAddr,
		Zone:        spec.Zone,
		Service:     spec.Service,
		Server:      "i-" + spec.Node[len(spec.Node)-6:],
		State:       directory.Accepting,
		Slots:       hollowSlots,
	}, policy, host{h}, durations)
	h.links = links.New(ctx, h.node, h.post, h.observe)
	return h
}

// post queues an event for the loop. It reports false if the loop has ended.
func (h *Hollow) post(e distribution.Event) bool {
	select {
	case h.events <- e:
		return true
	case <-h.ctx.Done():
		return false
	}
}

func (h *Hollow) now() time.Duration { return time.Since(h.start) }

// run runs the sidecar until the context is canceled and then closes its connections.
func (h *Hollow) run(ln net.Listener) {
	var serving sync.WaitGroup
	serving.Go(func() { _ = transport.Serve(ln, h.links) }) // until the listener is closed
	defer serving.Wait()
	defer h.links.Close()
	defer func() { _ = ln.Close() }() // a listener has no buffered data
	timer := time.NewTimer(0)
	defer timer.Stop()
	var tickAt time.Duration
	for {
		now := h.now()
		if now >= tickAt {
			tickAt = now + timing.Default().Subscription.TickInterval
			h.node.CheckReady(now)
			h.node.Reparent(now)
			h.links.Perform()
		}
		next := min(tickAt, h.advance(now))
		timer.Reset(max(0, next-h.now()))
		select {
		case <-timer.C:
		case e := <-h.events:
			h.handle(e)
		case <-h.ctx.Done():
			return
		}
	}
}

// advance performs the node's pending actions, as the loop of mesh/dataplane does, and returns when it is next due.
func (h *Hollow) advance(now time.Duration) (next time.Duration) {
	h.links.Maintain(now)
	h.node.Adopt()
	next = h.node.Publish(now)
	h.links.Perform()
	return next
}

func (h *Hollow) handle(e distribution.Event) {
	if f, ok := e.(distribution.FrameReceived); ok && h.node.Parent() != nil && f.Conn == h.node.Parent() {
		h.group.count(h.link(ControlToChild, RelayToChild), f.Frame)
	}
	h.links.Handle(h.now(), e)
	if d, ok := e.(distribution.ParentDialed); ok && d.Err == nil {
		h.relayed.Store(h.node.ParentIsRelay())
	}
	h.subscribers.Store(int32(h.node.Subscribers()))
}

// link returns the link to the parent: control under a control machine, relay under a relay.
func (h *Hollow) link(control, relay Link) Link {
	if h.node.ParentIsRelay() {
		return relay
	}
	return control
}

// observe counts frames to the parent, and changes of parent because the parent was stale.
func (h *Hollow) observe(a distribution.Action) {
	switch a := a.(type) {
	case distribution.Send:
		if h.node.Parent() != nil && a.To == h.node.Parent() {
			h.group.count(h.link(ChildToControl, ChildToRelay), a.Frame)
		}
	case distribution.Close:
		if a.Reason == subscription.Stale {
			h.group.countStaleParent()
		}
	case distribution.Dial, distribution.UpdateRejected: // not counted
	}
}

// host implements distribution.Host for a hollow sidecar. Configuration texts are shared by the group.
type host struct{ h *Hollow }

// Unpack implements distribution.Host.
func (o host) Unpack(edition configversion.Version, packed []byte) ([]byte, error) {
	text, ok := o.h.group.unpack(edition, packed)
	if !ok {
		return nil, errCorruptText
	}
	return text, nil
}

// Intern implements distribution.Host.
func (o host) Intern(edition configversion.Version, text []byte) []byte {
	return o.h.group.intern(edition, text)
}

// Pack implements distribution.Host.
func (o host) Pack(edition configversion.Version, text []byte) []byte {
	return o.h.group.pack(edition, text)
}

// Adopt implements distribution.Host.
func (o host) Adopt(edition configversion.Version, text []byte) (inForce configversion.Version) {
	h := o.h
	if h.group.parse(edition, text) {
		h.inForce = edition
		h.group.recordAdoption(h, edition, time.Now())
	}
	return h.inForce
}

// DescribeServer implements distribution.Host. The announced server never changes.
func (host) DescribeServer(*directory.Entry) {}

// RestoreServer implements distribution.Host.
func (host) RestoreServer(time.Duration, *directory.Entry) {}

// IncarnationChanged implements distribution.Host.
func (host) IncarnationChanged(uint64) {}

// TombstoneRecorded implements distribution.Host.
func (host) TombstoneRecorded(time.Duration, string) {}

// TombstonesFetched implements distribution.Host.
func (host) TombstonesFetched([]string) bool { return false }

// BecameReady implements distribution.Host.
func (o host) BecameReady(time.Duration) { o.h.ready.Store(true) }
