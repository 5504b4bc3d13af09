package tombstone

import (
	"slices"
	"time"
)

// read is a request for the tombstones of a node.
type read struct {
	id      uint64
	node    string
	expires time.Duration
}

// readRound reads the tombstones of several nodes from a majority. Requests that arrive meanwhile wait for the next round, so that a round
// begins after each of its requests.
type readRound struct {
	id       uint64
	reads    []read
	replies  map[string]bool // complete replicas that have replied
	resendAt time.Duration
}

// requestFetch adds a request to the next round.
func (r *Replica) requestFetch(request FetchRequested) {
	if len(r.reads) < maxRequests {
		r.reads = append(r.reads, read{request.ID, request.Node, r.now + r.durations.CallTimeout})
	}
}

// advanceReads ends the round that a majority has replied to, begins the next one, and sends requests without a reply again.
func (r *Replica) advanceReads() {
	expired := func(request read) bool { return r.now >= request.expires }
	r.reads = slices.DeleteFunc(r.reads, expired)
	if round := r.readRound; round != nil {
		round.reads = slices.DeleteFunc(round.reads, expired)
		switch {
		case r.isQuorum(func(machine string) bool { return round.replies[machine] || machine == r.self && r.complete }):
			r.answerReads(round)
			r.readRound = nil
		case len(round.reads) == 0:
			r.readRound = nil
		}
	}
	if r.readRound == nil && len(r.reads) > 0 {
		r.readRound = &readRound{id: r.nextID(), reads: r.reads, replies: map[string]bool{}}
		r.reads = nil
	}
	if round := r.readRound; round != nil && r.now >= round.resendAt {
		round.resendAt = r.now + r.durations.ResendInterval
		for _, machine := range r.voters() {
			if !round.replies[machine] {
				r.send(Message{Kind: Read, To: machine, ID: round.id, Nodes: round.nodes()})
			}
		}
	}
}

// nodes returns the nodes of a round, without duplicates.
func (rd *readRound) nodes() (nodes []string) {
	for _, request := range rd.reads {
		nodes = append(nodes, request.node)
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// answerReads answers the requests of a round from this replica's set, to which those of the replies were added.
func (r *Replica) answerReads(round *readRound) {
	byNode := map[string][]string{}
	for _, t := range r.tombstonesOf(round.nodes()) {
		byNode[t.Node] = append(byNode[t.Node], t.Server)
	}
	for _, request := range round.reads {
		r.output.Fetched = append(r.output.Fetched, Fetched{request.id, byNode[request.node]})
	}
}

// completion is the state of an incomplete replica that reads the sets of the others.
type completion struct {
	id       uint64
	replies  map[string]bool // replicas whose sets were added; true: they are complete
	resendAt time.Duration
}

// suffices reports whether the replies include all tombstones that were durable before. Each of these is at a majority of the members, or
// of the prior members while a change is under way. If too many replicas are incomplete, all sets together are what there is.
func (c *completion) suffices(r *Replica) bool {
	members := r.members
	if len(r.priorMembers) > 0 {
		members = r.priorMembers
	}
	return isMajority(members, func(machine string) bool { return c.replies[machine] }) || len(c.replies) == len(r.voters())
}

// advanceCompletion makes an incomplete member complete, once the sets that suffice for that are part of its own.
func (r *Replica) advanceCompletion() {
	if r.complete || !r.isMember() {
		return
	}
	if r.completion == nil {
		r.completion = &completion{id: r.nextID(), replies: map[string]bool{}}
	}
	c := r.completion
	if c.suffices(r) {
		r.mark(MarkComplete)
		return
	}
	if r.now < c.resendAt {
		return
	}
	c.resendAt = r.now + r.durations.ResendInterval
	for _, machine := range r.voters() {
		if !c.replies[machine] {
			r.send(Message{Kind: Read, To: machine, ID: c.id})
		}
	}
}

// handleReadReply adds the tombstones of another replica. In a round of reads, only a complete replica's reply counts.
func (r *Replica) handleReadReply(m *Message) {
	for _, t := range m.Tombstones {
		if !r.add(t) {
			return // too many tombstones
		}
	}
	switch {
	case r.readRound != nil && m.ID == r.readRound.id && m.Complete:
		r.readRound.replies[m.From] = true
	case r.completion != nil && m.ID == r.completion.id && slices.Contains(r.voters(), m.From):
		r.completion.replies[m.From] = m.Complete
	}
}
