// Package fleet is the gossip protocol between sidecars. It detects which members are reachable, spreads the members' records with
// anti-entropy repair, and computes the counters of the whole fleet as intervals that contain the actual values. It does no I/O, starts
// no goroutine, and uses neither a clock nor a random source of its own: Handle receives an event with the time since the process
// started and returns the actions to perform, so that a run can be replayed from its events. A record is accepted only as a statement
// of the member that wrote it.
//
// A member is a number in a fixed list, and each start of its process is a new Incarnation. An incarnation has topics, each with a
// short value and a version. Only the incarnation itself writes them; a topic's value and version are a record. table.go keeps the
// latest records and drops older ones, gossip.go fills datagrams and repairs differences, wire.go encodes, counts.go adds up
// counters, and member.go judges reachability.
//
// Start reading at Node.Handle.
package fleet

import (
	"fmt"
	"math/bits"
	"time"
)

// Config configures a Node.
type Config struct {
	Number, Members int
	Incarnation     Incarnation // of this process: see NewIncarnation
	Seed            uint64
	Cells           int     // pairs of tenant and class; the same number at all members
	MaxRate         float64 // requests a second that this member receives at most; see RateLimiter. 0: unlimited
}

// The constants of the protocol, the same at all members.
const (
	Interval              = 250 * time.Millisecond // between two rounds of datagrams
	Fanout                = 8                      // maximum datagrams in a round
	MaxDatagramSize       = 256                    // bytes
	MaxCells              = 1024
	maxFormerIncarnations = 2 // kept separately, for each member
	maxBroadcasts         = 2048
)

// MaxBytesPerSecond bounds what a member sends, whatever the size of the fleet.
const MaxBytesPerSecond = MaxDatagramSize * Fanout * int(time.Second/Interval)

// Incarnation identifies and orders the starts of a member's process: the wall clock's milliseconds at the start, then random bits. If
// the clock was set back, or two starts have the same value, the member receives a record of the other incarnation and raises its own
// above that (Node.raiseIncarnation).
type Incarnation uint64

const randomBits = 20

// NewIncarnation returns the incarnation of a process started at wallTime.
func NewIncarnation(wallTime time.Time, random uint64) Incarnation {
	return Incarnation(uint64(wallTime.UnixMilli())<<randomBits | random&(1<<randomBits-1))
}

// Event is the input of Node.Handle: a Tick or a Datagram.
type Event interface{ event() }

// Tick is due every Interval. It has this process's counters by cell, since its start.
type Tick struct{ Counters []Counters }

// Datagram was received from a member, identified by its address. Data is not retained.
type Datagram struct {
	From int
	Data []byte
}

func (Tick) event()     {}
func (Datagram) event() {}

// ActionKind is the kind of an Action, which determines the fields that are set.
type ActionKind uint8

// The actions.
const (
	Send ActionKind = iota // To, Data
	Log                    // Member, Text
)

// Action is an output of Node.Handle, for the caller to perform.
type Action struct {
	Kind   ActionKind
	To     int
	Data   []byte
	Member int
	Text   string
}

// Dropped counts datagrams and records that were dropped, by reason: malformed, of a sender or receiver that does not match, a
// duplicate, an older version, an invalid incarnation, or two values of one version (of which one is kept).
type Dropped struct {
	Unreadable, Foreign, Replayed, Stale, Absurd, Conflicting int
}

// Node is the state of one member. It is not safe for concurrent use. Its memory is about 100 bytes for each member, and 60 bytes
// and the value for each record. A member has up to 1 + 2 × Cells records for each of its incarnations that is kept.
type Node struct {
	cfg     Config
	rng     uint64
	now     time.Duration
	actions []Action

	members []member

	counters    []Counters // from the latest Tick
	counterBase []Counters // part published by this process's former incarnations: not 0 only after the incarnation was raised
	publishedAt time.Duration
	seq         uint32
	heartbeats  [heartbeatsKept]sentHeartbeat

	partners      []int // the other members, in the order of this cycle
	partnerIndex  int
	broadcasts    []recordKey
	broadcastHead int
	scanIndex     int // the next member of the background repair
	digestBlock   int // the next block to send a digest of
	raises        struct {
		count       int
		last        time.Duration
		silentUntil time.Duration // this member sends nothing until then, as another process has its number
	}
	lastTick    time.Duration
	resumedAt   time.Duration // when the process last resumed after a suspension
	wasIsolated bool
	drops       Dropped
	bytesSent   int
	planted     Defect
}

// heartbeatsKept bounds the heartbeats whose times are kept, to look up the time of an acknowledged one.
const heartbeatsKept = 512

type sentHeartbeat struct {
	version uint32
	sentAt  time.Duration
}

type recordKey struct {
	member uint16
	topic  uint16
}

// New returns a node that has sent and received nothing yet. It fails if the number or the cells are out of range.
func New(cfg Config) (*Node, error) {
	switch {
	case cfg.Members < 1 || cfg.Members > 1<<14 || cfg.Number < 0 || cfg.Number >= cfg.Members:
		return nil, fmt.Errorf("fleet: member %d of %d", cfg.Number, cfg.Members)
	case cfg.Cells < 0 || cfg.Cells > MaxCells:
		return nil, fmt.Errorf("fleet: %d cells: want %d at most", cfg.Cells, MaxCells)
	}
	n := &Node{
		cfg: cfg, rng: cfg.Seed, members: make([]member, cfg.Members),
		counters: make([]Counters, cfg.Cells), counterBase: make([]Counters, cfg.Cells),
		publishedAt: -time.Hour,
	}
	for i := range n.members {
		n.members[i].lastDatagram, n.members[i].lastHeartbeat, n.members[i].completeAsOf = -1, -1, -1
	}
	n.self().inc = cfg.Incarnation
	return n, nil
}

func (n *Node) self() *member { return &n.members[n.cfg.Number] }

// Handle processes an event and returns the actions to perform, which are valid until the next call. now is the time since the start
// of the process.
func (n *Node) Handle(now time.Duration, ev Event) []Action {
	n.now, n.actions = max(now, n.now), n.actions[:0]
	switch ev := ev.(type) {
	case Tick:
		n.tick(ev)
	case Datagram:
		n.receive(ev)
	}
	return n.actions
}

// Drops returns the counts of dropped datagrams and records since the start.
func (n *Node) Drops() Dropped { return n.drops }

// BytesSent returns the bytes of all datagrams sent since the start.
func (n *Node) BytesSent() int { return n.bytesSent }

// suspendThreshold is the time without a Tick after which the process counts as having been suspended.
const suspendThreshold = 4 * Interval

func (n *Node) tick(ev Tick) {
	if gap := n.now - n.lastTick; n.lastTick > 0 && gap > suspendThreshold {
		n.resumedAt = n.now
		n.log(n.cfg.Number, fmt.Sprintf("process was suspended for %v: its view of the fleet is as old", gap.Round(time.Millisecond)))
	}
	n.lastTick = n.now
	copy(n.counters, ev.Counters)
	if n.now-n.publishedAt >= n.publishInterval() {
		n.publish()
	}
	n.logChanges()
	if n.now < n.raises.silentUntil || n.cfg.Members < 2 {
		return
	}
	for range min(Fanout, n.cfg.Members-1) {
		n.send(n.nextPartner())
	}
}

// publishInterval returns the time between two versions of this member's records. It grows with the fleet, as the bytes sent a second
// are bounded.
func (n *Node) publishInterval() time.Duration {
	return max(time.Second, time.Duration(n.cfg.Members)*30*time.Millisecond)
}

// nextPartner returns the member to send the next datagram to. Each cycle covers every other member once, in a new random order. Any
// two members therefore exchange datagrams within members / Fanout rounds, which random choice would not guarantee.
func (n *Node) nextPartner() int {
	if n.partnerIndex == 0 || n.partnerIndex >= len(n.partners) {
		if n.partners == nil {
			for m := range n.cfg.Members {
				if m != n.cfg.Number {
					n.partners = append(n.partners, m)
				}
			}
		}
		for i := len(n.partners) - 1; i > 0; i-- {
			j := int(n.random() % uint64(i+1))
			n.partners[i], n.partners[j] = n.partners[j], n.partners[i]
		}
		n.partnerIndex = 0
	}
	n.partnerIndex++
	return n.partners[n.partnerIndex-1]
}

func (n *Node) log(member int, text string) {
	n.actions = append(n.actions, Action{Kind: Log, Member: member, Text: text})
}

// random returns the next number of a splitmix64 generator.
func (n *Node) random() uint64 {
	n.rng += 0x9e3779b97f4a7c15
	z := n.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// transmitLimit returns how often a member forwards a new record: often enough to reach nearly all members.
func (n *Node) transmitLimit() uint8 { return uint8(bits.Len(uint(n.cfg.Members)) + 1) }

// Defect is a fault that the laboratory plants in a node to check that its explorer finds it. No production program plants one.
type Defect uint8

// The plantable defects.
const (
	NoDefect              Defect = iota
	OldVersionWins               // an older version of a record replaces a newer one
	FormerIncarnationWins        // records of a former incarnation replace those of the current one
	FoldedCountedTwice           // an incarnation that is folded counts twice in the sum
	HorizonNotAdvanced           // the horizon is not advanced when an incarnation is folded
	UnreportedForgotten          // the bound on a former incarnation's unreported requests is dropped
	HistoryForgotten             // the records of a former incarnation are dropped
	IncarnationNotRaised         // an incarnation is not raised above a higher one of the same member
	BaseNotSubtracted            // a raised incarnation reports again what the former one reported
	CompleteOnReceipt            // a member's records count as complete up to the time of their receipt
	DefectCount                  // their number
)

// String returns the defect's name in the explorer's reports.
func (d Defect) String() string {
	return [...]string{"none", "a late word wins", "a former life overrules", "a fold counts twice",
		"a closed life is not marked", "a gap is forgotten",
		"the past is forgotten", "a clock that went back is not made good", "what was told is told again", "words count as of their coming"}[d]
}

// Plant makes the node behave with a defect.
func (n *Node) Plant(d Defect) { n.planted = d }
