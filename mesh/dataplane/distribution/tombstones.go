package distribution

import (
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/timing"
	"firplank/mesh/tombstone"
	"firplank/mesh/wire"
)

// maxTombstoneRequests bounds the requests that wait for an answer. Further servers are not recorded until others have been.
const maxTombstoneRequests = 64

// tombstoneRequests are this sidecar's requests to the control machines to record or to return tombstones of its servers. Each is sent to
// the parent until it is answered: a parent, or the control machine behind it, may be lost with a request.
// The interval doubles: many sidecars may have started while no majority answers.
type tombstoneRequests struct {
	durations timing.Tombstones
	lastID    uint64
	records   map[string]*tombstoneRequest // by server
	fetch     *tombstoneRequest            // nil: none is pending
}

// tombstoneRequest is a request that is not answered yet.
type tombstoneRequest struct {
	id       uint64
	resendAt time.Duration
	interval time.Duration // until the request is sent once more after the next time
	expires  time.Duration // of a record
}

// newTombstoneRequests returns an empty set. Requests are numbered above firstID, which must differ between the processes of a sidecar:
// answers to an earlier one must not count.
func newTombstoneRequests(firstID uint64, durations timing.Tombstones) tombstoneRequests {
	return tombstoneRequests{durations: durations, lastID: firstID, records: map[string]*tombstoneRequest{}}
}

func (r *tombstoneRequests) newRequest(now time.Duration) *tombstoneRequest {
	r.lastID++
	return &tombstoneRequest{id: r.lastID, resendAt: now, interval: r.durations.ResendInterval, expires: now + r.durations.CallTimeout}
}

// resendAll makes all requests due, for a new parent.
func (r *tombstoneRequests) resendAll(now time.Duration) {
	for _, request := range r.records {
		request.resendAt, request.interval = now, r.durations.ResendInterval
	}
	if r.fetch != nil {
		r.fetch.resendAt, r.fetch.interval = now, r.durations.ResendInterval
	}
}

// RecordTombstone requests that the shutdown of a local server become durable. Host.TombstoneRecorded reports that it is. The request ends
// after timing.Tombstones.CallTimeout, unless it is repeated.
func (n *Node) RecordTombstone(now time.Duration, server string) {
	r := &n.tombstones
	if request := r.records[server]; request != nil {
		request.expires = now + r.durations.CallTimeout
	} else if len(r.records) < maxTombstoneRequests {
		r.records[server] = r.newRequest(now)
	}
}

// FetchTombstones requests the tombstones of this sidecar's servers. Host.TombstonesFetched receives all that were durable before.
func (n *Node) FetchTombstones(now time.Duration) {
	n.tombstones.fetch = n.tombstones.newRequest(now)
}

// sendTombstoneRequests sends the parent the requests that are due.
func (n *Node) sendTombstoneRequests(now time.Duration) {
	r := &n.tombstones
	for server, request := range r.records {
		if now >= request.expires {
			delete(r.records, server)
			continue
		}
		record := tombstone.Aged{Tombstone: tombstone.Tombstone{Node: n.own.Node, Server: server}}
		n.sendTombstoneRequest(now, request, wire.RecordTombstone, codec.TombstonesToWire([]tombstone.Aged{record}))
	}
	if r.fetch != nil {
		n.sendTombstoneRequest(now, r.fetch, wire.FetchTombstones, nil)
	}
}

func (n *Node) sendTombstoneRequest(now time.Duration, request *tombstoneRequest, kind wire.Kind, entries []*wire.EntryT) {
	if n.parent == nil || now < request.resendAt {
		return
	}
	request.resendAt = now + request.interval
	request.interval = min(2*request.interval, n.tombstones.durations.MaxResendInterval)
	f := &wire.FrameT{Kind: kind, From: n.own.Node, Id: request.id, Entries: entries}
	n.actions = append(n.actions, Send{To: n.parent, Frame: f})
}

// tombstonesAnswered handles an answer of the parent. One for a subscriber is passed on to it.
func (n *Node) tombstonesAnswered(now time.Duration, f *wire.FrameT) {
	if f.From != n.own.Node {
		if c := n.subscribers.ConnOf(f.From); c != nil {
			n.actions = append(n.actions, Send{To: c, Frame: f})
		}
		return
	}
	r := &n.tombstones
	if f.Kind == wire.TombstonesFetched && r.fetch != nil && r.fetch.id == f.Id {
		r.fetch = nil
		if n.host.TombstonesFetched(serversOf(f)) {
			n.Announce(now)
		}
		return
	}
	for server, request := range r.records {
		if request.id == f.Id {
			delete(r.records, server)
			n.host.TombstoneRecorded(now, server)
			return
		}
	}
}

func serversOf(f *wire.FrameT) (servers []string) {
	for _, t := range codec.TombstonesFromWire(f.Entries) {
		servers = append(servers, t.Server)
	}
	return servers
}

// forwardTombstoneRequest passes a subscriber's request on to the parent. Without a parent it is lost; the subscriber sends it again.
func (n *Node) forwardTombstoneRequest(f *wire.FrameT) {
	if n.parent != nil {
		n.actions = append(n.actions, Send{To: n.parent, Frame: f})
	}
}
