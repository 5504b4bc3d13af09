package tombstone

import (
	"hash/fnv"
	"slices"
	"time"

	"firplank/mesh/timing"
)

const (
	// MaxTombstones bounds the tombstones of a replica. Requests for further ones are not answered, so that their servers' calls fail. It is
	// twice the servers of the largest deployment.
	MaxTombstones = 16384
	// maxRequests bounds the pending requests of each kind. Further ones are not answered, and are sent again.
	maxRequests = 16384
	// mismatchesBeforeRepair is the number of successive hellos with another digest after which a replica's set is sent: a single one may
	// have crossed a change.
	mismatchesBeforeRepair = 2
	// emptyDigest is the digest of an empty set. No digest is 0, which on the wire stands for a release without tombstones.
	emptyDigest = 1
)

// entry is the state of a tombstone at a replica.
type entry struct {
	requestedAt time.Duration
	durable     bool   // a majority is known to have it on disk
	appended    uint64 // number of the newest Append with it
}

// Replica is the replica of one control machine. It is not safe for concurrent use.
type Replica struct {
	self      string
	durations timing.Tombstones
	complete  bool

	members, priorMembers, peers []string

	entries      map[Tombstone]*entry
	appended     uint64 // number of the last Append
	synced       uint64
	owedReplies  []owedReply // in the order of their numbers
	lastID       uint64      // of requests to other replicas
	writes       map[Tombstone]*write
	reads        []read      // waiting for a round
	readRound    *readRound  // nil: none is under way
	completion   *completion // nil: the replica is complete or not a member
	mismatches   map[string]int
	nextExpiry   time.Duration
	digest       cachedDigest
	now          time.Duration
	output       Output
	pendingWrite Append
}

// owedReply is a Stored that is sent once an append is on disk.
type owedReply struct {
	number uint64
	to     string
	id     uint64
}

// New returns a replica with the tombstones from its disk. complete must be false if the disk may have lost some. Requests to other
// replicas are numbered above firstID, which must be higher than all numbers of the machine's earlier processes: replies to their
// requests must not count.
func New(self string, complete bool, onDisk []Aged, firstID uint64, durations timing.Tombstones) *Replica {
	r := &Replica{
		self:       self,
		durations:  durations,
		complete:   complete,
		lastID:     firstID,
		entries:    map[Tombstone]*entry{},
		writes:     map[Tombstone]*write{},
		mismatches: map[string]int{},
	}
	for _, t := range onDisk {
		age := min(t.Age, durations.Retention-durations.MinRetentionAfterStart)
		r.entries[t.Tombstone] = &entry{requestedAt: -max(0, age)}
	}
	return r
}

// Complete reports whether the replica's replies to reads count.
func (r *Replica) Complete() bool { return r.complete }

// Len returns the number of tombstones.
func (r *Replica) Len() int { return len(r.entries) }

// Handle applies an event at a time, which must not be before that of the last call. The Output is valid until the next call.
func (r *Replica) Handle(now time.Duration, event Event) Output {
	r.now, r.output, r.pendingWrite = now, Output{}, Append{}
	switch event := event.(type) {
	case RecordRequested:
		r.requestRecord(event)
	case FetchRequested:
		r.requestFetch(event)
	case MessageReceived:
		r.handleMessage(&event.Message)
	case DigestReceived:
		r.compareDigest(event)
	case MembershipChanged:
		r.changeMembership(event)
	case PeersChanged:
		r.peers = event.Peers
	case Synced:
		r.markSynced(event.Number)
	case Tick:
	}
	r.advance()
	if r.pendingWrite.Number > 0 {
		written := r.pendingWrite
		r.output.Append = &written
	}
	return r.output
}

// changeMembership replaces the members. A machine that is not a member may miss tombstones, so that it is incomplete.
func (r *Replica) changeMembership(m MembershipChanged) {
	r.members, r.priorMembers = m.Members, m.PriorMembers
	if !r.isMember() {
		r.mark(MarkIncomplete)
	}
}

func (r *Replica) isMember() bool {
	return slices.Contains(r.members, r.self) || slices.Contains(r.priorMembers, r.self)
}

// mark changes whether the replica is complete, durably.
func (r *Replica) mark(m Mark) {
	r.completion = nil
	if complete := m == MarkComplete; r.complete != complete {
		r.complete = complete
		r.numberPendingWrite()
		r.pendingWrite.Mark = m
	}
}

// advance begins what is due: expiry, the next read round, resent messages, and the reads that complete the replica.
func (r *Replica) advance() {
	r.expire()
	r.advanceWrites()
	r.advanceReads()
	r.advanceCompletion()
}

// NextTick returns the time at which the replica needs a Tick.
func (r *Replica) NextTick() time.Duration {
	next := r.nextExpiry
	for _, w := range r.writes {
		next = min(next, w.resendAt)
	}
	if r.readRound != nil {
		next = min(next, r.readRound.resendAt)
	}
	if r.completion != nil {
		next = min(next, r.completion.resendAt)
	}
	return next
}

// expire drops the tombstones that were requested longer than Retention ago.
func (r *Replica) expire() {
	if r.now < r.nextExpiry {
		return
	}
	r.nextExpiry = r.now + r.durations.ExpiryInterval
	for t, e := range r.entries {
		if r.now-e.requestedAt > r.durations.Retention {
			delete(r.entries, t)
			r.digest.valid = false
		}
	}
}

// add adds a tombstone, or refreshes it if the age shows a later request, and appends it to the pending write. It reports false if there
// are too many tombstones, or if the tombstone has expired.
func (r *Replica) add(t Aged) bool {
	if t.Age > r.durations.Retention {
		return false
	}
	requestedAt := r.now - max(0, t.Age)
	e := r.entries[t.Tombstone]
	switch {
	case e == nil && len(r.entries) >= MaxTombstones:
		return false
	case e == nil:
		e = &entry{}
		r.entries[t.Tombstone] = e
	case requestedAt-e.requestedAt < r.durations.RefreshAge:
		return true
	}
	e.requestedAt, r.digest.valid = requestedAt, false
	r.append(t)
	e.appended = r.pendingWrite.Number
	return true
}

func (r *Replica) append(t Aged) {
	r.numberPendingWrite()
	r.pendingWrite.Tombstones = append(r.pendingWrite.Tombstones, t)
}

// numberPendingWrite gives the Append of the present call its number.
func (r *Replica) numberPendingWrite() {
	if r.pendingWrite.Number == 0 {
		r.appended++
		r.pendingWrite.Number = r.appended
	}
}

// markSynced records that appends are on disk, and sends the replies that wait for that.
func (r *Replica) markSynced(number uint64) {
	r.synced = max(r.synced, number)
	sent := 0
	for _, owed := range r.owedReplies {
		if owed.number > r.synced {
			break
		}
		r.send(Message{Kind: Stored, To: owed.to, ID: owed.id})
		sent++
	}
	r.owedReplies = slices.Delete(r.owedReplies, 0, sent)
	for t, w := range r.writes {
		if e := r.entries[t]; e != nil && e.appended <= r.synced {
			w.storedBy[r.self] = true
		}
	}
}

func (r *Replica) send(m Message) {
	m.From = r.self
	r.output.Messages = append(r.output.Messages, m)
}

func (r *Replica) nextID() uint64 {
	r.lastID++
	return r.lastID
}

func (r *Replica) handleMessage(m *Message) {
	switch m.Kind {
	case Store:
		r.handleStore(m)
	case Stored:
		r.handleStored(m)
	case Read:
		r.send(Message{Kind: ReadReply, To: m.From, ID: m.ID, Tombstones: r.tombstonesOf(m.Nodes), Complete: r.complete})
	case ReadReply:
		r.handleReadReply(m)
	}
}

// handleStore stores tombstones. The reply is sent once all of them are on disk, and never if one could not be stored.
func (r *Replica) handleStore(m *Message) {
	highest, all := uint64(0), true
	for _, t := range m.Tombstones {
		if all = r.add(t) && all; all {
			highest = max(highest, r.entries[t.Tombstone].appended)
		}
	}
	switch {
	case !all:
	case highest <= r.synced:
		r.send(Message{Kind: Stored, To: m.From, ID: m.ID})
	default:
		r.owedReplies = append(r.owedReplies, owedReply{highest, m.From, m.ID})
		slices.SortStableFunc(r.owedReplies, func(a, b owedReply) int { return int(a.number) - int(b.number) })
	}
}

// tombstonesOf returns the tombstones of some nodes, or all of them if no node is named, sorted.
func (r *Replica) tombstonesOf(nodes []string) (found []Aged) {
	for t, e := range r.entries {
		age := r.now - e.requestedAt
		if age <= r.durations.Retention && (len(nodes) == 0 || slices.Contains(nodes, t.Node)) {
			found = append(found, Aged{t, age})
		}
	}
	slices.SortFunc(found, func(a, b Aged) int { return a.Compare(b.Tombstone) })
	return found
}

// cachedDigest is a digest that is computed again after a change, and at times as tombstones expire.
type cachedDigest struct {
	value      uint64
	valid      bool
	computedAt time.Duration
}

// Digest returns a hash of the tombstones that will not expire soon. It is equal for replicas with the same ones, and never 0.
func (r *Replica) Digest(now time.Duration) uint64 {
	if !r.digest.valid || now-r.digest.computedAt > r.durations.ResendInterval {
		r.digest = cachedDigest{value: r.computeDigest(now), valid: true, computedAt: now}
	}
	return r.digest.value
}

func (r *Replica) computeDigest(now time.Duration) uint64 {
	digest := uint64(emptyDigest)
	for t, e := range r.entries {
		if now-e.requestedAt > r.durations.Retention-r.durations.RefreshAge {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(t.Node + "\x00" + t.Server)) // hash.Hash never returns an error
		digest += h.Sum64()
	}
	return max(digest, emptyDigest)
}

// compareDigest sends a replica this one's set if their digests have differed in several successive hellos.
func (r *Replica) compareDigest(d DigestReceived) {
	if d.Digest == r.Digest(r.now) {
		delete(r.mismatches, d.From)
		return
	}
	if r.mismatches[d.From]++; r.mismatches[d.From] < mismatchesBeforeRepair {
		return
	}
	delete(r.mismatches, d.From)
	r.send(Message{Kind: Store, To: d.From, ID: r.nextID(), Tombstones: r.tombstonesOf(nil)})
}
