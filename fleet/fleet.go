// Package fleet decides what sidecars tell one another, and what may be made of what they hear: who is heard and in which way, how words
// spread and are repaired, and what the whole fleet has counted, as an interval that holds the truth. It does no I/O, starts no goroutine,
// and has neither clock nor chance of its own: Handle takes an event with the time since this process began and returns what to do, and
// its whole behaviour can be replayed from a list of events. What comes from another sidecar is evidence under its author's name.
//
// A member is a number in a fixed list; each start of its process is a life of it, told apart by an Incarnation. Of each life there are
// topics, each a short value with a version that only that life writes. table.go keeps the latest words and refuses older ones,
// spread.go fills datagrams and repairs differences, wire.go has the bytes, counts.go adds up, member.go judges who is heard.
// Begin with Node.Handle.
package fleet

import (
	"fmt"
	"math/bits"
	"time"
)

// Config says who this member is.
type Config struct {
	Number, Members int
	Incarnation     Incarnation // of this start: NewIncarnation
	Seed            uint64
	Cells           int     // things that are counted apart; the same at all members
	MaxRate         float64 // requests a second that this member takes at most, whatever comes; see Pace
}

// The figures of the protocol. All members hold the same.
const (
	Interval              = 250 * time.Millisecond // between two rounds of datagrams
	Fanout                = 8                      // datagrams in a round, at most
	MaxDatagramSize       = 256                    // bytes of a datagram
	MaxCells              = 1024
	maxFormerIncarnations = 2 // former lives of a member that are kept apart
	maxBroadcasts         = 2048
)

// BytesPerSecond bounds what a member sends, however many there are.
const MaxBytesPerSecond = MaxDatagramSize * Fanout * int(time.Second/Interval)

// Incarnation tells the lives of a member apart and orders them: milliseconds of the wall clock at the start, and chance. Where the clock
// went back, or two starts look alike, the member hears of its other life and goes above it (Node.outbid).
type Incarnation uint64

const randomBits = 20

// NewIncarnation returns the incarnation of a start.
func NewIncarnation(wallTime time.Time, random uint64) Incarnation {
	return Incarnation(uint64(wallTime.UnixMilli())<<randomBits | random&(1<<randomBits-1))
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

// Tick says that time has passed, with what this process has counted so far, cell by cell. It comes every Interval.
type Tick struct{ Counters []Counters }

// Datagram is what came from a member, by its address. Data is not kept.
type Datagram struct {
	From int
	Data []byte
}

func (Tick) event()     {}
func (Datagram) event() {}

// ActionKind says what to do.
type ActionKind uint8

// The actions.
const (
	Send ActionKind = iota // To, Data
	Log                    // Member, Text: for the log
)

// Action is one thing to do.
type Action struct {
	Kind   ActionKind
	To     int
	Data   []byte
	Member int
	Text   string
}

// Dropped counts what was not taken, by reason.
type Dropped struct {
	Unreadable, Foreign, Replayed, Stale, Absurd, Conflicting int
}

// Node is one member's part in the fleet. It is not safe for concurrent use. Its memory is that of its table: for each
// member some 100 bytes, and for each topic heard 60 and its value, of which there are 1 + 2 × Cells for each of the
// member's lives that is kept.
type Node struct {
	cfg     Config
	rng     uint64
	now     time.Duration
	actions []Action

	members []member

	counters    []Counters // as last told to us
	counterBase []Counters // what an earlier life of this process had told of them: only where it was outbid
	publishedAt time.Duration
	seq         uint32
	heartbeats  [heartbeatsKept]sentHeartbeat

	partners      []int // partners of this round of rounds
	partnerIndex  int
	broadcasts    []recordKey
	broadcastHead int
	scanIndex     int // where the background has got to
	digestBlock   int // whose digest is told next
	raises        struct {
		count       int
		last        time.Duration
		silentUntil time.Duration // until then this member says nothing: its number is taken
	}
	lastTick    time.Duration
	resumedAt   time.Duration // when it last went on after standing still
	wasIsolated bool
	drops       Dropped
	bytesSent   int
	planted     Defect
}

// beatsKept bounds the beats whose times are remembered, to know how old an acknowledgement is.
const heartbeatsKept = 512

type sentHeartbeat struct {
	version uint32
	sentAt  time.Duration
}

type recordKey struct {
	member uint16
	topic  uint16
}

// New returns a node that has said and heard nothing.
func New(cfg Config) (*Node, error) {
	switch {
	case cfg.Members < 1 || cfg.Members > 1<<14 || cfg.Number < 0 || cfg.Number >= cfg.Members:
		return nil, fmt.Errorf("fleet: member %d of %d", cfg.Number, cfg.Members)
	case cfg.Cells < 0 || cfg.Cells > MaxCells:
		return nil, fmt.Errorf("fleet: %d cells: want %d at most", cfg.Cells, MaxCells)
	}
	n := &Node{
		cfg: cfg, rng: cfg.Seed, members: make([]member, cfg.Members), counters: make([]Counters, cfg.Cells), counterBase: make([]Counters, cfg.Cells),
		publishedAt: -time.Hour,
	}
	for i := range n.members {
		n.members[i].lastDatagram, n.members[i].lastHeartbeat, n.members[i].completeAsOf = -1, -1, -1
	}
	n.self().inc = cfg.Incarnation
	return n, nil
}

func (n *Node) self() *member { return &n.members[n.cfg.Number] }

// Handle takes an event and returns what to do. The actions are valid until the next call.
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

// Drops returns what was not taken so far.
func (n *Node) Drops() Dropped { return n.drops }

// Sent returns the bytes of all datagrams so far.
func (n *Node) BytesSent() int { return n.bytesSent }

// stalled is a pause after which this process must have stood still.
const suspendThreshold = 4 * Interval

func (n *Node) tick(ev Tick) {
	if gap := n.now - n.lastTick; n.lastTick > 0 && gap > suspendThreshold {
		n.resumedAt = n.now
		n.log(n.cfg.Number, fmt.Sprintf("stood still for %v: what it knows of others is as old", gap.Round(time.Millisecond)))
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

// period is the time between two versions of this member's words, which grows with the fleet as the room for them does not.
func (n *Node) publishInterval() time.Duration {
	return max(time.Second, time.Duration(n.cfg.Members)*30*time.Millisecond)
}

// partner returns whom to tell next: each other member once, then in another order. So any two hear one another within
// members / Fanout rounds, not by chance.
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

// random is splitmix64 from the seed.
func (n *Node) random() uint64 {
	n.rng += 0x9e3779b97f4a7c15
	z := n.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// rumours is how often a member passes a new word on: so often that by chance nearly all have heard it.
func (n *Node) transmitLimit() uint8 { return uint8(bits.Len(uint(n.cfg.Members)) + 1) }

// Defect is a mistake that can be planted in a node, for the laboratory to show that its search finds it. None is in a program that serves.
type Defect uint8

// The defects.
const (
	NoDefect              Defect = iota
	OldVersionWins               // a late word of a life replaces a newer one
	FormerIncarnationWins        // words of a former life put the present one aside
	FoldedCountedTwice           // a life that is closed goes on counting apart, too
	HorizonNotAdvanced           // a life that was closed is not told to be
	UnreportedForgotten          // what a life may have done after its last word is forgotten with it
	HistoryForgotten             // the counts of a former life go with it
	IncarnationNotRaised         // a life whose clock went back stays below its former one
	BaseNotSubtracted            // a life that goes above another tells what it has told before
	CompleteOnReceipt            // a word counts as of when it comes
	DefectCount                  // how many there are
)

// String names the planted defect in reports of the explorer.
func (d Defect) String() string {
	return [...]string{"none", "a late word wins", "a former life overrules", "a fold counts twice",
		"a closed life is not marked", "a gap is forgotten",
		"the past is forgotten", "a clock that went back is not made good", "what was told is told again", "words count as of their coming"}[d]
}

// Plant plants a defect.
func (n *Node) Plant(d Defect) { n.planted = d }
