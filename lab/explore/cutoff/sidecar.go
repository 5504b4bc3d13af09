package cutoff

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/codec"
	"firplank/mesh/configversion"
	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/dataplane/subscribers"
	"firplank/mesh/delta"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/wire"
)

const (
	// Estimated sizes: a frame without configuration and entries, a GoAway, and one directory entry.
	frameBytes   = 100
	goAwayBytes  = 40
	entryBytes   = 30
	packingRatio = 3 // compression ratio of a configuration's text
)

var errUnreachable = errors.New("parent unreachable")

// sidecar is the shipped distribution.Node in virtual time.
type sidecar struct {
	w           *world
	id          int // index among the network's nodes
	incarnation int // 0 while it is stopped
	zone        string
	startedAt   time.Duration
	seeds       []string
	policy      *dissemination.Subscriber
	node        *distribution.Node
	inForce     configversion.Version
	ready       bool
	wakeAt      time.Duration
}

// link is a connection as seen by a Node, which only compares connections.
type link struct{ *conn }

// Send implements subscribers.Conn.
func (link) Send(*wire.FrameT) bool { panic("a node sends nothing itself") }

// Close implements subscribers.Conn.
func (link) Close() { panic("a node closes nothing itself") }

func (s *sidecar) name() string { return "s" + strconv.Itoa(s.id) }

func (s *sidecar) incarnationNow() int { return s.incarnation }

func (s *sidecar) now() time.Duration { return s.w.now - s.startedAt }

func (s *sidecar) boot() {
	s.w.lastIncarnation++
	s.incarnation, s.startedAt = s.w.lastIncarnation, s.w.now
	updates := durations.Dissemination
	if s.w.defect.readyAtAnyAge {
		updates.MaxReadyAge = time.Hour
	}
	if s.w.defect.neverReady {
		updates.StaleFallbackDelay = time.Hour
	}
	s.policy = dissemination.NewSubscriber(s.name(), s.zone, updates, 0)
	s.policy.Seeds = s.seeds
	s.inForce, s.ready, s.wakeAt = 0, false, -1
	s.node = distribution.New(s.entry(), s.policy, host{s}, durations)
	s.w.history.add(Event{At: s.w.now, Kind: SidecarStarted, Sidecar: s.id})
	s.step()
}

// entry returns the sidecar's directory entry.
func (s *sidecar) entry() directory.Entry {
	return directory.Entry{Node: s.name(), Incarnation: uint64(s.incarnation), Sequence: 1, PeerAddr: s.name(), Zone: s.zone}
}

func (s *sidecar) stop() {
	s.incarnation = 0
	s.w.history.add(Event{At: s.w.now, Kind: SidecarStopped, Sidecar: s.id})
	s.w.net.stopped(s.id)
}

func (s *sidecar) connClosed(c *conn) {
	if s.node.Parent() == distribution.Conn(link{c}) {
		s.parentLost()
	}
	s.node.Handle(s.now(), distribution.ConnClosed{Conn: link{c}})
	s.performActions()
}

func (s *sidecar) parentLost() {
	s.w.history.add(Event{At: s.w.now, Kind: ParentLost, Sidecar: s.id})
}

func (s *sidecar) receive(c *conn, message any) {
	now := s.now()
	var f *wire.FrameT
	switch m := message.(type) {
	case update: // of a control machine
		f = m.frame(now)
	case *wire.FrameT: // of another sidecar
		f = m
	}
	if s.w.defect.sendsOnlyLastDelta {
		s.forceDeltas(f)
	}
	s.node.Handle(now, distribution.FrameReceived{Conn: link{c}, Frame: f})
	s.performActions()
	s.step()
}

// frame converts a control machine's update to a frame, with ages relative to the receiver's clock.
func (u update) frame(now time.Duration) *wire.FrameT {
	n := u.update
	n.AsOf = dissemination.TimeUnknown
	if u.age >= 0 {
		n.AsOf = now - u.age
	}
	return codec.UpdateToFrame(&n, u.text, now)
}

// step does what is due and schedules its next call.
func (s *sidecar) step() {
	now := s.now()
	s.w.fillDirectory(s)
	s.node.CheckReady(now)
	s.node.Reparent(now)
	s.performActions()
	s.maintain(now)
	s.performActions()
	s.node.Adopt()
	next := min(now+durations.Subscription.TickInterval, s.node.Publish(now))
	s.performActions()
	s.w.wake(s, s.incarnation, &s.wakeAt, s.startedAt+max(next, now+time.Millisecond))
}

// maintain maintains the subscription. With the defect keepsStaleParent it does so as if the parent's updates were always fresh.
func (s *sidecar) maintain(now time.Duration) {
	state := s.node.State()
	asOf := state.AsOf
	if s.w.defect.keepsStaleParent && s.node.Parent() != nil {
		state.AsOf = now
	}
	s.node.Maintain(now, 0)
	state.AsOf = asOf
}

// performActions carries out the node's actions. Messages to subscribers are sent in the order of their connections, so
// that a day is deterministic.
func (s *sidecar) performActions() {
	var toSubscribers []distribution.Send
	for _, a := range s.node.TakeActions() {
		switch a := a.(type) {
		case distribution.Dial:
			s.dial(a.Addr)
		case distribution.Close:
			s.parentLost()
			s.w.net.close(a.Conn.(link).conn)
		case distribution.Send:
			if a.Frame.Kind == wire.Subscribe || a.Frame.Kind == wire.Report {
				s.sendToParent(a.To.(link).conn, a.Frame)
			} else {
				toSubscribers = append(toSubscribers, a)
			}
		case distribution.UpdateRejected: // the node requests the full text by itself
		}
	}
	slices.SortStableFunc(toSubscribers, func(a, b distribution.Send) int {
		return cmp.Compare(a.To.(link).number, b.To.(link).number)
	})
	for _, a := range toSubscribers {
		s.sendToSubscriber(a.To.(link).conn, a.Frame)
	}
}

// dial connects to a parent.
func (s *sidecar) dial(addr string) {
	s.w.net.dial(s.id, s.w.nodeID(addr), func(c *conn) {
		now := s.now()
		if c == nil {
			s.node.Handle(now, distribution.ParentDialed{Err: errUnreachable})
			s.performActions()
			s.step()
			return
		}
		s.w.history.add(Event{At: s.w.now, Kind: ParentJoined, Sidecar: s.id, Parent: s.w.nodeID(addr)})
		if s.w.defect.resetsOnReparent {
			s.node, s.inForce = distribution.New(s.entry(), s.policy, host{s}, durations), 0
		}
		s.node.Handle(now, distribution.ParentDialed{Conn: link{c}})
		s.performActions()
		s.step()
	})
}

// sendToParent sends a subscription or a report to the parent.
func (s *sidecar) sendToParent(c *conn, f *wire.FrameT) {
	bytes := frameBytes + entryBytes*len(f.Entries)
	switch {
	case c.ends[1] >= machines:
		s.w.net.send(c, s.id, f, bytes)
	case f.Kind == wire.Subscribe:
		s.w.net.send(c, s.id, subscribe{codec.AckFromFrame(f)}, bytes)
	default:
		s.w.net.send(c, s.id, ack{codec.AckFromFrame(f)}, bytes)
	}
}

// sendToSubscriber sends an update or a GoAway to a subscriber or a rejected one.
func (s *sidecar) sendToSubscriber(c *conn, f *wire.FrameT) {
	if f.Kind == wire.GoAway {
		s.w.net.send(c, s.id, f, goAwayBytes)
		return
	}
	s.applyPublisherDefects(c, f)
	bytes := frameBytes + entryBytes*len(f.Entries)
	if f.Value != nil {
		bytes += len(f.Value.Body) / packingRatio
	}
	for _, d := range f.Deltas {
		bytes += len(d.Bytes)
	}
	s.w.net.send(c, s.id, f, bytes)
}

// applyPublisherDefects applies the defects of publishers to an update, as world.sendUpdate does for control machines.
func (s *sidecar) applyPublisherDefects(c *conn, f *wire.FrameT) {
	if s.w.defect.sendsOnlyLastDelta && len(f.Deltas) > 1 {
		f.Deltas = f.Deltas[len(f.Deltas)-1:]
	}
	if s.w.defect.queuesFullTexts && (f.Value != nil || len(f.Deltas) > 0) {
		f.Value, f.Deltas = &wire.ValueT{Version: f.Version, Body: s.node.State().Text}, nil
		s.node.Handle(s.now(), distribution.FrameReceived{Conn: link{c}, Frame: &wire.FrameT{
			Kind: wire.Report, Id: f.Id, Version: f.Version, LowestVersion: f.Version,
		}})
	}
}

// forceDeltas makes deltas that do not apply count as applied.
func (s *sidecar) forceDeltas(f *wire.FrameT) {
	state := s.node.State()
	if len(f.Deltas) == 0 || configversion.FromOptional(f.Version) <= state.Version {
		return
	}
	if _, _, ok := state.ApplyDeltas(codec.DeltasFromFrame(f), 1<<20); !ok {
		f.Value, f.Deltas = &wire.ValueT{Version: f.Version, Body: state.Text}, nil
	}
}

// host implements distribution.Host for a sidecar. Texts are not compressed.
type host struct{ s *sidecar }

var _ distribution.Host = host{}

var _ subscribers.Conn = link{}

// Unpack implements distribution.Host.
func (host) Unpack(_ configversion.Version, text []byte) ([]byte, error) { return text, nil }

// Intern implements distribution.Host.
func (host) Intern(_ configversion.Version, text []byte) []byte { return text }

// Pack implements distribution.Host.
func (host) Pack(_ configversion.Version, text []byte) []byte { return text }

// Adopt implements distribution.Host. Every configuration is usable.
func (h host) Adopt(version configversion.Version, text []byte) (inForce configversion.Version) {
	s := h.s
	s.inForce = version
	s.w.history.add(Event{At: s.w.now, Kind: Adopted, Sidecar: s.id, Version: version, Text: delta.Hash(text)})
	return version
}

// BecameReady implements distribution.Host.
func (h host) BecameReady(time.Duration) {
	s := h.s
	if !s.ready {
		s.ready = true
		s.w.history.add(Event{At: s.w.now, Kind: Ready, Sidecar: s.id, Version: s.inForce})
	}
}

// TombstoneRecorded implements distribution.Host.
func (host) TombstoneRecorded(time.Duration, string) {}

// TombstonesFetched implements distribution.Host.
func (host) TombstonesFetched([]string) bool { return false }

// DescribeServer implements distribution.Host.
func (host) DescribeServer(*directory.Entry) {}

// RestoreServer implements distribution.Host.
func (host) RestoreServer(time.Duration, *directory.Entry) {}

// IncarnationChanged implements distribution.Host.
func (host) IncarnationChanged(uint64) {}
