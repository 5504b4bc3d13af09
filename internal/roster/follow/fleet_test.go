package follow

import (
	"fmt"
	"testing"
	"time"
)

// fakeDiscovery serves a fleet in virtual time. It processes calls one at a time, rejects those that would wait for more than two seconds,
// and sends updates to open watches at no cost.
type fakeDiscovery struct {
	perCall   time.Duration
	freeAt    time.Duration
	revision  int64
	callTimes []time.Duration // start of each call
}

type sidecar struct {
	plan     *Plan
	calls    []pendingCall
	revision int64
}

type pendingCall struct {
	id       int
	from     int64
	endsAt   time.Duration // when it ends or starts to wait; never: the watch has stalled
	rejected bool
	hold     time.Duration
	waiting  bool // processed, and waits for updates until endsAt
}

type fleet struct {
	t         *testing.T
	discovery fakeDiscovery
	sidecars  []*sidecar
	now       time.Duration
	fenced    int // how often a sidecar's list was found to be no longer valid
}

func newFleet(t *testing.T, n int, perSecond float64) *fleet {
	f := &fleet{t: t, discovery: fakeDiscovery{perCall: time.Duration(float64(time.Second) / perSecond), revision: 1}}
	for i := range n {
		m := &sidecar{plan: New(Config{Number: i, Sidecars: n, RefreshLimit: 10 * time.Second, HasList: true, Revision: 1}), revision: 1}
		f.sidecars = append(f.sidecars, m)
		f.handle(m, Event{Kind: Started})
	}
	return f
}

func (f *fleet) handle(m *sidecar, ev Event) {
	for _, a := range append([]Action(nil), m.plan.Handle(f.now, ev)...) {
		switch a.Kind {
		case StartCall:
			f.discovery.callTimes = append(f.discovery.callTimes, f.now)
			start := max(f.now, f.discovery.freeAt)
			c := pendingCall{id: a.Call, from: a.From, hold: a.Hold}
			if c.rejected = start-f.now > 2*time.Second; c.rejected {
				c.endsAt = f.now + 2*time.Second
			} else {
				f.discovery.freeAt = start + f.discovery.perCall
				c.endsAt = f.discovery.freeAt
			}
			m.calls = append(m.calls, c)
		case CancelCall:
			for i := range m.calls {
				if m.calls[i].id == a.Call {
					m.calls = append(m.calls[:i:i], m.calls[i+1:]...)
					break
				}
			}
		}
	}
	if until, lapsed := m.plan.Valid(); until <= f.now && f.now < lapsed {
		f.fenced++
	}
}

// step advances to the next event before until and handles it. It reports whether there was one.
func (f *fleet) step(until time.Duration) bool {
	next, sidecarIndex, callIndex := until, -1, -1
	for i, m := range f.sidecars {
		if at := max(m.plan.Next(), f.now); at < next {
			next, sidecarIndex, callIndex = at, i, -1
		}
		for j, c := range m.calls {
			if c.endsAt < next {
				next, sidecarIndex, callIndex = c.endsAt, i, j
			}
		}
	}
	f.now = next
	if sidecarIndex < 0 {
		return false
	}
	m := f.sidecars[sidecarIndex]
	if callIndex < 0 {
		f.handle(m, Event{Kind: Tick})
		return true
	}
	c := &m.calls[callIndex]
	if !c.rejected && c.from == f.discovery.revision && !c.waiting { // starts to wait for updates
		c.waiting, c.endsAt = true, c.endsAt+c.hold
		return true
	}
	ev := Event{Kind: ListReceived, Call: c.id, Revision: f.discovery.revision, Complete: c.from < 0}
	if c.rejected {
		ev.Kind = Rejected
	} else {
		m.revision = f.discovery.revision
	}
	m.calls = append(m.calls[:callIndex:callIndex], m.calls[callIndex+1:]...)
	f.handle(m, ev)
	return true
}

func (f *fleet) run(until time.Duration) {
	for f.step(until) {
	}
}

// publish makes an update. Open watches receive it at once, except those of stalled sidecars, which never end.
func (f *fleet) publish(stalled func(i int) bool) {
	f.discovery.revision++
	for i, m := range f.sidecars {
		for j := range m.calls {
			switch c := &m.calls[j]; {
			case c.waiting && stalled(i):
				c.endsAt = never
			case c.waiting:
				c.endsAt = f.now
			}
		}
	}
}

// resetCalls resets the connections of all calls.
func (f *fleet) resetCalls() {
	for _, m := range f.sidecars {
		for _, c := range append([]pendingCall(nil), m.calls...) {
			f.handle(m, Event{Kind: ConnectionReset, Call: c.id})
		}
		m.calls = nil
		f.handle(m, Event{Kind: Tick})
	}
}

// maxCallsPerHalfSecond returns the maximum number of calls that started in any half second after from.
func (f *fleet) maxCallsPerHalfSecond(from time.Duration) (maxCalls int) {
	first := 0
	for i, at := range f.discovery.callTimes { // in ascending order
		for f.discovery.callTimes[first] <= at-500*time.Millisecond || f.discovery.callTimes[first] < from {
			if first++; first > i {
				break
			}
		}
		maxCalls = max(maxCalls, i-first+1)
	}
	return maxCalls
}

func (f *fleet) upToDate() (n int) {
	for _, m := range f.sidecars {
		if m.revision == f.discovery.revision {
			n++
		}
	}
	return n
}

// The calls of a fleet in any half second are bounded, whatever makes the sidecars call at the same time. The bounds are deterministic, as
// calls are spread by the sidecars' numbers and not at random.
func TestFleetCallRateIsBounded(t *testing.T) {
	const callsPerSecond = 1e6 // of discovery, so that it is never overloaded
	noneStalled := func(int) bool { return false }
	for _, c := range []struct{ sidecars, start, quiet, cut int }{
		{8, 8, 10, 17}, {80, 11, 22, 161}, {300, 39, 56, 262}, {1000, 127, 180, 870},
	} {
		t.Run(fmt.Sprint(c.sidecars), func(t *testing.T) {
			f := newFleet(t, c.sidecars, callsPerSecond)
			f.run(8 * time.Second)
			start := f.maxCallsPerHalfSecond(0)
			f.run(45 * time.Second)
			quiet := f.maxCallsPerHalfSecond(10 * time.Second)
			f.publish(noneStalled)
			f.run(50 * time.Second)
			fenced := f.fenced
			f.resetCalls()
			f.run(55 * time.Second)
			cut := f.maxCallsPerHalfSecond(50 * time.Second)
			t.Logf("%d sidecars, maximum calls in half a second: start %d, steady state %d, all watches reset %d; %.0f calls a second on average",
				c.sidecars, start, quiet, cut, float64(len(f.discovery.callTimes))/55)
			if start > c.start || quiet > c.quiet || cut > c.cut {
				t.Errorf("more than %d, %d, %d", c.start, c.quiet, c.cut)
			}
			if fenced > 0 {
				t.Errorf("%d times a list was no longer valid although discovery served all calls", fenced)
			}
		})
	}
}

// An update that half of the watches missed reaches the whole fleet, although discovery can serve only a sixth of the sidecars per second.
func TestUpdateReachesFleetOfOverloadedDiscovery(t *testing.T) {
	for _, sidecars := range []int{80, 300} {
		f := newFleet(t, sidecars, float64(sidecars)/6)
		f.run(30 * time.Second)
		f.publish(func(i int) bool { return i%2 == 0 })
		changedAt := f.now
		for f.upToDate() < sidecars*9/10 && f.now < changedAt+time.Minute {
			f.run(f.now + 100*time.Millisecond)
		}
		ninetyPercent := f.now - changedAt
		for f.upToDate() < sidecars && f.now < changedAt+time.Minute {
			f.run(f.now + 100*time.Millisecond)
		}
		t.Logf("%d sidecars: 90 %% updated after %v, all after %v; lists no longer valid %d times", sidecars,
			ninetyPercent, f.now-changedAt, f.fenced)
		if ninetyPercent > 12*time.Second || f.upToDate() < sidecars {
			t.Errorf("%d sidecars: %d updated after %v", sidecars, f.upToDate(), f.now-changedAt)
		}
	}
}
