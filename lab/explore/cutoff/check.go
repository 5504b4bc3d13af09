package cutoff

import (
	"fmt"
	"time"

	"firplank/mesh/configversion"
)

// Bounds that a day is checked against: those of the timing rules, and those that docs/design/control-safety-1.md states.
const (
	inForceBound       = 3 * time.Second
	unsettledExtension = 10 * time.Second
	contactDuration    = 5 * time.Second
	ackBound           = 6 * time.Second
	minWaitForSidecars = 650 * time.Millisecond // an earlier acknowledgement requires the version on all sidecars in contact
	readyBound         = 4 * time.Second        // if a majority is reachable
	readyFallbackBound = 10 * time.Second       // if none is
	rejectionStart     = 2500 * time.Millisecond
	rejectionBound     = 50 * time.Millisecond
	recoveryTime       = 3 * time.Second // after the end of the cut
	recoveredLagBound  = 1500 * time.Millisecond
	parentSettleTime   = 100 * time.Millisecond
	sampleInterval     = 50 * time.Millisecond
)

// acknowledgement is the highest version that was acknowledged up to a time.
type acknowledgement struct {
	at      time.Duration
	version configversion.Version
}

// pendingCall is a call without a response yet.
type pendingCall struct {
	at      time.Duration
	machine int
	version configversion.Version
	read    bool
}

// sidecarState is the state of a sidecar according to the history.
type sidecarState struct {
	running, ready, targetOnly bool // targetOnly: of the control machines it reaches only the one that is cut off
	started                    time.Duration
	version                    configversion.Version
	parent                     int
	parentSince                time.Duration // when it joined the parent; below 0 if it has none
}

// checker checks a history against the rules.
type checker struct {
	now         time.Duration
	consumed    int           // number of processed events
	nextSample  time.Duration // time of the next periodic check
	endTime     time.Duration
	machines    int
	acks        []acknowledgement
	textHashes  map[configversion.Version]uint64
	firstSent   map[configversion.Version]time.Duration
	calls       map[int]pendingCall
	sidecars    map[int]*sidecarState
	cut         bool
	target      int
	cutAt       time.Duration
	healedAt    time.Duration // end of the cut; below 0 before it
	disturbedAt time.Duration // when the control machines were last disturbed
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
		nextSample: sampleInterval, endTime: h.Ends, machines: h.Machines, textHashes: map[configversion.Version]uint64{},
		firstSent: map[configversion.Version]time.Duration{},
		calls:     map[int]pendingCall{}, sidecars: map[int]*sidecarState{},
		healedAt: -1,
	}
}

// consume processes the events that were added to a history.
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

// ackedVersion returns the highest version that was acknowledged up to a time.
func (c *checker) ackedVersion(at time.Duration) configversion.Version {
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
			return fmt.Errorf("machine %d is cut off and left a call pending for %v", call.machine, e.At-call.at)
		}
		return c.checkRejection(call, cutOff)
	case e.Status != 200:
		return fmt.Errorf("machine %d rejected a call permanently: %d", call.machine, e.Status)
	case cutOff:
		return fmt.Errorf("machine %d is cut off and answered a call sent at %.3f s", call.machine, call.at.Seconds())
	case call.read:
		if acked := c.ackedVersion(call.at); e.Version < acked {
			return fmt.Errorf("machine %d read version %v, but %v was acknowledged before", call.machine, e.Version, acked)
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

// checkRejection finds rejected calls at machines that are in contact with a majority, or that should have recovered from the cut.
func (c *checker) checkRejection(call pendingCall, cutOff bool) error {
	switch {
	case c.healedAt >= 0 && call.at > c.healedAt+recoveryTime:
		return fmt.Errorf("machine %d still rejects calls", call.machine)
	case !cutOff && c.settled(call.at):
		return fmt.Errorf("machine %d is not cut off and rejects a call", call.machine)
	}
	return nil
}

// connected reports whether a sidecar has had a path of parents to a control machine for parentSettleTime. Acknowledgements do not wait
// for a sidecar that is changing parents, nor for one below the machine that is cut off, which the acknowledging machine cannot know of.
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

// checkInForceEverywhere finds sidecars in contact that lack a version which is acknowledged without waiting for sidecars.
func (c *checker) checkInForceEverywhere(version configversion.Version) error {
	for id, s := range c.sidecars {
		if c.inContact(s, c.now) && s.ready && c.connected(s) && s.version < version {
			return fmt.Errorf("version %v is acknowledged at once, but sidecar %d has %v", version, id, s.version)
		}
	}
	return nil
}

// checkUnanswered finds calls that the machine that is cut off has not answered in time.
func (c *checker) checkUnanswered() error {
	for _, call := range c.calls {
		if call.machine == c.target && call.at > c.cutAt+rejectionStart && c.now-call.at > rejectionBound {
			return fmt.Errorf("machine %d is cut off and has not answered a call sent at %.3f s", call.machine, call.at.Seconds())
		}
	}
	return nil
}

// reachesMajority reports whether a sidecar has been able to reach a majority ever since the given time.
func (c *checker) reachesMajority(s *sidecarState, since time.Duration) bool {
	return !s.targetOnly || !c.cut && since > c.healedAt || !c.cut && c.healedAt < 0
}

// undisturbed reports whether a sidecar has run, with a path to the majority, for contactDuration.
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
		return fmt.Errorf("sidecar %d is ready with version %v, but %v should be in force", e.Sidecar, e.Version, acked)
	}
	return nil
}

func (c *checker) handleAdopted(e Event) error {
	s := c.sidecar(e.Sidecar)
	switch {
	case e.Version < s.version:
		return fmt.Errorf("sidecar %d goes back from version %v to %v", e.Sidecar, s.version, e.Version)
	case c.textHashes[e.Version] != e.Text:
		return fmt.Errorf("sidecar %d has a text that differs from that of version %v", e.Sidecar, e.Version)
	}
	s.version = e.Version
	return nil
}

// checkAt checks all sidecars and pending writes at a time.
func (c *checker) checkAt(at time.Duration) error {
	for id, s := range c.sidecars {
		if err := c.checkSidecar(id, s, at); err != nil {
			return err
		}
	}
	for version, since := range c.firstSent {
		if at-since > ackBound {
			return fmt.Errorf("version %v, sent at %.3f s, is not acknowledged in time", version, since.Seconds())
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
			return fmt.Errorf("sidecar %d, started at %.3f s, is not ready in time", id, s.started.Seconds())
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
		return fmt.Errorf("sidecar %d has version %v, but %v was acknowledged %v before", id, s.version, acked, bound)
	}
	return nil
}

// finish checks the end of the complete history.
func (c *checker) finish() error {
	if len(c.acks) == 0 {
		return fmt.Errorf("no write was acknowledged")
	}
	return c.checkAt(c.endTime)
}
