package cutoff

import (
	"fmt"
	"time"
)

// Bounds that a day is held against: those of the rules, and those that docs/design/control-safety-1.md states.
const (
	inForceBound       = 3 * time.Second
	unsettledExtension = 10 * time.Second
	contactDuration    = 5 * time.Second
	ackBound           = 6 * time.Second
	minWaitForSidecars = 650 * time.Millisecond // a confirmation comes sooner only if all in touch have the version
	readyBound         = 4 * time.Second        // where a majority can be reached
	readyFallbackBound = 10 * time.Second       // ... and where none can
	rejectionStart     = 2500 * time.Millisecond
	rejectionBound     = 50 * time.Millisecond
	recoveryTime       = 3 * time.Second // after the end of the cut
	recoveredLagBound  = 1500 * time.Millisecond
	parentSettleTime   = 100 * time.Millisecond
	sampleInterval     = 50 * time.Millisecond
)

// confirmed is the highest version that was acknowledged up to a time.
type acknowledgement struct {
	at      time.Duration
	version uint32
}

// sent is a call that waits for its answer.
type pendingCall struct {
	at      time.Duration
	machine int
	version uint32
	read    bool
}

// seen is what is known of a sidecar.
type sidecarState struct {
	running, ready, targetOnly bool // far: it reaches only the machine that is cut off
	started                    time.Duration
	version                    uint32
	parent                     int
	parentSince                time.Duration // ... since; below 0: it has none
}

// checker holds a history against the rules.
type checker struct {
	now         time.Duration
	consumed    int           // events
	nextSample  time.Duration // when to look next
	endTime     time.Duration
	machines    int
	acks        []acknowledgement
	textHashes  map[uint32]uint64
	firstSent   map[uint32]time.Duration
	calls       map[int]pendingCall
	sidecars    map[int]*sidecarState
	cut         bool
	target      int
	cutAt       time.Duration
	healedAt    time.Duration // below 0: not yet
	disturbedAt time.Duration // when the core was last disturbed
}

// Check returns the first breach of a rule.
func Check(h *History) error {
	c := newChecker(h)
	if err := c.consume(h); err != nil {
		return err
	}
	return c.finish()
}

func newChecker(h *History) *checker {
	return &checker{
		nextSample: sampleInterval, endTime: h.Ends, machines: h.Machines, textHashes: map[uint32]uint64{}, firstSent: map[uint32]time.Duration{},
		calls: map[int]pendingCall{}, sidecars: map[int]*sidecarState{},
		healedAt: -1,
	}
}

// follow takes in what has been added to a history.
func (c *checker) consume(h *History) error {
	for ; c.consumed < len(h.Events); c.consumed++ {
		e := h.Events[c.consumed]
		for ; c.nextSample <= e.At; c.nextSample += sampleInterval {
			if err := c.checkAt(c.nextSample); err != nil {
				return fmt.Errorf("%.3f s: %w", c.nextSample.Seconds(), err)
			}
		}
		c.now = e.At
		if err := c.apply(e); err != nil {
			return fmt.Errorf("%.3f s: %w", e.At.Seconds(), err)
		}
	}
	return nil
}

func (c *checker) apply(e Event) error {
	switch e.Kind {
	case WriteSent:
		c.recordWrite(e)
	case ReadSent:
		c.calls[e.Call] = pendingCall{e.At, e.Machine, 0, true}
	case Answered:
		return c.handleAnswer(e)
	case CutBegan:
		c.cut, c.target, c.cutAt, c.disturbedAt = true, e.Machine, e.At, e.At
	case CutEnded:
		err := c.checkUnanswered()
		c.cut, c.healedAt, c.disturbedAt = false, e.At, e.At
		return err
	case MachineStopped, MachineStarted:
		c.disturbedAt = e.At
	case TargetOnly:
		c.sidecar(e.Sidecar).targetOnly = true
	case SidecarStarted:
		*c.sidecar(e.Sidecar) = sidecarState{running: true, started: e.At, targetOnly: c.sidecar(e.Sidecar).targetOnly, parentSince: -1}
	case ParentJoined:
		c.sidecar(e.Sidecar).parent, c.sidecar(e.Sidecar).parentSince = e.Parent, e.At
	case ParentLost:
		c.sidecar(e.Sidecar).parentSince = -1
	case SidecarStopped:
		c.sidecar(e.Sidecar).running = false
	case Ready:
		return c.handleReady(e)
	case Adopted:
		return c.handleAdopted(e)
	}
	return nil
}

func (c *checker) sidecar(id int) *sidecarState {
	if c.sidecars[id] == nil {
		c.sidecars[id] = &sidecarState{}
	}
	return c.sidecars[id]
}

func (c *checker) recordWrite(e Event) {
	c.textHashes[e.Version] = e.Text
	if _, known := c.firstSent[e.Version]; !known {
		c.firstSent[e.Version] = e.At
	}
	if e.Call > 0 {
		c.calls[e.Call] = pendingCall{e.At, e.Machine, e.Version, false}
	}
}

// acked is the highest version that was acknowledged by a time.
func (c *checker) ackedVersion(at time.Duration) uint32 {
	for i := len(c.acks) - 1; i >= 0; i-- {
		if c.acks[i].at <= at {
			return c.acks[i].version
		}
	}
	return 0
}

func (c *checker) handleAnswer(e Event) error {
	call := c.calls[e.Call]
	delete(c.calls, e.Call)
	cutOff := c.cut && call.machine == c.target && call.at > c.cutAt
	switch {
	case e.Status == 503:
		if cutOff && call.at > c.cutAt+rejectionStart && e.At-call.at > rejectionBound {
			return fmt.Errorf("machine %d is cut off and has left a call pending for %v", call.machine, e.At-call.at)
		}
		return c.checkRejection(call, cutOff)
	case e.Status != 200:
		return fmt.Errorf("machine %d has refused for good: %d", call.machine, e.Status)
	case cutOff:
		return fmt.Errorf("machine %d is cut off and has answered a call of %.3f s", call.machine, call.at.Seconds())
	case call.read:
		if acked := c.ackedVersion(call.at); e.Version < acked {
			return fmt.Errorf("machine %d reads version %d, and %d was acknowledged before", call.machine, e.Version, acked)
		}
		return nil
	}
	delete(c.firstSent, call.version)
	if e.At-call.at < minWaitForSidecars {
		if err := c.checkInForceEverywhere(call.version); err != nil {
			return err
		}
	}
	if call.version > c.ackedVersion(e.At) {
		c.acks = append(c.acks, acknowledgement{e.At, call.version})
	}
	return nil
}

// orderly finds calls that are turned away by a machine that has been in contact, or when all is to be in order again.
func (c *checker) checkRejection(call pendingCall, cutOff bool) error {
	switch {
	case c.healedAt >= 0 && call.at > c.healedAt+recoveryTime:
		return fmt.Errorf("machine %d still turns calls away", call.machine)
	case !cutOff && c.settled(call.at):
		return fmt.Errorf("machine %d is not cut off and turns a call away", call.machine)
	}
	return nil
}

// connected reports whether a sidecar has its updates from a control machine, or from sidecars that do, for a while. One that is changing
// parents is not waited for, nor one below the machine that is cut off: nobody who confirms can know of it.
func (c *checker) connected(s *sidecarState) bool {
	for hops := 0; hops < 3; hops++ {
		if !s.running || s.parentSince < 0 || c.now-s.parentSince < parentSettleTime {
			return false
		}
		if s.parent < c.machines {
			return !c.cut || s.parent != c.target
		}
		s = c.sidecar(s.parent)
	}
	return false
}

// inForceAtAll finds a sidecar in touch that lacks a version which is confirmed without a wait.
func (c *checker) checkInForceEverywhere(version uint32) error {
	for id, s := range c.sidecars {
		if c.inContact(s, c.now) && s.ready && c.connected(s) && s.version < version {
			return fmt.Errorf("version %d is confirmed at once, and sidecar %d has %d", version, id, s.version)
		}
	}
	return nil
}

// unanswered finds calls to the machine that is cut off which it has left without an answer.
func (c *checker) checkUnanswered() error {
	for _, call := range c.calls {
		if call.machine == c.target && call.at > c.cutAt+rejectionStart && c.now-call.at > rejectionBound {
			return fmt.Errorf("machine %d is cut off and has not answered a call of %.3f s", call.machine, call.at.Seconds())
		}
	}
	return nil
}

// reaches reports whether a sidecar reaches a majority, all through a span that ends now.
func (c *checker) reachesMajority(s *sidecarState, since time.Duration) bool {
	return !s.targetOnly || !c.cut && since > c.healedAt || !c.cut && c.healedAt < 0
}

// undisturbed is a sidecar that ran, with paths to the majority, for the span that being in touch wants.
func (c *checker) undisturbed(s *sidecarState, at time.Duration) bool {
	return s.running && at-s.started >= contactDuration && c.reachesMajority(s, at-contactDuration)
}

func (c *checker) settled(at time.Duration) bool {
	return c.disturbedAt == 0 || at-c.disturbedAt >= contactDuration
}

func (c *checker) inContact(s *sidecarState, at time.Duration) bool {
	return c.undisturbed(s, at) && c.settled(at)
}

func (c *checker) handleReady(e Event) error {
	s := c.sidecar(e.Sidecar)
	s.ready = true
	if acked := c.ackedVersion(e.At - inForceBound); c.reachesMajority(s, s.started) && e.Version < acked {
		return fmt.Errorf("sidecar %d is ready with version %d, and %d was to be in force", e.Sidecar, e.Version, acked)
	}
	return nil
}

func (c *checker) handleAdopted(e Event) error {
	s := c.sidecar(e.Sidecar)
	switch {
	case e.Version < s.version:
		return fmt.Errorf("sidecar %d goes back from version %d to %d", e.Sidecar, s.version, e.Version)
	case c.textHashes[e.Version] != e.Text:
		return fmt.Errorf("sidecar %d has a text that is not that of version %d", e.Sidecar, e.Version)
	}
	s.version = e.Version
	return nil
}

// look finds what is wrong at a time.
func (c *checker) checkAt(at time.Duration) error {
	for id, s := range c.sidecars {
		if err := c.checkSidecar(id, s, at); err != nil {
			return err
		}
	}
	for version, since := range c.firstSent {
		if at-since > ackBound {
			return fmt.Errorf("version %d, sent at %.3f s, is not acknowledged", version, since.Seconds())
		}
	}
	return nil
}

func (c *checker) checkSidecar(id int, s *sidecarState, at time.Duration) error {
	if !s.running || len(c.acks) == 0 {
		return nil
	}
	if !s.ready {
		limit := readyFallbackBound
		if c.reachesMajority(s, s.started) {
			limit = readyBound
		}
		if at-max(s.started, c.acks[0].at) > limit {
			return fmt.Errorf("sidecar %d, started at %.3f s, is not ready", id, s.started.Seconds())
		}
		return nil
	}
	bound := inForceBound
	if !c.settled(at) {
		bound += unsettledExtension
	}
	if c.healedAt >= 0 && at > c.healedAt+recoveryTime {
		bound = recoveredLagBound
	} else if !c.undisturbed(s, at) {
		return nil
	}
	if acked := c.ackedVersion(at - bound); s.version < acked {
		return fmt.Errorf("sidecar %d has version %d, and %d was acknowledged %v before", id, s.version, acked, bound)
	}
	return nil
}

// end checks the complete history once the day is over.
func (c *checker) finish() error {
	if len(c.acks) == 0 {
		return fmt.Errorf("nothing was acknowledged")
	}
	return c.checkAt(c.endTime)
}
