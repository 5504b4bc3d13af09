package cutoff

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/dissemination"
)

const (
	machines           = 4 // control machines, of which the first three are members
	sidecarsPerZone    = 8 // sidecars in each of two zones: enough for a relay tree
	routes             = 30
	controlBandwidth   = 1 << 20  // bytes per second of a control machine's link
	sidecarBandwidth   = 40 << 10 // bytes per second that requests leave of a sidecar's link
	writeInterval      = time.Second
	stormWriteInterval = 70 * time.Millisecond
)

// world is the state of a simulated day.
type world struct {
	clock
	scenario        Scenario
	defect          *Defect
	rng             *rand.Rand
	history         *History
	net             *network
	controls        []*controlMachine
	sidecars        []*sidecar
	lastIncarnation int
	cut             bool
	target          int // the machine that is cut off
	operator        operator
}

func zoneOf(machine int) string { return string(rune('a' + machine%2)) }

// Play simulates a day and returns its history.
func Play(s Scenario, d *Defect) *History {
	w := newWorld(s, d)
	w.run(dayEnd)
	return w.history
}

// newWorld sets up a day.
func newWorld(s Scenario, d *Defect) *world {
	if d == nil {
		d = &Defect{}
	}
	w := &world{scenario: s, defect: d, rng: rand.New(rand.NewPCG(s.Seed, 0xc07))}
	w.history = &History{Machines: machines, Sidecars: 2 * sidecarsPerZone, Ends: dayEnd}
	w.build()
	w.scheduleFaults()
	return w
}

func (w *world) build() {
	w.net = &network{clock: &w.clock, blocked: w.blocked}
	for id := range machines {
		c := &controlMachine{w: w, id: id}
		w.controls = append(w.controls, c)
		w.net.nodes = append(w.net.nodes, c)
		w.net.bandwidth = append(w.net.bandwidth, controlBandwidth)
	}
	for i := range 2 * sidecarsPerZone {
		s := &sidecar{w: w, id: machines + i, zone: zoneOf(i), seeds: w.seeds()}
		w.sidecars = append(w.sidecars, s)
		w.net.nodes = append(w.net.nodes, s)
		w.net.bandwidth = append(w.net.bandwidth, sidecarBandwidth)
	}
	w.net.linkFreeAt = make([]time.Duration, len(w.net.nodes))
	for i, c := range w.controls {
		w.after(time.Duration(i)*time.Millisecond, func() { c.boot(true) })
	}
	for i, s := range w.sidecars {
		w.after(time.Duration(200+i)*time.Millisecond, s.boot)
	}
}

// seeds returns the control machines in a process's settings: the members.
func (w *world) seeds() []string { return []string{addr(0), addr(1), addr(2)} }

// newSeeds returns the seeds of a restarted sidecar. With targetOnly it is only the machine that is cut off, provided
// that the sidecar reaches it and learns of the others there. Otherwise the seeds include some that it reaches.
func (w *world) newSeeds(s *sidecar, targetOnly bool) []string {
	switch {
	case targetOnly && (!w.scenario.CutZone || w.onTargetSide(s.id)):
		return []string{addr(w.target)}
	case w.scenario.CutZone:
		return []string{addr(w.target), addr((w.target + 1) % machines)}
	}
	return w.seeds()
}

// blocked reports whether the cut blocks messages from one node to another.
func (w *world) blocked(from, to int) bool {
	if !w.cut {
		return false
	}
	fromTargetSide, toTargetSide := w.onTargetSide(from), w.onTargetSide(to)
	if fromTargetSide == toTargetSide || !w.scenario.CutZone && (from >= machines || to >= machines) {
		return false
	}
	switch w.scenario.Direction {
	case Inward:
		return toTargetSide
	case Outward:
		return fromTargetSide
	}
	return true
}

// onTargetSide reports whether a node is on the side of the machine that is cut off.
func (w *world) onTargetSide(id int) bool {
	if id < machines {
		return id == w.target
	}
	return w.scenario.CutZone && w.sidecars[id-machines].zone == zoneOf(w.target)
}

// scheduleFaults schedules the cut, the restarts and the operators' calls.
func (w *world) scheduleFaults() {
	at := func(t time.Duration, do func()) { w.after(t, do) }
	at(cutStart, func() {
		w.target = w.chooseTarget()
		w.history.add(Event{At: w.now, Kind: CutBegan, Machine: w.target})
		w.cut = true
		for _, s := range w.sidecars {
			if w.onTargetSide(s.id) {
				w.history.add(Event{At: w.now, Kind: TargetOnly, Sidecar: s.id})
			}
		}
	})
	at(cutStart+cutDuration, func() {
		w.history.add(Event{At: w.now, Kind: CutEnded, Machine: w.target})
		w.cut = false
		w.net.heal()
	})
	for i := range 6 { // alternately in both zones
		s := w.sidecars[w.rng.IntN(sidecarsPerZone)*2+i%2]
		w.restartSidecar(s, cutStart+time.Duration(2+3*i)*time.Second+time.Duration(w.rng.IntN(900))*time.Millisecond, i >= 2)
	}
	if w.scenario.RestartOthers {
		for i := range machines {
			w.restartControl(w.controls[i], cutStart+time.Duration(4+2*i)*time.Second)
		}
	}
	w.operator.scheduleCalls(w)
}

// chooseTarget returns the machine to cut off: a member or the standby, the lease holder or another, as the scenario says.
func (w *world) chooseTarget() int {
	for id, c := range w.controls {
		member := slices.Contains(c.replica.Members(), addr(id))
		if member != w.scenario.Standby && c.reconciler.LeaseHeld(c.now()) == w.scenario.HoldsLease {
			return id
		}
	}
	return 1 // no machine fits the scenario on this day
}

func (w *world) restartSidecar(s *sidecar, at time.Duration, targetOnly bool) {
	w.after(at, func() {
		if s.incarnation > 0 {
			s.stop()
			s.seeds = w.newSeeds(s, targetOnly)
			w.after(200*time.Millisecond, s.boot)
		}
	})
}

func (w *world) restartControl(c *controlMachine, at time.Duration) {
	w.after(at, func() {
		if c.id == w.target {
			return
		}
		w.history.add(Event{At: w.now, Kind: MachineStopped, Machine: c.id})
		c.stop()
		w.after(500*time.Millisecond, func() {
			w.history.add(Event{At: w.now, Kind: MachineStarted, Machine: c.id})
			c.boot(false)
		})
	})
}

// stepper is a node whose step is called at scheduled times.
type stepper interface {
	node
	step()
}

// wake schedules a call of a node's step, unless an earlier one is scheduled.
func (w *world) wake(n stepper, incarnation int, wakeAt *time.Duration, at time.Duration) {
	at = max(at, w.now)
	if *wakeAt > w.now && *wakeAt <= at {
		return
	}
	*wakeAt = at
	w.after(at-w.now, func() {
		if n.incarnationNow() == incarnation && *wakeAt == w.now {
			n.step()
		}
	})
}

// fillDirectory updates a sidecar's directory entries of the other sidecars, as the control machines of this simulation
// announce none.
func (w *world) fillDirectory(s *sidecar) {
	d := s.node.State().Directory
	for _, other := range w.sidecars {
		if other == s || other.node == nil {
			continue
		}
		e := other.entry()
		known, ok := d.Get(e.Node)
		switch {
		case other.incarnation == 0 && ok && !known.Lost:
			known.Lost = true
			d.ApplyUpdate(known, s.now())
		case other.incarnation > 0 && (!ok || known.Incarnation != e.Incarnation || known.Lost):
			d.ApplyUpdate(e, s.now())
		}
	}
}

// nodeID returns the ID of the node with an address.
func (w *world) nodeID(addr string) int {
	id, err := strconv.Atoi(addr[1:])
	if err != nil {
		panic(err) // addresses come from this package only
	}
	return id
}

// sendUpdate sends a publisher's update. The time is that of the sender's clock.
func (w *world) sendUpdate(p *dissemination.Publisher, from int, to *conn, n dissemination.Update, now time.Duration) {
	u := update{update: n, age: -1}
	if w.defect.sendsOnlyLastDelta && len(n.Deltas) > 1 {
		u.update.Deltas = n.Deltas[len(n.Deltas)-1:]
	}
	if w.defect.queuesFullTexts && (n.FullText || len(n.Deltas) > 0) {
		u.update.FullText, u.update.Deltas = true, nil
		p.HandleAck(n.SubscriberID, dissemination.Ack{Nonce: n.Nonce, Version: n.Version, LowestInForce: n.Version}, now)
	}
	bytes := 100
	if u.update.FullText {
		u.text = p.Text
		bytes += len(u.text) / 3 // compressed
	}
	for _, d := range u.update.Deltas {
		bytes += len(d.Bytes)
	}
	if n.AsOf != dissemination.TimeUnknown {
		u.age = now - n.AsOf
	}
	w.net.send(to, from, u, bytes)
}

// textOf returns the configuration of a version. Each version differs from the previous one in one route.
func textOf(version configversion.Version) []byte {
	number := version.Number()
	var out []byte
	for route := range uint32(routes) {
		edited := uint32(0) // the version at which the route was last edited
		if number >= route {
			edited = number - (number-route)%routes
		}
		out = fmt.Appendf(out, `{"name":"r-%08x","lanePrefix":"/%x/","deadlineS":%d.%03d},`, route*2654435761, route*40503,
			1+edited%7, edited%997)
	}
	return out
}
