package controlplane

import (
	"context"
	"slices"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"firplank/mesh/codec"
	"firplank/mesh/register"
	"firplank/mesh/storage"
	"firplank/mesh/tombstone"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

const (
	// tombstoneRetryMin is the pause after the first failed write of tombstones; it doubles up to tombstoneRetryMax.
	tombstoneRetryMin = 20 * time.Millisecond
	tombstoneRetryMax = time.Second
)

// tombstoneStore is this machine's replica of the tombstones with its log, and the requests of sidecars that wait for it. It is owned by
// the event loop, except log, which belongs to writeTombstones once that runs.
type tombstoneStore struct {
	replica *tombstone.Replica
	log     *storage.TombstoneLog
	// writes passes appends to writeTombstones, one at a time. Others wait in queued, merged into one.
	writes     chan tombstone.Append
	writing    bool
	queued     tombstone.Append
	retryAt    time.Duration
	retryPause time.Duration

	lastRequestID uint64
	requests      map[uint64]tombstoneRequest // bounded by the requests that the replica accepts

	members, priorMembers, peers []string // as the replica has them
}

// tombstoneRequest is a request of a sidecar, which may have come through a relay.
type tombstoneRequest struct {
	conn    *transport.Conn
	node    string
	id      uint64 // of the sidecar's request
	expires time.Duration
}

// tombstonesWritten reports the result of an append to the log of tombstones.
type tombstonesWritten struct {
	written tombstone.Append
	err     error
}

func (tombstonesWritten) isEvent() {}

// openTombstones opens the log of tombstones in the data folder, and durably records whether it is complete. A folder without a log that
// has the state of a voting member is that of a release without tombstones, and lacks none.
func openTombstones(
	ctx context.Context, folder string, self string, onDisk register.State, retention time.Duration, log kitlog.Logger,
) (*storage.TombstoneLog, storage.RecoveredTombstones, error) {
	var opened *storage.TombstoneLog
	var recovered storage.RecoveredTombstones
	err := retryDiskOperation(ctx, log, func() (err error) {
		opened, recovered, err = storage.OpenTombstones(folder, retention)
		return err
	})
	if err != nil || recovered.Found {
		return opened, recovered, err
	}
	mark := tombstone.MarkIncomplete
	if onDisk.Voter && !recovered.Corrupt && slices.Contains(onDisk.Value.Members, self) {
		mark, recovered.Complete = tombstone.MarkComplete, true
	}
	err = retryDiskOperation(ctx, log, func() error { return opened.Append(nil, mark) })
	return opened, recovered, err
}

// setTombstones creates the replica of the tombstones from what was recovered from the disk.
func (s *Server) setTombstones(log *storage.TombstoneLog, recovered storage.RecoveredTombstones) {
	firstID := uint64(s.startedAt.UnixNano())
	s.tombstones = tombstoneStore{
		replica:  tombstone.New(s.self, recovered.Complete, recovered.Tombstones, firstID, s.durations.Tombstones),
		log:      log,
		writes:   make(chan tombstone.Append, 1),
		requests: map[uint64]tombstoneRequest{},
	}
}

// writeTombstones appends what it receives to the log. It runs on its own goroutine, as writes may block, and closes ended after the
// channel of writes is closed.
func (s *Server) writeTombstones(ended chan<- struct{}) {
	defer close(ended)
	for w := range s.tombstones.writes {
		s.post(tombstonesWritten{w, s.tombstones.log.Append(w.Tombstones, w.Mark)})
	}
}

// closeTombstones ends writeTombstones and closes the log, unless a write hangs for closeTimeout.
func (s *Server) closeTombstones(ended <-chan struct{}) {
	close(s.tombstones.writes)
	select {
	case <-ended:
		_ = s.tombstones.log.Close() // what matters was synced
	case <-time.After(closeTimeout):
	}
}

// handleTombstonesWritten reports an append to the replica, or lets it be written again after a pause.
func (s *Server) handleTombstonesWritten(e tombstonesWritten) {
	t, now := &s.tombstones, s.now()
	t.writing = false
	if e.err != nil {
		s.metrics.diskErrors.Inc()
		_ = level.Error(s.log).Log("msg", "write of tombstones failed", "error", e.err)
		t.retryPause = min(max(tombstoneRetryMin, 2*t.retryPause), tombstoneRetryMax)
		t.retryAt = now + t.retryPause
		t.queued = mergeAppends(e.written, t.queued)
		return
	}
	t.retryPause = 0
	s.applyTombstones(now, tombstone.Synced{Number: e.written.Number})
}

// mergeAppends returns one append with the content of an earlier and a later one.
func mergeAppends(earlier, later tombstone.Append) tombstone.Append {
	merged := tombstone.Append{
		Number:     max(earlier.Number, later.Number),
		Tombstones: slices.Concat(earlier.Tombstones, later.Tombstones),
		Mark:       later.Mark,
	}
	if merged.Mark == tombstone.NoMark {
		merged.Mark = earlier.Mark
	}
	return merged
}

// applyTombstones passes an event to the replica, and executes the output.
func (s *Server) applyTombstones(now time.Duration, e tombstone.Event) {
	t := &s.tombstones
	out := t.replica.Handle(now, e)
	if out.Append != nil {
		t.queued = mergeAppends(t.queued, *out.Append)
	}
	for i := range out.Messages {
		if p := s.peers.Get(out.Messages[i].To); p != nil && p.Connected() {
			p.Conn.Send(codec.TombstoneMessageToFrame(&out.Messages[i]))
		}
	}
	for _, id := range out.Recorded {
		s.respondToSidecar(id, &wire.FrameT{Kind: wire.TombstoneRecorded})
	}
	for _, f := range out.Fetched {
		s.respondToSidecar(f.ID, &wire.FrameT{Kind: wire.TombstonesFetched, Entries: tombstonesOfServers(f.Servers)})
	}
	s.writeQueuedTombstones(now)
}

func tombstonesOfServers(servers []string) []*wire.EntryT {
	var entries []*wire.EntryT
	for _, server := range servers {
		entries = append(entries, &wire.EntryT{ServerId: server})
	}
	return entries
}

// respondToSidecar answers a sidecar's request, with a frame of which all but the request's node and number are set.
func (s *Server) respondToSidecar(id uint64, f *wire.FrameT) {
	request, pending := s.tombstones.requests[id]
	if !pending {
		return
	}
	delete(s.tombstones.requests, id)
	f.From, f.Id = request.node, request.id
	request.conn.Send(f)
}

// writeQueuedTombstones begins the next append, if one is due and none is in flight.
func (s *Server) writeQueuedTombstones(now time.Duration) {
	t := &s.tombstones
	if t.writing || t.queued.Number == 0 || now < t.retryAt {
		return
	}
	t.writing = true
	t.writes <- t.queued // doesn't block: the channel is buffered, and one append is in flight at a time
	t.queued = tombstone.Append{}
}

// tickTombstones tells the replica the members, the peers and the time, and returns when it is to be called again at the latest.
func (s *Server) tickTombstones(now time.Duration) (next time.Duration) {
	t := &s.tombstones
	members, priorMembers := s.pipeline.Replica().Membership()
	if !slices.Equal(members, t.members) || !slices.Equal(priorMembers, t.priorMembers) {
		t.members, t.priorMembers = members, priorMembers
		s.applyTombstones(now, tombstone.MembershipChanged{Members: members, PriorMembers: priorMembers})
	}
	if now >= t.replica.NextTick() {
		s.applyTombstones(now, tombstone.Tick{})
	}
	s.writeQueuedTombstones(now)
	next = t.replica.NextTick()
	if t.queued.Number > 0 && !t.writing {
		next = min(next, t.retryAt)
	}
	return next
}

// updateTombstonePeers tells the replica which other control machines were seen.
func (s *Server) updateTombstonePeers(now time.Duration, seen []string) {
	if t := &s.tombstones; !slices.Equal(seen, t.peers) {
		t.peers = seen
		s.applyTombstones(now, tombstone.PeersChanged{Peers: seen})
	}
}

// expireTombstoneRequests drops the requests that the replica has not answered in time.
func (s *Server) expireTombstoneRequests(now time.Duration) {
	for id, request := range s.tombstones.requests {
		if now >= request.expires {
			delete(s.tombstones.requests, id)
		}
	}
}

// handleTombstoneRequest passes a sidecar's request to the replica.
func (s *Server) handleTombstoneRequest(c *transport.Conn, f *wire.FrameT, now time.Duration) {
	t := &s.tombstones
	t.lastRequestID++
	id := t.lastRequestID
	t.requests[id] = tombstoneRequest{conn: c, node: f.From, id: f.Id, expires: now + s.durations.Tombstones.CallTimeout}
	if f.Kind == wire.FetchTombstones {
		s.applyTombstones(now, tombstone.FetchRequested{ID: id, Node: f.From})
		return
	}
	if requested := codec.TombstonesFromWire(f.Entries); len(requested) == 1 {
		s.applyTombstones(now, tombstone.RecordRequested{ID: id, Tombstone: requested[0].Tombstone})
	}
}
