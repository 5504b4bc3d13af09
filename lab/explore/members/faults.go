package members

import (
	"slices"
	"time"

	"firplank/mesh/controlplane/operations"
)

// fault affects one, several or all machines. do injects the fault and returns the time at which it counts as repaired, from which the
// next fault may occur.
type fault struct {
	name string
	do   func(w *world) (repaired time.Duration)
}

var faults = []fault{
	{"one is gone for good, and an empty one comes", (*world).remove},
	{"an empty one comes, and one is asked to leave for good", (*world).plannedRemove},
	{"one loses its disk", (*world).wipe},
	{"one is killed", (*world).kill},
	{"one stands still", (*world).freeze},
	{"one is cut off", (*world).cutOff},
	{"one is asked to end, and starts again", (*world).restart},
	{"all are killed", (*world).killAll},
	{"one leaves while another is cut off, and then a third loses its disk", (*world).leaveDuringCut},
}

// multipleLossFaults are additional faults if more than one machine may be lost at the same time.
var multipleLossFaults = []fault{
	{"as many as tolerated lose their disks", (*world).wipeSeveral},
	{"as many as tolerated lose their disks as all are killed", (*world).wipeSeveralOfAll},
}

// injectFault injects a random fault and waits until the next fault may occur.
func (w *world) injectFault() {
	possible := faults
	if w.tolerance > 1 {
		possible = append(slices.Clone(faults), multipleLossFaults...)
	}
	f := possible[w.rng.IntN(len(possible))]
	w.log("%s", f.name)
	if repaired := f.do(w); repaired > w.now {
		w.advance(repaired - w.now)
	}
}

// randomDuration returns a random duration of at least minimum and less than maximum.
func (w *world) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(w.rng.Int64N(int64(maximum-minimum)))
}

// randomMember returns a random machine that is up and a member by its own list, or nil if there is none. Machines in except are left out.
func (w *world) randomMember(except ...*machine) *machine {
	var candidates []*machine
	for _, m := range w.machines {
		if !m.up() || contains(except, m) {
			continue
		}
		if list := m.replica.Members(); len(list) > 0 && containsName(list, m.name) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.rng.IntN(len(candidates))]
}

func contains(all []*machine, m *machine) bool {
	for _, x := range all {
		if x == m {
			return true
		}
	}
	return false
}

func containsName(all []string, name string) bool {
	for _, x := range all {
		if x == name {
			return true
		}
	}
	return false
}

// addEmptyMachine starts a machine with an empty disk at a new address.
func (w *world) addEmptyMachine() {
	m := w.addMachine()
	m.start(false)
	w.log("%s starts with an empty disk", m.name)
}

func (w *world) remove() time.Duration {
	m := w.randomMember()
	w.log("%s is removed", m.name)
	m.stop()
	m.removed = true
	w.advance(w.randomDuration(step, 1500*time.Millisecond))
	w.addEmptyMachine()
	return w.now + syncS
}

// departOrKill asks a machine to leave, and kills it if it has not left within graceS.
func (w *world) departOrKill(m *machine) {
	w.log("%s is asked to leave", m.name)
	m.beginDeparture()
	for deadline := w.now + graceS; m.up() && w.now < deadline && w.history.Broken == nil; {
		w.advance(step)
	}
	m.stop()
}

func (w *world) plannedRemove() time.Duration {
	w.addEmptyMachine()
	repaired := w.now + syncS
	w.advance(w.randomDuration(step, 1500*time.Millisecond))
	m := w.randomMember()
	w.departOrKill(m)
	m.removed = true
	return max(repaired, w.now)
}

func (w *world) wipe() time.Duration {
	m := w.randomMember()
	w.log("%s loses its disk", m.name)
	m.stop()
	m.disk = nil
	w.advance(w.randomDuration(200*time.Millisecond, 1500*time.Millisecond))
	m.start(false)
	return w.now + syncS
}

// randomVictims returns as many random members as may be lost at the same time.
func (w *world) randomVictims() (victims []*machine) {
	for range w.tolerance {
		if m := w.randomMember(victims...); m != nil {
			victims = append(victims, m)
		}
	}
	return victims
}

// loseDisks stops machines and empties their disks.
func (w *world) loseDisks(victims []*machine) {
	for _, m := range victims {
		w.log("%s loses its disk", m.name)
		m.stop()
		m.disk = nil
	}
}

func (w *world) wipeSeveral() time.Duration {
	victims := w.randomVictims()
	w.loseDisks(victims)
	for _, m := range victims {
		w.advance(w.randomDuration(200*time.Millisecond, 800*time.Millisecond))
		m.start(false)
	}
	return w.now + syncS
}

func (w *world) wipeSeveralOfAll() time.Duration {
	victims := w.randomVictims()
	w.loseDisks(victims)
	w.restartAll(victims, 150*time.Millisecond)
	return w.now + syncS
}

// restartAll kills all machines that are up, and starts these and the given stopped machines one after the other.
func (w *world) restartAll(stopped []*machine, maxDelay time.Duration) {
	all := slices.Clone(stopped)
	for _, m := range w.machines {
		if m.up() {
			m.stop()
			all = append(all, m)
		}
	}
	for _, m := range all {
		w.advance(w.randomDuration(step, maxDelay))
		m.start(false)
	}
}

func (w *world) kill() time.Duration {
	m := w.randomMember()
	w.log("%s is killed", m.name)
	m.stop()
	w.advance(w.randomDuration(200*time.Millisecond, 4*time.Second))
	m.start(false)
	return w.now + syncS
}

func (w *world) freeze() time.Duration {
	m := w.randomMember()
	w.log("%s freezes", m.name)
	m.frozen = true
	w.advance(w.randomDuration(200*time.Millisecond, 4*time.Second))
	m.frozen = false
	return w.now + syncS
}

func (w *world) cutOff() time.Duration {
	m := w.randomMember()
	w.log("%s is cut off", m.name)
	m.partitioned = true
	w.advance(w.randomDuration(200*time.Millisecond, 6*time.Second))
	m.partitioned = false
	return w.now + syncS
}

func (w *world) restart() time.Duration {
	m := w.randomMember()
	w.departOrKill(m)
	w.advance(500 * time.Millisecond)
	m.start(false)
	return w.now + syncS
}

func (w *world) killAll() time.Duration {
	w.restartAll(nil, 300*time.Millisecond)
	return w.now + syncS
}

// leaveDuringCut partitions one member, has another leave, which is planned and counts as no loss, and has a third lose its disk as soon
// as the first is connected again. The leaving member needs a machine to hand over to. If it finds none in time, the third member keeps
// its disk.
func (w *world) leaveDuringCut() time.Duration {
	lagging := w.randomMember()
	leaver := w.randomMember(lagging)
	third := w.randomMember(lagging, leaver)
	if third == nil {
		return w.now
	}
	w.log("%s is cut off", lagging.name)
	lagging.partitioned = true
	w.advance(w.randomDuration(200*time.Millisecond, 600*time.Millisecond))
	w.departOrKill(leaver)
	leaver.removed = true
	if lagging.partitioned = false; leaver.departedGracefully {
		w.log("%s loses its disk", third.name)
		third.stop()
		third.disk = nil
		w.advance(500 * time.Millisecond)
		third.start(false)
	}
	w.addEmptyMachine()
	return w.now + syncS
}

// powerOff cuts the power of all machines right after a confirmed write, sometimes with the loss of as many disks as are tolerated, and
// finally reads at each machine.
func (w *world) powerOff() {
	began := w.now
	for w.now < began+syncS && !w.history.Confirmed(began) && w.history.Broken == nil {
		w.advance(step)
	}
	w.log("all machines lose power")
	w.readOnly = true
	disksSpared := w.rng.IntN(2) == 0
	var victims []*machine
	if w.tolerance > 1 {
		victims = w.randomVictims()
	} else if victim := w.randomMember(); victim != nil {
		victims = append(victims, victim)
	}
	var all []*machine
	for _, m := range w.machines {
		if m.up() {
			m.stop()
			all = append(all, m)
		}
	}
	if !disksSpared {
		w.loseDisks(victims)
	}
	w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, m := range all {
		w.advance(w.randomDuration(step, 900*time.Millisecond/time.Duration(len(all))))
		m.start(false)
	}
	w.advance(syncS / 2)
	for _, m := range all {
		if m.up() && !m.stalled {
			w.lastID++
			w.history.Begin(w.lastID, 0, w.now)
			m.propose(operations.Read{}, w.lastID)
		}
		w.advance(50 * time.Millisecond)
	}
	w.advance(syncS / 2)
}
