// Package membership is the failure detector among sidecars, after SWIM (Das, Gupta, Motivala, 2002) and Lifeguard (Dadgar, Phillips,
// Currey, 2018). Each sidecar pings in turn the members that it sends requests to. A member that does not answer is pinged through other
// members, then suspected, and counts as lost only if the suspicion is not refuted within a time-out. With Lifeguard's local health score,
// a member that gets no answers lengthens its own time-outs, as the fault may be on its side.
//
// Unlike in SWIM, the detector's result stays local: it is a reason to send no requests to a machine, and it is revoked by any message from
// that machine. A suspect is also pinged over a connection (like memberlist's fallback ping over TCP), because a congested link drops
// datagrams first, and a machine behind such a link is not lost. The package has neither dissemination nor incarnations; package directory
// has both.
//
// The package has no socket and no clock: messages are arguments and results, times are arguments, and random choices depend on a seed. The
// same calls give the same results.
//
// Start reading at Detector.Tick.
package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// notSuspected is the value of member.suspectedAt for a member that is not suspected.
const notSuspected = time.Duration(-1)

// randomStream is the second half of the generator's seed. It makes the sequence differ from other generators with the same seed.
const randomStream = 3

// member is a detector's state for another member.
type member struct {
	lastSeen    time.Duration // when it was last known to be alive, directly or through another member
	suspectedAt time.Duration // or notSuspected
	lost        bool          // suspected, and the suspicion has timed out
}

func (m *member) suspected() bool { return m.suspectedAt >= 0 }

// probe is a ping that awaits its answer.
type probe struct {
	target         string
	sentAt         time.Duration
	requester      string // member whose PingReq it was sent for; empty for the detector's own probe
	requesterSeqNo uint64 // sequence number of that PingReq
	indirect       bool   // PingReq messages were sent for the target
}

// Detector is one member's view of the others. It is not safe for concurrent use.
type Detector struct {
	config      Config
	self        string
	rng         *rand.Rand
	members     map[string]*member
	probeOrder  []string // members not yet pinged in this round; the last one is pinged next
	nextProbeAt time.Duration
	seqNo       uint64
	probes      map[uint64]*probe // by sequence number
	localHealth int               // number of own pings in a row without an answer; 0 is healthy
}

// New returns the detector of the member self, without other members. seed determines all random choices.
func New(self string, seed uint64, config Config) *Detector {
	return &Detector{
		config:  config,
		self:    self,
		rng:     rand.New(rand.NewPCG(seed, randomStream)),
		members: map[string]*member{},
		probes:  map[uint64]*probe{},
	}
}

// SetMembers sets the members to be pinged. The detector's own name is ignored. A new member counts as seen now, and members not in names
// are removed.
func (d *Detector) SetMembers(now time.Duration, names []string) {
	for name := range d.members {
		if !slices.Contains(names, name) {
			delete(d.members, name)
		}
	}
	for _, name := range names {
		if name != d.self && d.members[name] == nil {
			d.members[name] = &member{lastSeen: now, suspectedAt: notSuspected}
		}
	}
}

// Lost reports whether a member counts as failed. It is false for a name that is not a member's.
func (d *Detector) Lost(name string) bool {
	m := d.members[name]
	return m != nil && m.lost
}

// HasSuspects reports whether any member is suspected or lost.
func (d *Detector) HasSuspects() bool {
	for _, m := range d.members {
		if m.suspected() {
			return true
		}
	}
	return false
}

// RecordContact records that a member has answered something other than a datagram ping: on a congested link datagrams are lost while
// answers over TCP still arrive. It reports whether the member was lost until now.
func (d *Detector) RecordContact(now time.Duration, name string) (changed bool) {
	return d.markAlive(now, name)
}

// Tick returns the messages that are due, and whether a member became lost as its suspicion timed out. It has to be called several times
// per PingTimeout.
func (d *Detector) Tick(now time.Duration) (out []Message, changed bool) {
	out = d.checkProbes(now)
	changed = d.confirmSuspects(now)
	return append(out, d.probeNext(now)...), changed
}

// checkProbes handles the pings that have timed out. For the detector's own pings, indirect pings are requested first, and then the target
// is suspected. Pings on behalf of others are dropped.
func (d *Detector) checkProbes(now time.Duration) (out []Message) {
	timeout := d.scaledTimeout(d.config.PingTimeout)
	for _, seqNo := range sortedKeys(d.probes) {
		p := d.probes[seqNo]
		switch elapsed := now - p.sentAt; {
		case elapsed < timeout:
		case p.requester != "":
			delete(d.probes, seqNo)
		case elapsed >= 2*timeout:
			delete(d.probes, seqNo)
			out = append(out, d.suspect(now, p.target)...)
			timeout = d.scaledTimeout(d.config.PingTimeout) // suspect has changed the local health score
		case !p.indirect:
			p.indirect = true
			for _, helper := range d.randomHealthy(p.target) {
				out = append(out, Message{Kind: PingReq, From: d.self, To: helper, SeqNo: seqNo, Target: p.target})
			}
		}
	}
	return out
}

// confirmSuspects marks as lost the members whose suspicion was not refuted in time. It reports whether there were any.
func (d *Detector) confirmSuspects(now time.Duration) (changed bool) {
	timeout := d.scaledTimeout(d.config.SuspicionTimeout)
	for _, m := range d.members {
		if m.suspected() && !m.lost && now-m.suspectedAt >= timeout {
			m.lost, changed = true, true
		}
	}
	return changed
}

// probeNext pings the next member once per ProbeInterval. The order is shuffled for each round, as in SWIM, so that at most two rounds pass
// between two pings of a member.
func (d *Detector) probeNext(now time.Duration) []Message {
	if now < d.nextProbeAt || len(d.members) == 0 {
		return nil
	}
	d.nextProbeAt = now + d.config.ProbeInterval
	if len(d.probeOrder) == 0 {
		d.probeOrder = sortedKeys(d.members)
		d.shuffle(d.probeOrder)
	}
	last := len(d.probeOrder) - 1
	name := d.probeOrder[last]
	d.probeOrder = d.probeOrder[:last]
	if d.members[name] == nil { // removed since the round began
		return nil
	}
	return d.ping(now, name, "", 0)
}

// ping returns a ping of target, and records it as pending. A requester that is not empty is the sender of the PingReq that asked for it.
// While MaxPendingProbes are pending, no ping is sent.
func (d *Detector) ping(now time.Duration, target, requester string, requesterSeqNo uint64) []Message {
	if len(d.probes) >= d.config.MaxPendingProbes {
		return nil
	}
	d.seqNo++
	d.probes[d.seqNo] = &probe{target: target, sentAt: now, requester: requester, requesterSeqNo: requesterSeqNo}
	return []Message{{Kind: Ping, From: d.self, To: target, SeqNo: d.seqNo}}
}

// suspect starts a suspicion. It asks other members for a refutation, and pings the suspect again, by datagram and over a connection.
func (d *Detector) suspect(now time.Duration, name string) (out []Message) {
	d.localHealth++
	m := d.members[name]
	if m == nil || m.suspected() {
		return nil
	}
	m.suspectedAt = now
	for _, other := range d.randomHealthy(name) {
		out = append(out, Message{Kind: Suspect, From: d.self, To: other, Target: name})
	}
	out = append(out, Message{Kind: StreamPing, From: d.self, To: name})
	return append(out, d.ping(now, name, "", 0)...)
}

// Handle processes a received message, which shows that its sender is alive. It returns the messages to be sent, and whether a lost member
// was found alive.
func (d *Detector) Handle(now time.Duration, m Message) (out []Message, changed bool) {
	changed = d.markAlive(now, m.From)
	switch m.Kind {
	case Ping:
		out = []Message{{Kind: Ack, From: d.self, To: m.From, SeqNo: m.SeqNo}}
	case Ack:
		out = d.handleAck(m)
	case PingReq:
		if d.members[m.Target] != nil {
			out = d.ping(now, m.Target, m.From, m.SeqNo)
		}
	case Alive:
		changed = d.markAlive(now, m.Target) || changed
		if p := d.probes[m.SeqNo]; p != nil && p.target == m.Target {
			delete(d.probes, m.SeqNo)
			d.localHealth = 0
		}
	case Suspect:
		out = d.handleSuspect(now, m)
	}
	return out, changed
}

// handleAck completes the ping that an Ack answers. If the ping was sent on behalf of another member, an Alive message is returned for it.
func (d *Detector) handleAck(m Message) []Message {
	p := d.probes[m.SeqNo]
	if p == nil || p.target != m.From {
		return nil
	}
	delete(d.probes, m.SeqNo)
	if p.requester != "" {
		return []Message{{Kind: Alive, From: d.self, To: p.requester, SeqNo: p.requesterSeqNo, Target: m.From}}
	}
	d.localHealth = 0
	return nil
}

// handleSuspect refutes the suspicion of a member that was seen within SuspicionTimeout, and pings it otherwise.
func (d *Detector) handleSuspect(now time.Duration, m Message) []Message {
	target := d.members[m.Target]
	if target == nil || target.suspected() {
		return nil
	}
	if now-target.lastSeen < d.config.SuspicionTimeout {
		return []Message{{Kind: Alive, From: d.self, To: m.From, Target: m.Target}}
	}
	return d.ping(now, m.Target, "", 0)
}

// markAlive records that a member was seen now, and clears its suspected and lost states. It reports whether the member was lost.
func (d *Detector) markAlive(now time.Duration, name string) (wasLost bool) {
	m := d.members[name]
	if m == nil {
		return false
	}
	wasLost = m.lost
	*m = member{lastSeen: now, suspectedAt: notSuspected}
	return wasLost
}

// scaledTimeout lengthens a time-out according to the local health score.
func (d *Detector) scaledTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+min(d.localHealth, d.config.MaxLocalHealth))
}

// randomHealthy picks up to IndirectProbes random members that are not suspected, other than except.
func (d *Detector) randomHealthy(except string) (picked []string) {
	names := sortedKeys(d.members)
	d.shuffle(names)
	for _, name := range names {
		if name != except && !d.members[name].suspected() && len(picked) < d.config.IndirectProbes {
			picked = append(picked, name)
		}
	}
	return picked
}

func (d *Detector) shuffle(names []string) {
	d.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
}

// sortedKeys returns a map's keys in order, so that random choices are the same for the same seed.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
