package members

import (
	"slices"
	"time"

	"firplank/mesh/controlplane/operations"
)

// fault hits one machine or all. It returns the moment at which all counts as repaired again, so that the next may come.
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

// faultsOfSeveral come besides where more than one machine may be lost at once.
var multipleLossFaults = []fault{
	{"as many as tolerated lose their disks", (*world).wipeSeveral},
	{"as many as tolerated lose their disks as all are killed", (*world).wipeSeveralOfAll},
}

// injectFault lets a fault come, and time pass until the next may.
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

// between returns a time by chance.
func (w *world) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(w.rng.Int64N(int64(maximum-minimum)))
}

// member is a machine that is up and, as far as others know, a member; most often one that was not struck before.
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

// successor starts a machine with an empty disk at a new address.
func (w *world) addEmptyMachine() {
	m := w.addMachine()
	m.start(false)
	w.log("%s comes", m.name)
}

func (w *world) remove() time.Duration {
	m := w.randomMember()
	w.log("%s is gone", m.name)
	m.stop()
	m.removed = true
	w.advance(w.randomDuration(step, 1500*time.Millisecond))
	w.addEmptyMachine()
	return w.now + syncS
}

// leaveWithin asks a machine to leave, and kills it when its time is over.
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

// several returns as many members as are tolerated to be lost.
func (w *world) randomVictims() (victims []*machine) {
	for range w.tolerance {
		if m := w.randomMember(victims...); m != nil {
			victims = append(victims, m)
		}
	}
	return victims
}

// lose takes machines down, and their disks.
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

// restartAll kills all machines that are up, and starts them and others that are down, with some time between.
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
	w.log("%s stands still", m.name)
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

// leaveDuringCut has one member cut off, another leave, which is planned work and no loss, and a third lose its disk as
// soon as the first is back. It wants a machine to hand over to; where the leaver finds none in time, the third is
// spared.
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

// powerOff takes the power from all right after a confirmed write, at times with one disk lost, and reads at each machine in the end.
func (w *world) powerOff() {
	began := w.now
	for w.now < began+syncS && !w.history.Confirmed(began) && w.history.Broken == nil {
		w.advance(step)
	}
	w.log("power is lost everywhere")
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
