// Package distribution is a sidecar's side of the distribution tree, by which the configuration and the directory
// reach every sidecar. A Node subscribes to a parent, applies its updates, relays them to its subscribers,
// announces the local server, and decides when the sidecar is ready. It combines the packages subscription, updates
// and subscribers.
//
// A Node is a state machine without sockets, clock or goroutines, like those of etcd's raft: methods take the time
// since the process started and an event, and queue actions. After each call the caller gets them from TakeActions and
// performs them in order. Start reading at Node.Handle.
package distribution

import (
	"hash/fnv"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/configversion"
	"firplank/mesh/dataplane/subscribers"
	"firplank/mesh/dataplane/subscription"
	"firplank/mesh/dataplane/updates"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// minReparentDelay is the shortest time between becoming ready and the first search for a relay. Jitter of up to the
// same duration, derived from the node's name, is added. By then, the directory has the sidecars that started together.
const minReparentDelay = 1200 * time.Millisecond

// Host is the program around a Node. The Node calls it synchronously from its own methods, so a Host must not call
// any method of the Node except State.
type Host interface {
	updates.ConfigTexts
	subscribers.Packer
	// Adopt puts a version of the configuration in force if it is valid. It returns the version that is in force
	// afterwards, or None.
	Adopt(version configversion.Version, text []byte) (inForce configversion.Version)
	// DescribeServer updates the fields of the sidecar's own entry that describe the local server.
	DescribeServer(own *directory.Entry)
	// RestoreServer restores what another incarnation of this sidecar has announced about the local server.
	RestoreServer(now time.Duration, earlier *directory.Entry)
	// IncarnationChanged reports the new incarnation of this sidecar. It changes when the directory has a later
	// incarnation than the present one.
	IncarnationChanged(incarnation uint64)
	// BecameReady reports, once, that the sidecar is ready.
	BecameReady(now time.Duration)
	// TombstoneRecorded reports that the shutdown of a local server, recorded by Node.RecordTombstone, is durable.
	TombstoneRecorded(now time.Duration, server string)
	// TombstonesFetched reports, after Node.FetchTombstones, the local servers whose shutdowns were recorded.
	// It reports whether the state of the local server has changed.
	TombstonesFetched(servers []string) (changed bool)
}

// Node is one sidecar's side of the distribution tree. It is not safe for concurrent use.
type Node struct {
	host   Host
	policy *dissemination.Subscriber
	state  *dissemination.Publisher
	own    directory.Entry

	subscription *subscription.Subscription
	subscribers  *subscribers.Subscribers
	tombstones   tombstoneRequests
	parent       Conn // nil if there is none

	inForce  configversion.Version
	ready    bool
	draining bool
	actions  []Action
}

// New returns a node that knows only its own entry. The policy chooses its parents.
func New(own directory.Entry, policy *dissemination.Subscriber, host Host, durations timing.Durations) *Node {
	n := &Node{
		host:   host,
		policy: policy,
		state:  dissemination.NewPublisher(durations.Dissemination),
		own:    own,
	}
	n.subscription = subscription.New(policy, n.state, &n.own, durations.Subscription)
	n.subscribers = subscribers.New(n.state, host)
	n.tombstones = newTombstoneRequests(own.Incarnation, durations.Tombstones)
	return n
}

// State returns the wanted state, which is sent to subscribers. The caller must not change it.
func (n *Node) State() *dissemination.Publisher { return n.state }

// Parent returns the connection to the parent, or nil.
func (n *Node) Parent() Conn { return n.parent }

// Conns returns the connections to the subscribers and the parent. The caller closes them at shutdown.
func (n *Node) Conns() []Conn {
	conns := n.subscribers.Conns()
	if n.parent != nil {
		conns = append(conns, n.parent)
	}
	return conns
}

// ParentIsRelay reports whether the present parent, or the last one if there is none, is a sidecar.
func (n *Node) ParentIsRelay() bool { return n.subscription.ParentIsRelay() }

// Subscribers returns the number of sidecars that subscribe to this one.
func (n *Node) Subscribers() int { return n.subscribers.Len() }

// Ready reports whether the sidecar is ready. Once ready it remains so.
func (n *Node) Ready() bool { return n.ready }

// SetSeeds replaces the configured addresses of control machines.
func (n *Node) SetSeeds(seeds []string) { n.policy.Seeds = seeds }

// TakeActions returns the queued actions, to be performed in order, and empties the queue.
func (n *Node) TakeActions() []Action {
	actions := n.actions
	n.actions = nil
	return actions
}

// Handle applies an event.
func (n *Node) Handle(now time.Duration, e Event) {
	switch e := e.(type) {
	case ParentDialed:
		n.parentDialed(now, e)
	case ConnClosed:
		n.connClosed(now, e.Conn)
	case FrameReceived:
		n.frameReceived(now, e.Conn, e.Frame)
	}
}

func (n *Node) parentDialed(now time.Duration, e ParentDialed) {
	if e.Err != nil {
		n.subscription.DialFailed(now)
		return
	}
	n.parent = e.Conn
	n.queueActions(n.subscription.Dialed(now))
	n.tombstones.resendAll(now)
	// The parent may have restarted and lost its directory. The subscribers of this sidecar do not announce themselves again, as their own
	// connections have not changed, so this sidecar sends their entries.
	if entries := n.subscribers.Entries(); len(entries) > 0 {
		n.SendEntries(now, codec.EntriesToWire(entries, now))
	}
}

func (n *Node) connClosed(now time.Duration, c Conn) {
	n.subscribers.Remove(c)
	if n.parent != nil && c == n.parent {
		n.parent = nil
		n.subscription.ConnectionLost(now)
	}
}

// frameReceived handles a frame from the parent or from a subscriber.
func (n *Node) frameReceived(now time.Duration, c Conn, f *wire.FrameT) {
	fromParent := n.parent != nil && c == n.parent
	switch {
	case fromParent && f.Kind == wire.Update:
		n.applyUpdate(now, f)
	case fromParent && f.Kind == wire.GoAway:
		n.queueActions(n.subscription.GoAwayReceived(now))
	case fromParent && (f.Kind == wire.TombstoneRecorded || f.Kind == wire.TombstonesFetched):
		n.tombstonesAnswered(now, f)
	case f.Kind == wire.RecordTombstone, f.Kind == wire.FetchTombstones:
		n.forwardTombstoneRequest(f)
	case f.Kind == wire.Subscribe:
		n.subscribe(now, c, f)
	case f.Kind == wire.Report:
		n.subscribers.Acknowledge(c, f, now)
		n.forward(now, f.Entries)
	}
}

// subscribe handles a subscription request. A sidecar relays only while it is ready and its parent is a control
// machine, so that the tree has at most two levels of sidecars and no cycle.
func (n *Node) subscribe(now time.Duration, c Conn, f *wire.FrameT) {
	relaying := n.ready && !n.draining && n.parent != nil && !n.subscription.ParentIsRelay()
	added, sends := n.subscribers.Add(c, f, relaying, now)
	n.queueSends(sends)
	if added {
		n.forward(now, f.Entries)
	}
}

// forward merges entries from subscribers into the directory and forwards them to the parent. Reports that a sidecar
// is lost are forwarded only, because the control machines decide this.
func (n *Node) forward(now time.Duration, entries []*wire.EntryT) {
	if len(entries) == 0 {
		return
	}
	for _, t := range entries {
		if e, complete := codec.EntryFromWire(t, now); complete && !e.Lost {
			n.state.Directory.Merge(e, e.LastSeen)
		}
	}
	n.SendEntries(now, entries)
}

// applyUpdate applies an update from the parent to the wanted state.
func (n *Node) applyUpdate(now time.Duration, f *wire.FrameT) {
	n.subscription.UpdateReceived()
	updates.ApplyRollouts(n.state, f)
	updates.ApplyEntries(n.state.Directory, n.own.Node, f.Entries, func(e *directory.Entry) { n.reconcileOwnEntry(now, e) }, now)
	updates.ApplyControlMachines(n.state, f, now)
	presentVersion := n.state.Version
	newer, err := updates.ApplyConfig(n.state, n.host, f, now)
	if newer {
		n.subscription.SetNeedsFullState(err != nil)
	}
	if err != nil {
		n.actions = append(n.actions, UpdateRejected{Version: configversion.FromOptional(f.Version), PresentVersion: presentVersion, Err: err})
	}
	n.subscription.UpdateApplied(f.Id)
	n.CheckReady(now)
}

// reconcileOwnEntry handles an entry of this sidecar that the parent has sent. One of the present incarnation has nothing new. A later
// incarnation belongs to a process that ran before the machine's clock was set back. The sidecar then switches to an incarnation
// that is later still.
func (n *Node) reconcileOwnEntry(now time.Duration, e *directory.Entry) {
	switch {
	case e.Incarnation < n.own.Incarnation:
		n.host.RestoreServer(now, e)
	case e.Incarnation > n.own.Incarnation:
		n.own.Incarnation = e.Incarnation + 1
		n.host.IncarnationChanged(n.own.Incarnation)
		n.host.RestoreServer(now, e)
		n.Announce(now)
	}
}

// CheckReady puts the first configuration in force and marks the sidecar as ready, as soon as the policy allows it. The
// caller calls it several times a second, because the result also depends on the time.
func (n *Node) CheckReady(now time.Duration) {
	if n.ready || !n.policy.Ready(now, n.state.Version, n.state.AsOf, n.state.ControlMachines) {
		return
	}
	if n.adopt(); n.inForce == configversion.None {
		return
	}
	n.ready = true
	jitter := time.Duration(hash(n.own.Node) % uint64(minReparentDelay))
	n.subscription.SetReady(now + minReparentDelay + jitter)
	n.host.BecameReady(now)
	n.Announce(now)
}

// Adopt puts the wanted configuration in force if the sidecar is ready and the version is later than the present one.
func (n *Node) Adopt() {
	if n.ready {
		n.adopt()
	}
}

func (n *Node) adopt() {
	if n.state.Version > n.inForce {
		n.inForce = n.host.Adopt(n.state.Version, n.state.Text)
		n.subscription.SetInForce(n.inForce)
	}
}

// Announce publishes the sidecar's own entry. The caller calls it when the local server's state has changed.
func (n *Node) Announce(now time.Duration) {
	n.own.Sequence++
	n.host.DescribeServer(&n.own)
	n.own.LastSeen = now
	n.state.Directory.Merge(n.own, now)
	n.queueActions(n.subscription.Announce(now))
}

// Drain starts the shutdown: the sidecar announces that it is draining and accepts no further subscribers.
func (n *Node) Drain(now time.Duration) {
	n.draining = true
	n.Announce(now)
}

// SendEntries sends entries of other sidecars to the parent, if there is one.
func (n *Node) SendEntries(now time.Duration, entries []*wire.EntryT) {
	n.queueActions(n.subscription.Report(now, entries))
}

// SetRolloutReport sends the parent a heartbeat with this sidecar's report about rollouts, which later heartbeats and announcements repeat.
func (n *Node) SetRolloutReport(now time.Duration, report directory.RolloutReport) {
	n.own.RolloutReport = report
	n.queueActions(n.subscription.ReportLiveness(now))
}

// Reparent switches to a relay if the distribution tree has one for this sidecar. The caller calls it several times a
// second.
func (n *Node) Reparent(now time.Duration) { n.queueActions(n.subscription.Reparent(now)) }

// Maintain maintains the subscription: it leaves a stale parent, dials the next one, and sends heartbeats. partialBytes
// is the number of bytes received of an incomplete frame from the parent.
func (n *Node) Maintain(now time.Duration, partialBytes int64) {
	n.queueActions(n.subscription.Maintain(now, partialBytes))
	n.sendTombstoneRequests(now)
}

// Publish sends the parent an acknowledgement if it has changed, and the subscribers the updates that are due. The
// caller calls it again at next at the latest.
func (n *Node) Publish(now time.Duration) (next time.Duration) {
	n.queueActions(n.subscription.Acknowledge(now))
	sends, next := n.subscribers.Publish(now)
	n.queueSends(sends)
	return next
}

// queueActions queues the actions of the subscription. Before the sidecar subscribes to a relay, its own subscribers
// are told to go away, because a sidecar below a relay must not relay itself.
func (n *Node) queueActions(actions []subscription.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case subscription.Dial:
			if a.Relay {
				n.queueSends(n.subscribers.GoAwayAll())
			}
			n.actions = append(n.actions, Dial{Addr: a.Addr, Relay: a.Relay, Timeout: a.Timeout})
		case subscription.Send:
			n.actions = append(n.actions, Send{To: n.parent, Frame: a.Frame})
		case subscription.Disconnect:
			n.actions = append(n.actions, Close{Conn: n.parent, Addr: a.Addr, Reason: a.Reason})
			n.parent = nil
		}
	}
}

func (n *Node) queueSends(sends []subscribers.Send) {
	for _, s := range sends {
		n.actions = append(n.actions, Send{To: s.To, Frame: s.Frame})
	}
}

// hash returns the FNV-1a hash of a node's name, from which its jitter is derived.
func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}
