package membership

import "time"

// Config holds the parameters of a detector. A member counts as lost 2*PingTimeout (direct, then indirect pings) plus SuspicionTimeout
// after a ping that it did not answer, at the earliest.
type Config struct {
	// ProbeInterval is the time between two pings, each to another member. All members are pinged once in a round. A higher value sends
	// fewer datagrams and detects failures later, in the worst case by ProbeInterval times the number of members.
	ProbeInterval time.Duration
	// PingTimeout is how long a member has to answer a direct ping, and then how long an indirect ping may take. A higher value detects
	// failures later; with a lower one, members on slow links are suspected.
	PingTimeout time.Duration
	// IndirectProbes is the number of other members that get a PingReq, and later a Suspect message, for a member that did not answer
	// (SWIM's k). A higher value sends more datagrams for each unanswered ping and gives fewer false suspicions.
	IndirectProbes int
	// SuspicionTimeout is the time in which a suspicion can be refuted, by the suspect or by a member that has seen it lately. With a
	// higher value, requests are sent to a failed machine for longer; with a lower one, members that only paused count as lost.
	SuspicionTimeout time.Duration
	// MaxLocalHealth is the maximum of the local health score. Up to it, each unanswered ping in a row lengthens this member's time-outs
	// by their initial value (Lifeguard's local health multiplier). With a higher value, a member that is cut off takes longer to declare
	// others lost.
	MaxLocalHealth int
	// MaxPendingProbes is the maximum number of pings that await an answer. No further ones are sent beyond it. A higher value takes more
	// memory.
	MaxPendingProbes int
}

// DefaultConfig returns the parameters that the mesh runs with.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    400 * time.Millisecond,
		PingTimeout:      250 * time.Millisecond,
		IndirectProbes:   2,
		SuspicionTimeout: 700 * time.Millisecond,
		MaxLocalHealth:   3,
		MaxPendingProbes: 64,
	}
}
